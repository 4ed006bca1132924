package transport

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/protocol"
)

// cancelCounter is a handler that counts the messages that it accepts and those that are cancelled. The first acceptance waits for
// proceed.
type cancelCounter struct {
	arrived, proceed chan struct{}

	mu                  sync.Mutex
	accepted, cancelled int
}

func (h *cancelCounter) Accept(protocol.Submission) (*protocol.Refusal, func()) {
	h.mu.Lock()
	h.accepted++
	first := h.accepted == 1
	h.mu.Unlock()
	if first {
		h.arrived <- struct{}{}
		<-h.proceed
	}
	return nil, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.cancelled++
	}
}

func (*cancelCounter) Stream(protocol.Submission, *Upload) (*protocol.Refusal, <-chan StreamEnd) {
	return &protocol.Refusal{Status: 503, Close: true}, nil
}

// awaitPeerLeft waits until the server's end of the only connection has seen that the client left.
func awaitPeerLeft(s *Clients) {
	for left := false; !left; {
		s.mu.Lock()
		for c := range s.conns {
			left = tcpStateOf(c.Conn) != tcpEstablished
		}
		s.mu.Unlock()
	}
}

// awaitNoneOpen waits until all connections have ended.
func awaitNoneOpen(s *Clients) {
	for s.Counters().Open > 0 {
	}
}

// playDeparture sends requests at once on one connection, lets the client leave while the first is being accepted, and returns the
// handler once the connection has ended.
func playDeparture(t *testing.T, requests int, leave func(*net.TCPConn) error) *cancelCounter {
	t.Helper()
	h := &cancelCounter{arrived: make(chan struct{}, 1), proceed: make(chan struct{})}
	s := &Clients{Handler: h, MaxConnections: 16}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ctx, ctx, listener) })
	client := dialTCP(t, listener)
	defer client.Close()
	if _, err := client.Write([]byte(strings.Repeat(submitRequest("a", ""), requests))); err != nil {
		t.Fatal(err)
	}
	<-h.arrived
	if err := leave(client.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	awaitPeerLeft(s)
	close(h.proceed)
	awaitNoneOpen(s)
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	return h
}

// Guards against requests that are accepted although their client has left, and messages that stay accepted although it could not
// be told: many requests had arrived at once when it closed or reset its connection (report cf1004, picture c).
func TestRequestsOfAClientThatHasLeft(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"close": (*net.TCPConn).Close,
		"reset": func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			h := playDeparture(t, 60, leave)
			if h.accepted != 1 || h.cancelled != 1 {
				t.Errorf("%d messages were accepted and %d of them cancelled, want 1 and 1", h.accepted, h.cancelled)
			}
		})
	}
}

// A client that has only shut down its sending side has all of its requests answered.
func TestHalfClosedClientHasAllAnswers(t *testing.T) {
	const requests = 20
	h := playDeparture(t, requests, (*net.TCPConn).CloseWrite)
	if h.accepted != requests || h.cancelled != 0 {
		t.Errorf("%d messages were accepted and %d of them cancelled, want %d and 0", h.accepted, h.cancelled, requests)
	}
}
