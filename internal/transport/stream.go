package transport

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/connpool"
	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/pump"
)

// Streams holds the settings, buffers and counters of long messages: those whose bodies are streamed as they arrive.
type Streams struct {
	MaxBodyBytes int64         // of one body, in either direction
	IdleTimeout  time.Duration // a call ends when no byte has moved in either direction for this long
	WindowBytes  int           // buffered bytes of one body, in either direction
	// MaxPipelinedBytes limits what is held of requests that were read behind long bodies, on all connections together.
	MaxPipelinedBytes int64

	windows   sync.Pool
	inUse     atomic.Int64 // windows that are not in the pool
	pipelined atomic.Int64 // bytes of pipelinedInput
	bytes     [2]atomic.Int64
	counters  [pump.Aborted + 1]atomic.Int64
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (p *Streams) MarshalZerologObject(e *zerolog.Event) {
	count := func(name string, end pump.Outcome) { e.Int64(name, p.counters[end].Load()) }
	e.Int64("bytes_up", p.bytes[pump.Up].Load()).Int64("bytes_down", p.bytes[pump.Down].Load())
	e.Int64("window_bytes", p.inUse.Load()*int64(p.WindowBytes)).Int64("pipelined_bytes", p.pipelined.Load())
	count("delivered", pump.Delivered)
	count("answered", pump.Answered)
	count("spoilt", pump.Malformed)
	count("broken", pump.Broken)
	count("not_begun", pump.NotBegun)
	count("endpoint_stalled", pump.EndpointStalled)
	count("client_gone", pump.ClientGone)
	count("client_stalled", pump.ClientStalled)
	count("client_bad", pump.ClientMalformed)
	count("time_up", pump.TimeUp)
	count("aborted", pump.Aborted)
}

func (p *Streams) getWindow() *[]byte {
	p.inUse.Add(1)
	if w, ok := p.windows.Get().(*[]byte); ok {
		return w
	}
	w := make([]byte, p.WindowBytes)
	return &w
}

func (p *Streams) putWindow(w *[]byte) {
	p.inUse.Add(-1)
	p.windows.Put(w)
}

// Upload is the client's side of a long message, from its head to its final answer. One attempt at a time uses it;
// between attempts the client's goroutine waits.
type Upload struct {
	streams         *Streams
	conn            net.Conn
	body            *protocol.Body
	content         []byte // the part of the body that arrived with the head
	undecoded       []byte // the part of that which is not decoded yet; both slices lie in the parser's buffer
	framing         protocol.Framing
	length          int64
	expectsContinue bool // the client waits for 100 Continue
	http10          bool // the client speaks HTTP/1.0
	closesClient    func() bool
	pipe            *pump.Pipe
	windows         []*[]byte       // buffers to be released
	outcome         pump.Outcome    // of the last attempt
	answerStarted   bool            // a byte of an answer has gone to the client
	pipelined       *pipelinedInput // room for what the client has sent behind its body, if there is any
	reusable        bool

	mu     sync.Mutex // guards the two below, and the release of the windows
	inCall bool       // an attempt uses the windows
	ended  bool       // the message has ended: the windows are released as soon as no attempt uses them
}

// prepare allocates the window and sends 100 Continue to a waiting client, now that the message is accepted. It
// returns an error if the part of the body that has arrived is malformed.
func (u *Upload) prepare() error {
	if u.pipe == nil {
		w := u.streams.getWindow()
		u.windows = append(u.windows, w)
		pipe, err := pump.NewPipe(*w, u.body, u.content, u.undecoded)
		if u.pipe = pipe; err != nil {
			return err
		}
		u.content, u.undecoded = nil, nil
	}
	if u.expectsContinue && u.pipe.Empty() {
		if u.conn.SetWriteDeadline(time.Now().Add(answerTimeout)) == nil {
			_, _ = u.conn.Write([]byte(protocol.ContinueResponse)) // if the client is gone, the next read reports it
		}
	}
	u.expectsContinue = false
	return nil
}

// keepSurplus reserves memory for what the client has sent behind its body.
func (u *Upload) keepSurplus(bytes int) bool {
	u.pipelined.release()
	u.pipelined = u.streams.reservePipelined(bytes)
	return u.pipelined != nil
}

// beginCall records that an attempt uses the windows; endCall follows it.
func (u *Upload) beginCall() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inCall = true
}

// endCall records the end of the attempt. If the message has ended meanwhile, the windows are released now.
func (u *Upload) endCall() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inCall = false; u.ended {
		u.releaseWindows()
	}
}

// release returns the windows to the pool once no attempt uses them. It may be called more than once.
func (u *Upload) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended = true; !u.inCall {
		u.releaseWindows()
	}
}

// releaseWindows returns the windows to the pool. The caller holds u.mu.
func (u *Upload) releaseWindows() {
	for _, w := range u.windows {
		u.streams.putWindow(w)
	}
	u.windows, u.pipe = nil, nil
	u.pipelined.release()
	u.pipelined = nil
}

