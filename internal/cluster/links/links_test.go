package links

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// Slow is a service whose calls end when the test says so.
type Slow struct{ came, end chan struct{} }

// Wait is called over the link.
func (s Slow) Wait(bool, *bool) error {
	s.came <- struct{}{}
	<-s.end
	return nil
}

// toldListener tells of connections that the server has closed.
type toldListener struct {
	net.Listener
	closed chan struct{}
}

func (l toldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return toldConn{c, l.closed}, err
}

type toldConn struct {
	net.Conn
	closed chan struct{}
}

func (c toldConn) Close() error {
	select {
	case c.closed <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// A server does not keep the connection of a caller that has gone while its call goes on: 3,000 callers that gave up and came again filled a
// voter's 20,000 descriptors, and nobody got in any more.
func TestAServerClosesWhatItsCallerHasClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	slow := Slow{make(chan struct{}, 1), make(chan struct{})}
	closed, ended := make(chan struct{}, 1), make(chan error, 1)
	go func() { ended <- Serve(toldListener{listener, closed}, map[string]any{"Slow": slow}) }()
	peer := NewPeer(listener.Addr().String())
	ctx, giveUp := context.WithCancel(t.Context())
	go func() { <-slow.came; giveUp() }()
	if err := peer.Call(ctx, "Slow.Wait", true, new(bool)); !errors.Is(err, context.Canceled) {
		t.Errorf("call: %v", err)
	}
	<-closed // while the call goes on
	close(slow.end)
	_ = listener.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A peer whose calls stall is called anew at once, and from then on after growing delays in which calls fail without a connection. An answer
// ends that.
func TestAPeerThatStallsIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPeer("")
		mayDial := func() bool { return !time.Now().Before(p.next) }
		p.stalled(context.DeadlineExceeded)
		if !mayDial() {
			t.Error("not tried again at once")
		}
		for _, mean := range []time.Duration{retryAfter, 2 * retryAfter, 4 * retryAfter} {
			p.stalled(context.DeadlineExceeded)
			if _, err := p.dial(t.Context()); !errors.Is(err, ErrDown) {
				t.Errorf("dialled: %v", err)
			}
			time.Sleep(mean/2 - time.Millisecond)
			if mayDial() {
				t.Errorf("dialled again after less than %v", mean/2)
			}
			if time.Sleep(mean + 2*time.Millisecond); !mayDial() {
				t.Errorf("not dialled again after %v", 2*mean)
			}
		}
		for range 20 {
			p.stalled(context.DeadlineExceeded)
		}
		if wait := time.Until(p.next); wait > 2*retryMost {
			t.Errorf("left alone for %v", wait)
		}
		p.answered()
		if p.stalled(context.DeadlineExceeded); p.stalls != 1 {
			t.Errorf("%d stalls behind an answer and one", p.stalls)
		}
	})
}

// A peer that is not there is dialled again soon, however long it was away: a member that was restarted is back with all others at once. One
// that is too busy to take a connection is left alone for longer each time.
func TestAPeerThatIsAwayIsDialledAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPeer("")
		for range 20 {
			p.refused(syscall.ECONNREFUSED)
			if wait := time.Until(p.next); wait != retryAfter {
				t.Fatalf("left alone for %v", wait)
			}
			time.Sleep(retryAfter)
		}
		for range 20 {
			p.refused(os.ErrDeadlineExceeded)
		}
		if wait := time.Until(p.next); wait < retryMost/2 {
			t.Errorf("a busy peer is left alone for %v", wait)
		}
	})
}
