package pump

import (
	"errors"
	"io"
	"os"
	"time"

	"mulleinbeam/internal/protocol"
)

// Direction is a direction of an exchange.
type Direction int

// The values of Direction.
const (
	Up   Direction = iota // from the client to the endpoint
	Down                  // from the endpoint to the client
)

// Op is the next operation of a direction's driver.
type Op int

// The values of Op.
const (
	Stop           Op = iota // nothing more to do in this direction
	Read                     // read from the source into Step.Space
	Write                    // write Step.Out to the sink
	SpliceIn                 // splice up to Step.Limit bytes from the source and hold them
	SpliceOut                // splice Step.Limit of the bytes held to the sink
	Begin                    // ask for permission to send the first byte; it is denied by ErrForbidden or another error
	RecordDelivery           // record the delivery before any byte of the answer is sent to the client
	Wait                     // wait until the other direction has reported a step, or until Step.Deadline
)

// ErrForbidden is passed to StepDone if a call must not begin. Any other error from Begin means that there is no
// connection for the call.
var ErrForbidden = errors.New("pump: call must not begin")

// ErrNoSplice is passed to StepDone if bytes can't be spliced and none were. The exchange then reads and writes
// instead.
var ErrNoSplice = errors.New("pump: splice is not supported")

// Step is one operation, which times out at Deadline.
type Step struct {
	Op       Op
	Space    []byte
	Out      [][]byte
	Limit    int
	Deadline time.Duration
}

// Outcome is how an exchange ended.
type Outcome int

// The values of Outcome. With any other than Delivered and Answered there is no usable answer from the endpoint, and
// the endpoint does not learn of the outcome.
const (
	Running         Outcome = iota
	Delivered               // the endpoint answered 200
	Answered                // the endpoint answered with another status; Reply returns the answer
	Malformed               // the endpoint's answer is malformed or incomplete
	Broken                  // the endpoint's connection ended before its answer
	EndpointStalled         // idle timeout while waiting for the endpoint
	ClientGone              // the client's connection ended before its body was complete
	ClientStalled           // idle timeout while waiting for the client
	ClientMalformed         // the client's body is malformed
	TimeUp
	NotBegun // Begin was denied with ErrForbidden
	Aborted
)