// takePipelined returns what the client has sent behind its body. The caller releases it.
func (u *Upload) takePipelined() *pipelinedInput {
	pipelined := u.pipelined
	if pipelined != nil {
		pipelined.unread = bytes.Clone(u.pipe.Surplus())
	}
	u.pipelined = nil
	return pipelined
}

// StreamCall is one attempt to stream a long message to an endpoint.
type StreamCall struct {
	Call
	Upload         *Upload
	RecordDelivery func() bool // records a delivery before the client can see it
}

// StreamResult is the result of such an attempt.
type StreamResult struct {
	Outcome   pump.Outcome
	Reply     protocol.Reply // valid if Outcome is pump.Answered
	Begun     bool           // a byte may have gone to the endpoint
	Sent      bool           // the whole body has gone to the endpoint
	Retryable bool           // the body is still buffered: another attempt can be made
	Doubt     connpool.Doubt // with pump.Answered: whether the answer may be another call's
	Reused    bool           // the connection had carried a call before
	Connection
}

var errNoConnection = errors.New("transport: no connection")

// Stream makes one call with a long message. When it returns, nothing of the message is in progress on either
// connection. The endpoint's connection is then closed or idle; the client's is left to the caller.
func (p *Endpoints) Stream(ctx context.Context, call StreamCall) StreamResult {
	upload := call.Upload
	upload.beginCall()
	defer upload.endCall()
	streams := upload.streams
	if call.Retry {
		p.closeRefused(call.ID)
	}
	conn, err := p.getConn(ctx, call.Call)
	if err != nil {
		return StreamResult{Outcome: pump.Broken, Retryable: true}
	}
	if err := upload.prepare(); err != nil {
		upload.outcome = pump.ClientMalformed
		streams.counters[upload.outcome].Add(1)
		p.returnUnused(conn)
		return StreamResult{Outcome: upload.outcome, Reused: conn.pooled.Reused()}
	}
	driver := &duplex{start: time.Now(), client: innerConn(upload.conn), endpoint: innerConn(conn),
		recordDelivery: call.RecordDelivery, streams: streams, reported: make(chan struct{}, 1)}
	timeout := 24 * time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	call.Timeout = timeout
	framing, length := upload.framing, upload.length
	if framing == protocol.Chunked && upload.pipe.Complete() { // the whole body has arrived: send its length
		framing, length = protocol.ByLength, upload.pipe.Received()
	}
	upload.pipe.Rewind()
	upload.pipe.Start(protocol.AppendStreamHead(nil, protocol.StreamHead{Call: call.Call.Call, Framing: framing, Length: length}), framing)
	parser := p.streamParsers.Get().(*protocol.Parser)
	defer func() { parser.Reset(); p.streamParsers.Put(parser) }()
	driver.exchange = pump.New(pump.Config{
		Request: upload.pipe, Answers: parser, MaxAnswerBytes: streams.MaxBodyBytes, IdleTimeout: streams.IdleTimeout,
		Deadline: timeout, HTTP10: upload.http10, CloseClient: upload.closesClient(), Splice: true,
		KeepSurplus: upload.keepSurplus,
		Window: func() []byte {
			w := streams.getWindow()
			upload.windows = append(upload.windows, w)
			return *w
		},
	})
	driver.begin = func() error {
		for {
			switch {
			case !call.Begin():
				return pump.ErrForbidden
			case conn.nothingReceived():
				return nil
			}
			p.discard(conn)
			p.count(&p.counters.ClosedBeforeUse)
			if !conn.pooled.Reused() {
				return errNoConnection // accepted, and closed before anything was written
			}
			next, err := p.getConn(ctx, call.Call)
			if err != nil {
				return errNoConnection
			}
			conn, driver.endpoint = next, innerConn(next)
		}
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			driver.abort(pump.TimeUp)
		} else {
			driver.abort(pump.Aborted)
		}
	})
	driver.run()
	stop()
	return p.finishStream(driver, conn, call)
}

// finishStream releases the endpoint's connection after an exchange and returns the result.
func (p *Endpoints) finishStream(driver *duplex, conn *endpointConn, call StreamCall) StreamResult {
	driver.mu.Lock() // an abort may be in progress
	defer driver.mu.Unlock()
	exchange, upload := driver.exchange, call.Upload
	keep, reusableClient := exchange.Reusable()
	result := StreamResult{
		Outcome: exchange.Outcome(), Reply: exchange.Reply(), Begun: exchange.Begun(), Sent: upload.pipe.Written(), Retryable: exchange.Retryable(),
		Doubt: doubtOn(conn, connpool.NoDoubt), Reused: conn.pooled.Reused(), Connection: conn.describe(),
	}
	upload.outcome, upload.answerStarted, upload.reusable = exchange.Outcome(), exchange.AnswerStarted(), reusableClient
	upload.streams.counters[upload.outcome].Add(1)
	switch {
	case !exchange.Begun() && conn.nothingReceived() && conn.SetDeadline(time.Time{}) == nil:
		p.returnUnused(conn)
	case keep && conn.SetDeadline(time.Time{}) == nil:
		reply := result.Reply
		if exchange.Outcome() == pump.Delivered {
			reply.Status = protocol.StatusDelivered
		}
		p.release(conn, true, call.answer(reply))
	default:
		p.release(conn, false, connpool.Answer{})
	}
	return result
}

