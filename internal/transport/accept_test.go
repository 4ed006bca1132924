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

// failingListener fails one accept with each error that it is sent before it accepts again.
type failingListener struct {
	net.Listener
	errors       chan error
	failed       chan struct{} // receives a value for each accept that follows a failed one
	afterFailure bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.afterFailure {
		l.failed <- struct{}{}
	}
	l.afterFailure = false
	select {
	case err := <-l.errors:
		l.afterFailure = true
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	default:
	}
	conn, err := l.Listener.Accept()
	return conn, err
}

// Guards against connections that are closed because an accept has failed: an idle connection may be reused a moment
// later, and a new one is about to send its request. Even when descriptors run out, only connections that have been
// idle for a while are closed.
func TestAFailedAcceptClosesNoConnectionInUse(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EMFILE, syscall.ENFILE} {
		t.Run(errno.Error(), func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &failingListener{Listener: inner, errors: make(chan error, 8), failed: make(chan struct{}, 8)}
			s := &Clients{Handler: hookHandler{}, MaxConnections: 16}
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error { return s.Serve(ctx, ctx, l) })
			idleConn, newConn := dialTCP(t, inner), dialTCP(t, inner)
			submitAndRead(t, idleConn, "first")
			awaitOpen(s, 2)
			for range 3 {
				l.errors <- errno
			}
			last := dialTCP(t, inner) // completes the pending accept; the following ones fail
			for range 3 {
				<-l.failed
			}
			for _, conn := range []net.Conn{idleConn, newConn, last} {
				submitAndRead(t, conn, "after the failure")
			}
			if got := s.Counters(); got.AcceptFailed != 3 || got.ClosedIdle+got.Silent != 0 {
				t.Errorf("counters %+v", got)
			}
			cancel()
			for _, conn := range []net.Conn{idleConn, newConn, last} {
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

// awaitOpen polls the counters until n connections are open.
func awaitOpen(s *Clients, n int) {
	for s.Counters().Open < n {
	}
}

// submitAndRead submits a message and expects 202.
func submitAndRead(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	if _, err := conn.Write([]byte(submitRequest(id, ""))); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != 202 {
		t.Fatalf("answered %v, %v", res, err)
	}
}

// timeoutHandler reports the timeouts of the messages that are submitted.
type timeoutHandler struct {
	hookHandler
	timeouts chan time.Duration
}

func (submission timeoutHandler) Accept(m protocol.Submission) (*protocol.Refusal, func()) {
	submission.timeouts <- m.Timeout
	return nil, nil
}

// Guards against an end that is reported too late to the client because the message's timeout was counted from when
// its request was read rather than from when it arrived.
func TestQueueDelayCountsAgainstTimeout(t *testing.T) {
	client, conn := connPair(t)
	s := &Clients{Handler: timeoutHandler{timeouts: make(chan time.Duration, 2)}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
	if _, err := client.Write([]byte(submitRequest("a", ""))); err != nil {
		t.Fatal(err)
	}
	const wait = 100 * time.Millisecond
	for ago := time.Duration(0); ago < wait; { // as while accept fails
		known := false
		if ago, known = sinceReceived(conn); !known {
			t.Fatal("the kernel does not report when data arrived")
		}
	}
	c := &clientConn{retryConn: retryConn{conn}, acceptDelayed: true}
	s.admit(c)
	served := make(chan struct{})
	go func() { defer close(served); s.serve(c) }()
	if timeout := <-s.Handler.(timeoutHandler).timeouts; timeout > 9*time.Second-wait {
		t.Errorf("%v left of 9 s after a queue delay of %v", timeout, wait)
	}
	_ = client.Close()
	<-served
}
