package pump

import (
	"errors"
	"io"
	"os"
	"time"

	"mulleinbeam/internal/protocol"
)

// Direction names a direction of an exchange.
type Direction int

// The directions.
const (
	Up   Direction = iota // from the client to the endpoint
	Down                  // and back
)

// Op is what a direction's driver is to do next.
type Op int

// The operations.
const (
	Stop           Op = iota // nothing more in this direction
	Read                     // read from the source into Step.Space
	Write                    // write Step.Out to the sink
	SpliceIn                 // take up to Step.Most bytes from the source unseen, and hold them
	SpliceOut                // give Step.Most of the bytes held to the sink
	Begin                    // ask whether the first byte may go; an error, ErrForbidden or another, says no
	RecordDelivery           // the endpoint has said that the message is delivered: book that before its client can hear of it
)

// ErrForbidden tells Did that a call must not begin. Any other error there says that there is no connection to begin on.
var ErrForbidden = errors.New("pump: not to begin")

// ErrNoSplice tells Did that bytes can't be moved unseen; nothing was. They are read and written from then on.
var ErrNoSplice = errors.New("pump: bytes can't be moved unseen")

// Step is one operation, to be given up when Until is over.
type Step struct {
	Op       Op
	Space    []byte
	Out      [][]byte
	Limit    int
	Deadline time.Duration
}

// Outcome says how an exchange ended.
type Outcome int

// The ends. But for Delivered and Answered nothing of them is known to the endpoint, or from it.
const (
	Running         Outcome = iota
	Delivered               // the endpoint answered 200
	Answered                // it answered otherwise; Reply holds
	Malformed               // its answer can't be read, or is not whole
	Broken                  // its connection ended before it answered
	EndpointStalled         // no byte moved, and it was the endpoint's turn
	ClientGone              // the client's connection ended before its body
	ClientStalled           // no byte moved, and it was the client's turn
	ClientMalformed         // what the client sent is no body
	TimeUp
	NotBegun // it was not let go
	Aborted
)

var endNames = [...]string{"running", "delivered", "answered", "spoilt", "broken", "endpoint stalled", "client gone",
	"client stalled", "client bad", "time up", "not begun", "aborted"}

// String names the end.
func (e Outcome) String() string { return endNames[e] }

const (
	mostDrained = 64 << 20               // bytes of a body that are read on after its answer
	wholeFor    = time.Second            // an answer's head, or the whole of one that is not 200, from its first byte
	restFor     = 200 * time.Millisecond // the rest of a head whose first line says 200
)

// Config is what an exchange starts with. Times count from any one moment.
type Config struct {
	Request        *Pipe            // the client's body, with the endpoint's head
	Answers        *protocol.Parser // set to StreamAnswered
	Window         func() []byte    // gives the window of the answer's body
	MaxAnswerBytes int64            // bytes of that body
	IdleTimeout    time.Duration    // no byte moved in either direction for so long ends the exchange
	Now            time.Duration
	Deadline       time.Duration // the message's time is up
	HTTP10         bool          // the client speaks HTTP/1.0
	CloseClient    bool          // the client's connection ends with the answer
	Splice         bool          // the driver can move bytes unseen
}

type downPhase int

const (
	awaiting downPhase = iota // the answer's head
	settling
	passing
)

// Exchange is one call with a long message. Two drivers, one for each direction, ask Next what to do and tell Did how
// that went; both under one lock. The first side that ends decides how the exchange ends.
type Exchange struct {
	cfg      Config
	end      Outcome
	movedAt  time.Duration
	step     [2]Op // what each side is at
	upOff    bool  // nothing goes to the endpoint any more
	drain    int   // bytes that the client may still send to nobody
	draining bool
	begun    bool // a byte has gone to the endpoint
	early    bool // it answered before it had the whole body
	phase    downPhase
	answerBy time.Duration // the answer's head has to be there; 0 while nothing of it came
	down     *Pipe
	reply    protocol.Reply
	last     bool // the endpoint's connection can't be used again
	heard    bool // a byte of the answer may have gone to the client
	spoilt   bool // what came of the body while the exchange ended is none
	cut      bool // the answer did not reach the client whole
}

// New begins an exchange.
func New(cfg Config) *Exchange { return &Exchange{cfg: cfg, movedAt: cfg.Now} }

// Outcome tells how the exchange ended.
func (x *Exchange) Outcome() Outcome { return x.end }

// Reply is the endpoint's answer, with Answered.
func (x *Exchange) Reply() protocol.Reply { return x.reply }

// Begun says that a byte may have gone to the endpoint.
func (x *Exchange) Begun() bool { return x.begun }

// AnswerStarted says that a byte of the answer may have gone to the client.
func (x *Exchange) AnswerStarted() bool { return x.heard }