// innerConn returns the underlying connection, which supports gathered writes.
func innerConn(c net.Conn) net.Conn {
	switch c := c.(type) {
	case *clientConn:
		return c.Conn
	case *endpointConn:
		return c.Conn
	}
	return c
}

// duplex drives the two directions of an exchange over two sockets. Deadlines are set under the lock, so that a step
// decided before a wake cannot override the wake's deadline.
type duplex struct {
	mu               sync.Mutex
	exchange         *pump.Exchange
	start            time.Time // the exchange's times are relative to it
	client, endpoint net.Conn
	begin            func() error
	recordDelivery   func() bool
	streams          *Streams
	splices          [2]*splicePipe // one for each direction, holding its spliced bytes
	reported         chan struct{}  // receives after a step of the direction to the endpoint
}

// run drives both directions until they stop. The direction to the client starts once the call has begun.
func (d *duplex) run() {
	defer func() {
		for _, u := range d.splices {
			u.close()
		}
	}()
	var up, down gatherWriter
	for !d.exchange.Begun() {
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

func (d *duplex) now() time.Duration { return time.Since(d.start) }

// gatherWriter holds the pieces of a gathered write.
type gatherWriter struct {
	pieces  [4][]byte
	buffers net.Buffers
}

// write writes all pieces. An error of the system call is retried for as long as the connection is open.
func (g *gatherWriter) write(inner net.Conn, out [][]byte) (written int, err error) {
	conn := retryConn{inner}
	if len(out) == 1 {
		return conn.Write(out[0])
	}
	g.buffers = g.pieces[:copy(g.pieces[:], out)]
	err = conn.retry(conn.canWrite, func() error {
		n, err := g.buffers.WriteTo(inner) // keeps the pieces that are not written
		written += int(n)
		return err
	})
	return written, err
}

// step performs one step of a direction. It returns false if there is none left.
func (d *duplex) step(direction pump.Direction, g *gatherWriter) bool {
	d.mu.Lock()
	source, sink := d.client, d.endpoint
	if direction == pump.Down {
		source, sink = sink, source
	}
	step := d.exchange.Next(direction, d.now())
	var err error
	switch step.Op {
	case pump.Read, pump.SpliceIn:
		err = source.SetReadDeadline(d.start.Add(step.Deadline))
	case pump.Write, pump.SpliceOut:
		err = sink.SetWriteDeadline(d.start.Add(step.Deadline))
	}
	d.mu.Unlock()
	n := 0
	switch {
	case err != nil:
	case step.Op == pump.Stop:
		return false
	case step.Op == pump.Read:
		n, err = retryConn{source}.Read(step.Space)
	case step.Op == pump.Write:
		n, err = g.write(sink, step.Out)
		d.streams.bytes[direction].Add(int64(n))
	case step.Op == pump.SpliceIn:
		if !spliceable(source) {
			err = pump.ErrNoSplice
		} else if d.splices[direction] == nil {
			d.splices[direction], err = newSplicePipe(source, sink, step.Limit)
		}
		if err == nil {
			n, err = d.splices[direction].pull(step.Limit)
		}
	case step.Op == pump.SpliceOut:
		n, err = d.splices[direction].push(step.Limit)
		d.streams.bytes[direction].Add(int64(n))
	case step.Op == pump.Wait:
		d.awaitReport(step.Deadline)
	case step.Op == pump.Begin:
		err = d.begin()
	case step.Op == pump.RecordDelivery:
		if !d.recordDelivery() {
			err = errNoConnection
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exchange.StepDone(direction, n, err, d.now()) {
		d.wake(1 - direction)
	}
	if direction == pump.Up {
		d.report()
	}
	return true
}

// report ends the wait of awaitReport, or the next one.
func (d *duplex) report() {
	select {
	case d.reported <- struct{}{}:
	default:
	}
}

// awaitReport waits until the direction to the endpoint has reported a step, or until a deadline.
func (d *duplex) awaitReport(deadline time.Duration) {
	timer := time.NewTimer(deadline - d.now())
	defer timer.Stop()
	select {
	case <-d.reported:
	case <-timer.C:
	}
}

// wake interrupts the current step of a direction. The caller holds d.mu.
func (d *duplex) wake(direction pump.Direction) {
	source, sink := d.client, d.endpoint
	if direction == pump.Down {
		source, sink = sink, source
	}
	_ = source.SetReadDeadline(pastDeadline)
	_ = sink.SetWriteDeadline(pastDeadline)
}

var pastDeadline = time.Unix(1, 0)

// abort ends the exchange with an outcome.
func (d *duplex) abort(outcome pump.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchange.Abort(outcome)
	d.wake(pump.Up)
	d.wake(pump.Down)
}
