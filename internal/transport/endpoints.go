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

// CallOutcome says how far a call got.
type CallOutcome int

// The outcomes of a call.
const (
	Answered    CallOutcome = iota // Reply is valid
	NotBegun                       // Call.Begin did not permit it
	Unconnected                    // no connection, or it broke before the call's last byte was written
	Broken                         // the connection broke after that
	Malformed                      // the answer was malformed or incomplete: the call may have run
	Abandoned                      // ctx was done before the answer arrived
)

const (
	maxAnswerBytes       = 64 << 10               // of an answer's body
	answerReadTimeout    = time.Second            // from an answer's first byte to its last
	deliveredRestTimeout = 200 * time.Millisecond // for the rest of an answer whose status 200 is already read
	idleMarginShare      = 0.05                   // of the keep-alive time: connections close before the endpoint does
	minIdleMargin        = 300 * time.Millisecond
)

// Endpoints is a pool of connections to endpoints. A connection carries one call at a time, and the most recently
// used one is reused first, so that few connections stay warm. An idle connection holds no buffer and no goroutine.
type Endpoints struct {
	Samples *oplog.Sampler // logs connections that cannot be established or break; may be nil

	idleTimeout    time.Duration
	connectTimeout time.Duration
	maxIdle        int // idle connections at once
	parsers        sync.Pool
	// streamParsers are parsers that leave the body of an answer with status 200 to be streamed.
	streamParsers sync.Pool

	mu        sync.Mutex
	idle      map[string][]*endpointConn // by endpoint name, most recently used last
	idleCount int
	closed    bool
	counters  EndpointCounters
}

// EndpointCounters counts connections and faulty answers.
type EndpointCounters struct {
	Opened             int64 // connections opened
	ClosedBeforeUse    int64 // reused connections that had ended or held unexpected bytes
	Malformed          int64 // malformed or incomplete answers
	MalformedDelivered int64 // of these, those whose status line says that the message was delivered
	Surplus            int64 // answers followed by bytes that do not belong to them
	LocalDialErrors    int64 // connect attempts that failed for lack of resources on this machine
	Idle               int   // current number of idle connections
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c EndpointCounters) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("opened", c.Opened).Int("idle", c.Idle).Int64("ended_before_use", c.ClosedBeforeUse).Int64("spoilt", c.Malformed).
		Int64("delivered_all_the_same", c.MalformedDelivered).Int64("surplus", c.Surplus).
		Int64("no_room", c.LocalDialErrors)
}

// NewEndpoints returns a pool that keeps at most the given number of idle connections, each for less than keepAlive.
func NewEndpoints(keepAlive, connectTimeout time.Duration, maxIdle int) *Endpoints {
	margin := max(minIdleMargin, time.Duration(idleMarginShare*float64(keepAlive)))
	p := &Endpoints{
		idleTimeout: max(0, keepAlive-margin), connectTimeout: connectTimeout, maxIdle: max(1, maxIdle),
		idle: map[string][]*endpointConn{},
	}
	p.parsers.New = func() any { return protocol.NewAnswerParser(maxAnswerBytes) }
	p.streamParsers.New = func() any {
		parser := protocol.NewAnswerParser(maxAnswerBytes)
		parser.Stream(protocol.StreamAnswered)
		return parser
	}
	return p
}

// Counters returns the current counters.
func (p *Endpoints) Counters() EndpointCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Idle = p.idleCount
	return p.counters
}

func (p *Endpoints) count(which *int64) {
	p.mu.Lock()
	*which++
	p.mu.Unlock()
}

// endpointConn is one connection. It is owned by the call that it carries, or by the pool while it is idle.
type endpointConn struct {
	retryConn
	name      string
	address   string
	reused    bool // it has carried a call before
	idleTimer *time.Timer
	idleSince time.Time // start of the current idle time
}

// nothingReceived reports whether a connection without a call in progress has received nothing, not even its end.
// Anything received there belongs to no call and makes the connection unusable. If a peek at a new connection is
// inconclusive, it counts as usable.
func (c *endpointConn) nothingReceived() bool {
	_, err := peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN) || !c.reused && inconclusive(err)
}