var outcomeNames = [...]string{"running", "delivered", "answered", "malformed answer", "broken", "endpoint stalled", "client gone",
	"client stalled", "malformed request body", "deadline exceeded", "not begun", "aborted"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

const (
	maxDrainedBytes      = 64 << 20               // bytes of a request body that are read and discarded after its answer
	answerTimeout        = time.Second            // from the first byte to a complete head, or to all of a non-200 answer
	deliveredHeadTimeout = 200 * time.Millisecond // for the rest of a head after a status line with 200
	writtenTimeout       = 20 * time.Millisecond  // for the report of a write whose last byte the endpoint has answered
)

// Config configures an exchange. Times count from an arbitrary common origin.
type Config struct {
	Request        *Pipe            // the client's body, to be written after the head of the call
	Answers        *protocol.Parser // must be set to StreamAnswered
	Window         func() []byte    // returns the window for the answer's body
	MaxAnswerBytes int64            // limit on that body
	IdleTimeout    time.Duration    // ends the exchange after this time without progress in either direction
	Now            time.Duration
	Deadline       time.Duration // the message's deadline
	HTTP10         bool          // the client speaks HTTP/1.0
	CloseClient    bool          // the client's connection is closed after the answer
	Splice         bool          // the driver can splice
	// KeepSurplus reports whether the driver takes what the client has sent behind its body, so that the connection can go
	// on with it. It is asked once, if there is any; nil stands for no.
	KeepSurplus func(bytes int) bool
}

type downPhase int

const (
	awaitingAnswer downPhase = iota // waiting for the answer's head, or all of one that is not 200
	recordingDelivery
	streamingAnswer
)

// Exchange is one call with a long message. Two drivers, one per direction, ask Next for a step and pass its result to
// StepDone, both under one lock. The first direction that ends determines the outcome.
type Exchange struct {
	cfg              Config
	outcome          Outcome
	lastProgress     time.Duration
	currentOp        [2]Op // the current operation of each direction
	upStopped        bool  // nothing more is sent to the endpoint
	drainedBytes     int   // bytes of the client's body that were read and discarded
	draining         bool
	begun            bool // sending to the endpoint was permitted
	answeredEarly    bool // the endpoint answered before it had the whole body
	downPhase        downPhase
	answerDeadline   time.Duration     // when the answer's head must be complete; 0 before its first byte
	heldAnswer       *protocol.Message // an answer that came before the write of the request's end was reported
	heldUntil        time.Duration
	answerPipe       *Pipe
	reply            protocol.Reply
	closeEndpoint    bool // the endpoint's connection can't be reused
	answerStarted    bool // a byte of the answer may have been sent to the client
	requestMalformed bool // the part of the body received while the exchange ended is malformed
	answerTruncated  bool // the client did not get the complete answer
	surplusLost      bool // nothing takes what the client has sent behind its body
}

// New returns a new exchange.
func New(cfg Config) *Exchange { return &Exchange{cfg: cfg, lastProgress: cfg.Now} }

// Outcome returns how the exchange ended, or Running.
func (x *Exchange) Outcome() Outcome { return x.outcome }

// Reply returns the endpoint's answer if the outcome is Answered.
func (x *Exchange) Reply() protocol.Reply { return x.reply }

// Begun reports whether a byte may have been sent to the endpoint.
func (x *Exchange) Begun() bool { return x.begun }

// AnswerStarted reports whether a byte of the answer may have been sent to the client.
func (x *Exchange) AnswerStarted() bool { return x.answerStarted }

// Retryable reports whether the message can be sent again: all content received so far is buffered, and the client is
// still connected. It is valid once both directions were told to stop and have reported their last steps.
func (x *Exchange) Retryable() bool {
	switch x.outcome {
	case ClientGone, ClientStalled, ClientMalformed, Delivered, Aborted, TimeUp:
		return false
	}
	return x.cfg.Request.Rewindable() && !x.requestMalformed
}

// AnswerComplete reports whether the message was delivered and the client has the complete answer.
func (x *Exchange) AnswerComplete() bool { return x.outcome == Delivered && !x.answerTruncated }

// Reusable reports whether the endpoint's and the client's connections can carry another message.
func (x *Exchange) Reusable() (endpoint, client bool) {
	endpoint = !x.answeredEarly && x.cfg.Request.Written() && !x.closeEndpoint && (x.outcome == Answered || x.AnswerComplete())
	return endpoint, x.AnswerComplete() && !x.answeredEarly && x.cfg.Request.Complete() && !x.surplusLost && !x.cfg.CloseClient && !x.cfg.HTTP10
}

// Next returns the next step of a direction.
func (x *Exchange) Next(direction Direction, now time.Duration) Step {
	step := x.nextUp()
	if direction == Down {
		step = x.nextDown(now)
	}
	if step.Deadline == 0 {
		step.Deadline = min(x.lastProgress+x.cfg.IdleTimeout, x.cfg.Deadline)
	}
	x.currentOp[direction] = step.Op
	return step
}

func (x *Exchange) nextUp() Step {
	request := x.cfg.Request
	switch {
	case x.outcome != Running, x.upStopped && !x.draining:
		return Step{}
	case x.draining:
		if x.drainedBytes >= maxDrainedBytes || request.Complete() {
			return Step{}
		}
		return Step{Op: Read, Space: request.window}
	}
	if step, ok := x.spliceStep(request); ok {
		return step
	}
	if out := request.Out(); len(out) > 0 && !x.begun {
		return Step{Op: Begin}
	} else if len(out) > 0 {
		return Step{Op: Write, Out: out}
	}
	if space := request.Space(); space != nil {
		return Step{Op: Read, Space: space}
	}
	return Step{}
}

// spliceStep returns the splice step of a direction, if one is possible now.
func (x *Exchange) spliceStep(p *Pipe) (Step, bool) {
	if p.splicedBytes > 0 {
		return Step{Op: SpliceOut, Limit: p.splicedBytes}, true
	}
	if limit := p.SpliceLimit(); x.cfg.Splice && limit > 0 {
		return Step{Op: SpliceIn, Limit: limit}, true
	}
	return Step{}, false
}

// recordSplice records the result of a splice step; it returns false if the current step is none.
func (x *Exchange) recordSplice(direction Direction, p *Pipe, n int) bool {
	switch x.currentOp[direction] {
	case SpliceIn:
		p.SplicedIn(n)
	case SpliceOut:
		p.SplicedOut(n)
	default:
		return false
	}
	return true
}

func (x *Exchange) nextDown(now time.Duration) Step {
	switch {
	case x.outcome != Running:
		return Step{}
	case x.downPhase == awaitingAnswer && x.heldAnswer != nil:
		return Step{Op: Wait, Deadline: x.heldUntil}
	case x.downPhase == awaitingAnswer:
		step := Step{Op: Read, Space: x.cfg.Answers.Space()}
		if x.answerDeadline > 0 {
			step.Deadline = min(x.answerDeadline, x.cfg.Deadline)
		}
		return step
	case x.downPhase == recordingDelivery:
		return Step{Op: RecordDelivery, Deadline: now}
	}
	if step, ok := x.spliceStep(x.answerPipe); ok {
		return step
	}
	if out := x.answerPipe.Out(); len(out) > 0 {
		x.answerStarted = true
		return Step{Op: Write, Out: out}
	}
	if space := x.answerPipe.Space(); space != nil {
		return Step{Op: Read, Space: space}
	}
	x.finish(Delivered)
	return Step{}
}

// StepDone records the result of a direction's step: n bytes were moved before err. A timeout, os.ErrDeadlineExceeded,
// may be reported before the deadline. If wake is set, the other direction's current step must be interrupted.
func (x *Exchange) StepDone(direction Direction, n int, err error, now time.Duration) (wake bool) {
	if x.outcome != Running {
		if direction == Up && x.currentOp[Up] == Read && !x.draining && n > 0 { // a retry may need these bytes
			x.requestMalformed = x.cfg.Request.Fill(n) != nil
		}
		return true
	}
	wasUpStopped := x.upStopped
	if n > 0 {
		x.lastProgress = now
	}
	if errors.Is(err, ErrNoSplice) {
		x.cfg.Splice = false
		return false
	}
	if direction == Up && x.currentOp[Up] != Stop {
		x.upDone(n, err)
	} else if direction == Down {
		x.downDone(n, err, now)
	}
	if x.outcome == Running && errors.Is(err, os.ErrDeadlineExceeded) {
		x.handleTimeout(direction, now)
	}
	return x.outcome != Running || x.upStopped != wasUpStopped
}

func (x *Exchange) upDone(n int, err error) {
	connLost := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case x.draining:
		if x.drainedBytes += n; connLost {
			x.draining = false
		}
	case x.currentOp[Up] == Begin:
		switch {
		case errors.Is(err, ErrForbidden):
			x.finish(NotBegun)
		case err != nil:
			x.finish(Broken)
		default:
			x.begun = true
		}
	case x.currentOp[Up] == Write, x.currentOp[Up] == SpliceOut:
		if !x.recordSplice(Up, x.cfg.Request, n) {
			x.cfg.Request.Wrote(n)
		}
		x.upStopped = x.upStopped || connLost // the endpoint may have answered all the same
	default:
		if !x.recordSplice(Up, x.cfg.Request, n) && x.cfg.Request.Fill(n) != nil {
			x.finish(ClientMalformed)
		} else if connLost && !x.cfg.Request.Complete() {
			x.finish(ClientGone)
		}
	}
}

