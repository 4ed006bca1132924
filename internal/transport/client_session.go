package transport

import (
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/pump"
)

// clientSession reads and answers the requests on one client connection, until it closes.
type clientSession struct {
	clients         *Clients
	conn            *clientConn
	parser          *protocol.Parser
	memory          heldBytes       // of the parser
	request         *requestHolder  // the same as far as it counts against the bound of all connections
	pipelined       *pipelinedInput // is parsed before more is read
	share           processorShare
	betweenRequests bool
	followsRequest  bool      // the current request had arrived when the one before it was answered
	stoppedSending  bool      // the client sends nothing more
	stateSeen       time.Time // when the connection's TCP state was last looked at
	firstRequest    bool
	accepted        recentCount // messages accepted on the connection
}

// recentPeriod is how long a message counts as accepted of late: about as long as its id is kept.
const recentPeriod = 10 * time.Second

// recentCount counts events of the present recentPeriod and the one before, whose count fades.
type recentCount struct {
	began           time.Time // of the present period
	current, before int
}

// at returns the count at a time.
func (c *recentCount) at(now time.Time) int {
	switch age := now.Sub(c.began); {
	case age >= 2*recentPeriod:
		*c = recentCount{began: now}
	case age >= recentPeriod:
		*c = recentCount{began: c.began.Add(recentPeriod), before: c.current}
	}
	left := 1 - now.Sub(c.began).Seconds()/recentPeriod.Seconds()
	return c.current + int(left*float64(c.before))
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
	session := &clientSession{
		clients: s, conn: c, parser: parser, memory: heldBytes{gauge: &s.parserMemory}, betweenRequests: parser.Idle(), firstRequest: true,
	}
	session.request = s.RequestMemory.newHolder(func() { _ = c.SetReadDeadline(time.Now()) })
	defer session.setMemory(0, false)
	defer func() { session.pipelined.release() }()
	for session.step() {
	}
}

// step parses what was read, and answers a request or reads more. It returns false if the connection was closed or has to be.
func (x *clientSession) step() bool {
	message, err := x.parser.Next()
	x.setMemory(x.parser.HeldBytes(), message != nil)
	switch {
	case err != nil:
		x.clients.count(&x.clients.counters.BadRequests)
		return x.reject(protocol.ParseErrorRefusal(err))
	case message == nil:
		return x.read()
	case message.Long:
		return x.clients.setState(x.conn, stateStreaming) && x.stream(message) && x.awaitNext()
	}
	return x.clients.setState(x.conn, stateAnswering) && x.answerRequest(message) && x.awaitNext()
}

// awaitNext prepares for the next request after an answer.
func (x *clientSession) awaitNext() bool {
	x.firstRequest = false
	x.share.use(requestShareBytes)
	x.betweenRequests = x.parser.Idle() && x.pipelined.empty()
	x.followsRequest = !x.betweenRequests
	if !x.betweenRequests {
		return x.clients.setState(x.conn, stateReading)
	}
	x.parser.Shrink()
	x.setMemory(x.parser.HeldBytes(), true)
	return x.clients.setState(x.conn, stateIdle) || x.closeGracefully()
}

// read reads what has arrived.
func (x *clientSession) read() bool {
	if x.parser.Continue() {
		if _, err := x.conn.Write([]byte(protocol.ContinueResponse)); err != nil {
			return false
		}
	}
	if !x.request.reserve(x.parser.HeldBytes() + x.parser.SpaceBytes()) {
		return x.refuseForMemory()
	}
	space := x.parser.Space()
	x.setMemory(x.parser.HeldBytes(), false)
	if !x.pipelined.empty() {
		n := x.pipelined.read(space)
		x.parser.Commit(n)
		x.share.use(n)
		return true
	}
	n, err := x.conn.Read(space)
	x.parser.Commit(n)
	x.share.use(n)
	if n > 0 && x.betweenRequests {
		if x.betweenRequests = false; !x.clients.setState(x.conn, stateReading) {
			return false
		}
	}
	return err == nil || n > 0 || x.readFailed(err)
}

// readFailed handles the end of the input, or a failure to read it. It returns true if the connection is still read.
func (x *clientSession) readFailed(err error) bool {
	s, c := x.clients, x.conn
	timeout := (net.Error)(nil)
	switch timedOut := errors.As(err, &timeout) && timeout.Timeout(); {
	case !timedOut && isSyscallError(err) && !x.parser.Idle(): // the client may still wait for an answer
		s.count(&s.counters.Broken)
		s.logSample(c, "request not read", err)
		return x.reject(&protocol.Refusal{Status: 503, Reason: "request could not be read", RetryAfter: time.Second, Close: true})
	case !timedOut: // the client has closed the connection
		if isSyscallError(err) {
			s.logSample(c, "connection broken", err)
		}
		return false
	case x.request.isEvicted():
		return x.refuseForMemory()
	case !x.parser.Idle():
		s.count(&s.counters.Late)
		return x.reject(&protocol.Refusal{Status: 408, Reason: "request not complete in time", Close: true})
	case s.allowLateBytes(c):
		x.betweenRequests = false
		return true
	case x.firstRequest:
		s.count(&s.counters.Silent)
	}
	return x.closeGracefully()
}

