package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of pipeline-memory: each of these clients sends so many requests at once, then reads the answers and goes.
// They hold 64 of the 1,024 descriptors, and each body is within the 64 KiB that a body may have.
const (
	eagerClients   = 64
	eagerRequests  = 340
	eagerBodyBytes = 60_000
	eagerPatience  = 40 * time.Second
	eagerPiece     = 2 * mebibyte // bytes of a write
	memoryInterval = 10 * time.Millisecond
)

// pipelineMemory checks that clients that send many requests at once do not take the forwarder over its memory limit. As
// the deploy page says, the platform kills it there, and it has crashed then. Only anonymous memory counts here, which is
// less than what the page counts.
func pipelineMemory(r *run) (int, error) {
	s, err := r.openSite()
	if err != nil {
		return notRun, err
	}
	defer s.close()
	limit := int64(192 * mebibyte)
	var peak atomic.Int64
	var killed atomic.Bool
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { // the platform's limit on memory
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryInterval):
			}
			used, err := anonymousMemory(s.Pid())
			if err != nil {
				continue
			}
			if used > peak.Load() {
				peak.Store(used)
				r.note("anonymous memory of the forwarder: %d KiB", used>>10)
			}
			if used > limit && killed.CompareAndSwap(false, true) {
				r.say("platform: %d MiB are over memory_mb, the forwarder is killed", used>>20)
				s.Kill()
				return
			}
		}
	})
	sound := r.soundClients(s.Address(), stop, &watch)
	time.Sleep(2 * time.Second)
	r.note("%d clients send %d requests each, %d bytes a body, at once: %v", eagerClients, eagerRequests, eagerBodyBytes, r.trouble)
	var eager sync.WaitGroup
	var answered atomic.Int64
	for i := range eagerClients {
		eager.Go(func() { answered.Add(int64(r.eagerClient(s.Address(), i))) })
	}
	eager.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	watch.Wait()
	r.say("eager clients: %d of %d requests answered; sound clients: %d of %d answered; peak of anonymous memory %d MiB of 192",
		answered.Load(), eagerClients*eagerRequests, sound.answered.Load(), sound.sent.Load(), peak.Load()>>20)
	if killed.Load() {
		return broken, nil
	}
	if _, err := anonymousMemory(s.Pid()); err != nil {
		r.say("the forwarder has exited by itself")
		return broken, nil
	}
	return held, nil
}

// eagerClient sends its requests, all at once with trouble and otherwise one at a time, and returns how many answers came.
func (r *run) eagerClient(address string, number int) (answers int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		r.note("eager client %d: %v", number, err)
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(eagerPatience))
	text := func(k int) []byte {
		return request(fmt.Sprintf("eager-%d-%d", number, k), "safe", 1+k%destinations, 6000, eagerBodyBytes)
	}
	if r.trouble {
		go func() {
			out := bufio.NewWriterSize(conn, eagerPiece)
			for k := range eagerRequests {
				_, _ = out.Write(text(k)) // the reads of the answers report an error
			}
			_ = out.Flush()
		}()
	}
	reader := bufio.NewReader(conn)
	for k := range eagerRequests {
		if !r.trouble {
			if _, err := conn.Write(text(k)); err != nil {
				r.note("eager client %d: request %d: %v", number, k, err)
				return answers
			}
		}
		status, closes, err := readAnswer(reader)
		if err != nil {
			r.note("eager client %d: answer %d: %v", number, k, err)
			return answers
		}
		if answers++; closes {
			r.note("eager client %d: closed after answer %d, %d", number, k, status)
			return answers
		}
	}
	return answers
}

// soundCounts counts the requests of sound clients.
type soundCounts struct{ sent, answered atomic.Int64 }

