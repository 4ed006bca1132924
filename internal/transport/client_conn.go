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

// Reading and answering requests on one client connection, until it closes.

// allowLateBytes is called when a connection's read deadline has expired. If bytes have arrived in the meantime they
// are still read, and the request that they carry is the last one on the connection. This happens once per
// connection, so a client that keeps sending bytes without a request gets no further time.
func (s *Clients) allowLateBytes(c *clientConn) (more bool) {
	if n, err := peek(c.Conn); n == 0 && !inconclusive(err) || c.graceUsed { // an inconclusive peek leaves it to a read
		return false
	}
	s.mu.Lock()
	c.closeAfterAnswer, c.graceUsed = true, true
	s.mu.Unlock()
	return s.setState(c, stateReading)
}

// closeGracefully closes a connection on which no answer is due. Closing it with unread or still arriving input would
// reset it, and a client that has not yet read the last answer would lose it.
func (s *Clients) closeGracefully(c *clientConn) {
	if s.setState(c, stateClosing) {
		s.drain(c)
	}
}

// closeConn closes a connection and unregisters it.
func (s *Clients) closeConn(c *clientConn) {
	s.mu.Lock()
	s.remove(c)
	s.mu.Unlock()
	_ = c.Close()
}

func (s *Clients) reject(c *clientConn) {
	defer s.closeConn(c)
	s.rejectConnection(c, &protocol.Refusal{Status: 503, Reason: "too many connections", RetryAfter: time.Second, Close: true})
}

func (s *Clients) serve(c *clientConn) {
	parser := protocol.NewRequestParser(protocol.MaxBodyBytes)
	if s.Streams != nil {
		parser.Stream(protocol.StreamLong)
	}
	s.serveFrom(c, parser)
}

// serveFrom answers the requests on a connection until it closes.
func (s *Clients) serveFrom(c *clientConn, parser *protocol.Parser) {
	defer s.closeConn(c)
	betweenRequests, firstRequest := parser.Idle(), true
	memory, share := heldBytes{gauge: &s.parserMemory}, processorShare{}
	defer memory.set(0)
	for {
		message, err := parser.Next()
		if err != nil {
			s.count(&s.counters.BadRequests)
			s.rejectConnection(c, protocol.ParseErrorRefusal(err))
			return
		}
		if message != nil && message.Long {
			if !s.setState(c, stateStreaming) || !s.stream(c, parser, message) {
				return
			}
			if !s.setState(c, stateIdle) {
				s.closeGracefully(c)
				return
			}
			parser.Reset()
			memory.set(parser.HeldBytes())
			betweenRequests, firstRequest = true, false
			continue
		}
		if message != nil {
			if !s.setState(c, stateAnswering) || !s.handleRequest(c, message) {
				return
			}
			if firstRequest = false; parser.Idle() {
				parser.Shrink()
				memory.set(parser.HeldBytes())
				if betweenRequests = true; !s.setState(c, stateIdle) {
					s.closeGracefully(c)
					return
				}
			} else if betweenRequests = false; !s.setState(c, stateReading) {
				return
			}
			share.use(requestShareBytes)
			continue
		}
		if parser.Continue() {
			if _, err := c.Write([]byte(protocol.ContinueResponse)); err != nil {
				return
			}
		}
		space := parser.Space()
		memory.set(parser.HeldBytes())
		n, err := c.Read(space)
		parser.Commit(n)
		share.use(n)
		if n > 0 && betweenRequests {
			if betweenRequests = false; !s.setState(c, stateReading) {
				return
			}
		}
		if err != nil && n == 0 {
			timeout := (net.Error)(nil)
			switch timedOut := errors.As(err, &timeout) && timeout.Timeout(); {
			case !timedOut && isSyscallError(err) && !parser.Idle(): // the client may still wait for an answer
				s.count(&s.counters.Broken)
				s.logSample(c, "request not read", err)
				s.rejectConnection(c, &protocol.Refusal{Status: 503, Reason: "request could not be read", RetryAfter: time.Second, Close: true})
				return
			case !timedOut: // the client has closed the connection
				if isSyscallError(err) {
					s.logSample(c, "connection broken", err)
				}
				return
			case !parser.Idle():
				s.count(&s.counters.Late)
				s.rejectConnection(c, &protocol.Refusal{Status: 408, Reason: "request not complete in time", Close: true})
				return
			case s.allowLateBytes(c):
				betweenRequests = false
				continue
			case firstRequest:
				s.count(&s.counters.Silent)
			}
			s.closeGracefully(c)
			return
		}
	}
}

