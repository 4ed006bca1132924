package lab

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Burst is a load of clients that send many requests on a connection without waiting for the answers.
type Burst struct {
	Clients     int
	Requests    int           // for each client
	BodyBytes   int           // of each message
	HeadBytes   int           // of an additional header field; 0 for none
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
	Reconnects     int64 // connections closed behind an answer, with requests left
}

// add adds another client's result.
func (r *BurstResult) add(other BurstResult) {
	r.Sent += other.Sent
	r.Answered += other.Answered
	r.OutOfOrder += other.OutOfOrder
	r.Unexpected += other.Unexpected
	r.Reconnects += other.Reconnects
}

// burstPieceBytes is how much a client writes at once.
const burstPieceBytes = 1 << 20

var errClosedByServer = errors.New("lab: the connection is closed after this answer")

// Run plays the burst and returns once all clients have ended.
func (b Burst) Run(address string) (total BurstResult) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for number := range b.Clients {
		group.Go(func() {
			client := &burstClient{Burst: b, address: address, number: number, body: b.body(), deadline: time.Now().Add(b.Timeout)}
			client.run()
			mu.Lock()
			defer mu.Unlock()
			total.add(client.result)
		})
	}
	group.Wait()
	return total
}

// burstClient is one client of a burst.
type burstClient struct {
	Burst
	address  string
	number   int
	body     []byte
	deadline time.Time
	result   BurstResult
}

// run sends the requests, on another connection where one is closed behind an answer.
func (c *burstClient) run() {
	c.result.Sent = int64(c.Requests)
	for next := 0; next < c.Requests; {
		answered := c.runConnection(next)
		next += answered
		if answered == 0 {
			return
		}
		if next < c.Requests {
			c.result.Reconnects++
		}
	}
}

// runConnection sends the requests from first on, on one connection, and returns how many were answered.
func (c *burstClient) runConnection(first int) (answered int) {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(c.deadline)
	written := make(chan struct{})
	if c.OneByOne {
		close(written)
	} else {
		go func() {
			defer close(written)
			c.writeAll(conn, first)
		}()
		defer func() { <-written }()
		defer conn.Close()
	}
	if c.ReadAtEnd {
		<-written
	}
	reader := bufio.NewReader(conn)
	for number := first; number < c.Requests; number++ {
		if c.OneByOne {
			if _, err := conn.Write(c.request(c.number, number, c.body)); err != nil {
				return answered
			}
		}
		status, err := readStatus(reader)
		if err != nil && !errors.Is(err, errClosedByServer) {
			return answered
		}
		answered++
		c.count(number, status)
		if err != nil {
			return answered
		}
	}
	return answered
}

// writeAll writes the requests from first on.
func (c *burstClient) writeAll(conn net.Conn, first int) {
	out := bufio.NewWriterSize(conn, burstPieceBytes)
	for number := first; number < c.Requests; number++ {
		text := c.request(c.number, number, c.body)
		if c.Stall && number == c.Requests-1 {
			text = text[:len(text)-1]
		}
		if _, err := out.Write(text); err != nil {
			return // reading the answers reports it
		}
	}
	_ = out.Flush()
}

// count counts the answer to a request.
func (c *burstClient) count(number, status int) {
	c.result.Answered++
	switch {
	case c.asksForHealth(number) != (status == http.StatusOK):
		c.result.OutOfOrder++
	case status != http.StatusOK && status != http.StatusAccepted && status != http.StatusServiceUnavailable:
		c.result.Unexpected++
	}
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
	head := message.Head()
	if b.HeadBytes > 0 {
		head = strings.TrimSuffix(head, "\r\n") + "X-Filler: " + strings.Repeat("x", b.HeadBytes) + "\r\n\r\n"
	}
	return append([]byte(head), body...)
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
