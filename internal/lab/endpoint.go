package lab

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Call is a call that an endpoint received, once its head is complete.
type Call struct {
	ID, Key, Timeout string
	Length           int64 // length of its body as declared; -1 if chunked
	Connection       int   // number of its connection
	Request          *http.Request
	Conn             net.Conn
	tally            Tally
	refused          bool
	whole            bool
	endpoint         *Endpoint
	arrival          int // index of its record, or unrecorded
}

// unrecorded is the index of a call without a record.
const unrecorded = -1

// Arrival is the record of a call that an endpoint received.
type Arrival struct {
	Endpoint   string
	ID         string
	Connection int
	Bytes      int64 // bytes of its body
	Digest     uint64
	Whole      bool // the body was received completely
	Refused    bool // the answer was 429 or 503, which state that it did not run
}

// Endpoint is a simulated endpoint. Handle is called for each call, in the goroutine of its connection; the connection
// is closed unless it returns true. Without Handle, a call is read completely and answered 200.
type Endpoint struct {
	Name   string
	Group  int
	Status string
	Zone   string  // "" for z
	Weight float64 // calls per second, as listed in discovery; 0 for 50
	Handle func(*Call) (keep bool)
	// Small is the size of the receive buffer in bytes, which bounds what the kernel accepts while the endpoint does not
	// read; 0 for the kernel's default.
	Small int
	// Strays, if set, writes bytes that belong to no call behind some of the answers.
	Strays *Strays

	address  string
	mu       sync.Mutex
	listener net.Listener
	number   int // number of the latest connection
	arrivals []Arrival
	conns    map[net.Conn]struct{}
	wg       sync.WaitGroup
}

// Listen starts the endpoint on a loopback address with a free port.
func (p *Endpoint) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if p.Status == "" {
		p.Status = "SERVING"
	}
	p.address, p.conns = l.Addr().String(), map[net.Conn]struct{}{}
	p.accept(l)
	return nil
}

// accept accepts connections in the background until the listener is closed.
func (p *Endpoint) accept(l net.Listener) {
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if p.Small > 0 {
				_ = conn.(*net.TCPConn).SetReadBuffer(p.Small)
			}
			p.mu.Lock()
			p.conns[conn] = struct{}{}
			p.number++
			number := p.number
			p.mu.Unlock()
			p.wg.Add(1)
			go func() {
				defer p.wg.Done()
				p.serve(conn, number)
				p.mu.Lock()
				delete(p.conns, conn)
				p.mu.Unlock()
			}()
		}
	}()
}

// weight returns the weight to list in discovery.
func (p *Endpoint) weight() float64 {
	if p.Weight > 0 {
		return p.Weight
	}
	return 50
}

// Address returns the address on which the endpoint listens.
func (p *Endpoint) Address() string { return p.address }

// As returns an entry for the endpoint list with the same address under another name, zone and status; it does not
// listen itself.
func (p *Endpoint) As(name, zone, status string) *Endpoint {
	return &Endpoint{Name: name, Zone: zone, Status: status, Group: p.Group, Weight: p.Weight, address: p.address}
}

// Down simulates a crash of the endpoint: its connections are closed and new ones are refused until Up.
func (p *Endpoint) Down() {
	p.mu.Lock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
}

// Up listens on the endpoint's address again.
func (p *Endpoint) Up() error {
	l, err := net.Listen("tcp", p.address)
	if err == nil {
		p.accept(l)
	}
	return err
}

// Close stops the endpoint, closes its connections and waits for their goroutines.
func (p *Endpoint) Close() {
	p.Down()
	p.wg.Wait()
}

// Arrivals returns the records of the calls that have ended or begun to be answered.
func (p *Endpoint) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrivals...)
}

