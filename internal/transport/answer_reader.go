package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"time"

	"mulleinbeam/internal/connpool"
	"mulleinbeam/internal/protocol"
)

// verdict is what is concluded from reading a call's answer.
type verdict struct {
	outcome  CallOutcome
	reply    protocol.Reply // valid if outcome is Answered
	doubt    connpool.Doubt // whether the answer may be another call's
	reusable bool           // the connection can carry another call; otherwise it is closed
	waited   time.Duration  // how long the answer was held back
}

// endsMessage reports whether the answer says that the message gets no further call.
func (v verdict) endsMessage() bool {
	return v.outcome == Answered && protocol.EndsMessage(v.reply.Status)
}

// answerReader reads the answer of one call. A status line that ends the message counts even if the rest of the answer is
// faulty. Any other incomplete answer may belong to a call that ran.
type answerReader struct {
	endpoints    *Endpoints
	conn         *endpointConn
	parser       *protocol.Parser
	memory       heldBytes // of the parser
	sentAt       time.Time
	hold         connpool.Hold
	held         *protocol.Reply     // an answer that came implausibly early
	heldLatency  time.Duration       // time from the request to that answer
	until        time.Time           // deadline for the answer's last byte
	onRetryAfter func(time.Duration) // may be nil
}

// readAnswer reads a call's answer.
func (p *Endpoints) readAnswer(ctx context.Context, conn *endpointConn, onRetryAfter func(time.Duration)) (verdict, error) {
	parser := p.parsers.Get().(*protocol.Parser)
	r := &answerReader{
		endpoints: p, conn: conn, parser: parser, memory: heldBytes{gauge: &p.parserMemory}, sentAt: time.Now(), onRetryAfter: onRetryAfter,
	}
	defer func() {
		r.memory.set(0)
		parser.Reset()
		p.parsers.Put(parser)
	}()
	r.hold = p.holdOf(conn, r.sentAt)
	for {
		m, err := parser.Next()
		if m == nil && err == nil {
			if err = r.read(); err == nil {
				continue
			}
			m = parser.Finish(errors.Is(err, io.EOF))
		}
		switch {
		case m != nil && r.holdBack(m):
			continue
		case m != nil:
			return r.accept(m), nil
		case r.held != nil && parser.Idle() && errors.Is(err, os.ErrDeadlineExceeded): // no other answer has followed
			return r.acceptHeld(connpool.NoDoubt), nil
		case r.held != nil && parser.Idle() && errors.Is(err, io.EOF): // none will follow
			return r.acceptHeld(connpool.EarlyAnswer), nil
		}
		return r.fail(ctx), err
	}
}

// read reads what has arrived, and limits the time for the rest of the answer.
func (r *answerReader) read() error {
	space := r.parser.Space()
	r.memory.set(r.parser.HeldBytes())
	n, err := r.conn.Read(space)
	if n <= 0 {
		return err
	}
	r.parser.Commit(n)
	now := time.Now()
	if r.until.IsZero() {
		r.until = now.Add(answerReadTimeout)
	}
	if soon := now.Add(deliveredRestTimeout); soon.Before(r.until) && protocol.SettlesMessage(r.parser.Status()) {
		r.until = soon
	}
	_ = r.conn.SetReadDeadline(r.until) // if the connection is closed by now, the next read reports it
	return nil
}

// early reports whether an answer that arrives now comes implausibly soon.
func (r *answerReader) early() bool { return time.Since(r.sentAt) < r.hold.PlausibleAfter }

// holdBack keeps an answer that came implausibly early, and sets the time until which another one may follow. An answer
// that ends the message needs no work and comes early by nature; what it says is acted on at once.
func (r *answerReader) holdBack(m *protocol.Message) bool {
	if r.held != nil || m.Close || !r.parser.Idle() || !r.early() || protocol.EndsMessage(m.Status()) {
		return false
	}
	reply := protocol.ReadReply(m)
	r.held, r.heldLatency, r.until = &reply, time.Since(r.sentAt), time.Time{}
	if reply.RetryAfter > 0 && r.onRetryAfter != nil {
		r.onRetryAfter(reply.RetryAfter)
	}
	r.endpoints.count(&r.endpoints.counters.Held)
	return r.conn.SetReadDeadline(r.sentAt.Add(r.hold.Until)) == nil
}

// accept takes an answer for the call's own.
func (r *answerReader) accept(m *protocol.Message) verdict {
	v := verdict{outcome: Answered, reply: protocol.ReadReply(m)}
	switch {
	case r.held != nil: // one of the two was a stray
		r.endpoints.strayInCall(r.conn)
		if v.reply.Status != r.held.Status {
			v.doubt = connpool.SecondAnswer
		}
		return v
	case !r.parser.Idle():
		v.doubt = r.readSurplus(v.reply.Status)
		return v
	}
	v.reusable = !m.Close
	if r.early() && protocol.EndsMessage(v.reply.Status) {
		v.doubt = connpool.EarlyAnswer
		r.conn.pooled.RestUntil(r.sentAt.Add(r.hold.Until))
	}
	r.observe(&v, time.Since(r.sentAt))
	return v
}

// acceptHeld takes the answer that was held back for the call's own, since no other has followed.
func (r *answerReader) acceptHeld(doubt connpool.Doubt) verdict {
	v := verdict{
		outcome: Answered, reply: *r.held, doubt: doubt, reusable: !doubt.Suspicious(), waited: time.Since(r.sentAt) - r.heldLatency,
	}
	r.observe(&v, r.heldLatency)
	return v
}

// observe records the latency of a whole answer, and prepares its connection for another call.
func (r *answerReader) observe(v *verdict, latency time.Duration) {
	r.endpoints.observe(r.conn, latency)
	v.reusable = v.reusable && r.conn.SetReadDeadline(time.Time{}) == nil
}

// readSurplus examines the bytes behind an answer and returns the doubt about it. Another answer there shows that one
// answer more has come than calls were made; which is the surplus one matters only if they say different things. Bytes that
// begin no answer have moved none.
func (r *answerReader) readSurplus(status int) connpool.Doubt {
	p := r.endpoints
	p.count(&p.counters.Surplus)
	surplus := r.parser.Buffered()
	if !beginsAnswer(surplus) || bytes.HasPrefix(surplus, requestTimeoutLine) {
		return connpool.NoDoubt
	}
	following := 0
	if second, _ := r.parser.Next(); second != nil {
		following = second.Status()
	}
	p.surplusAnswer(r.conn, status, following)
	if following == status {
		return connpool.NoDoubt
	}
	return connpool.SecondAnswer
}

// fail returns what is known of a call without a whole answer.
func (r *answerReader) fail(ctx context.Context) verdict {
	p := r.endpoints
	status := r.parser.Status()
	switch {
	case protocol.SettlesMessage(status):
		p.count(&p.counters.Malformed)
		if status == protocol.StatusDelivered {
			p.count(&p.counters.MalformedDelivered)
		}
		return verdict{outcome: Answered, reply: protocol.Reply{Status: status}, doubt: connpool.CutShort}
	case ctx.Err() != nil:
		return verdict{outcome: Abandoned}
	case r.parser.Idle():
		return verdict{outcome: Broken}
	}
	p.count(&p.counters.Malformed)
	return verdict{outcome: Malformed}
}