// getConn returns the most recently used idle connection to an endpoint, or a new connection if there is none or
// fresh is set.
func (p *Endpoints) getConn(ctx context.Context, name, address string, fresh bool) (*endpointConn, error) {
	for !fresh {
		idle := p.takeIdle(name, address)
		if idle == nil {
			break
		}
		if idle.nothingReceived() {
			return idle, nil
		}
		_ = idle.Close()
		p.count(&p.counters.ClosedBeforeUse)
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.count(&p.counters.Opened)
	return &endpointConn{retryConn: retryConn{conn}, name: name, address: address}, nil
}

// localDialErrors are connect errors caused by a temporary lack of resources on this machine. They say nothing about
// the endpoint.
var localDialErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
}

const dialRetryDelay = 10 * time.Millisecond // delay after such an error

// dial opens a connection. While this machine lacks the resources, it retries until the connect timeout.
func (p *Endpoints) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.connectTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.connectTimeout)
		defer cancel()
	}
	dialer := net.Dialer{}
	for {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		number := syscall.Errno(0)
		if err == nil || !errors.As(err, &number) || !slices.Contains(localDialErrors, number) {
			return conn, err
		}
		p.count(&p.counters.LocalDialErrors)
		if pause(ctx, dialRetryDelay); ctx.Err() != nil {
			return nil, err
		}
	}
}

// Call is a call to an endpoint. Begin is called just before the first byte is written, and once more if the
// connection then turns out to have ended.
type Call struct {
	protocol.Call
	Name, Address string
	Fresh         bool // use a new connection
	Begin         func() bool
}

// Result is the result of a call.
type Result struct {
	Reply   protocol.Reply // valid if Outcome is Answered
	Outcome CallOutcome
	Reused  bool // the connection had carried a call before
}

// Call makes one call. Nothing is written twice.
func (p *Endpoints) Call(ctx context.Context, call Call) Result {
	for {
		c, err := p.getConn(ctx, call.Name, call.Address, call.Fresh)
		if err != nil {
			p.logSample(call, "not connected", err)
			return Result{Outcome: Unconnected}
		}
		if !call.Begin() {
			p.keepIdle(c)
			return Result{Outcome: NotBegun}
		}
		if c.nothingReceived() {
			reused := c.reused
			reply, outcome, err := p.exchange(ctx, c, call.Call)
			if outcome == Broken || outcome == Unconnected {
				p.logSample(call, "connection broken", err)
			}
			return Result{reply, outcome, reused}
		}
		_ = c.Close()
		p.count(&p.counters.ClosedBeforeUse)
		if !c.reused {
			return Result{Outcome: Unconnected} // accepted, and closed before anything was written
		}
	}
}

// exchange writes a call and reads its answer. If ctx is done first, the connection is closed before exchange
// returns. An answer read after ctx's deadline is discarded: the endpoint was told that the forwarder stops waiting
// then, and may not count the call as delivered.
func (p *Endpoints) exchange(ctx context.Context, conn *endpointConn, call protocol.Call) (protocol.Reply, CallOutcome, error) {
	deadline, limited := ctx.Deadline()
	if limited {
		call.Timeout = time.Until(deadline)
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() { defer close(closed); _ = conn.Close() })
	pieces := call.Buffers()
	total := int64(0)
	for _, piece := range pieces {
		total += int64(len(piece))
	}
	written, err := pieces.WriteTo(conn)
	reply, outcome := protocol.Reply{}, Unconnected
	reusable := err == nil
	if written == total {
		var complete bool
		reply, outcome, complete, err = p.readAnswer(ctx, conn)
		if limited && !time.Now().Before(deadline) {
			reply, outcome, complete = protocol.Reply{}, Abandoned, false
		}
		reusable = reusable && complete
	}
	switch {
	case !stop():
		<-closed
	case reusable:
		p.keepIdle(conn)
	default:
		_ = conn.Close()
	}
	return reply, outcome, err
}