func (x *Exchange) downDone(n int, err error, now time.Duration) {
	connLost := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case x.currentOp[Down] == Wait:
		if x.downPhase == awaitingAnswer && (!x.writesEnd() || now >= x.heldUntil) {
			x.startAnswer(x.heldAnswer)
		}
	case x.downPhase == recordingDelivery:
		if err != nil {
			x.finish(Aborted)
			return
		}
		x.downPhase = streamingAnswer
	case x.downPhase == awaitingAnswer:
		x.readAnswer(n, err, now)
	case x.currentOp[Down] == Write, x.currentOp[Down] == SpliceOut:
		if !x.recordSplice(Down, x.answerPipe, n) {
			x.answerPipe.Wrote(n)
		}
		if connLost {
			x.finishTruncated()
		}
	default:
		malformed := !x.recordSplice(Down, x.answerPipe, n) && x.answerPipe.Fill(n) != nil
		if malformed || connLost && !x.answerPipe.Finish() {
			x.finishTruncated()
		}
	}
}

// readAnswer processes bytes of the answer's head, or of an answer that is not 200.
func (x *Exchange) readAnswer(n int, err error, now time.Duration) {
	parser := x.cfg.Answers
	parser.Commit(n)
	if n > 0 && x.answerDeadline == 0 {
		x.answerDeadline = now + answerTimeout
	}
	message, parseErr := parser.Next()
	eof := errors.Is(err, io.EOF)
	if message == nil && parseErr == nil {
		message = parser.Finish(eof)
	}
	delivered := parser.Status() == protocol.StatusDelivered
	switch {
	case message != nil && message.Long && x.writesEnd():
		x.heldAnswer, x.heldUntil = message, now+writtenTimeout
	case message != nil && message.Long:
		x.startAnswer(message)
	case message != nil:
		x.answeredEarly = !x.cfg.Request.Written()
		x.closeEndpoint = x.closeEndpoint || message.Close || !parser.Idle()
		x.reply = protocol.ReadReply(message)
		x.finish(Answered)
	case delivered && (parseErr != nil || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)):
		x.startAnswer(nil)
	case protocol.EndsMessage(parser.Status()) && (parseErr != nil || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)):
		x.finishEnded(parser.Status())
	case parseErr != nil:
		x.finish(Malformed)
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		if x.outcome = Broken; !parser.Idle() {
			x.outcome = Malformed
		}
	case delivered:
		x.answerDeadline = min(x.answerDeadline, now+deliveredHeadTimeout)
	}
}

