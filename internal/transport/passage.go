package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/pump"
)

// Streams are the settings and the memory of long messages: those whose bodies are passed on as they come.
type Streams struct {
	MaxBodyBytes int64         // bytes of one body, in either direction
	IdleTimeout  time.Duration // no byte moved in either direction for so long ends a call
	WindowBytes  int           // bytes held of one body, in either direction

	windows  sync.Pool
	bytes    [2]atomic.Int64
	counters [pump.Aborted + 1]atomic.Int64
}

// MarshalZerologObject writes the counters' group of the log.
func (p *Streams) MarshalZerologObject(e *zerolog.Event) {
	n := func(name string, end pump.Outcome) { e.Int64(name, p.counters[end].Load()) }
	e.Int64("bytes_up", p.bytes[pump.Up].Load()).Int64("bytes_down", p.bytes[pump.Down].Load())
	n("delivered", pump.Delivered)
	n("answered", pump.Answered)
	n("spoilt", pump.Malformed)
	n("broken", pump.Broken)
	n("not_begun", pump.NotBegun)
	n("endpoint_stalled", pump.EndpointStalled)
	n("client_gone", pump.ClientGone)
	n("client_stalled", pump.ClientStalled)
	n("client_bad", pump.ClientMalformed)
	n("time_up", pump.TimeUp)
	n("aborted", pump.Aborted)
}

func (p *Streams) window() *[]byte {
	if w, ok := p.windows.Get().(*[]byte); ok {
		return w
	}
	w := make([]byte, p.WindowBytes)
	return &w
}

// Upload is the client's side of a long message, from its head to its final answer. One attempt at a time uses it; between
// them its client's goroutine waits.
type Upload struct {
	passages *Streams
	conn     net.Conn
	body     *protocol.Body
	content  []byte // what came of the body with the head,
	raw      []byte // and what of that was not decoded; both lie in the parser's buffer
	framing  protocol.Framing
	length   int64
	expects  bool // the client waits to be told to go on
	old      bool // it speaks HTTP/1.0
	last     func() bool
	pipe     *pump.Pipe
	taken    []*[]byte    // windows, to be given back
	end      pump.Outcome // of the last attempt
	heard    bool         // a byte of an answer has gone to the client
	reusable bool
}

// prepare makes the window and tells a waiting client to go on: the decision has been made. An error says that what came
// is no body.
func (u *Upload) prepare() error {
	if u.pipe == nil {
		w := u.passages.window()
		u.taken = append(u.taken, w)
		pipe, err := pump.NewPipe(*w, u.body, u.content, u.raw)
		if u.pipe = pipe; err != nil {
			return err
		}
		u.content, u.raw = nil, nil
	}
	if u.expects && u.pipe.Empty() {
		if u.conn.SetWriteDeadline(time.Now().Add(answerFor)) == nil {
			_, _ = u.conn.Write([]byte(protocol.ContinueResponse)) // if the client is gone, the next read tells
		}
	}
	u.expects = false
	return nil
}

// release gives the windows back.
func (u *Upload) release() {
	for _, w := range u.taken {
		u.passages.windows.Put(w)
	}
	u.taken, u.pipe = nil, nil
}

// StreamCall is one attempt to pass a long message on.
type StreamCall struct {
	Call
	Upload         *Upload
	RecordDelivery func() bool // books a delivery before the client can hear of it
}

// StreamResult is how such an attempt ended.
type StreamResult struct {
	Outcome   pump.Outcome
	Reply     protocol.Reply // with pump.Answered
	Begun     bool           // a byte may have gone to the endpoint
	Sent      bool           // all of the body has
	Retryable bool           // the body is kept: another attempt can be made
	Reused    bool           // its connection had carried a call before
}

var errNoConnection = errors.New("transport: no connection")

// Stream makes one call with a long message. It returns once neither connection has anything of it under way; the
// endpoint's is then closed or idle, the client's is left to its client.
func (p *Endpoints) Stream(ctx context.Context, call StreamCall) StreamResult {
	u := call.Upload
	s := u.passages
	c, err := p.connection(ctx, call.Name, call.Address, call.Fresh)
	if err != nil {
		return StreamResult{Outcome: pump.Broken, Retryable: true}
	}
	if err := u.prepare(); err != nil {
		u.end = pump.ClientMalformed
		s.counters[u.end].Add(1)
		p.keepIdle(c)
		return StreamResult{Outcome: u.end, Reused: c.kept}
	}
	d := &duplex{base: time.Now(), client: tcp(u.conn), endpoint: tcp(c), settle: call.RecordDelivery, passages: s}
	cutAt := 24 * time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		cutAt = time.Until(deadline)
	}
	call.Timeout = cutAt
	framing, length := u.framing, u.length
	if framing == protocol.Chunked && u.pipe.Complete() { // it came whole by now: its length can be told
		framing, length = protocol.ByLength, u.pipe.Received()
	}
	u.pipe.Rewind()
	u.pipe.Start(protocol.AppendStreamHead(nil, protocol.StreamHead{Call: call.Call.Call, Framing: framing, Length: length}), framing)
	parser := p.longAnswers.Get().(*protocol.Parser)
	defer func() { parser.Reset(); p.longAnswers.Put(parser) }()
	d.x = pump.New(pump.Config{
		Request: u.pipe, Answers: parser, MaxAnswerBytes: s.MaxBodyBytes, IdleTimeout: s.IdleTimeout, Deadline: cutAt, HTTP10: u.old, CloseClient: u.last(), Splice: true,
		Window: func() []byte {
			w := s.window()
			u.taken = append(u.taken, w)
			return *w
		},
	})
	d.begin = func() error {
		for {
			switch {
			case !call.Begin():
				return pump.ErrForbidden
			case c.quiet():
				return nil
			}
			_ = c.Close()
			p.count(&p.counters.ClosedBeforeUse)
			if !c.kept {
				return errNoConnection // accepted, and closed before anything was written
			}
			next, err := p.connection(ctx, call.Name, call.Address, call.Fresh)
			if err != nil {
				return errNoConnection
			}
			c, d.endpoint = next, tcp(next)
		}
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.abort(pump.TimeUp)
		} else {
			d.abort(pump.Aborted)
		}
	})
	d.run()
	stop()
	return p.passed(d, c, u)
}

