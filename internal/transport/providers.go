package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mulleinbeam/internal/protocol"
)

// CallEnd says how far a call came.
type CallEnd int

// The ends of a call.
const (
	Answered    CallEnd = iota // the Reply holds
	NotBegun                   // it was not let go
	Unconnected                // no connection, or it broke before the call's last byte was written
	Broken                     // the connection broke after that
	Abandoned                  // ctx ended before the answer came
)

const (
	unread     = 4 << 10 // bytes of an answer's body that are read at the most, beside its head
	idleMargin = 0.05    // of the keep-alive time: connections are closed so much before the provider would
	leastEarly = 300 * time.Millisecond
)

// Providers keeps the connections to providers. A connection carries one call at a time; the one used last is used
// next, so that few stay warm.
type Providers struct {
	keep    time.Duration
	connect time.Duration
	most    int // idle connections at once

	mu      sync.Mutex
	idle    map[string][]*providerConn // by provider, warmest last
	idles   int
	closed  bool
	readers sync.WaitGroup
}

// NewProviders keeps at most so many idle connections, each for less than keepAlive.
func NewProviders(keepAlive, connectTimeout time.Duration, most int) *Providers {
	early := max(leastEarly, time.Duration(idleMargin*float64(keepAlive)))
	return &Providers{
		keep: max(0, keepAlive-early), connect: connectTimeout, most: max(1, most), idle: map[string][]*providerConn{},
	}
}

// providerConn is one connection. Its reader goroutine owns the parser and ends with the connection.
type providerConn struct {
	conn    net.Conn
	name    string
	address string
	answers chan protocol.Reply
	dead    chan struct{}
	busy    atomic.Bool // a call is out on it
	last    bool        // the provider said that it closes; written before the answer is passed on
	expire  *time.Timer
	since   time.Time // idle since then
}

// Invoke makes one call. begin is asked just before the first byte; nothing is ever written twice.
func (p *Providers) Invoke(ctx context.Context, name, address string, call protocol.Call, begin func() bool) (protocol.Reply, CallEnd) {
	var none protocol.Reply
	c := p.warmest(name, address)
	if c == nil {
		dialer := net.Dialer{Timeout: p.connect}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return none, Unconnected
		}
		c = p.adopt(conn, name, address)
	}
	if !begin() {
		p.keepIdle(c)
		return none, NotBegun
	}
	c.busy.Store(true)
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	if deadline, ok := ctx.Deadline(); ok {
		call.Timeout = time.Until(deadline)
	}
	pieces := call.Buffers()
	total := int64(0)
	for _, piece := range pieces {
		total += int64(len(piece))
	}
	written, err := pieces.WriteTo(c.conn)
	if err != nil {
		_ = c.conn.Close()
	}
	select {
	case reply := <-c.answers:
		return p.settle(c, reply, stop() && err == nil)
	case <-c.dead:
	}
	stop()
	select {
	case reply := <-c.answers: // it came before the connection ended
		return p.settle(c, reply, false)
	default:
	}
	switch {
	case written < total:
		return none, Unconnected
	case ctx.Err() != nil:
		return none, Abandoned
	}
	return none, Broken
}

// settle keeps the connection of a call that was answered, if it can carry another.
func (p *Providers) settle(c *providerConn, reply protocol.Reply, whole bool) (protocol.Reply, CallEnd) {
	if whole && !c.last {
		p.keepIdle(c)
	} else {
		_ = c.conn.Close()
	}
	return reply, Answered
}

// CloseIdle closes the idle connections to a provider.
func (p *Providers) CloseIdle(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle[name]) > 0 {
		p.drop(p.idle[name][0])
	}
}

// Close closes all idle connections, keeps no more, and waits until every connection has ended; call it after the
// last Invoke has returned.
func (p *Providers) Close() {
	p.mu.Lock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range append([]*providerConn(nil), conns...) {
			p.drop(c)
		}
	}
	p.mu.Unlock()
	p.readers.Wait()
}

func (p *Providers) adopt(conn net.Conn, name, address string) *providerConn {
	c := &providerConn{
		conn: conn, name: name, address: address,
		answers: make(chan protocol.Reply, 1), dead: make(chan struct{}),
	}
	p.readers.Go(func() { p.read(c) })
	return c
}

// read passes answers on until the connection ends. Bytes that answer nothing end it.
func (p *Providers) read(c *providerConn) {
	defer func() {
		_ = c.conn.Close()
		close(c.dead)
		p.mu.Lock()
		p.drop(c)
		p.mu.Unlock()
	}()
	parser := protocol.NewAnswerParser(protocol.MostBody + unread)
	for {
		m, err := parser.Next()
		if err != nil {
			return
		}
		if m == nil {
			n, err := c.conn.Read(parser.Space())
			parser.Commit(n)
			if err == nil {
				continue
			}
			if m, _ = parser.Next(); m == nil {
				// A first line with 200 is a delivery however the connection ends; any other answer has to be whole.
				if m = parser.End(); m == nil || m.Cut && m.Status() != 200 {
					return
				}
			}
			m.Close = true
		}
		if !c.busy.Swap(false) { // an answer that nobody asked for must not be taken for the next call's
			return
		}
		c.last = m.Close || !parser.Idle()
		c.answers <- protocol.ReadReply(m)
		if c.last {
			return
		}
	}
}

// warmest takes the connection to a provider that was used last.
func (p *Providers) warmest(name, address string) *providerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.idle[name]
		if len(conns) == 0 {
			return nil
		}
		c := conns[len(conns)-1]
		if !c.expire.Stop() || c.address != address {
			p.drop(c)
			continue
		}
		p.remove(c)
		return c
	}
}

// keepIdle puts a connection back until it is used again, ends, or has been idle for too long.
func (p *Providers) keepIdle(c *providerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-c.dead:
		return
	default:
	}
	if p.closed || p.keep == 0 {
		_ = c.conn.Close()
		return
	}
	if p.idles >= p.most {
		p.drop(p.coldest())
	}
	p.idle[c.name] = append(p.idle[c.name], c)
	p.idles++
	c.since = time.Now()
	c.expire = time.AfterFunc(p.keep, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.drop(c)
	})
}

// coldest is the idle connection that was used least lately.
func (p *Providers) coldest() *providerConn {
	var coldest *providerConn
	for _, conns := range p.idle {
		if coldest == nil || conns[0].since.Before(coldest.since) {
			coldest = conns[0]
		}
	}
	return coldest
}

// drop closes a connection if it is idle; p.mu is held.
func (p *Providers) drop(c *providerConn) {
	if p.remove(c) {
		c.expire.Stop()
		_ = c.conn.Close()
	}
}

// remove takes a connection out of the idle ones; p.mu is held.
func (p *Providers) remove(c *providerConn) bool {
	conns := p.idle[c.name]
	for i, o := range conns {
		if o == c {
			if p.idle[c.name] = append(conns[:i], conns[i+1:]...); len(conns) == 1 {
				delete(p.idle, c.name)
			}
			p.idles--
			return true
		}
	}
	return false
}
