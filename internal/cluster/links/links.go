// Package links carries calls between the forwarders of a fleet: the standard library's net/rpc with gob over TCP, one
// connection a direction, on a network that is trusted. gob leaves out what a side does not know, so versions may differ. A
// call that has no answer in its time takes its connection along: a link that stalls without a word is not waited on twice. A peer that is
// too busy for connections, or whose calls have no answers again and again, is dialled after growing and random delays, so that many
// callers do not keep it busy with new connections; meanwhile calls to it fail at once.
package links

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	dialFor    = time.Second
	retryAfter = 100 * time.Millisecond // until a peer that refused is dialled again; the mean delay of one that stalled
	retryMost  = 2 * time.Second        // the mean delay, however often it has stalled
)

// ErrDown is given while a peer that could not be reached is left alone for a moment.
var ErrDown = errors.New("links: not reached a moment ago")

// Peer is the way to one other process. Its methods may be called from any goroutine.
type Peer struct {
	address string

	mu      sync.Mutex
	client  *rpc.Client
	dialing chan struct{} // closed when the dial under way has ended
	delays  *backoff.ExponentialBackOff
	stalls  int       // calls without an answer since the latest that had one
	next    time.Time // it is not dialled before
	err     error
	closed  bool
}

// NewPeer is one that is dialled when it is first called.
func NewPeer(address string) *Peer {
	return &Peer{address: address, delays: &backoff.ExponentialBackOff{
		InitialInterval: retryAfter, MaxInterval: retryMost, Multiplier: 2, RandomizationFactor: 0.5,
	}}
}

// Address is where it is dialled.
func (p *Peer) Address() string { return p.address }

// Call calls a method, such as Council.Ask, and waits for its answer until ctx ends.
func (p *Peer) Call(ctx context.Context, method string, args, reply any) error {
	client, err := p.dial(ctx)
	if err != nil {
		return fmt.Errorf("links: %s: %w", p.address, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var said rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &said) {
			p.drop(client)
		} else {
			p.answered()
		}
		if call.Error != nil {
			return fmt.Errorf("links: %s: %w", p.address, call.Error)
		}
		return nil
	case <-ctx.Done():
		p.drop(client)
		p.stalled(ctx.Err())
		<-call.Done // reply is nobody else's again
		return fmt.Errorf("links: %s: %w", p.address, ctx.Err())
	}
}

func (p *Peer) dial(ctx context.Context) (*rpc.Client, error) {
	for {
		p.mu.Lock()
		switch {
		case p.closed:
			p.mu.Unlock()
			return nil, net.ErrClosed
		case p.client != nil:
			defer p.mu.Unlock()
			return p.client, nil
		case p.dialing != nil:
			wait := p.dialing
			p.mu.Unlock()
			select {
			case <-wait:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		case time.Now().Before(p.next):
			defer p.mu.Unlock()
			return nil, errors.Join(ErrDown, p.err)
		}
		done := make(chan struct{})
		p.dialing = done
		p.mu.Unlock()
		d := net.Dialer{Timeout: dialFor}
		conn, err := d.DialContext(ctx, "tcp", p.address)
		p.mu.Lock()
		p.dialing = nil
		close(done)
		if err != nil {
			p.refused(err)
			p.mu.Unlock()
			return nil, err
		}
		if p.closed {
			p.mu.Unlock()
			return nil, errors.Join(net.ErrClosed, conn.Close())
		}
		p.client = rpc.NewClient(conn)
		p.mu.Unlock()
	}
}

// delay has the peer left alone for a while, longer each time; p.mu is held.
func (p *Peer) delay(err error) {
	p.next, p.err = time.Now().Add(p.delays.NextBackOff()), err
}

// refused notes a dial that failed; p.mu is held. A peer that is not there costs nobody anything and may be back at once: it is dialled again
// soon. One that is too busy to take a connection is left alone as one that has no answers.
func (p *Peer) refused(err error) {
	var slow net.Error
	if errors.As(err, &slow) && slow.Timeout() {
		p.delay(err)
		return
	}
	p.next, p.err = time.Now().Add(retryAfter), err
}

// answered notes that the peer answers calls.
func (p *Peer) answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalls = 0
	p.delays.Reset()
}

// stalled notes a call without an answer. The first of them is tried again at once, on a new connection.
func (p *Peer) stalled(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalls++; p.stalls > 1 {
		p.delay(err)
	}
}

// drop ends a connection that is of no use, if it is still the one.
func (p *Peer) drop(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close ends the connection and everything that waits on it.
func (p *Peer) Close() {
	p.mu.Lock()
	client := p.client
	p.client, p.closed = nil, true
	p.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// Peers is a set of them by address.
type Peers struct {
	// DialAddresses maps an address to the one that is dialled for it, where the two differ.
	DialAddresses map[string]string

	mu    sync.Mutex
	peers map[string]*Peer
}

// DialAddress is what is dialled for an address.
func (p *Peers) DialAddress(address string) string {
	if via, other := p.DialAddresses[address]; other {
		return via
	}
	return address
}

// At is the peer at an address.
func (p *Peers) At(address string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[string]*Peer{}
	}
	peer := p.peers[address]
	if peer == nil {
		peer = NewPeer(p.DialAddress(address))
		p.peers[address] = peer
	}
	return peer
}

// Retain closes all but those at the addresses given.
func (p *Peers) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		if !addresses[address] {
			peer.Close()
			delete(p.peers, address)
		}
	}
}

// Close closes all.
func (p *Peers) Close() { p.Retain(nil) }

// servedConn is closed as soon as its other end has closed it or it has failed. net/rpc would keep it, and its descriptor, until the last
// call that came on it has ended, although nobody is left to have the answer.
type servedConn struct{ net.Conn }

// Read is net.Conn's.
func (c servedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// Serve answers calls to services, by name, until the listener is closed; it returns when all its connections have ended.
func Serve(listener net.Listener, services map[string]any) error {
	server := rpc.NewServer()
	for name, s := range services {
		if err := server.RegisterName(name, s); err != nil {
			return fmt.Errorf("links: %w", err)
		}
	}
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for c := range conns {
			_ = c.Close()
		}
	}()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, say
			time.Sleep(retryAfter)
			continue
		}
		mu.Lock()
		conns[conn] = true
		mu.Unlock()
		wg.Go(func() {
			server.ServeConn(servedConn{conn})
			_ = conn.Close()
			mu.Lock()
			delete(conns, conn)
			mu.Unlock()
		})
	}
}
