package lab

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Burst is a load of clients that send many requests on a connection without waiting for the answers.
type Burst struct {
	Clients     int
	Requests    int           // for each client
	BodyBytes   int           // of each message
	ChunkBytes  int           // bytes of content in each chunk of a body; 0 sends it with its length
	OneByOne    bool          // each client waits for an answer before it sends its next request
	Stall       bool          // the last byte of each client's last request is not sent
	ReadAtEnd   bool          // answers are not read until all requests are written, or can't be
	HealthEvery int           // every so many requests one asks for the health instead, whose answer shows the order; 0 for none
	Timeout     time.Duration // a client ends after this time
	Destination int
}

// BurstResult says what the clients of a burst saw.
type BurstResult struct {
	Sent, Answered int64 // requests of all clients, and their answers
	OutOfOrder     int64 // answers that belong to another request of their connection
	Unexpected     int64 // answers that neither accept nor refuse a message
}

// burstPieceBytes is how much a client writes at once.
const burstPieceBytes = 1 << 20

var errClosedByServer = errors.New("lab: the connection is closed after this answer")

// Run plays the burst and returns once all clients have ended.
func (b Burst) Run(address string) BurstResult {
	var sent, answered, outOfOrder, unexpected atomic.Int64
	var group sync.WaitGroup
	for client := range b.Clients {
		group.Go(func() {
			result := b.runClient(address, client)
			sent.Add(result.Sent)
			answered.Add(result.Answered)
			outOfOrder.Add(result.OutOfOrder)
			unexpected.Add(result.Unexpected)
		})
	}
	group.Wait()
	return BurstResult{sent.Load(), answered.Load(), outOfOrder.Load(), unexpected.Load()}
}

// runClient plays one client.
func (b Burst) runClient(address string, client int) (result BurstResult) {
	result.Sent = int64(b.Requests)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return result
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(b.Timeout))
	body := b.body()
	written := make(chan struct{})
	if b.OneByOne {
		close(written)
	} else {
		go func() {
			defer close(written)
			out := bufio.NewWriterSize(conn, burstPieceBytes)
			for number := range b.Requests {
				text := b.request(client, number, body)
				if b.Stall && number == b.Requests-1 {
					text = text[:len(text)-1]
				}
				if _, err := out.Write(text); err != nil {
					return // reading the answers reports it
				}
			}
			_ = out.Flush()
		}()
		defer func() { <-written }()
		defer conn.Close()
	}
	if b.ReadAtEnd {
		<-written
	}
	reader := bufio.NewReader(conn)
	for number := range b.Requests {
		if b.OneByOne {
			if _, err := conn.Write(b.request(client, number, body)); err != nil {
				return result
			}
		}
		status, err := readStatus(reader)
		if err != nil && !errors.Is(err, errClosedByServer) {
			return result
		}
		result.Answered++
		switch {
		case b.asksForHealth(number) != (status == http.StatusOK):
			result.OutOfOrder++
		case status != http.StatusOK && status != http.StatusAccepted && status != http.StatusServiceUnavailable:
			result.Unexpected++
		}
		if err != nil {
			return result
		}
	}
	return result
}

// readStatus reads an answer and returns its status, with errClosedByServer if no other answer follows.
func readStatus(reader *bufio.Reader) (int, error) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, err
	}
	if answer.Close {
		return answer.StatusCode, errClosedByServer
	}
	return answer.StatusCode, answer.Body.Close()
}

func (b Burst) asksForHealth(number int) bool {
	return b.HealthEvery > 0 && number%b.HealthEvery == b.HealthEvery-1
}

// request returns the text of a client's request.
func (b Burst) request(client, number int, body []byte) []byte {
	if b.asksForHealth(number) {
		return []byte("GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	}
	message := Handover{
		ID: fmt.Sprintf("burst-%d-%d", client, number), Class: "safe", Destination: b.Destination, Left: 6 * time.Second,
		Body: Content{Size: int64(b.BodyBytes)}, Chunked: b.ChunkBytes > 0,
	}
	return append([]byte(message.Head()), body...)
}

// body returns the text of a message's body, in its framing.
func (b Burst) body() []byte {
	content := bytes.Repeat([]byte("b"), b.BodyBytes)
	if b.ChunkBytes == 0 {
		return content
	}
	var framed bytes.Buffer
	for len(content) > 0 {
		n := min(b.ChunkBytes, len(content))
		fmt.Fprintf(&framed, "%x\r\n%s\r\n", n, content[:n])
		content = content[n:]
	}
	framed.WriteString("0\r\n\r\n")
	return framed.Bytes()
}

// SteadyClients are clients beside a load that send one request at a time, each on a connection of its own.
type SteadyClients struct {
	Address  string
	Pause    time.Duration // between two requests of a client
	Timeout  time.Duration // for an answer
	Sent     atomic.Int64
	Answered atomic.Int64

	mu      sync.Mutex
	slowest time.Duration // of the answers in time
}

// Slowest returns the longest time of an answer that came in time.
func (s *SteadyClients) Slowest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowest
}

// Run runs the clients until stop is closed.
func (s *SteadyClients) Run(clients int, stop <-chan struct{}) {
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(s.Pause):
				}
				s.Sent.Add(1)
				burst := Burst{Clients: 1, Requests: 1, BodyBytes: 200, Timeout: s.Timeout, Destination: 7}
				request := burst.request(-1-client, number, burst.body())
				began := time.Now()
				if s.answered(request) {
					s.Answered.Add(1)
					s.mu.Lock()
					s.slowest = max(s.slowest, time.Since(began))
					s.mu.Unlock()
				}
			}
		})
	}
	group.Wait()
}

// answered sends a request on a connection of its own and reports whether it was answered in time.
func (s *SteadyClients) answered(request []byte) bool {
	conn, err := net.DialTimeout("tcp", s.Address, s.Timeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(s.Timeout))
	if _, err := conn.Write(request); err != nil {
		return false
	}
	_, err = readStatus(bufio.NewReader(conn))
	return err == nil || errors.Is(err, errClosedByServer)
}