// stream streams a long message to an endpoint and answers it once the stream has ended. It returns false if the
// connection was closed.
func (s *Clients) stream(c *clientConn, parser *protocol.Parser, message *protocol.Message) bool {
	kind, submission, refusal := protocol.ReadRequest(message)
	if refusal == nil && kind != protocol.SubmitMessage {
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
	http10 := string(message.Start[2]) == "HTTP/1.0"
	upload := &Upload{
		streams: s.Streams, conn: c, body: body, content: message.Body, undecoded: raw, framing: framing, length: length,
		expectsContinue: parser.Continue(), http10: http10,
		closesClient: func() bool { return message.Close || s.closesAfterAnswer(c) },
	}
	defer upload.release()
	refusal, done := s.Handler.Stream(submission, upload)
	if refusal != nil { // nothing reads the body that follows
		refusal.Close = true
		s.rejectConnection(c, refusal)
		return false
	}
	result := <-done
	switch {
	case result.Refusal != nil:
		if s.setState(c, stateClosing); upload.outcome == pump.ClientMalformed {
			result.Refusal.Status, result.Refusal.Reason = 400, "malformed body"
		}
		answered := upload.outcome != pump.ClientGone && s.answer(c, 0, result.Refusal, true)
		if result.OnAnswered != nil {
			result.OnAnswered(answered)
		}
		if answered {
			s.drain(c)
		}
		return false
	case !upload.answerStarted: // delivered, but the endpoint's answer was cut short
		s.rejectConnection(c, protocol.Delivered())
		return false
	case !upload.reusable:
		s.setState(c, stateClosing)
		s.drain(c)
		return false
	}
	return true
}

// handleRequest answers one request. It returns false if the connection was closed or has to be.
func (s *Clients) handleRequest(c *clientConn, m *protocol.Message) bool {
	kind, submission, refusal := protocol.ReadRequest(m)
	status, cancel := 200, func() {}
	if refusal != nil {
		s.count(&s.counters.BadRequests)
	} else if kind == protocol.SubmitMessage {
		status = 202
		submission.Timeout -= c.queueDelay()
		refusal, cancel = s.Handler.Accept(submission)
	}
	if refusal != nil && refusal.Status == 0 { // no answer is known to be true: send none
		return false
	}
	if refusal != nil && refusal.Close {
		s.rejectConnection(c, refusal)
		return false
	}
	closes := m.Close || s.closesAfterAnswer(c)
	if written, err := s.writeAnswer(c, status, refusal, closes); err != nil {
		if cancel != nil && written == 0 { // otherwise the client may have seen the answer
			cancel()
		}
		return false
	}
	if closes {
		s.closeGracefully(c)
	}
	return !closes
}

const (
	acceptDelayWindow = time.Second           // after a failed accept, connections may have queued for so long
	minQueueDelay     = 10 * time.Millisecond // shorter delays may be an artifact of the kernel's coarse clock
)

// queueDelay returns how long the first request of a connection had waited before it was read, if an accept failed
// shortly before. The message's timeout runs during that time.
func (c *clientConn) queueDelay() time.Duration {
	if !c.acceptDelayed {
		return 0
	}
	c.acceptDelayed = false
	delay, known := sinceReceived(c.Conn)
	if !known || delay < minQueueDelay {
		return 0
	}
	return min(delay, requestTimeout)
}

// logSample logs a connection that ended with an error, and the system call that failed.
func (s *Clients) logSample(c *clientConn, what string, err error) {
	reason := "closed"
	if call := (*os.SyscallError)(nil); errors.As(err, &call) {
		reason = call.Error()
	}
	s.Samples.Note(what, reason, func(e *zerolog.Event) { e.Str("client", c.RemoteAddr().String()).Err(err) })
}

// rejectConnection sends an error as the connection's last answer and then drains its input for a while. Closing the
// connection while input arrives would reset it, and a client that is still sending would lose the answer.
func (s *Clients) rejectConnection(c *clientConn, r *protocol.Refusal) {
	s.setState(c, stateClosing)
	if s.answer(c, 0, r, true) {
		s.drain(c)
	}
}

func (s *Clients) drain(c *clientConn) {
	c.closeWrite()
	s.mu.Lock()
	timeout := drainTimeout
	if s.shuttingDown {
		timeout = shutdownGrace
	}
	s.mu.Unlock()
	until := time.Now().Add(timeout)
	for left := int64(maxDrainBytes); left > 0 && time.Now().Before(until); {
		if c.SetReadDeadline(time.Now().Add(drainQuietTimeout)) != nil {
			return
		}
		n, err := io.CopyN(io.Discard, c, min(left, drainStepBytes))
		if left -= n; err != nil {
			return
		}
	}
}

// answer writes an answer and reports whether it was written whole.
func (s *Clients) answer(c *clientConn, status int, r *protocol.Refusal, last bool) bool {
	_, err := s.writeAnswer(c, status, r, last)
	return err == nil
}

// writeAnswer writes an answer and returns how many bytes of it were written.
func (s *Clients) writeAnswer(c *clientConn, status int, r *protocol.Refusal, last bool) (written int, err error) {
	if err := c.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return 0, err
	}
	written, err = c.Write(protocol.AppendAnswer(make([]byte, 0, 160), status, r, last))
	if err != nil {
		s.count(&s.counters.Broken)
		s.logSample(c, "answer not written", err)
	}
	return written, err
}
