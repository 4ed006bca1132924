// Package transport has the thin drivers that read and write sockets for the state machines of package protocol: the
// clients' listener, the endpoints' connections, discovery's watch and the notices. It decides nothing.
package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/oplog"
	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/pump"
)

const (
	idleFor     = 90 * time.Second        // a connection between requests, while there is room
	idleLeast   = 2 * time.Second         // and where there is none
	askLeast    = 500 * time.Millisecond  // a request that is not whole, where there is no room
	requestFor  = 2400 * time.Millisecond // a request from its first byte to its last, the first one from the accept on
	answerFor   = 2 * time.Second         // the writing of an answer
	graceFor    = 300 * time.Millisecond  // for a request that has begun, once clients are to leave
	drainFor    = 3 * time.Second         // after an error: what still comes is read for so long,
	drainQuiet  = 500 * time.Millisecond  // while it does not pause for so long,
	drainStep   = 1 << 20                 // in steps of so many bytes,
	drainMost   = 64 << 20                // and up to so many bytes; a close under them would take the error away
	crowdShare  = 4                       // of the room, one part: with more connections than that they no longer stay
	overloadGap = 50 * time.Millisecond   // between two accepts that failed
)

// Overflow is how many connections there may be beyond the most, while they are turned away or accepted.
const Overflow = 14

// overflow are those that may stay until they have been told so.
const overflow = Overflow - 2

// Handler decides on what clients hand in.
type Handler interface {
	// Take answers a handover; a nil Refusal says that it is taken on, and withdraw, unless it is nil, is to be called
	// if its client could not be told so. The handover's slices are the caller's.
	Take(h protocol.Handover) (r *protocol.Refusal, withdraw func())
	// Pass takes a long message, whose Body is not there. Without a Refusal it is taken on, and its end comes once.
	Pass(h protocol.Handover, up *Upload) (*protocol.Refusal, <-chan Passed)
}

// Passed is the end of a long message.
type Passed struct {
	Refusal *protocol.Refusal // nil for a delivery
	Told    func(bool)        // to be called unless it is nil: whether the client was told of the Refusal
}

// Clients serves the clients' side.
type Clients struct {
	Handler Handler
	Most    int            // connections at once, beside those with long messages
	Long    *Passages      // nil: no body may be longer than protocol.MostBody
	Samples *oplog.Sampler // of connections that end otherwise than in order; nil tells of none

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	endings  int // of them, those at their end,
	passings int // and those with a long message
	leaving  bool
	counters ClientCounters
}

// ClientCounters counts connections and what became of those that did not just ask.
type ClientCounters struct {
	Accepted   int64
	TurnedAway int64 // there was no room for one more
	ClosedIdle int64 // to make room, after their idle time
	Silent     int64 // nothing was asked in time, or others needed the room
	Late       int64 // a request did not come whole in time
	Unreadable int64 // a request can't be read, or asks for what there is not
	// AcceptFailed counts accepts that failed, Broken the connections that ended under a request or an answer.
	AcceptFailed, Broken int64
	Open                 int // now
}

// MarshalZerologObject writes the counters' group of the log.
func (c ClientCounters) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("connections", c.Accepted).Int("open", c.Open).Int64("turned_away", c.TurnedAway).Int64("closed_idle", c.ClosedIdle).
		Int64("silent", c.Silent).Int64("late", c.Late).Int64("unreadable", c.Unreadable).
		Int64("accept_failed", c.AcceptFailed).Int64("broken", c.Broken)
}

// standing is what a connection is at.
type standing int

const (
	silent    standing = iota // it has asked for nothing yet
	asking                    // a request has begun and is not whole
	answering                 // a whole one is being answered
	passing                   // a long one is passed on
	idle                      // between requests
	ending                    // it has its last answer; what it still sends is drained
)

// clientConn is one connection. Its goroutine owns it; Clients.mu guards the rest.
type clientConn struct {
	lastingConn
	accepted time.Time
	at       standing
	since    time.Time
	parting  bool // it ends with its next answer, or without one where none is due
	overtime bool // its time was up, and what had come by then was let in
}

