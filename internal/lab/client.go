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

// Handover describes a message and the way in which a simulated client submits it.
type Handover struct {
	ID, Key, Class string
	Destination    int
	Left           time.Duration // time until the deadline, sent as X-Timeout-Ms
	Body           Content
	Chunked        bool
	Trailer        string // a trailer line after a chunked body
	Expect         bool   // sends Expect: 100-continue and waits for the 100 before the body
	Rate           int64  // rate limit in bytes per second of the body sent and of the answer read; 0 is no limit
	CutAfter       int64  // bytes of the body after which the connection is closed; 0 for never
	HalfClose      bool   // closes the sending side after the body or after CutAfter bytes of it, and still reads
	StallAfter     int64  // bytes of the body after which sending pauses until Resume is closed; 0 for never
	Resume         <-chan struct{}
}

// Answer is the response that a client received.
type Answer struct {
	Status    int // 0 if there was no readable response
	Header    http.Header
	Trailer   http.Header
	Bytes     int64 // bytes of its body
	Digest    uint64
	Whole     bool  // the body had a defined end and was read up to it
	Close     bool  // the connection is closed after it
	Sent      int64 // bytes of the message's body that were written
	Continued bool  // 100 Continue came first
	Silent    bool  // the connection ended before the first byte of an answer
	Err       error
}

// MayHaveRun reports whether an answer other than a delivery states that the message may have run.
func (a Answer) MayHaveRun() bool { return a.Header.Get("X-May-Have-Run") == "1" }

// Client is a connection of a simulated client.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// Dial connects a client to an address.
func Dial(address string) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReaderSize(conn, 64<<10)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.Conn.Close() }

// Head returns the request head that submits the message.
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

// Hand submits a message and reads its answer, which may arrive before the whole body is sent. The answer's body is
// also written to sink, unless that is nil.
func (c *Client) Hand(h Handover, sink io.Writer) Answer {
	var a Answer
	if _, err := io.WriteString(c.Conn, h.Head()); err != nil {
		a.Err = err
		return a
	}
	if h.Expect {
		res, err := http.ReadResponse(c.reader, nil)
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
	_, peekErr := c.reader.Peek(1)
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.Err, a.Silent = err, peekErr != nil
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

// sendBody writes a message's body or the part of it that is to be sent, and returns the number of bytes written. An
// answer during a pause ends the sending.
func (c *Client) sendBody(h Handover, answered <-chan struct{}) (sent int64) {
	var body io.Reader = &RateLimitedReader{R: h.Body.Reader(), Rate: h.Rate}
	if h.CutAfter > 0 {
		body = io.LimitReader(body, h.CutAfter)
	}
	buf := make([]byte, 256<<10)
	for resumed := h.StallAfter == 0; ; {
		if !resumed && sent >= h.StallAfter {
			select {
			case <-h.Resume:
				resumed = true
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
			written, writeErr := c.Conn.Write(buf[:n])
			if sent += int64(written); writeErr != nil {
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
	_, a.Err = io.CopyBuffer(onlyWriter{w}, &RateLimitedReader{R: res.Body, Rate: h.Rate}, make([]byte, 64<<10))
	a.Whole = a.Err == nil && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
	a.Bytes, a.Digest, a.Trailer = tally.Bytes, tally.Digest(), res.Trailer
	return a
}

// onlyWriter hides all methods but Write, so that io.CopyBuffer uses its buffer.
type onlyWriter struct{ io.Writer }
