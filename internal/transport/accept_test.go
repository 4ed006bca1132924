package transport

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/protocol"
)

// failingListener fails with the errors that it is sent, one for each accept, before it accepts again.
type failingListener struct {
	net.Listener
	errors chan error
	failed chan struct{} // one for each accept that begins behind a failed one
	behind bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.behind {
		l.failed <- struct{}{}
	}
	l.behind = false
	select {
	case err := <-l.errors:
		l.behind = true
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	default:
	}
	conn, err := l.Listener.Accept()
	return conn, err
}

// Guards against connections that are closed because an accept has failed: one that rests is in use again a moment later, and one that
// is new is just about to ask. Where descriptors are missing, too, only those give way that have rested for a while.
func TestAFailedAcceptClosesNoConnectionInUse(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EMFILE, syscall.ENFILE} {
		t.Run(errno.Error(), func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &failingListener{Listener: inner, errors: make(chan error, 8), failed: make(chan struct{}, 8)}
			s := &Clients{Handler: actingHandler{}, MaxConnections: 16}
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error { return s.Serve(ctx, ctx, l) })
			resting, fresh := dialTCP(t, inner), dialTCP(t, inner)
			handInAndRead(t, resting, "first")
			awaitOpen(s, 2)
			for range 3 {
				l.errors <- errno
			}
			last := dialTCP(t, inner) // ends the accept that waits; those behind it fail
			for range 3 {
				<-l.failed
			}
			for _, conn := range []net.Conn{resting, fresh, last} {
				handInAndRead(t, conn, "behind the failure")
			}
			if got := s.Counters(); got.AcceptFailed != 3 || got.ClosedIdle+got.Silent != 0 {
				t.Errorf("counters %+v", got)
			}
			cancel()
			for _, conn := range []net.Conn{resting, fresh, last} {
				_ = conn.Close()
			}
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

func dialTCP(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitOpen polls the counters until so many connections are open.
func awaitOpen(s *Clients, n int) {
	for s.Counters().Open < n {
	}
}

// handInAndRead hands a message in and wants it taken on.
func handInAndRead(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	if _, err := conn.Write([]byte(handIn(id, ""))); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != 202 {
		t.Fatalf("answered %v, %v", res, err)
	}
}

// tellingHandler tells how much time messages were handed in with.
type tellingHandler struct {
	actingHandler
	left chan time.Duration
}

func (h tellingHandler) Accept(m protocol.Submission) (*protocol.Refusal, func()) {
	h.left <- m.Timeout
	return nil, nil
}

// Guards against an end that comes too late for its client, because the message's time was counted from when it was read and not from when
// it had come.
func TestTheTimeThatARequestWaitedCounts(t *testing.T) {
	client, conn := ends(t)
	s := &Clients{Handler: tellingHandler{left: make(chan time.Duration, 2)}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
	if _, err := client.Write([]byte(handIn("a", ""))); err != nil {
		t.Fatal(err)
	}
	const wait = 100 * time.Millisecond
	for ago := time.Duration(0); ago < wait; { // as while accept fails
		told := false
		if ago, told = sinceReceived(conn); !told {
			t.Fatal("the kernel does not tell")
		}
	}
	c := &clientConn{lastingConn: lastingConn{conn}, held: true}
	s.admit(c)
	served := make(chan struct{})
	go func() { defer close(served); s.serve(c) }()
	if left := <-s.Handler.(tellingHandler).left; left > 9*time.Second-wait {
		t.Errorf("%v left of 9 s behind %v", left, wait)
	}
	_ = client.Close()
	<-served
}