// serve handles the calls of one connection.
func (p *Endpoint) serve(conn net.Conn, number int) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 64<<10)
	conn = p.Strays.Wrap(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		c := &Call{
			ID: requestID(req), Key: req.Header.Get("Idempotency-Key"), Timeout: req.Header.Get("X-Timeout-Ms"),
			Length: req.ContentLength, Connection: number, Request: req, Conn: conn, endpoint: p,
			arrival: unrecorded,
		}
		handle := p.Handle
		if handle == nil {
			handle = func(c *Call) bool { return c.ReadAll(0) == nil && c.Answer(200, "") == nil }
		}
		keep := handle(c)
		c.recordArrival()
		if !keep {
			return
		}
	}
}

// requestID returns the id of a call's message. A request without one is no call of a message; its first line tells what
// it is.
func requestID(req *http.Request) string {
	return cmp.Or(req.Header.Get("X-Request-ID"), req.Method+" "+req.URL.String())
}

// recordArrival records what is known of the call. An answer is recorded before it is written: whoever has seen the
// answer finds the call in the records.
func (c *Call) recordArrival() {
	p := c.endpoint
	p.mu.Lock()
	defer p.mu.Unlock()
	arrival := Arrival{
		Endpoint: p.Name, ID: c.ID, Connection: c.Connection, Bytes: c.tally.Bytes, Digest: c.tally.Digest(), Whole: c.whole,
		Refused: c.refused,
	}
	if c.arrival == unrecorded {
		c.arrival = len(p.arrivals)
		p.arrivals = append(p.arrivals, arrival)
		return
	}
	p.arrivals[c.arrival] = arrival
}

// Read reads the next n bytes of the call's body, or up to its end.
func (c *Call) Read(n int64) error {
	_, err := io.CopyN(&c.tally, c.Request.Body, n)
	return c.markEnd(err)
}

// ReadAll reads the rest of the call's body at the given rate in bytes per second; 0 is no limit. It returns an error
// if the body is truncated.
func (c *Call) ReadAll(rate int64) error {
	_, err := io.CopyBuffer(onlyWriter{&c.tally}, &RateLimitedReader{R: c.Request.Body, Rate: rate}, make([]byte, 256<<10))
	if err == nil {
		c.whole = true
	}
	return err
}

// markEnd records the end of the body and returns any other error.
func (c *Call) markEnd(err error) error {
	if errors.Is(err, io.EOF) {
		c.whole = true
		return nil
	}
	return err
}

// Digest returns the hash of the bytes of the body read so far.
func (c *Call) Digest() uint64 { return c.tally.Digest() }

// Bytes returns the number of bytes of the body read so far.
func (c *Call) Bytes() int64 { return c.tally.Bytes }

// Answer sends a response without a body; fields are additional header lines, each with its line end.
func (c *Call) Answer(status int, fields string) error {
	c.refused = status == 429 || status == 503
	c.recordArrival()
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), fields)
	return err
}

// AnswerWith sends a 200 response with a body. Framing is how the body's end is found: "length" for Content-Length,
// "chunked", or "end" for the end of the connection.
func (c *Call) AnswerWith(body Content, framing string) error {
	c.recordArrival()
	writer := bufio.NewWriterSize(c.Conn, 256<<10)
	reader := body.Reader()
	switch framing {
	case "length":
		fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\nContent-Type: text/x-lab\r\nContent-Length: %d\r\n\r\n", body.Size)
		_, _ = io.Copy(writer, reader)
	case "chunked":
		fmt.Fprint(writer, "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n")
		for buf := make([]byte, 40<<10); ; {
			n, err := reader.Read(buf)
			if n > 0 {
				fmt.Fprintf(writer, "%X;e=\"q\"\r\n%s\r\n", n, buf[:n])
			}
			if err != nil {
				break
			}
		}
		fmt.Fprintf(writer, "0\r\nX-Sum: %x\r\n\r\n", body.Digest())
	case "end":
		fmt.Fprint(writer, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = io.Copy(writer, reader)
	}
	return writer.Flush()
}

// Raw writes text to the connection unchanged.
func (c *Call) Raw(text string) error {
	c.recordArrival()
	_, err := io.WriteString(c.Conn, text)
	return err
}
