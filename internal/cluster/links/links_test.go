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

// SlowService is a service whose calls end when the test lets them.
type SlowService struct{ started, release chan struct{} }

// Wait is called over the link.
func (s SlowService) Wait(bool, *bool) error {
	s.started <- struct{}{}
	<-s.release
	return nil
}

// observedListener reports when the server closes a connection that it has accepted.
type observedListener struct {
	net.Listener
	closed chan struct{}
}

func (l observedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return observedConn{c, l.closed}, err
}

type observedConn struct {
	net.Conn
	closed chan struct{}
}

func (c observedConn) Close() error {
	select {
	case c.closed <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// A server that keeps the connection of a caller that has gone, while the call goes on, runs out of file descriptors:
// 3,000 callers that gave up and reconnected used up the 20,000 descriptors of a voter, which then accepted no
// connections.
func TestServerClosesConnectionOfGoneCaller(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := SlowService{make(chan struct{}, 1), make(chan struct{})}
	closed, served := make(chan struct{}, 1), make(chan error, 1)
	go func() { served <- Serve(observedListener{listener, closed}, map[string]any{"Slow": service}) }()
	peer := NewPeer(listener.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-service.started; cancel() }()
	if err := peer.Call(ctx, "Slow.Wait", true, new(bool)); !errors.Is(err, context.Canceled) {
		t.Errorf("call: %v", err)
	}
	<-closed // before the call has ended
	close(service.release)
	_ = listener.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// A peer that leaves a call unanswered is redialled at once after the first timeout, and with growing backoff after
// further ones; during the backoff calls fail without a connection. An answered call resets the backoff. Without it,
// many callers keep a busy peer busy with new connections.
func TestUnresponsivePeerIsRedialledWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPeer("")
		mayDial := func() bool { return !time.Now().Before(p.redialAt) }
		p.callTimedOut(context.DeadlineExceeded)
		if !mayDial() {
			t.Error("not redialled at once after the first timeout")
		}
		for _, mean := range []time.Duration{redialDelay, 2 * redialDelay, 4 * redialDelay} {
			p.callTimedOut(context.DeadlineExceeded)
			if _, err := p.dial(t.Context()); !errors.Is(err, ErrDown) {
				t.Errorf("dial during the backoff: %v", err)
			}
			time.Sleep(mean/2 - time.Millisecond)
			if mayDial() {
				t.Errorf("redialled after less than %v", mean/2)
			}
			if time.Sleep(mean + 2*time.Millisecond); !mayDial() {
				t.Errorf("not redialled after %v", 2*mean)
			}
		}
		for range 20 {
			p.callTimedOut(context.DeadlineExceeded)
		}
		if wait := time.Until(p.redialAt); wait > 2*maxRedialDelay {
			t.Errorf("backoff of %v", wait)
		}
		p.callAnswered()
		if p.callTimedOut(context.DeadlineExceeded); p.timeouts != 1 {
			t.Errorf("%d timeouts counted after an answer and one timeout", p.timeouts)
		}
	})
}

// A peer that refuses connections is redialled after a short constant delay, however long it was away, so that all
// other members reach a restarted member at once. A peer that is too busy to accept a connection is redialled with
// growing backoff.
func TestRefusedDialIsRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPeer("")
		for range 20 {
			p.dialFailed(syscall.ECONNREFUSED)
			if wait := time.Until(p.redialAt); wait != redialDelay {
				t.Fatalf("redial after %v", wait)
			}
			time.Sleep(redialDelay)
		}
		for range 20 {
			p.dialFailed(os.ErrDeadlineExceeded)
		}
		if wait := time.Until(p.redialAt); wait < maxRedialDelay/2 {
			t.Errorf("a busy peer is redialled after %v", wait)
		}
	})
}
