package transport

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"mulleinbeam/internal/protocol"
)

// busyConn is a connection on which input is always there, up to a number of bytes.
type busyConn struct {
	net.Conn
	text []byte // is repeated
	left int
	next int // offset in text
}

func (c *busyConn) Read(b []byte) (int, error) {
	if c.left == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), c.left)], c.text[c.next:])
	c.next = (c.next + n) % len(c.text)
	c.left -= n
	return n, nil
}

func (c *busyConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *busyConn) Close() error                     { return nil }
func (c *busyConn) SetReadDeadline(time.Time) error  { return nil }
func (c *busyConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against other clients' answers that wait for connections on which more has arrived than can be handled at once: such
// a connection kept the processor for the scheduler's whole time slice.
func TestBusyConnectionsShareTheProcessor(t *testing.T) {
	const bytesInAll = 8 << 20
	for name, body := range map[string]int{"small requests": 200, "large requests": 60_000} {
		t.Run(name, func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			text := fmt.Appendf(nil, "GET /healthz HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", body, bytes.Repeat([]byte("b"), body))
			s := &Clients{Handler: hookHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
			c := &clientConn{retryConn: retryConn{&busyConn{text: text, left: bytesInAll / len(text) * len(text)}}}
			s.admit(c)
			turns := turnsDuring(func() { s.serveFrom(c, protocol.NewRequestParser(protocol.MaxBodyBytes)) })
			if want := bytesInAll / shareBytes / 2; turns < want {
				t.Errorf("the processor was free %d times, want %d", turns, want)
			}
		})
	}
}

// Guards against the same while what still comes behind an error is dropped.
func TestDrainedConnectionsShareTheProcessor(t *testing.T) {
	const bytesInAll = 32 << 20
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := &Clients{Handler: hookHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
	c := &clientConn{retryConn: retryConn{&busyConn{text: []byte("GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"), left: bytesInAll}}}
	s.admit(c)
	if turns := turnsDuring(func() { s.serveFrom(c, protocol.NewRequestParser(protocol.MaxBodyBytes)) }); turns < bytesInAll/drainStepBytes/2 {
		t.Errorf("the processor was free %d times, want %d", turns, bytesInAll/drainStepBytes/2)
	}
}

// turnsDuring returns how often the caller gets the only processor while another goroutine runs do.
func turnsDuring(do func()) (turns int) {
	var ended atomic.Bool
	go func() {
		defer ended.Store(true)
		do()
	}()
	for !ended.Load() {
		turns++
		runtime.Gosched()
	}
	return turns
}
