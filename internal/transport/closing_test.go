package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"mulleinbeam/internal/protocol"
)

// Events that coincide with the end of a client connection. The tests force their order with a handler that acts
// while a request is being handled, and with a connection whose deadline expires on command.

// hookHandler accepts every message after calling onAccept.
type hookHandler struct{ onAccept func() }

func (d hookHandler) Accept(protocol.Submission) (*protocol.Refusal, func()) {
	if d.onAccept != nil {
		d.onAccept()
	}
	return nil, nil
}

func (hookHandler) Stream(protocol.Submission, *Upload) (*protocol.Refusal, <-chan StreamEnd) {
	return &protocol.Refusal{Status: 503, Close: true}, nil
}

// submitRequest returns a request that submits a message, with additional header lines.
func submitRequest(id, headerLines string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: c\r\nX-Timeout-Ms: 9000\r\n" +
		"X-Addressing: dest=1\r\nContent-Length: 0\r\n" + headerLines + "\r\n"
}

// expectLastAnswer reads one answer, which has to be a 202 with Connection: close, and then the end of the stream,
// which must not be a reset.
func expectLastAnswer(t *testing.T, client net.Conn) {
	t.Helper()
	r := bufio.NewReader(client)
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != 202 || !res.Close {
		t.Errorf("answered %s, close: %v", res.Status, res.Close)
	}
	if n, err := io.Copy(io.Discard, r); n != 0 || err != nil {
		t.Errorf("after the last answer: %d bytes, %v", n, err)
	}
}

// A connection that closes after its answer closes gracefully whatever the client still sends: closing it with unread
// input would reset it, and the client could lose the 202. This holds where the client asks for the close, where the
// forwarder is stopped while it answers the request, and where there are too many connections.
func TestLastAnswerSurvivesUnreadInput(t *testing.T) {
	for name, c := range map[string]struct {
		most  int
		lines string
		stops bool
	}{
		"requested": {100, "Connection: close\r\n", false},
		"shutdown":  {100, "", true},
		"crowded":   {1, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			shutdown, stop := context.WithCancel(t.Context())
			s := &Clients{MaxConnections: c.most}
			s.Handler = hookHandler{func() {
				if c.stops {
					stop()
					for shuttingDown := false; !shuttingDown; { // shutDown runs in its own goroutine
						s.mu.Lock()
						shuttingDown = s.shuttingDown
						s.mu.Unlock()
					}
				}
			}}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, end := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() { served <- s.Serve(ctx, shutdown, l) }()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(client, submitRequest("a", c.lines)+strings.Repeat("x", 200<<10)); err != nil {
				t.Fatal(err)
			}
			expectLastAnswer(t, client)
			client.Close()
			stop()
			end()
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}

// timedOutConn is a connection whose first read times out, on command, whatever has arrived by then.
type timedOutConn struct {
	*net.TCPConn
	expired chan struct{}
}

func (c *timedOutConn) Read(b []byte) (int, error) {
	if c.expired != nil {
		<-c.expired
		c.expired = nil
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

// A request that has arrived when its connection's deadline expires is answered as the last one, whether the deadline
// is that of an idle connection, an eviction or the shutdown.
func TestRequestAtDeadlineIsAnswered(t *testing.T) {
	for name, expire := range map[string]func(*Clients, *clientConn){
		"read deadline":           func(*Clients, *clientConn) {},
		"eviction":                func(s *Clients, _ *clientConn) { s.mu.Lock(); s.evict(stateNew, 0); s.mu.Unlock() },
		"shutdown":                func(s *Clients, _ *clientConn) { s.shutDown() },
		"eviction, then shutdown": func(s *Clients, _ *clientConn) { s.mu.Lock(); s.evict(stateNew, 0); s.mu.Unlock(); s.shutDown() },
	} {
		t.Run(name, func(t *testing.T) {
			client, conn := connPair(t)
			gate := &timedOutConn{conn.(*net.TCPConn), make(chan struct{})}
			s := &Clients{Handler: hookHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
			c := &clientConn{retryConn: retryConn{gate}}
			s.admit(c)
			served := make(chan struct{})
			expired := gate.expired
			go func() { defer close(served); s.serve(c) }()
			fmt.Fprint(client, submitRequest("a", ""))
			for n := 0; n == 0; { // until the request has arrived
				n, _ = peek(conn)
			}
			expire(s, c)
			close(expired)
			expectLastAnswer(t, client)
			client.Close()
			<-served
			if s.closingConns != 0 || len(s.conns) != 0 {
				t.Errorf("%d connections closing, %d open", s.closingConns, len(s.conns))
			}
		})
	}
}

// Empty lines do not extend a connection's deadline: a client that keeps sending them is closed like one that sends
// nothing.
func TestEmptyLinesDoNotExtendDeadline(t *testing.T) {
	client, conn := connPair(t)
	l := &emptyLineConn{TCPConn: conn.(*net.TCPConn)}
	s := &Clients{Handler: hookHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
	c := &clientConn{retryConn: retryConn{l}}
	s.admit(c)
	served := make(chan struct{})
	go func() { defer close(served); s.serve(c) }()
	fmt.Fprint(client, "\r\n\r\n") // never read: more input is always waiting
	if n, err := io.Copy(io.Discard, client); n != 0 || err != nil {
		t.Errorf("answered %d bytes, %v", n, err)
	}
	client.Close()
	<-served
	if l.timeouts > 3 {
		t.Errorf("its deadline expired %d times", l.timeouts)
	}
}

// emptyLineConn is a connection on which an empty line arrives just before each expiry of the deadline.
type emptyLineConn struct {
	*net.TCPConn
	reads, timeouts int
}

func (l *emptyLineConn) Read(b []byte) (int, error) {
	if l.reads++; l.reads%2 == 0 {
		return copy(b, "\r\n"), nil
	}
	if l.timeouts++; l.timeouts > 100 {
		return 0, io.EOF
	}
	return 0, os.ErrDeadlineExceeded
}
