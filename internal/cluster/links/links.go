// Package links carries calls between the forwarders of a fleet: the standard library's net/rpc with gob over TCP, one
// connection a direction, on a network that is trusted. gob leaves out what a side does not know, so versions may differ. A
// call that has no answer in its time takes its connection along: a link that stalls without a word is not waited on twice.
package links

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	dialFor    = time.Second
	retryAfter = 100 * time.Millisecond // a peer that refuses is not dialled again before
)

// ErrDown is given while a peer that could not be reached is left alone for a moment.
var ErrDown = errors.New("links: not reached a moment ago")

// Peer is the way to one other process. Its methods may be called from any goroutine.
type Peer struct {
	address string

	mu      sync.Mutex
	client  *rpc.Client
	dialing chan struct{} // closed when the dial under way has ended
	failed  time.Time
	err     error
	closed  bool
}

// NewPeer is one that is dialled when it is first called.
func NewPeer(address string) *Peer { return &Peer{address: address} }

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
		}
		if call.Error != nil {
			return fmt.Errorf("links: %s: %w", p.address, call.Error)
		}
		return nil
	case <-ctx.Done():
		p.drop(client)
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
		case time.Since(p.failed) < retryAfter:
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
			p.failed, p.err = time.Now(), err
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
	// Other maps an address to the one that is dialled for it, where the two differ.
	Other map[string]string

	mu    sync.Mutex
	peers map[string]*Peer
}

// Via is what is dialled for an address.
func (p *Peers) Via(address string) string {
	if via, other := p.Other[address]; other {
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
		peer = NewPeer(p.Via(address))
		p.peers[address] = peer
	}
	return peer
}

// Keep closes all but those at the addresses given.
func (p *Peers) Keep(addresses map[string]bool) {
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
func (p *Peers) Close() { p.Keep(nil) }

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
			server.ServeConn(conn)
			_ = conn.Close()
			mu.Lock()
			delete(conns, conn)
			mu.Unlock()
		})
	}
}