// Serve accepts connections until ctx ends. When leave ends, which comes first, connections end with their next answer
// and idle ones at once. A request that had come by then is answered; one that crosses the end is not read as one, and comes
// again on a new connection, which is still answered.
func (s *Clients) Serve(ctx, leave context.Context, listener net.Listener) error {
	s.mu.Lock()
	s.conns = map[*clientConn]struct{}{}
	s.mu.Unlock()
	var group errgroup.Group
	defer context.AfterFunc(leave, s.leave)()
	defer context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.leave()
	})()
	var failed error
	for {
		conn, err := listener.Accept()
		if err == nil {
			c := &clientConn{lastingConn: lastingConn{conn}, accepted: time.Now()}
			if room := s.admit(c); room {
				group.Go(func() error { s.serve(c); return nil })
			} else {
				group.Go(func() error { s.turnAway(c); return nil })
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, net.ErrClosed) {
			failed = fmt.Errorf("transport: accept: %w", err)
			break
		}
		s.Samples.Note("accept failed", err.Error(), func(*zerolog.Event) {})
		if s.count(&s.counters.AcceptFailed); errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			s.freeDescriptor()
		}
		pause(ctx, overloadGap)
	}
	return errors.Join(failed, group.Wait())
}

// Counters gives the counters as they are now.
func (s *Clients) Counters() ClientCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Open = len(s.conns)
	return s.counters
}

func (s *Clients) count(which *int64) {
	s.mu.Lock()
	*which++
	s.mu.Unlock()
}

// leave closes the idle connections and gives the others a moment to finish what they have begun.
func (s *Clients) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for c := range s.conns {
		switch c.at {
		case asking, answering:
			_ = c.SetReadDeadline(time.Now().Add(graceFor))
		case silent, idle:
			_ = c.SetReadDeadline(time.Now())
		}
	}
}

// admit books a new connection; false says that there is no room for it and it is to be turned away. Who gives way to
// it is one that has asked for nothing, one that has been idle for long enough, or one whose request does not come on.
func (s *Clients) admit(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Accepted++
	c.since = c.accepted
	_ = c.SetReadDeadline(c.accepted.Add(requestFor))
	room := len(s.conns)-s.endings-s.passings < s.Most || s.drop(silent, 0) || s.drop(idle, idleLeast) || s.drop(asking, askLeast)
	s.conns[c] = struct{}{}
	if !room {
		s.counters.TurnedAway++
		s.endings++
		c.at = ending
	}
	if len(s.conns)-s.passings > s.Most+overflow {
		_ = s.closeAnswered() || s.drop(ending, 0) // perhaps this very one
	}
	return room
}

// freeDescriptor ends a connection that nobody misses: one that has its last answer and nothing more to say, or one that has rested
// for long enough. None that is in use gives way, nor one that is just coming.
func (s *Clients) freeDescriptor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.closeAnswered() || s.drop(silent, askLeast) || s.drop(idle, idleLeast)
}

// closeAnswered closes a connection at its end whose last answer has arrived and on which nothing more has come, so that the close does not
// reset it; s.mu is held.
func (s *Clients) closeAnswered() bool {
	for c := range s.conns {
		if c.at != ending || unacknowledged(c.Conn) != 0 {
			continue
		}
		if n, _ := peek(c.Conn); n == 0 {
			s.forget(c)
			_ = c.Close()
			return true
		}
	}
	return false
}

