package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Call is one that reached an endpoint, from the last byte of its head on.
type Call struct {
	ID, Key, Timeout string
	Length           int64 // of its body as told; -1: chunked
	Connection       int   // number of the connection that it came on
	Request          *http.Request
	Conn             net.Conn
	tally            Tally
	refused          bool
	whole            bool
	endpoint         *Endpoint
}

// Arrival is what an endpoint has seen of a call.
type Arrival struct {
	Endpoint   string
	ID         string
	Connection int
	Bytes      int64 // of its body
	Digest     uint64
	Whole      bool // the body's end came
	Refused    bool // it was answered that it never ran
}

// Endpoint is an endpoint. Handle is called for each call, in the goroutine of its connection; the connection ends when
// it says so. Without it a call is read whole and answered 200.
type Endpoint struct {
	Name   string
	Group  int
	Status string
	Zone   string  // "" is z
	Weight float64 // calls a second, as it is listed; 0 is 50
	Handle func(*Call) (keep bool)
	// Small bounds what the kernel takes on for a reader that stops: its receive buffer, in bytes; 0 leaves it.
	Small int

	address  string
	mu       sync.Mutex
	listener net.Listener
	number   int // of the latest connection
	arrivals []Arrival
	conns    map[net.Conn]struct{}
	wg       sync.WaitGroup
}

// Listen starts an endpoint on a loopback address of its own.
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

// accept takes connections until the listener is closed.
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

func (p *Endpoint) weight() float64 {
	if p.Weight > 0 {
		return p.Weight
	}
	return 50
}

// Address is where it listens.
func (p *Endpoint) Address() string { return p.address }

// As is the same machine under another name and status, in another zone, to be listed; it does not listen by itself.
func (p *Endpoint) As(name, zone, status string) *Endpoint {
	return &Endpoint{Name: name, Zone: zone, Status: status, Group: p.Group, Weight: p.Weight, address: p.address}
}

// Down ends the endpoint as a dead process would: its connections end and new ones are refused, until Up.
func (p *Endpoint) Down() {
	p.mu.Lock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
}

// Up listens at its address again.
func (p *Endpoint) Up() error {
	l, err := net.Listen("tcp", p.address)
	if err == nil {
		p.accept(l)
	}
	return err
}

// Close ends it with all its connections.
func (p *Endpoint) Close() {
	p.Down()
	p.wg.Wait()
}

// Arrivals are the calls that have ended so far.
func (p *Endpoint) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrivals...)
}

func (p *Endpoint) serve(conn net.Conn, number int) {
	defer conn.Close()
	r := bufio.NewReaderSize(conn, 64<<10)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		c := &Call{
			ID: req.Header.Get("X-Request-ID"), Key: req.Header.Get("Idempotency-Key"), Timeout: req.Header.Get("X-Timeout-Ms"),
			Length: req.ContentLength, Connection: number, Request: req, Conn: conn, endpoint: p,
		}
		handle := p.Handle
		if handle == nil {
			handle = func(c *Call) bool { return c.ReadAll(0) == nil && c.Answer(200, "") == nil }
		}
		keep := handle(c)
		p.mu.Lock()
		p.arrivals = append(p.arrivals, Arrival{
			Endpoint: p.Name, ID: c.ID, Connection: number, Bytes: c.tally.Bytes, Digest: c.tally.Digest(), Whole: c.whole,
			Refused: c.refused,
		})
		p.mu.Unlock()
		if !keep {
			return
		}
	}
}

// Read reads n bytes of the call's body, or up to its end.
func (c *Call) Read(n int64) error {
	_, err := io.CopyN(&c.tally, c.Request.Body, n)
	return c.ended(err)
}

// ReadAll reads the rest of the call's body, so many bytes a second; 0 is no bound. An error says that it ended before
// it was whole.
func (c *Call) ReadAll(rate int64) error {
	_, err := io.CopyBuffer(onlyWriter{&c.tally}, &Pace{R: c.Request.Body, Rate: rate}, make([]byte, 256<<10))
	if err == nil {
		c.whole = true
	}
	return err
}

func (c *Call) ended(err error) error {
	if errors.Is(err, io.EOF) {
		c.whole = true
		return nil
	}
	return err
}

// Digest is the hash of what was read of the body.
func (c *Call) Digest() uint64 { return c.tally.Digest() }

// Bytes is how much of the body was read.
func (c *Call) Bytes() int64 { return c.tally.Bytes }

// Answer answers without a body; fields are further lines of the head, each with its line end.
func (c *Call) Answer(status int, fields string) error {
	c.refused = status == 429 || status == 503
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), fields)
	return err
}

// AnswerWith answers 200 with a body; length says how its end is told: by its length, in chunks, or by the connection's
// end.
func (c *Call) AnswerWith(body Content, how string) error {
	w := bufio.NewWriterSize(c.Conn, 256<<10)
	r := body.Reader()
	switch how {
	case "length":
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/x-lab\r\nContent-Length: %d\r\n\r\n", body.Size)
		_, _ = io.Copy(w, r)
	case "chunked":
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n")
		for buf := make([]byte, 40<<10); ; {
			n, err := r.Read(buf)
			if n > 0 {
				fmt.Fprintf(w, "%X;e=\"q\"\r\n%s\r\n", n, buf[:n])
			}
			if err != nil {
				break
			}
		}
		fmt.Fprintf(w, "0\r\nX-Sum: %x\r\n\r\n", body.Digest())
	case "end":
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = io.Copy(w, r)
	}
	return w.Flush()
}

// Raw writes bytes as they are.
func (c *Call) Raw(text string) error {
	_, err := io.WriteString(c.Conn, text)
	return err
}
