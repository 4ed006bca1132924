// Package links carries remote calls between the forwarders of a fleet. It uses the standard library's net/rpc with gob
// over TCP, with one connection for each direction, on a trusted network. gob ignores fields that one side does not
// know, so versions may differ. A call that is not answered in time closes its connection, so that no later call waits
// on a link that has stalled. A peer that is too busy to accept connections, or that repeatedly leaves calls
// unanswered, is redialled with exponential backoff and jitter, so that many callers do not keep it busy with new
// connections. During the backoff, calls to it fail at once.
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
	dialTimeout    = time.Second
	redialDelay    = 100 * time.Millisecond // delay after a refused connection, and mean of the first backoff
	maxRedialDelay = 2 * time.Second        // bound on the mean backoff
)

// ErrDown is returned while a peer that could not be reached is not redialled yet.
var ErrDown = errors.New("links: peer unreachable, waiting to redial")

// Peer is a client of one other process. Its methods may be called from any goroutine.
type Peer struct {
	address string

	mu       sync.Mutex
	client   *rpc.Client
	dialing  chan struct{} // closed when the dial in progress has ended; nil if there is none
	backoff  *backoff.ExponentialBackOff
	timeouts int       // unanswered calls since the latest answered one
	redialAt time.Time // the peer is not dialled before this time
	lastErr  error
	closed   bool
}

// NewPeer returns a peer that is dialled at its first call.
func NewPeer(address string) *Peer {
	return &Peer{address: address, backoff: &backoff.ExponentialBackOff{
		InitialInterval: redialDelay, MaxInterval: maxRedialDelay, Multiplier: 2, RandomizationFactor: 0.5,
	}}
}

// Address returns the address that is dialled.
func (p *Peer) Address() string { return p.address }

// Call calls a method, such as Council.Ask, and waits for the answer until ctx is done.
func (p *Peer) Call(ctx context.Context, method string, args, reply any) error {
	client, err := p.dial(ctx)
	if err != nil {
		return fmt.Errorf("links: %s: %w", p.address, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var serverError rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &serverError) {
			p.closeClient(client)
		} else {
			p.callAnswered()
		}
		if call.Error != nil {
			return fmt.Errorf("links: %s: %w", p.address, call.Error)
		}
		return nil
	case <-ctx.Done():
		p.closeClient(client)
		p.callTimedOut(ctx.Err())
		<-call.Done // from here on net/rpc does not write to reply
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
			dialDone := p.dialing
			p.mu.Unlock()
			select {
			case <-dialDone:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		case time.Now().Before(p.redialAt):
			defer p.mu.Unlock()
			return nil, errors.Join(ErrDown, p.lastErr)
		}
		dialDone := make(chan struct{})
		p.dialing = dialDone
		p.mu.Unlock()
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", p.address)
		p.mu.Lock()
		p.dialing = nil
		close(dialDone)
		if err != nil {
			p.dialFailed(err)
			p.mu.Unlock()
			return nil, err
		}
		if p.closed {
			p.mu.Unlock()
			return nil, errors.Join(net.ErrClosed, conn.Close())
		}
		p.client = rpc.NewClient(limitMessages(conn))
		p.mu.Unlock()
	}
}

// startBackoff blocks dials for a delay that grows with each call; p.mu must be held.
func (p *Peer) startBackoff(err error) {
	p.redialAt, p.lastErr = time.Now().Add(p.backoff.NextBackOff()), err
}

// dialFailed handles a failed dial; p.mu must be held. A peer that is not running is redialled soon: a refused
// connection is cheap, and the peer may be back at any time. A dial that timed out means that the peer is too busy to
// accept connections, and starts a backoff as an unanswered call does.
func (p *Peer) dialFailed(err error) {
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		p.startBackoff(err)
		return
	}
	p.redialAt, p.lastErr = time.Now().Add(redialDelay), err
}

// callAnswered resets the backoff after an answered call.
func (p *Peer) callAnswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts = 0
	p.backoff.Reset()
}

// callTimedOut handles an unanswered call. After the first one in a row the peer may be redialled at once, after
// further ones only after a backoff.
func (p *Peer) callTimedOut(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timeouts++; p.timeouts > 1 {
		p.startBackoff(err)
	}
}

// closeClient closes a connection, and forgets it if it is still the current one.
func (p *Peer) closeClient(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close closes the connection; calls that wait on it fail.
func (p *Peer) Close() {
	p.mu.Lock()
	client := p.client
	p.client, p.closed = nil, true
	p.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// Peers is a set of peers by address.
type Peers struct {
	// DialAddresses maps an address to the one to dial instead, where the two differ.
	DialAddresses map[string]string

	mu    sync.Mutex
	peers map[string]*Peer
}

// DialAddress returns the address to dial for an address.
func (p *Peers) DialAddress(address string) string {
	if dialAddress, mapped := p.DialAddresses[address]; mapped {
		return dialAddress
	}
	return address
}

// At returns the peer at an address and creates it if there is none.
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

// Retain closes and removes all peers but those at the addresses given.
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

// Close closes all peers.
func (p *Peers) Close() { p.Retain(nil) }

// servedConn closes itself as soon as a read fails, because the other end has closed the connection or the connection
// has failed. net/rpc would keep it, and its file descriptor, until the last call on it has ended, although the answer
// can no longer be sent.
type servedConn struct{ net.Conn }

// Read implements net.Conn.
func (c servedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// Serve answers calls to the services, which are registered by name, until the listener is closed. It returns when all
// its connections have ended.
func Serve(listener net.Listener, services map[string]any) error {
	server := rpc.NewServer()
	for name, service := range services {
		if err := server.RegisterName(name, service); err != nil {
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
		if err != nil { // for example, no file descriptors left
			time.Sleep(redialDelay)
			continue
		}
		mu.Lock()
		conns[conn] = true
		mu.Unlock()
		wg.Go(func() {
			server.ServeConn(servedConn{limitMessages(conn)})
			_ = conn.Close()
			mu.Lock()
			delete(conns, conn)
			mu.Unlock()
		})
	}
}