// Retryable says that the message can be sent once more: all that came of its body is kept, and its client is there. It
// holds once both sides were told to stop and have told how their last steps went.
func (x *Exchange) Retryable() bool {
	switch x.end {
	case ClientGone, ClientStalled, ClientMalformed, Delivered, Aborted, TimeUp:
		return false
	}
	return x.cfg.Request.Rewindable() && !x.spoilt
}

// AnswerComplete says that the client has its whole answer, with Delivered.
func (x *Exchange) AnswerComplete() bool { return x.end == Delivered && !x.cut }

// Reusable says whether the endpoint's and the client's connection can carry another message.
func (x *Exchange) Reusable() (endpoint, client bool) {
	endpoint = !x.early && x.cfg.Request.Written() && !x.last && (x.end == Answered || x.AnswerComplete())
	return endpoint, x.AnswerComplete() && !x.early && x.cfg.Request.Complete() && !x.cfg.Request.Surplus() && !x.cfg.CloseClient && !x.cfg.HTTP10
}

// Next says what a side is to do.
func (x *Exchange) Next(s Direction, now time.Duration) Step {
	st := x.up()
	if s == Down {
		st = x.downward(now)
	}
	if st.Deadline == 0 {
		st.Deadline = min(x.movedAt+x.cfg.IdleTimeout, x.cfg.Deadline)
	}
	x.step[s] = st.Op
	return st
}

func (x *Exchange) up() Step {
	up := x.cfg.Request
	switch {
	case x.end != Running, x.upOff && !x.draining:
		return Step{}
	case x.draining:
		if x.drain >= mostDrained || up.Complete() {
			return Step{}
		}
		return Step{Op: Read, Space: up.buf}
	}
	if st, ok := x.straight(up); ok {
		return st
	}
	if out := up.Out(); len(out) > 0 && !x.begun {
		return Step{Op: Begin}
	} else if len(out) > 0 {
		return Step{Op: Write, Out: out}
	}
	if space := up.Space(); space != nil {
		return Step{Op: Read, Space: space}
	}
	return Step{}
}

// straight is the step by which a direction moves bytes unseen, if it may.
func (x *Exchange) straight(p *Pipe) (Step, bool) {
	if p.kernel > 0 {
		return Step{Op: SpliceOut, Limit: p.kernel}, true
	}
	if most := p.SpliceLimit(); x.cfg.Splice && most > 0 {
		return Step{Op: SpliceIn, Limit: most}, true
	}
	return Step{}, false
}

// moved books an unseen step of a direction; false says that it was none.
func (x *Exchange) moved(s Direction, p *Pipe, n int) bool {
	switch x.step[s] {
	case SpliceIn:
		p.SplicedIn(n)
	case SpliceOut:
		p.SplicedOut(n)
	default:
		return false
	}
	return true
}

func (x *Exchange) downward(now time.Duration) Step {
	switch {
	case x.end != Running:
		return Step{}
	case x.phase == awaiting:
		st := Step{Op: Read, Space: x.cfg.Answers.Space()}
		if x.answerBy > 0 {
			st.Deadline = min(x.answerBy, x.cfg.Deadline)
		}
		return st
	case x.phase == settling:
		return Step{Op: RecordDelivery, Deadline: now}
	}
	if st, ok := x.straight(x.down); ok {
		return st
	}
	if out := x.down.Out(); len(out) > 0 {
		x.heard = true
		return Step{Op: Write, Out: out}
	}
	if space := x.down.Space(); space != nil {
		return Step{Op: Read, Space: space}
	}
	x.finish(Delivered)
	return Step{}
}

// StepDone tells how a side's step went: n bytes were moved before err. A time-out, os.ErrDeadlineExceeded, may come early.
// wake says that what the other side is at is no longer wanted.
func (x *Exchange) StepDone(s Direction, n int, err error, now time.Duration) (wake bool) {
	if x.end != Running {
		if s == Up && x.step[Up] == Read && !x.draining && n > 0 { // another attempt may need it
			x.spoilt = x.cfg.Request.Fill(n) != nil
		}
		return true
	}
	off := x.upOff
	if n > 0 {
		x.movedAt = now
	}
	if errors.Is(err, ErrNoSplice) {
		x.cfg.Splice = false
		return false
	}
	if s == Up && x.step[Up] != Stop {
		x.didUp(n, err)
	} else if s == Down {
		x.didDown(n, err, now)
	}
	if x.end == Running && errors.Is(err, os.ErrDeadlineExceeded) {
		x.late(s, now)
	}
	return x.end != Running || x.upOff != off
}

func (x *Exchange) didUp(n int, err error) {
	lost := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case x.draining:
		if x.drain += n; lost {
			x.draining = false
		}
	case x.step[Up] == Begin:
		switch {
		case errors.Is(err, ErrForbidden):
			x.finish(NotBegun)
		case err != nil:
			x.finish(Broken)
		default:
			x.begun = true
		}
	case x.step[Up] == Write, x.step[Up] == SpliceOut:
		if !x.moved(Up, x.cfg.Request, n) {
			x.cfg.Request.Wrote(n)
		}
		x.upOff = x.upOff || lost // an answer may be there all the same
	default:
		if !x.moved(Up, x.cfg.Request, n) && x.cfg.Request.Fill(n) != nil {
			x.finish(ClientMalformed)
		} else if lost && !x.cfg.Request.Complete() {
			x.finish(ClientGone)
		}
	}
}

