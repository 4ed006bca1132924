package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/connpool"
)

// The kept connections to endpoints: the sockets of what package connpool decides.

// EndpointCounters counts connections and faulty answers.
type EndpointCounters struct {
	Opened             int64 // connections opened
	ClosedBeforeUse    int64 // reused connections that had ended or held unexpected bytes
	Malformed          int64 // malformed or incomplete answers
	MalformedDelivered int64 // of these, those whose status line says that the message was delivered
	Surplus            int64 // answers followed by bytes that do not belong to them
	LocalDialErrors    int64 // connect attempts that failed for lack of resources on this machine
	Strays             int64 // connections that received bytes which belong to no call
	Held               int64 // answers that came implausibly early and were held back
	InDoubt            int64 // answers that may have been those of other calls
	ClosedForRetry     int64 // connections closed since a refusal on them was not confirmed when its message was sent again
	Idle               int   // current number of idle connections
	SingleUse          int   // current number of endpoints whose connections carry one call each
	ParserBytes        int64 // current memory of the parsers of answers that are being read
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c EndpointCounters) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("opened", c.Opened).Int("idle", c.Idle).Int64("ended_before_use", c.ClosedBeforeUse).Int64("spoilt", c.Malformed).
		Int64("delivered_all_the_same", c.MalformedDelivered).Int64("surplus", c.Surplus).
		Int64("no_room", c.LocalDialErrors).Int64("strays", c.Strays).Int64("held", c.Held).Int64("in_doubt", c.InDoubt).
		Int64("closed_for_retry", c.ClosedForRetry).Int("single_use", c.SingleUse).Int64("parser_bytes", c.ParserBytes)
}

// Counters returns the current counters.
func (p *Endpoints) Counters() EndpointCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Idle = p.pool.IdleCount()
	p.counters.ParserBytes = p.parserMemory.total.Load()
	p.counters.SingleUse = p.pool.SingleUseEndpoints(time.Now())
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
	pooled *connpool.Conn[*endpointConn]
	quiet  time.Duration // silence before the present call
	waited time.Duration // how long the present call waited for this connection to rest
}

// describe returns what the log says of the connection.
func (c *endpointConn) describe() Connection { return Connection{c.pooled.ID, c.pooled.Uses, c.quiet} }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c Connection) MarshalZerologObject(e *zerolog.Event) {
	if c.ID > 0 {
		e.Uint64("connection", c.ID).Int("uses", c.Uses).Dur("quiet_ms", c.Quiet)
	}
}

// nothingReceived reports whether a connection without a call in progress has received nothing, not even its end.
// Anything received there belongs to no call and makes the connection unusable. If a peek at a new connection is
// inconclusive, it counts as usable.
func (c *endpointConn) nothingReceived() bool {
	_, err := peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN) || !c.pooled.Reused() && inconclusive(err)
}

// getConn returns a connection for a call: an idle one that may carry it, or a new one.
func (p *Endpoints) getConn(ctx context.Context, call Call) (*endpointConn, error) {
	for {
		idle, err := p.takeIdle(ctx, call)
		if err != nil {
			return nil, err
		}
		if idle == nil {
			break
		}
		if idle.nothingReceived() {
			return idle, nil
		}
		p.discard(idle)
		p.count(&p.counters.ClosedBeforeUse)
	}
	conn, err := p.dial(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	return p.opened(call.Name, call.Address, retryConn{conn}), nil
}

// opened registers a new connection.
func (p *Endpoints) opened(name, address string, conn retryConn) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Opened++
	c := &endpointConn{retryConn: conn, pooled: p.pool.Open(time.Now(), name, address)}
	c.pooled.Handle = c
	return c
}