// soundClients starts clients that send one request at a time until stop is closed.
func (r *run) soundClients(address string, stop <-chan struct{}, group *sync.WaitGroup) *soundCounts {
	counts := &soundCounts{}
	for i := range 4 {
		group.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				id := fmt.Sprintf("sound-%d-%d", i, k)
				counts.sent.Add(1)
				conn, err := net.Dial("tcp", address)
				if err != nil {
					r.note("sound client: %s: %v", id, err)
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
				_, _ = conn.Write(request(id, []string{"safe", "unsafe"}[k%2], 1+k%destinations, 6000, 200))
				status, _, err := readAnswer(bufio.NewReader(conn))
				if err == nil {
					counts.answered.Add(1)
				}
				r.note("sound client: %s: %d %v", id, status, err)
				_ = conn.Close()
			}
		})
	}
	return counts
}

// readAnswer reads one answer with its body.
func readAnswer(reader *bufio.Reader) (status int, closes bool, err error) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Close, errors.Join(err, answer.Body.Close())
}

// anonymousMemory returns a process's resident anonymous memory in bytes.
func anonymousMemory(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10, err
		}
	}
	return 0, errors.New("no RssAnon: the process has ended")
}

// The figures of pipeline-crowd: so many clients stay connected and idle, and the others send batches of requests at once.
const (
	idleClients  = 200
	batchClients = 6
	batchSize    = 8
	batchPause   = 300 * time.Millisecond
	batchRounds  = 20
)

// pipelineCrowd checks that each request that was sent in a batch, and that the forwarder has read, gets its answer while
// many other clients are connected.
func pipelineCrowd(r *run) (int, error) {
	s, err := r.openSite()
	if err != nil {
		return notRun, err
	}
	defer s.close()
	stop := make(chan struct{})
	var idle, batches sync.WaitGroup
	if r.trouble {
		r.note("%d clients connect and stay idle", idleClients)
		for range idleClients {
			idle.Go(func() { idleClient(s.Address(), stop) })
		}
	}
	time.Sleep(time.Second)
	var unanswered, written atomic.Int64
	for i := range batchClients {
		batches.Go(func() {
			var conn net.Conn
			for round := range batchRounds {
				if conn == nil {
					if conn, err = net.Dial("tcp", s.Address()); err != nil {
						r.note("client %d: %v", i, err)
						return
					}
				}
				written.Add(batchSize)
				missing, closed := r.sendBatch(conn, i, round)
				unanswered.Add(int64(missing))
				if closed {
					_ = conn.Close()
					conn = nil
				}
				time.Sleep(batchPause)
			}
		})
	}
	batches.Wait()
	close(stop)
	idle.Wait()
	r.say("%d requests were written whole, %d of them were read and got no answer", written.Load(), unanswered.Load())
	if unanswered.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// sendBatch writes a batch in one piece and reads the answers. It returns how many requests got none although the
// connection ended in order: a close over bytes that were not read would have reset it.
func (r *run) sendBatch(conn net.Conn, client, round int) (missing int, closed bool) {
	var text []byte
	for k := range batchSize {
		text = append(text, request(fmt.Sprintf("batch-%d-%d-%d", client, round, k), "safe", 1+k%destinations, 6000, 20)...)
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write(text); err != nil {
		r.note("client %d: batch %d not written: %v", client, round, err)
		return 0, true
	}
	reader := bufio.NewReader(conn)
	for k := range batchSize {
		status, closes, err := readAnswer(reader)
		r.note("client %d: batch %d: request %d: status %d, close %v, error %v", client, round, k, status, closes, err)
		closed = closed || closes
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return batchSize - k, true
		case err != nil: // reset, so the requests may not have been read
			return 0, true
		}
	}
	return 0, closed
}

// idleClient stays connected and connects again whenever the forwarder has closed its connection.
func idleClient(address string, stop <-chan struct{}) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn)
		}()
		select {
		case <-ended:
			_ = conn.Close()
		case <-stop:
			_ = conn.Close()
			<-ended
			return
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-stop:
			return
		}
	}
}
