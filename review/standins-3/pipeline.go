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

// The figures of case 10: each of these clients sends so many requests at once, then reads the answers and goes.
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
		return request(fmt.Sprintf("eager-%d-%d", number, k), "station-reading", 1+k%destinations, 6000, eagerBodyBytes)
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
				_, _ = conn.Write(request(id, []string{"station-reading", "fee-charge"}[k%2], 1+k%destinations, 6000, 200))
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
