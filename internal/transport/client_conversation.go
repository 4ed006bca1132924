package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/pump"
)

// What is read and answered on one of the clients' connections, up to its end.

// late says that a connection's time is up for something that only its goroutine could know of: whether bytes have come in
// the meantime. Then they are read after all, and what they ask for is the last that the connection is for. Whoever sends on
// without asking for anything gets no further time.
func (s *Clients) late(c *clientConn) (comes bool) {
	if n, err := peek(c.Conn); n == 0 && !unclear(err) || c.overtime { // where it can't be told, a read tells
		return false
	}
	s.mu.Lock()
	c.closing, c.overtime = true, true
	s.mu.Unlock()
	return s.mark(c, asking)
}

// closeGracefully ends a connection on which nothing is due. A close over bytes that have come, or still come, would reset it, and take the
// last answer from a client that has not read it.
func (s *Clients) closeGracefully(c *clientConn) {
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
	s.rejectConnection(c, &protocol.Refusal{Status: 503, Reason: "too many connections", RetryAfter: time.Second, Close: true})
}

func (s *Clients) serve(c *clientConn) {
	parser := protocol.NewRequestParser(protocol.MaxBodyBytes)
	if s.Streams != nil {
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
			s.count(&s.counters.BadRequests)
			s.rejectConnection(c, protocol.ParseErrorRefusal(err))
			return
		}
		if m != nil && m.Long {
			if !s.mark(c, passing) || !s.pass(c, parser, m) {
				return
			}
			if !s.mark(c, idle) {
				s.closeGracefully(c)
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
					s.closeGracefully(c)
					return
				}
			} else if quiet = false; !s.mark(c, asking) {
				return
			}
			continue
		}
		if parser.Continue() {
			if _, err := c.Write([]byte(protocol.ContinueResponse)); err != nil {
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
				s.rejectConnection(c, &protocol.Refusal{Status: 503, Reason: "request could not be read", RetryAfter: time.Second, Close: true})
				return
			case !late: // it has ended
				if ofSystemCall(err) {
					s.sample(c, "connection broken", err)
				}
				return
			case !parser.Idle():
				s.count(&s.counters.Late)
				s.rejectConnection(c, &protocol.Refusal{Status: 408, Reason: "request not complete in time", Close: true})
				return
			case s.late(c):
				quiet = false
				continue
			case first:
				s.count(&s.counters.Silent)
			}
			s.closeGracefully(c)
			return
		}
	}
}

// pass has a long message passed on and answers it once it has ended; false ends the connection.
func (s *Clients) pass(c *clientConn, parser *protocol.Parser, m *protocol.Message) bool {
	asked, handover, refusal := protocol.ReadRequest(m)
	if refusal == nil && asked != protocol.SubmitMessage {
		refusal = protocol.ParseErrorRefusal(protocol.ErrBodySize)
	}
	body, raw, err := parser.Rest(s.Streams.MaxBodyBytes)
	if refusal == nil && err != nil {
		refusal = protocol.ParseErrorRefusal(err)
	}
	if refusal != nil {
		s.count(&s.counters.BadRequests)
		s.rejectConnection(c, refusal)
		return false
	}
	framing, length := parser.Framing()
	old := string(m.Start[2]) == "HTTP/1.0"
	up := &Upload{
		passages: s.Streams, conn: c, body: body, content: m.Body, raw: raw, framing: framing, length: length,
		expects: parser.Continue(), old: old, last: func() bool { return m.Close || s.closesNext(c) },
	}
	defer up.release()
	refusal, done := s.Handler.Stream(handover, up)
	if refusal != nil { // the body that follows is nobody's
		refusal.Close = true
		s.rejectConnection(c, refusal)
		return false
	}
	end := <-done
	switch {
	case end.Refusal != nil:
		if s.mark(c, ending); up.end == pump.ClientMalformed {
			end.Refusal.Status, end.Refusal.Reason = 400, "malformed body"
		}
		told := up.end != pump.ClientGone && s.answer(c, 0, end.Refusal, true)
		if end.OnAnswered != nil {
			end.OnAnswered(told)
		}
		if told {
			s.linger(c)
		}
		return false
	case !up.heard: // delivered, and its answer was cut short
		s.rejectConnection(c, protocol.Delivered())
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
		s.count(&s.counters.BadRequests)
	} else if asked == protocol.SubmitMessage {
		status = 202
		handover.Timeout -= c.waited()
		refusal, withdraw = s.Handler.Accept(handover)
	}
	if refusal != nil && refusal.Status == 0 { // nothing that could be said is known to be so
		return false
	}
	if refusal != nil && refusal.Close {
		s.rejectConnection(c, refusal)
		return false
	}
	last := m.Close || s.closesNext(c)
	if written, err := s.write(c, status, refusal, last); err != nil {
		if withdraw != nil && written == 0 { // else its client may know
			withdraw()
		}
		return false
	}
	if last {
		s.closeGracefully(c)
	}
	return !last
}

const (
	heldFor   = time.Second           // how long accepts that have failed may still hold others up
	leastWait = 10 * time.Millisecond // what the kernel's coarse clock may add to a request that was read at once
)

// waited is how long a connection's first request had been here when it was read, where accepts had failed before: its message's time runs on
// meanwhile.
func (c *clientConn) waited() time.Duration {
	if !c.held {
		return 0
	}
	c.held = false
	ago, told := sinceReceived(c.Conn)
	if !told || ago < leastWait {
		return 0
	}
	return min(ago, requestFor)
}

// sample tells of a connection that has ended otherwise than in order, and by which system call.
func (s *Clients) sample(c *clientConn, what string, err error) {
	reason := "closed"
	if call := (*os.SyscallError)(nil); errors.As(err, &call) {
		reason = call.Error()
	}
	s.Samples.Note(what, reason, func(e *zerolog.Event) { e.Str("client", c.RemoteAddr().String()).Err(err) })
}

// rejectConnection writes a connection's last answer, an error, and reads on for a while: a close while bytes come would
// reset the connection and take the answer from a client that is still sending.
func (s *Clients) rejectConnection(c *clientConn, r *protocol.Refusal) {
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