// logSample logs a call whose connection could not be established or broke, and the system call that failed.
func (p *Endpoints) logSample(call Call, what string, err error) {
	reason := "ended"
	if failed := (*os.SyscallError)(nil); errors.As(err, &failed) {
		reason = failed.Error()
	}
	p.Samples.Note(what, reason, func(e *zerolog.Event) { e.Str("request", call.ID).Str("endpoint", call.Name).Err(err) })
}

// readAnswer reads a call's answer; reusable reports whether the connection can carry another call. A status line with
// 200 counts as a delivery even if the rest of the answer is faulty. Any other incomplete answer may belong to a call
// that ran.
func (p *Endpoints) readAnswer(ctx context.Context, conn *endpointConn) (reply protocol.Reply, outcome CallOutcome, reusable bool, readErr error) {
	parser := p.parsers.Get().(*protocol.Parser)
	defer func() {
		parser.Reset()
		p.parsers.Put(parser)
	}()
	var until time.Time // deadline for the answer's last byte
	for {
		m, err := parser.Next()
		if m == nil && err == nil {
			var n int
			if n, err = conn.Read(parser.Space()); n > 0 {
				parser.Commit(n)
				err = nil
				now := time.Now()
				if until.IsZero() {
					until = now.Add(answerReadTimeout)
				}
				if soon := now.Add(deliveredRestTimeout); soon.Before(until) && parser.Status() == 200 {
					until = soon
				}
				_ = conn.SetReadDeadline(until) // if the connection is closed by now, the next read reports it
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
			return reply, Answered, !m.Close && !surplus && conn.SetReadDeadline(time.Time{}) == nil, nil
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
		p.closeIdleConn(p.idle[name][0])
	}
}

// Close closes all idle connections; from then on none is kept.
func (p *Endpoints) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range append([]*endpointConn(nil), conns...) {
			p.closeIdleConn(c)
		}
	}
}

// takeIdle takes the most recently used idle connection to an endpoint out of the pool.
func (p *Endpoints) takeIdle(name, address string) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.idle[name]
		if len(conns) == 0 {
			return nil
		}
		c := conns[len(conns)-1]
		if !c.idleTimer.Stop() || c.address != address {
			p.closeIdleConn(c)
			continue
		}
		p.removeIdle(c)
		return c
	}
}

// keepIdle returns a connection to the pool until it is reused or its idle time is over.
func (p *Endpoints) keepIdle(c *endpointConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.idleTimeout == 0 {
		_ = c.Close()
		return
	}
	if p.idleCount >= p.maxIdle {
		p.closeIdleConn(p.leastRecentlyUsed())
	}
	p.idle[c.name] = append(p.idle[c.name], c)
	p.idleCount++
	c.reused, c.idleSince = true, time.Now()
	c.idleTimer = time.AfterFunc(p.idleTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closeIdleConn(c)
	})
}

// leastRecentlyUsed returns the idle connection that has been idle the longest. The caller holds p.mu.
func (p *Endpoints) leastRecentlyUsed() *endpointConn {
	var oldest *endpointConn
	for _, conns := range p.idle {
		if oldest == nil || conns[0].idleSince.Before(oldest.idleSince) {
			oldest = conns[0]
		}
	}
	return oldest
}

// closeIdleConn closes a connection if it is idle. The caller holds p.mu.
func (p *Endpoints) closeIdleConn(c *endpointConn) {
	if p.removeIdle(c) {
		c.idleTimer.Stop()
		_ = c.Close()
	}
}

// removeIdle takes a connection out of the pool and reports whether it was there. The caller holds p.mu.
func (p *Endpoints) removeIdle(c *endpointConn) bool {
	conns := p.idle[c.name]
	for i, o := range conns {
		if o == c {
			if p.idle[c.name] = append(conns[:i], conns[i+1:]...); len(conns) == 1 {
				delete(p.idle, c.name)
			}
			p.idleCount--
			return true
		}
	}
	return false
}