// takeIdle takes an idle connection for a call out of the pool, or returns nil. It waits for one that will have rested
// soon.
func (p *Endpoints) takeIdle(ctx context.Context, call Call) (*endpointConn, error) {
	started := time.Now()
	for {
		now := time.Now()
		p.mu.Lock()
		choice := p.pool.Take(now, call.Name, call.Address, call.Reuse)
		p.mu.Unlock()
		for _, c := range choice.Moved {
			p.discard(c.Handle)
		}
		if choice.Conn == nil {
			return nil, nil
		}
		claimed := true
		if choice.Wait > 0 {
			pause(ctx, choice.Wait)
			now = time.Now()
			p.mu.Lock()
			claimed = p.pool.Claim(now, choice.Conn)
			p.mu.Unlock()
		}
		if claimed {
			conn := choice.Conn.Handle
			conn.quiet, conn.waited = choice.Conn.Quiet(now), now.Sub(started)
			return conn, nil
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("transport: waiting for a connection: %w", ctx.Err())
		}
	}
}

// returnUnused returns a connection to the pool whose call was not written.
func (p *Endpoints) returnUnused(c *endpointConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(c, p.pool.Unused)
}

// release ends a connection's use for a call that was written.
func (p *Endpoints) release(c *endpointConn, reusable bool, answer connpool.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable {
		_ = c.Close()
		return
	}
	p.pool.Answered(time.Now(), c.pooled, answer)
	p.keep(c, p.pool.Keep)
}

// holdOf returns how an early answer to a request that was sent now is treated.
func (p *Endpoints) holdOf(c *endpointConn, now time.Time) connpool.Hold {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Hold(now, c.pooled)
}

// observe records the time that the answer to a request has taken.
func (p *Endpoints) observe(c *endpointConn, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Observe(time.Now(), c.pooled, latency)
}

// surplusAnswer records that the answer to the present call was followed at once by another one.
func (p *Endpoints) surplusAnswer(c *endpointConn, status, following int) {
	now := time.Now()
	p.mu.Lock()
	p.counters.Strays++
	inDoubt := p.pool.Surplus(now, c.pooled, status, following)
	p.counters.InDoubt += int64(len(inDoubt))
	p.logStray(c, "surplus answer", nil, len(inDoubt), now)
	p.mu.Unlock()
	reportDoubt(inDoubt)
}

// strayInCall records that the first of two answers to the present call was a stray.
func (p *Endpoints) strayInCall(c *endpointConn) {
	now := time.Now()
	p.mu.Lock()
	p.counters.Strays++
	inDoubt := p.pool.Stray(now, c.pooled)
	p.counters.InDoubt += int64(len(inDoubt))
	p.logStray(c, "early answer", nil, len(inDoubt), now)
	p.mu.Unlock()
	reportDoubt(inDoubt)
}

// logStray logs a stray. The caller holds p.mu.
func (p *Endpoints) logStray(c *endpointConn, kind string, received []byte, inDoubt int, now time.Time) {
	p.Samples.Note("stray bytes", kind, func(e *zerolog.Event) {
		e.Str("endpoint", c.pooled.Endpoint).EmbedObject(Connection{c.pooled.ID, c.pooled.Uses, c.pooled.Quiet(now)}).
			Dur("age_ms", now.Sub(c.pooled.OpenedAt)).Bytes("bytes", received).Int("in_doubt", inDoubt)
	})
}

// reportDoubt tells the callers of answers in doubt.
func reportDoubt(answers []connpool.Answer) {
	for _, answer := range answers {
		if answer.OnDoubt != nil {
			answer.OnDoubt()
		}
	}
}

// keep returns a connection to the pool, or closes it. The caller holds p.mu.
func (p *Endpoints) keep(c *endpointConn, add func(time.Time, *connpool.Conn[*endpointConn]) (bool, *connpool.Conn[*endpointConn])) {
	if p.closed {
		_ = c.Close()
		return
	}
	now := time.Now()
	kept, displaced := add(now, c.pooled)
	if !kept {
		_ = c.Close()
		return
	}
	if displaced != nil {
		_ = displaced.Handle.Close()
	}
	p.scheduleSweep(now, p.pool.InspectInterval())
}

// scheduleSweep sets the timer for the next sweep, unless it is set for an earlier time. The caller holds p.mu.
func (p *Endpoints) scheduleSweep(now time.Time, after time.Duration) {
	at := now.Add(after)
	switch {
	case p.sweepTimer == nil:
		p.sweepTimer = time.AfterFunc(after, p.sweep)
	case p.nextSweep.IsZero() || at.Before(p.nextSweep):
		p.sweepTimer.Reset(after)
	default:
		return
	}
	p.nextSweep = at
}