// drop ends the connection that has been at something the longest, and for so long at least; s.mu is held. One that is at its
// end already is closed. Any other is booked as one that is, and its goroutine ends it in order: what has come on it is
// answered, and what crosses the end does not reset it.
func (s *Clients) drop(at standing, least time.Duration) bool {
	var oldest *clientConn
	for c := range s.conns {
		if c.at == at && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest == nil || time.Since(oldest.since) < least {
		return false
	}
	switch at {
	case ending:
		s.forget(oldest)
		_ = oldest.Close()
		return true
	case silent:
		s.counters.Silent++
	case idle:
		s.counters.ClosedIdle++
	case asking:
		s.counters.Late++
	}
	s.tally(ending, 1)
	oldest.at, oldest.parting = ending, true
	_ = oldest.SetReadDeadline(time.Now())
	return true
}

// forget takes a connection out of the books; s.mu is held.
func (s *Clients) forget(c *clientConn) {
	if _, known := s.conns[c]; known {
		s.tally(c.at, -1)
	}
	delete(s.conns, c)
}

// tally books a connection among those that count apart; s.mu is held.
func (s *Clients) tally(at standing, n int) {
	switch at {
	case ending:
		s.endings += n
	case passing:
		s.passings += n
	}
}

// mark books what a connection is at and sets how long its next bytes may take; false says that it has to end.
func (s *Clients) mark(c *clientConn, at standing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[c]; !known || at == idle && (s.leaving || c.parting) {
		return false
	}
	now := time.Now()
	until := now.Add(requestFor)
	switch {
	case s.leaving || c.parting:
		until = now.Add(graceFor)
	case at == idle && s.crowded():
		until = now.Add(idleLeast)
	case at == idle:
		until = now.Add(idleFor)
	case c.at == silent: // its first request: trickled bytes buy no time
		until = c.accepted.Add(requestFor)
	}
	if at == passing { // from here on its exchange sets how long it may take
		until = time.Time{}
	}
	s.tally(c.at, -1)
	s.tally(at, 1)
	c.at, c.since = at, now
	return c.SetReadDeadline(until) == nil
}

// crowded says that many connections are open, most of them surely idle; s.mu is held. Clients have a bound of their own
// on what they hold, so those that stay keep others from asking long before room is short here.
func (s *Clients) crowded() bool { return len(s.conns)-s.passings > s.Most/crowdShare }

// last says whether a connection ends with its next answer.
func (s *Clients) last(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || c.parting || s.crowded()
}

// late says that a connection's time is up for something that only its goroutine could know of: whether bytes have come in
// the meantime. Then they are read after all, and what they ask for is the last that the connection is for. Whoever sends on
// without asking for anything gets no further time.
func (s *Clients) late(c *clientConn) (comes bool) {
	if n, err := peek(c.Conn); n == 0 || err != nil || c.overtime {
		return false
	}
	s.mu.Lock()
	c.parting, c.overtime = true, true
	s.mu.Unlock()
	return s.mark(c, asking)
}

// part ends a connection on which nothing is due. A close over bytes that have come, or still come, would reset it, and take the
// last answer from a client that has not read it.
func (s *Clients) part(c *clientConn) {
	if s.mark(c, ending) {
		s.linger(c)
	}
}

// end closes a connection and forgets it.
func (s *Clients) end(c *clientConn) {
	s.mu.Lock()
	s.forget(c)
	s.mu.Unlock()
	_ = c.Close()
}

func (s *Clients) turnAway(c *clientConn) {
	defer s.end(c)
	s.farewell(c, &protocol.Refusal{Status: 503, Reason: "too many connections", RetryAfter: time.Second, Close: true})
}

func (s *Clients) serve(c *clientConn) {
	parser := protocol.NewRequestParser(protocol.MostBody)
	if s.Long != nil {
		parser.Stream(protocol.StreamLong)
	}
	s.serveFrom(c, parser)
}

// serveFrom answers what comes on a connection, up to its end.
func (s *Clients) serveFrom(c *clientConn, parser *protocol.Parser) {
	defer s.end(c)
	quiet, first := parser.Idle(), true
	for {
		m, err := parser.Next()
		if err != nil {
			s.count(&s.counters.Unreadable)
			s.farewell(c, protocol.Unreadable(err))
			return
		}
		if m != nil && m.Long {
			if !s.mark(c, passing) || !s.pass(c, parser, m) {
				return
			}
			if !s.mark(c, idle) {
				s.part(c)
				return
			}
			parser.Reset()
			quiet, first = true, false
			continue
		}
		if m != nil {
			if !s.mark(c, answering) || !s.request(c, m) {
				return
			}
			if first = false; parser.Idle() {
				parser.Shrink()
				if quiet = true; !s.mark(c, idle) {
					s.part(c)
					return
				}
			} else if quiet = false; !s.mark(c, asking) {
				return
			}
			continue
		}
		if parser.Continue() {
			if _, err := c.Write([]byte(protocol.GoOn)); err != nil {
				return
			}
		}
		n, err := c.Read(parser.Space())
		parser.Commit(n)
		if n > 0 && quiet {
			if quiet = false; !s.mark(c, asking) {
				return
			}
		}
		if err != nil && n == 0 {
			timeout := (net.Error)(nil)
			switch late := errors.As(err, &timeout) && timeout.Timeout(); {
			case !late && ofSystemCall(err) && !parser.Idle(): // its client may still wait for an answer
				s.count(&s.counters.Broken)
				s.sample(c, "request not read", err)
				s.farewell(c, &protocol.Refusal{Status: 503, Reason: "request could not be read", RetryAfter: time.Second, Close: true})
				return
			case !late: // it has ended
				if ofSystemCall(err) {
					s.sample(c, "connection broken", err)
				}
				return
			case !parser.Idle():
				s.count(&s.counters.Late)
				s.farewell(c, &protocol.Refusal{Status: 408, Reason: "request not complete in time", Close: true})
				return
			case s.late(c):
				quiet = false
				continue
			case first:
				s.count(&s.counters.Silent)
			}
			s.part(c)
			return
		}
	}
}

// pass has a long message passed on and answers it once it has ended; false ends the connection.
func (s *Clients) pass(c *clientConn, parser *protocol.Parser, m *protocol.Message) bool {
	asked, handover, refusal := protocol.ReadRequest(m)
	if refusal == nil && asked != protocol.AskHandover {
		refusal = protocol.Unreadable(protocol.ErrBodySize)
	}
	body, raw, err := parser.Rest(s.Long.Most)
	if refusal == nil && err != nil {
		refusal = protocol.Unreadable(err)
	}
	if refusal != nil {
		s.count(&s.counters.Unreadable)
		s.farewell(c, refusal)
		return false
	}
	framing, length := parser.Framing()
	old := string(m.Start[2]) == "HTTP/1.0"
	up := &Upload{
		passages: s.Long, conn: c, body: body, content: m.Body, raw: raw, framing: framing, length: length,
		expects: parser.Continue(), old: old, last: func() bool { return m.Close || s.last(c) },
	}
	defer up.release()
	refusal, done := s.Handler.Pass(handover, up)
	if refusal != nil { // the body that follows is nobody's
		refusal.Close = true
		s.farewell(c, refusal)
		return false
	}
	end := <-done
	switch {
	case end.Refusal != nil:
		if s.mark(c, ending); up.end == pump.ClientBad {
			end.Refusal.Status, end.Refusal.Reason = 400, "malformed body"
		}
		told := up.end != pump.ClientGone && s.answer(c, 0, end.Refusal, true)
		if end.Told != nil {
			end.Told(told)
		}
		if told {
			s.linger(c)
		}
		return false
	case !up.heard: // delivered, and its answer was cut short
		s.farewell(c, protocol.Delivered())
		return false
	case !up.reusable:
		s.mark(c, ending)
		s.linger(c)
		return false
	}
	return true
}

// request answers one request; false ends the connection.
func (s *Clients) request(c *clientConn, m *protocol.Message) bool {
	asked, handover, refusal := protocol.ReadRequest(m)
	status, withdraw := 200, func() {}
	if refusal != nil {
		s.count(&s.counters.Unreadable)
	} else if asked == protocol.AskHandover {
		status = 202
		refusal, withdraw = s.Handler.Take(handover)
	}
	if refusal != nil && refusal.Status == 0 { // nothing that could be said is known to be so
		return false
	}
	if refusal != nil && refusal.Close {
		s.farewell(c, refusal)
		return false
	}
	last := m.Close || s.last(c)
	if written, err := s.write(c, status, refusal, last); err != nil {
		if withdraw != nil && written == 0 { // else its client may know
			withdraw()
		}
		return false
	}
	if last {
		s.part(c)
	}
	return !last
}

// sample tells of a connection that has ended otherwise than in order, and by which system call.
func (s *Clients) sample(c *clientConn, what string, err error) {
	reason := "closed"
	if call := (*os.SyscallError)(nil); errors.As(err, &call) {
		reason = call.Error()
	}
	s.Samples.Note(what, reason, func(e *zerolog.Event) { e.Str("client", c.RemoteAddr().String()).Err(err) })
}

// farewell writes a connection's last answer, an error, and reads on for a while: a close while bytes come would
// reset the connection and take the answer from a client that is still sending.
func (s *Clients) farewell(c *clientConn, r *protocol.Refusal) {
	s.mark(c, ending)
	if s.answer(c, 0, r, true) {
		s.linger(c)
	}
}

func (s *Clients) linger(c *clientConn) {
	c.closeWrite()
	s.mu.Lock()
	span := drainFor
	if s.leaving {
		span = graceFor
	}
	s.mu.Unlock()
	until := time.Now().Add(span)
	for left := int64(drainMost); left > 0 && time.Now().Before(until); {
		if c.SetReadDeadline(time.Now().Add(drainQuiet)) != nil {
			return
		}
		n, err := io.CopyN(io.Discard, c, min(left, drainStep))
		if left -= n; err != nil {
			return
		}
	}
}

// answer writes an answer, and says whether all of it was.
func (s *Clients) answer(c *clientConn, status int, r *protocol.Refusal, last bool) bool {
	_, err := s.write(c, status, r, last)
	return err == nil
}

// write writes an answer, and gives how much of it was written.
func (s *Clients) write(c *clientConn, status int, r *protocol.Refusal, last bool) (written int, err error) {
	if err := c.SetWriteDeadline(time.Now().Add(answerFor)); err != nil {
		return 0, err
	}
	written, err = c.Write(protocol.AppendAnswer(make([]byte, 0, 160), status, r, last))
	if err != nil {
		s.count(&s.counters.Broken)
		s.sample(c, "answer not written", err)
	}
	return written, err
}