func (x *Exchange) didDown(n int, err error, now time.Duration) {
	lost := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case x.phase == settling:
		if err != nil {
			x.finish(Aborted)
			return
		}
		x.phase = passing
	case x.phase == awaiting:
		x.answer(n, err, now)
	case x.step[Down] == Write, x.step[Down] == SpliceOut:
		if !x.moved(Down, x.down, n) {
			x.down.Wrote(n)
		}
		if lost {
			x.deliveredCut()
		}
	default:
		bad := !x.moved(Down, x.down, n) && x.down.Fill(n) != nil
		if bad || lost && !x.down.Finish() {
			x.deliveredCut()
		}
	}
}

// answer takes bytes of the answer's head, or of a whole answer that is not 200.
func (x *Exchange) answer(n int, err error, now time.Duration) {
	p := x.cfg.Answers
	p.Commit(n)
	if n > 0 && x.answerBy == 0 {
		x.answerBy = now + wholeFor
	}
	m, bad := p.Next()
	ended := errors.Is(err, io.EOF)
	if m == nil && bad == nil {
		m = p.Finish(ended)
	}
	delivered := p.Status() == 200
	switch {
	case m != nil && m.Long:
		x.delivered(m)
	case m != nil:
		x.early = !x.cfg.Request.Written()
		x.last = x.last || m.Close || !p.Idle()
		x.reply = protocol.ReadReply(m)
		x.finish(Answered)
	case delivered && (bad != nil || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)):
		x.delivered(nil)
	case bad != nil:
		x.finish(Malformed)
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		if x.end = Broken; !p.Idle() {
			x.end = Malformed
		}
	case delivered:
		x.answerBy = min(x.answerBy, now+restFor)
	}
}

// delivered turns to passing an answer with 200 on; m nil is one that can't be read further.
func (x *Exchange) delivered(m *protocol.Message) {
	x.phase, x.upOff = settling, true
	if x.early = !x.cfg.Request.Written(); x.early {
		x.draining = !x.cfg.Request.Complete()
	}
	closing := x.cfg.CloseClient || x.cfg.HTTP10 || x.early || x.cfg.Request.Surplus()
	none, _ := protocol.NewBody(protocol.ByLength, 0, 0)
	if m != nil {
		x.last = x.last || m.Close
		body, raw, err := x.cfg.Answers.Rest(x.cfg.MaxAnswerBytes)
		if err == nil {
			x.down, err = NewPipe(x.cfg.Window(), body, m.Body, raw)
		}
		if err == nil {
			framing, length := x.cfg.Answers.Framing()
			if framing == protocol.UntilClose {
				framing = protocol.Chunked
			}
			if x.cfg.HTTP10 && framing == protocol.Chunked {
				framing = protocol.UntilClose
			}
			x.down.Start(protocol.AppendDelivered(nil, m, framing, length, closing), framing)
			return
		}
	}
	x.last = true
	x.down, _ = NewPipe(nil, none, nil, nil)
	x.down.Start(protocol.AppendDelivered(nil, nil, protocol.ByLength, 0, closing), protocol.ByLength)
}

// deliveredCut ends an exchange whose answer can't be passed on whole.
func (x *Exchange) deliveredCut() {
	x.cut = true
	x.finish(Delivered)
}

// late looks at what a step that took its whole time means. Where a side waits for nothing but the other's bytes, it is
// the other that is late.
func (x *Exchange) late(s Direction, now time.Duration) {
	if x.phase == awaiting && x.answerBy > 0 && now >= x.answerBy {
		if x.cfg.Answers.Status() == 200 {
			x.delivered(nil)
		} else {
			x.finish(Malformed)
		}
		return
	}
	if now < min(x.movedAt+x.cfg.IdleTimeout, x.cfg.Deadline) {
		return
	}
	clients := x.step[Up] == Read || x.step[Up] == SpliceIn // the client's turn
	switch {
	case x.phase != awaiting:
		x.deliveredCut()
	case now >= x.cfg.Deadline:
		x.finish(TimeUp)
	case clients:
		x.finish(ClientStalled)
	default:
		x.finish(EndpointStalled)
	}
}

// Abort ends the exchange from outside, unless it has ended: with TimeUp or Aborted.
func (x *Exchange) Abort(e Outcome) {
	if x.phase != awaiting {
		e, x.cut = Delivered, x.cut || x.end == Running
	}
	x.finish(e)
}

func (x *Exchange) finish(e Outcome) {
	if x.end == Running {
		x.end = e
	}
}