// passed puts the connections in order behind an exchange and tells how it ended.
func (p *Endpoints) passed(d *duplex, c *endpointConn, u *Upload) StreamResult {
	d.mu.Lock() // an abort may just be under way
	defer d.mu.Unlock()
	x := d.x
	keep, reusable := x.Reusable()
	if !x.Begun() && c.quiet() {
		keep = true
	}
	if keep && c.SetDeadline(time.Time{}) == nil {
		p.keepIdle(c)
	} else {
		_ = c.Close()
	}
	u.end, u.heard, u.reusable = x.Outcome(), x.AnswerStarted(), reusable
	u.passages.counters[u.end].Add(1)
	return StreamResult{
		Outcome: x.Outcome(), Reply: x.Reply(), Begun: x.Begun(), Sent: u.pipe.Written(), Retryable: x.Retryable(), Reused: c.kept,
	}
}

// tcp is the connection itself, whose writes gather pieces.
func tcp(c net.Conn) net.Conn {
	switch c := c.(type) {
	case *clientConn:
		return c.Conn
	case *endpointConn:
		return c.Conn
	}
	return c
}

// duplex drives an exchange's two directions over two sockets. Deadlines are set under the lock, so that a wake is never
// overridden by a step that was decided before it.
type duplex struct {
	mu               sync.Mutex
	x                *pump.Exchange
	base             time.Time // the exchange's times count from it
	client, endpoint net.Conn
	begin            func() error
	settle           func() bool
	passages         *Streams
	unseen           [2]*unseen // what each direction holds of bytes that go on unseen
}

// run drives both directions until they stop. The way down begins once the call has.
func (d *duplex) run() {
	defer func() {
		for _, u := range d.unseen {
			u.close()
		}
	}()
	var up, down gather
	for !d.x.Begun() {
		if !d.step(pump.Up, &up) {
			return
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for d.step(pump.Down, &down) {
		}
	}()
	for d.step(pump.Up, &up) {
	}
	<-done
}

func (d *duplex) now() time.Duration { return time.Since(d.base) }

// gather holds the pieces of a write.
type gather struct {
	pieces [4][]byte
	vec    net.Buffers
}

// write writes pieces; an error of the system call on a connection that lives does not end it.
func (g *gather) write(c net.Conn, out [][]byte) (written int, err error) {
	lasting := lastingConn{c}
	if len(out) == 1 {
		return lasting.Write(out[0])
	}
	g.vec = g.pieces[:copy(g.pieces[:], out)]
	err = lasting.retry(lasting.mayWrite, func() error {
		n, err := g.vec.WriteTo(c) // keeps what is not written
		written += int(n)
		return err
	})
	return written, err
}

// step does one step of a direction; false says that there is none any more.
func (d *duplex) step(s pump.Direction, g *gather) bool {
	d.mu.Lock()
	source, sink := d.client, d.endpoint
	if s == pump.Down {
		source, sink = sink, source
	}
	st := d.x.Next(s, d.now())
	var err error
	switch st.Op {
	case pump.Read, pump.SpliceIn:
		err = source.SetReadDeadline(d.base.Add(st.Deadline))
	case pump.Write, pump.SpliceOut:
		err = sink.SetWriteDeadline(d.base.Add(st.Deadline))
	}
	d.mu.Unlock()
	n := 0
	switch {
	case err != nil:
	case st.Op == pump.Stop:
		return false
	case st.Op == pump.Read:
		n, err = lastingConn{source}.Read(st.Space)
	case st.Op == pump.Write:
		n, err = g.write(sink, st.Out)
		d.passages.bytes[s].Add(int64(n))
	case st.Op == pump.SpliceIn:
		if d.unseen[s] == nil {
			d.unseen[s], err = newUnseen(source, sink, st.Limit)
		}
		if err == nil {
			n, err = d.unseen[s].pull(st.Limit)
		}
	case st.Op == pump.SpliceOut:
		n, err = d.unseen[s].push(st.Limit)
		d.passages.bytes[s].Add(int64(n))
	case st.Op == pump.Begin:
		err = d.begin()
	case st.Op == pump.RecordDelivery:
		if !d.settle() {
			err = errNoConnection
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.x.StepDone(s, n, err, d.now()) {
		d.wake(1 - s)
	}
	return true
}

// wake ends what a direction is at; d.mu is held.
func (d *duplex) wake(s pump.Direction) {
	source, sink := d.client, d.endpoint
	if s == pump.Down {
		source, sink = sink, source
	}
	_ = source.SetReadDeadline(longAgo)
	_ = sink.SetWriteDeadline(longAgo)
}

var longAgo = time.Unix(1, 0)

// abort ends the exchange from outside.
func (d *duplex) abort(e pump.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.x.Abort(e)
	d.wake(pump.Up)
	d.wake(pump.Down)
}
