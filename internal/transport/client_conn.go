package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/protocol"
)

// The answers on a client connection, and its end.

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
	until, share := time.Now().Add(timeout), processorShare{}
	for left := int64(maxDrainBytes); left > 0 && time.Now().Before(until); {
		if c.SetReadDeadline(time.Now().Add(drainQuietTimeout)) != nil {
			return
		}
		n, err := io.CopyN(io.Discard, c, min(left, drainStepBytes))
		share.use(int(n))
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

// clientHasLeft reports whether a client has reset its connection or closed it for good: it reads no answer. One that has only shut
// down its sending side still does; which of the two a client has done shows with the first answer that it does not read.
func clientHasLeft(conn net.Conn) bool {
	switch tcpStateOf(conn) {
	case 0, tcpEstablished, tcpFinWait1, tcpFinWait2, tcpCloseWait:
		return false
	}
	return true
}

// countDeparted counts and logs a connection whose client left before its requests were answered.
func (s *Clients) countDeparted(c *clientConn) {
	s.count(&s.counters.Departed)
	s.Samples.Note("client has left", "requests not answered", func(e *zerolog.Event) { e.Str("client", c.RemoteAddr().String()) })
}