// reject sends an error as the last answer and closes the connection. It returns false.
func (x *clientSession) reject(refusal *protocol.Refusal) bool {
	x.release()
	x.clients.rejectConnection(x.conn, refusal)
	return false
}

// closeGracefully closes the connection, on which no answer is due. It returns false.
func (x *clientSession) closeGracefully() bool {
	x.release()
	x.clients.closeGracefully(x.conn)
	return false
}

// release gives back the memory of what was read, before a close: the client may take its time.
func (x *clientSession) release() {
	x.releaseParser()
	x.pipelined.release()
}

func (x *clientSession) releaseParser() {
	x.parser.Release()
	x.setMemory(x.parser.HeldBytes(), false)
}

// setMemory records the parser's memory, which it holds for a request that is whole or not.
func (x *clientSession) setMemory(bytes int, whole bool) {
	x.memory.set(bytes)
	x.request.set(bytes, whole)
}

// refuseForMemory refuses a request that is not whole, since too many others are not. It returns false.
func (x *clientSession) refuseForMemory() bool {
	s, c := x.clients, x.conn
	s.count(&s.counters.OutOfMemory)
	s.Samples.Note("request refused", "too many incomplete requests", func(e *zerolog.Event) {
		e.Str("client", c.RemoteAddr().String()).Int("bytes", x.parser.HeldBytes())
	})
	return x.reject(&protocol.Refusal{Status: 503, Reason: "too many incomplete requests", RetryAfter: time.Second, Close: true})
}

// stream streams a long message to an endpoint and answers it once the stream has ended. It returns false if the
// connection was closed.
func (x *clientSession) stream(message *protocol.Message) bool {
	s, c, parser := x.clients, x.conn, x.parser
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
		return x.reject(refusal)
	}
	framing, length := parser.Framing()
	http10, closes := string(message.Start[2]) == "HTTP/1.0", message.Close // a call may start while the message is released
	conn := net.Conn(c)
	if !x.pipelined.empty() {
		conn = pipelinedConn{c.Conn, x.pipelined}
	}
	upload := &Upload{
		streams: s.Streams, conn: conn, body: body, content: message.Body, undecoded: raw, framing: framing, length: length,
		expectsContinue: parser.Continue(), http10: http10,
		closesClient: func() bool { return closes || s.closesAfterAnswer(c) },
	}
	defer upload.release()
	refusal, done := s.Handler.Stream(submission, upload)
	if refusal != nil { // nothing reads the body that follows
		refusal.Close = true
		return x.reject(refusal)
	}
	if !x.finishStream(upload, <-done) {
		return false
	}
	parser.Reset()
	x.pipelined = x.pipelined.after(upload.takePipelined())
	return true
}

// finishStream answers a long message that has ended, unless its answer was streamed. It returns false if the connection
// was closed or has to be; windows and what was read are released before that, since the client may take its time.
func (x *clientSession) finishStream(upload *Upload, result StreamEnd) bool {
	s, c := x.clients, x.conn
	if result.Refusal != nil || !upload.answerStarted || !upload.reusable {
		upload.release()
		x.releaseParser() // a call that is still out may read pipelined input
	}
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

// stateInterval is the time between two looks at the TCP state of a connection: they would cost a tenth of a small request each.
const stateInterval = time.Millisecond

// clientStoppedSending reports whether the client has shut down its sending side or closed the connection, as it was seen at intervals.
func (x *clientSession) clientStoppedSending(now time.Time) bool {
	if !x.stoppedSending && now.Sub(x.stateSeen) >= stateInterval {
		x.stateSeen = now
		x.stoppedSending = tcpStateOf(x.conn.Conn) == tcpCloseWait
	}
	return x.stoppedSending
}

// answerRequest answers one request. A client that has sent requests ahead, which have been read, may have closed
// the connection: the first answer that is reset shows it, and cancels its message. It returns false if the connection was closed or has to be.
func (x *clientSession) answerRequest(m *protocol.Message) bool {
	s, c := x.clients, x.conn
	sentAhead := x.followsRequest || len(x.parser.Buffered()) > 0
	kind, submission, refusal := protocol.ReadRequest(m)
	status, cancel := 200, func() {}
	if refusal != nil {
		s.count(&s.counters.BadRequests)
	} else if kind == protocol.SubmitMessage {
		status = 202
		submission.Timeout -= c.queueDelay()
		submission.ConnectionAccepted = x.accepted.at(time.Now())
		if refusal, cancel = s.Handler.Accept(submission); refusal == nil {
			x.accepted.current++
		}
	}
	if refusal != nil && refusal.Status == 0 { // no answer is known to be true: send none
		return false
	}
	if refusal != nil && refusal.Close {
		return x.reject(refusal)
	}
	closes := m.Close || s.closesAfterAnswer(c)
	halfClosed := sentAhead && x.clientStoppedSending(time.Now())
	written, err := s.writeAnswer(c, status, refusal, closes)
	switch {
	case err != nil:
		if cancel != nil && written == 0 { // otherwise the client may have seen the answer
			cancel()
		}
		return false
	case halfClosed && clientHasLeft(c.Conn): // the answer was reset
		s.countDeparted(c)
		if cancel != nil {
			cancel()
		}
		return false
	}
	return !closes || x.closeGracefully()
}
