package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/oplog"
	"mulleinbeam/internal/protocol"
)

// CallOutcome says how far a call came.
type CallOutcome int

// The ends of a call.
const (
	Answered    CallOutcome = iota // the Reply holds
	NotBegun                       // it was not let go
	Unconnected                    // no connection, or it broke before the call's last byte was written
	Broken                         // the connection broke after that
	Malformed                      // what came can't be read, or is not whole: the call may have run
	Abandoned                      // ctx ended before the answer came
)

const (
	mostAnswer = 64 << 10               // bytes of an answer's body
	wholeFor   = time.Second            // an answer from its first byte to its last
	restFor    = 200 * time.Millisecond // the rest of one that is known to be a delivery
	idleMargin = 0.05                   // of the keep-alive time: connections are closed so much before the endpoint would
	leastEarly = 300 * time.Millisecond
)

// Endpoints keeps the connections to endpoints. A connection carries one call at a time; the one used last is used
// next, so that few stay warm. One that is idle holds no buffer and no goroutine.
type Endpoints struct {
	Samples *oplog.Sampler // of connections that do not come up or break; nil tells of none

	keep    time.Duration
	connect time.Duration
	most    int // idle connections at once
	parsers sync.Pool
	// longAnswers are parsers that leave the body of a delivery to be passed on.
	longAnswers sync.Pool

	mu       sync.Mutex
	idle     map[string][]*endpointConn // by endpoint, warmest last
	idles    int
	closed   bool
	counters EndpointCounters
}

// EndpointCounters counts connections and answers that were not as they should be.
type EndpointCounters struct {
	Opened             int64 // connections
	ClosedBeforeUse    int64 // those that had ended, or held bytes that nobody asked for, when they were to be used
	Malformed          int64 // answers that can't be read or don't come whole
	MalformedDelivered int64 // of these, those whose first line says that the message is delivered
	Surplus            int64 // answers with more behind them than belongs to them
	LocalDialErrors    int64 // tries of a connection for which this machine had no room
	Idle               int   // now
}

// MarshalZerologObject writes the counters' group of the log.
func (c EndpointCounters) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("opened", c.Opened).Int("idle", c.Idle).Int64("ended_before_use", c.ClosedBeforeUse).Int64("spoilt", c.Malformed).
		Int64("delivered_all_the_same", c.MalformedDelivered).Int64("surplus", c.Surplus).
		Int64("no_room", c.LocalDialErrors)
}

// NewEndpoints keeps at most so many idle connections, each for less than keepAlive.
func NewEndpoints(keepAlive, connectTimeout time.Duration, most int) *Endpoints {
	early := max(leastEarly, time.Duration(idleMargin*float64(keepAlive)))
	p := &Endpoints{
		keep: max(0, keepAlive-early), connect: connectTimeout, most: max(1, most), idle: map[string][]*endpointConn{},
	}
	p.parsers.New = func() any { return protocol.NewAnswerParser(mostAnswer) }
	p.longAnswers.New = func() any {
		parser := protocol.NewAnswerParser(mostAnswer)
		parser.Stream(protocol.StreamAnswered)
		return parser
	}
	return p
}

// Counters gives the counters as they are now.
func (p *Endpoints) Counters() EndpointCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Idle = p.idles
	return p.counters
}

func (p *Endpoints) count(which *int64) {
	p.mu.Lock()
	*which++
	p.mu.Unlock()
}

// endpointConn is one connection: the call's that it carries, or the pool's while it is idle.
type endpointConn struct {
	lastingConn
	name    string
	address string
	kept    bool // it has been idle
	expire  *time.Timer
	since   time.Time // idle since then
}

// quiet says that nothing has come on a connection that carries no call, not even its end: whatever comes there belongs to no call and
// makes it unusable. A new one of which that can't be told is taken for quiet.
func (c *endpointConn) quiet() bool {
	_, err := peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN) || !c.kept && unclear(err)
}

// connection is the endpoint's warmest one, or a new one; with fresh a new one in any case.
func (p *Endpoints) connection(ctx context.Context, name, address string, fresh bool) (*endpointConn, error) {
	for !fresh {
		c := p.warmest(name, address)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
		p.count(&p.counters.ClosedBeforeUse)
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.count(&p.counters.Opened)
	return &endpointConn{lastingConn: lastingConn{conn}, name: name, address: address}, nil
}

// ownErrors are those of a connection that this machine cannot open for a while. They speak of no endpoint.
var ownErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
}

const dialRetry = 10 * time.Millisecond // the pause behind such an error

// dial opens a connection. While this machine has no room for one it goes on, for as long as a connection may take to come up.
func (p *Endpoints) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.connect > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.connect)
		defer cancel()
	}
	dialer := net.Dialer{}
	for {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		number := syscall.Errno(0)
		if err == nil || !errors.As(err, &number) || !slices.Contains(ownErrors, number) {
			return conn, err
		}
		p.count(&p.counters.LocalDialErrors)
		if pause(ctx, dialRetry); ctx.Err() != nil {
			return nil, err
		}
	}
}

// Call is one to an endpoint. Begin is asked just before the first byte, and once more if the connection then turns out
// to have ended.
type Call struct {
	protocol.Call
	Name, Address string
	Fresh         bool // on a new connection
	Begin         func() bool
}

// Result is how a call ended.
type Result struct {
	Reply   protocol.Reply // with Answered
	Outcome CallOutcome
	Reused  bool // its connection had carried a call before
}