// sweep inspects the idle connections that may still receive strays, and closes those whose time is over.
func (p *Endpoints) sweep() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	now := time.Now()
	inspect, expired := p.pool.Due(now)
	var inDoubt []connpool.Answer
	for _, c := range inspect {
		if _, err := peek(c.Handle.Conn); errors.Is(err, syscall.EAGAIN) || inconclusive(err) {
			continue
		}
		p.pool.Remove(c)
		inDoubt = append(inDoubt, p.closeLocked(c.Handle, now)...)
	}
	for _, c := range expired {
		inDoubt = append(inDoubt, p.closeLocked(c.Handle, now)...)
	}
	p.nextSweep = time.Time{}
	if after, needed := p.pool.NextDue(now); needed {
		p.scheduleSweep(now, after)
	}
	p.mu.Unlock()
	reportDoubt(inDoubt)
}

// discard closes a connection that is in use by no call, and reports the answers that a stray on it puts in doubt.
func (p *Endpoints) discard(c *endpointConn) {
	p.mu.Lock()
	inDoubt := p.closeLocked(c, time.Now())
	p.mu.Unlock()
	reportDoubt(inDoubt)
}

// requestTimeoutLine begins an answer by which servers announce that they close an idle connection. It is no call's
// answer, and says nothing about the answers before it.
var requestTimeoutLine = []byte("HTTP/1.1 408 ")

// beginsAnswer reports whether bytes can be the beginning of an answer.
func beginsAnswer(b []byte) bool {
	begin := []byte("HTTP/1.")
	return bytes.HasPrefix(b, begin) || bytes.HasPrefix(begin, b)
}

// strayLogBytes is how much of a stray is logged.
const strayLogBytes = 32

// closeLocked closes a connection without a call and returns the answers that a stray on it puts in doubt. The caller
// holds p.mu.
func (p *Endpoints) closeLocked(c *endpointConn, now time.Time) (inDoubt []connpool.Answer) {
	received, _ := peekInto(c.Conn, make([]byte, strayLogBytes))
	_ = c.Close()
	if len(received) == 0 {
		return nil
	}
	p.counters.Strays++
	kind := "answer"
	switch {
	case bytes.HasPrefix(received, requestTimeoutLine):
		kind = "request timeout"
	case !beginsAnswer(received):
		kind = "other bytes"
	}
	if kind != "request timeout" {
		inDoubt = p.pool.Stray(now, c.pooled)
		p.counters.InDoubt += int64(len(inDoubt))
	}
	p.logStray(c, kind, received, len(inDoubt), now)
	return inDoubt
}

// closeRefused closes the connection on which an earlier call of a message was refused, unless it is certain that the
// refusal was that call's answer: otherwise two calls of the message could be out at once.
func (p *Endpoints) closeRefused(id string) {
	now := time.Now()
	p.mu.Lock()
	c := p.pool.RefusedOn(now, id)
	if c == nil {
		p.mu.Unlock()
		return
	}
	p.pool.Remove(c)
	p.counters.ClosedForRetry++
	inDoubt := p.closeLocked(c.Handle, now)
	p.mu.Unlock()
	reportDoubt(inDoubt)
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Endpoints) CloseIdle(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var inDoubt []connpool.Answer
	for _, c := range p.pool.Idle(name) {
		p.pool.Remove(c)
		inDoubt = append(inDoubt, p.closeLocked(c.Handle, time.Now())...)
	}
	if len(inDoubt) > 0 && !p.closed { // the caller may be the one that OnDoubt waits for
		p.tasks.Go(func() { reportDoubt(inDoubt) })
	}
}

// Close closes all idle connections; from then on none is kept.
func (p *Endpoints) Close() {
	p.mu.Lock()
	p.closed = true
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	for _, c := range p.pool.All() {
		p.pool.Remove(c)
		_ = c.Handle.Close()
	}
	p.mu.Unlock()
	p.tasks.Wait()
}