// writesEnd reports whether the end of the request is being written. The endpoint may have it already: its answer can be read
// before the write is reported.
func (x *Exchange) writesEnd() bool {
	writing := x.currentOp[Up] == Write || x.currentOp[Up] == SpliceOut
	return writing && x.cfg.Request.Complete() && !x.cfg.Request.Written()
}

// finishEnded ends the exchange with the status line of an answer that is not whole but ends the message.
func (x *Exchange) finishEnded(status int) {
	x.reply, x.closeEndpoint = protocol.Reply{Status: status}, true
	x.finish(Answered)
}

// startAnswer starts forwarding an answer with 200; message is nil if the remainder of the answer can't be parsed.
func (x *Exchange) startAnswer(message *protocol.Message) {
	x.downPhase, x.upStopped = recordingDelivery, true
	if x.answeredEarly = !x.cfg.Request.Written(); x.answeredEarly {
		x.draining = !x.cfg.Request.Complete()
	}
	if surplus := len(x.cfg.Request.Surplus()); surplus > 0 {
		x.surplusLost = x.cfg.KeepSurplus == nil || !x.cfg.KeepSurplus(surplus)
	}
	closing := x.cfg.CloseClient || x.cfg.HTTP10 || x.answeredEarly || x.surplusLost
	emptyBody, _ := protocol.NewBody(protocol.ByLength, 0, 0)
	if message != nil {
		x.closeEndpoint = x.closeEndpoint || message.Close
		body, raw, err := x.cfg.Answers.Rest(x.cfg.MaxAnswerBytes)
		if err == nil {
			x.answerPipe, err = NewPipe(x.cfg.Window(), body, message.Body, raw)
		}
		if err == nil {
			framing, length := x.cfg.Answers.Framing()
			if framing == protocol.UntilClose {
				framing = protocol.Chunked
			}
			if x.cfg.HTTP10 && framing == protocol.Chunked {
				framing = protocol.UntilClose
			}
			x.answerPipe.Start(protocol.AppendDelivered(nil, message, framing, length, closing), framing)
			return
		}
	}
	x.closeEndpoint = true
	x.answerPipe, _ = NewPipe(nil, emptyBody, nil, nil)
	x.answerPipe.Start(protocol.AppendDelivered(nil, nil, protocol.ByLength, 0, closing), protocol.ByLength)
}

// finishTruncated ends the exchange of a delivered message whose answer can't be forwarded completely.
func (x *Exchange) finishTruncated() {
	x.answerTruncated = true
	x.finish(Delivered)
}

// handleTimeout determines the outcome after a step has timed out. If the client-to-endpoint direction waits for the
// client's bytes, the client has stalled; otherwise the endpoint has.
func (x *Exchange) handleTimeout(direction Direction, now time.Duration) {
	if x.downPhase == awaitingAnswer && x.heldAnswer != nil {
		x.startAnswer(x.heldAnswer)
		return
	}
	if x.downPhase == awaitingAnswer && x.answerDeadline > 0 && now >= x.answerDeadline {
		switch status := x.cfg.Answers.Status(); {
		case status == protocol.StatusDelivered:
			x.startAnswer(nil)
		case protocol.EndsMessage(status):
			x.finishEnded(status)
		default:
			x.finish(Malformed)
		}
		return
	}
	if now < min(x.lastProgress+x.cfg.IdleTimeout, x.cfg.Deadline) {
		return
	}
	awaitingClient := x.currentOp[Up] == Read || x.currentOp[Up] == SpliceIn
	switch {
	case x.downPhase != awaitingAnswer:
		x.finishTruncated()
	case now >= x.cfg.Deadline:
		x.finish(TimeUp)
	case awaitingClient:
		x.finish(ClientStalled)
	default:
		x.finish(EndpointStalled)
	}
}

// Abort ends a running exchange from outside, with TimeUp or Aborted.
func (x *Exchange) Abort(outcome Outcome) {
	if x.downPhase != awaitingAnswer || x.heldAnswer != nil {
		outcome, x.answerTruncated = Delivered, x.answerTruncated || x.outcome == Running
	}
	x.finish(outcome)
}

func (x *Exchange) finish(outcome Outcome) {
	if x.outcome == Running {
		x.outcome = outcome
	}
}