// Call makes one call; nothing is ever written twice.
func (p *Endpoints) Call(ctx context.Context, call Call) Result {
	for {
		c, err := p.connection(ctx, call.Name, call.Address, call.Fresh)
		if err != nil {
			p.sample(call, "not connected", err)
			return Result{Outcome: Unconnected}
		}
		if !call.Begin() {
			p.keepIdle(c)
			return Result{Outcome: NotBegun}
		}
		if c.quiet() {
			kept := c.kept
			reply, end, err := p.exchange(ctx, c, call.Call)
			if end == Broken || end == Unconnected {
				p.sample(call, "connection broken", err)
			}
			return Result{reply, end, kept}
		}
		_ = c.Close()
		p.count(&p.counters.ClosedBeforeUse)
		if !c.kept {
			return Result{Outcome: Unconnected} // accepted, and closed before anything was written
		}
	}
}

// exchange writes a call and reads its answer. When ctx ends first, the connection is closed before it returns. An answer that was
// read behind ctx's deadline is not taken: the endpoint was told that nobody waits for it any more, and may not count it.
func (p *Endpoints) exchange(ctx context.Context, c *endpointConn, call protocol.Call) (protocol.Reply, CallOutcome, error) {
	deadline, limited := ctx.Deadline()
	if limited {
		call.Timeout = time.Until(deadline)
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() { defer close(closed); _ = c.Close() })
	pieces := call.Buffers()
	total := int64(0)
	for _, piece := range pieces {
		total += int64(len(piece))
	}
	written, err := pieces.WriteTo(c)
	reply, end := protocol.Reply{}, Unconnected
	keep := err == nil
	if written == total {
		var whole bool
		reply, end, whole, err = p.read(ctx, c)
		if limited && !time.Now().Before(deadline) {
			reply, end, whole = protocol.Reply{}, Abandoned, false
		}
		keep = keep && whole
	}
	switch {
	case !stop():
		<-closed
	case keep:
		p.keepIdle(c)
	default:
		_ = c.Close()
	}
	return reply, end, err
}

// sample tells of a call whose connection did not come up, or broke, and by which system call.
func (p *Endpoints) sample(call Call, what string, err error) {
	reason := "ended"
	if failed := (*os.SyscallError)(nil); errors.As(err, &failed) {
		reason = failed.Error()
	}
	p.Samples.Note(what, reason, func(e *zerolog.Event) { e.Str("request", call.ID).Str("endpoint", call.Name).Err(err) })
}

// read reads a call's answer; keep says that the connection can carry another call. A first line with 200 is a
// delivery however the answer goes on. Any other answer that is not whole may stand for a call that ran.
func (p *Endpoints) read(ctx context.Context, c *endpointConn) (reply protocol.Reply, end CallOutcome, keep bool, broken error) {
	parser := p.parsers.Get().(*protocol.Parser)
	defer func() {
		parser.Reset()
		p.parsers.Put(parser)
	}()
	var until time.Time // the answer's last byte
	for {
		m, err := parser.Next()
		if m == nil && err == nil {
			var n int
			if n, err = c.Read(parser.Space()); n > 0 {
				parser.Commit(n)
				err = nil
				now := time.Now()
				if until.IsZero() {
					until = now.Add(wholeFor)
				}
				if soon := now.Add(restFor); soon.Before(until) && parser.Status() == 200 {
					until = soon
				}
				_ = c.SetReadDeadline(until) // if it is closed by now, the next read tells
				continue
			}
			m = parser.Finish(errors.Is(err, io.EOF))
		}
		switch {
		case m != nil:
			surplus := !parser.Idle()
			if surplus {
				p.count(&p.counters.Surplus)
			}
			reply = protocol.ReadReply(m)
			return reply, Answered, !m.Close && !surplus && c.SetReadDeadline(time.Time{}) == nil, nil
		case parser.Status() == 200:
			p.count(&p.counters.Malformed)
			p.count(&p.counters.MalformedDelivered)
			return protocol.Reply{Status: 200}, Answered, false, err
		case ctx.Err() != nil:
			return reply, Abandoned, false, err
		}
		if parser.Idle() {
			return reply, Broken, false, err
		}
		p.count(&p.counters.Malformed)
		return reply, Malformed, false, err
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Endpoints) CloseIdle(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle[name]) > 0 {
		p.drop(p.idle[name][0])
	}
}

// Close closes all idle connections and keeps no more.
func (p *Endpoints) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range append([]*endpointConn(nil), conns...) {
			p.drop(c)
		}
	}
}

// warmest takes the connection to an endpoint that was used last.
func (p *Endpoints) warmest(name, address string) *endpointConn {
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
func (p *Endpoints) keepIdle(c *endpointConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.keep == 0 {
		_ = c.Close()
		return
	}
	if p.idles >= p.most {
		p.drop(p.coldest())
	}
	p.idle[c.name] = append(p.idle[c.name], c)
	p.idles++
	c.kept, c.since = true, time.Now()
	c.expire = time.AfterFunc(p.keep, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.drop(c)
	})
}

// coldest is the idle connection that was used least lately.
func (p *Endpoints) coldest() *endpointConn {
	var coldest *endpointConn
	for _, conns := range p.idle {
		if coldest == nil || conns[0].since.Before(coldest.since) {
			coldest = conns[0]
		}
	}
	return coldest
}

// drop closes a connection if it is idle; p.mu is held.
func (p *Endpoints) drop(c *endpointConn) {
	if p.remove(c) {
		c.expire.Stop()
		_ = c.Close()
	}
}

// remove takes a connection out of the idle ones; p.mu is held.
func (p *Endpoints) remove(c *endpointConn) bool {
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
