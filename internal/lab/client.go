package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Handover is a message as a client of the laboratory hands it in.
type Handover struct {
	ID, Key, Class string
	Destination    int
	Left           time.Duration
	Body           Content
	Chunked        bool
	Trailer        string // a line behind a chunked body
	Expect         bool   // waits for 100 before the body
	Rate           int64  // bytes a second that are sent, and that are read of the answer; 0 is no bound
	CutAfter       int64  // bytes of the body after which the connection is closed; 0 is never
	HalfClose      bool   // ends its sending behind the body, or behind CutAfter bytes of it, and still reads
	StallAfter     int64  // bytes of the body after which it sends nothing until Resume is closed; 0 is never
	Resume         <-chan struct{}
}

// Answer is what a client heard.
type Answer struct {
	Status    int // 0: nothing that can be read
	Header    http.Header
	Trailer   http.Header
	Bytes     int64 // of its body
	Digest    uint64
	Whole     bool  // the body's end was told and reached
	Close     bool  // the connection ends
	Sent      int64 // bytes of the message's body that were written
	Continued bool  // 100 came first
	Silent    bool  // the connection ended before the first byte of an answer
	Err       error
}

// MayHaveRun says what an answer that is no delivery says of the message.
func (a Answer) MayHaveRun() bool { return a.Header.Get("X-May-Have-Run") == "1" }

// Client is one connection of a client.
type Client struct {
	Conn net.Conn
	r    *bufio.Reader
}

// Dial connects a client.
func Dial(address string) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, r: bufio.NewReaderSize(conn, 64<<10)}, nil
}

// Close ends the connection.
func (c *Client) Close() { _ = c.Conn.Close() }

// Head is the head that hands a message in.
func (h Handover) Head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n"+
		"X-Addressing: dest=%d\r\n", h.ID, h.Class, h.Left.Milliseconds(), h.Destination)
	if h.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", h.Key)
	}
	if h.Expect {
		b.WriteString("Expect: 100-continue\r\n")
	}
	if h.Chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", h.Body.Size)
	}
	return b.String()
}

// Hand hands a message in and reads its answer, which may come before the body is sent whole. What the answer's body
// says goes to sink as well, unless that is nil.
func (c *Client) Hand(h Handover, sink io.Writer) Answer {
	var a Answer
	if _, err := io.WriteString(c.Conn, h.Head()); err != nil {
		a.Err = err
		return a
	}
	if h.Expect {
		res, err := http.ReadResponse(c.r, nil)
		if err != nil {
			a.Err = err
			return a
		}
		if res.StatusCode != http.StatusContinue {
			return c.read(res, h, sink)
		}
		a.Continued = true
	}
	sent, answered := make(chan int64, 1), make(chan struct{})
	go func() { sent <- c.sendBody(h, answered) }()
	if h.CutAfter > 0 && !h.HalfClose {
		a.Sent = <-sent
		c.Close()
		return a
	}
	_, silence := c.r.Peek(1)
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		a.Err, a.Silent = err, silence != nil
		close(answered)
		c.Close()
		a.Sent = <-sent
		return a
	}
	continued := a.Continued
	a = c.read(res, h, sink)
	a.Continued = continued
	close(answered)
	if a.Close {
		c.Close()
	}
	a.Sent = <-sent
	return a
}

// sendBody writes a message's body, or the part of it that is sent; an answer ends a stall.
func (c *Client) sendBody(h Handover, answered <-chan struct{}) (sent int64) {
	var body io.Reader = &Pace{R: h.Body.Reader(), Rate: h.Rate}
	if h.CutAfter > 0 {
		body = io.LimitReader(body, h.CutAfter)
	}
	buf := make([]byte, 256<<10)
	for stalled := h.StallAfter == 0; ; {
		if !stalled && sent >= h.StallAfter {
			select {
			case <-h.Resume:
				stalled = true
			case <-answered:
				return sent
			}
		}
		n, err := body.Read(buf)
		if n > 0 {
			if h.Chunked {
				if _, err := fmt.Fprintf(c.Conn, "%x\r\n", n); err != nil {
					return sent
				}
			}
			m, werr := c.Conn.Write(buf[:n])
			if sent += int64(m); werr != nil {
				return sent
			}
			if h.Chunked {
				if _, err := io.WriteString(c.Conn, "\r\n"); err != nil {
					return sent
				}
			}
		}
		if err != nil {
			break
		}
	}
	if h.Chunked && h.CutAfter == 0 {
		_, _ = io.WriteString(c.Conn, "0\r\n"+h.Trailer+"\r\n")
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && h.HalfClose {
		_ = tcp.CloseWrite()
	}
	return sent
}

// read reads an answer's body to its end.
func (c *Client) read(res *http.Response, h Handover, sink io.Writer) Answer {
	a := Answer{Status: res.StatusCode, Header: res.Header, Close: res.Close}
	tally := &Tally{}
	var w io.Writer = tally
	if sink != nil {
		w = io.MultiWriter(tally, sink)
	}
	_, a.Err = io.CopyBuffer(onlyWriter{w}, &Pace{R: res.Body, Rate: h.Rate}, make([]byte, 64<<10))
	a.Whole = a.Err == nil && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
	a.Bytes, a.Digest, a.Trailer = tally.Bytes, tally.Digest(), res.Trailer
	return a
}

type onlyWriter struct{ io.Writer }
