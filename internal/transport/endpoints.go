package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/connpool"
	"mulleinbeam/internal/oplog"
	"mulleinbeam/internal/protocol"
)

// CallOutcome says how far a call got.
type CallOutcome int

// The outcomes of a call.
const (
	Answered    CallOutcome = iota // Reply is valid
	NotBegun                       // Call.Begin did not permit it
	Unconnected                    // no connection, or it broke before the call's last byte was written
	Broken                         // the connection broke after that
	Malformed                      // the answer was malformed or incomplete: the call may have run
	Abandoned                      // ctx was done before the answer arrived
)

const (
	maxAnswerBytes       = 64 << 10               // of an answer's body
	answerReadTimeout    = time.Second            // from an answer's first byte to its last
	deliveredRestTimeout = 200 * time.Millisecond // for the rest of an answer whose status 200 is already read
)

// Endpoints makes calls to endpoints over connections that it keeps. A connection carries one call at a time; which one
// carries the next call is decided by package connpool. An idle connection holds no buffer and no goroutine.
type Endpoints struct {
	Samples *oplog.Sampler // logs connections that cannot be established, break or receive strays; may be nil

	connectTimeout time.Duration
	parsers        sync.Pool
	// streamParsers are parsers that leave the body of an answer with status 200 to be streamed.
	streamParsers sync.Pool
	tasks         sync.WaitGroup // goroutines that report answers in doubt
	parserMemory  memoryGauge    // of the parsers of answers that are being read

	mu         sync.Mutex
	pool       *connpool.Pool[*endpointConn]
	sweepTimer *time.Timer
	nextSweep  time.Time
	closed     bool
	counters   EndpointCounters
}

// NewEndpoints returns an Endpoints that keeps at most the given number of idle connections, each for less than
// keepAlive.
func NewEndpoints(keepAlive, connectTimeout time.Duration, maxIdle int) *Endpoints {
	return newEndpoints(connpool.DefaultPolicy(keepAlive, maxIdle), connectTimeout)
}

func newEndpoints(policy connpool.Policy, connectTimeout time.Duration) *Endpoints {
	p := &Endpoints{connectTimeout: connectTimeout, pool: connpool.New[*endpointConn](policy)}
	p.parsers.New = func() any { return protocol.NewAnswerParser(maxAnswerBytes) }
	p.streamParsers.New = func() any {
		parser := protocol.NewAnswerParser(maxAnswerBytes)
		parser.Stream(protocol.StreamAnswered)
		return parser
	}
	return p
}

// localDialErrors are connect errors caused by a temporary lack of resources on this machine. They say nothing about
// the endpoint.
var localDialErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
}

const dialRetryDelay = 10 * time.Millisecond // delay after such an error

// dial opens a connection. While this machine lacks the resources, it retries until the connect timeout.
func (p *Endpoints) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.connectTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.connectTimeout)
		defer cancel()
	}
	dialer := net.Dialer{}
	for {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		number := syscall.Errno(0)
		if err == nil || !errors.As(err, &number) || !slices.Contains(localDialErrors, number) {
			return conn, err
		}
		p.count(&p.counters.LocalDialErrors)
		if pause(ctx, dialRetryDelay); ctx.Err() != nil {
			return nil, err
		}
	}
}

// Call is a call to an endpoint. Begin is called just before the first byte is written, and once more if the
// connection then turns out to have ended.
type Call struct {
	protocol.Call
	Name, Address string
	Reuse         connpool.Reuse // which connections may carry it
	Retry         bool           // an earlier call of the same message was refused or lost
	Begin         func() bool
	// OnDoubt is called at most once, possibly after the call has ended, if the answer may have been another call's. It
	// must not wait for a call.
	OnDoubt func()
	// OnRetryAfter is called with the retry-after of an answer that is held back, since it counts from its arrival.
	OnRetryAfter func(time.Duration)
}

// Result is the result of a call.
type Result struct {
	Reply   protocol.Reply // valid if Outcome is Answered; of an answer that is not whole only its status
	Outcome CallOutcome
	Doubt   connpool.Doubt // with Answered: whether the answer may be another call's
	Reused  bool           // the connection had carried a call before
	Waited  time.Duration  // time in which the call waited for a connection to rest, or its answer for another one
	Connection
}

// Connection identifies the connection of a call in the log.
type Connection struct {
	ID    uint64        // unique within the process; 0 if there was none
	Uses  int           // calls that it has carried, with this one
	Quiet time.Duration // silence before the call
}

// Call makes one call. Nothing is written twice.
func (p *Endpoints) Call(ctx context.Context, call Call) Result {
	if call.Retry {
		p.closeRefused(call.ID)
	}
	for {
		c, err := p.getConn(ctx, call)
		if err != nil {
			p.logSample(call, "not connected", err, Connection{})
			return Result{Outcome: Unconnected}
		}
		if !call.Begin() {
			p.returnUnused(c)
			return Result{Outcome: NotBegun}
		}
		if c.nothingReceived() {
			reused, waited, connection := c.pooled.Reused(), c.waited, c.describe() // exchange gives the connection away
			v, err := p.exchange(ctx, c, call)
			if v.outcome == Broken || v.outcome == Unconnected {
				p.logSample(call, "connection broken", err, connection)
			}
			return Result{v.reply, v.outcome, v.doubt, reused, waited + v.waited, connection}
		}
		p.discard(c)
		p.count(&p.counters.ClosedBeforeUse)
		if !c.pooled.Reused() {
			return Result{Outcome: Unconnected} // accepted, and closed before anything was written
		}
	}
}

// exchange writes a call and reads its answer. If ctx is done first, the connection is closed before exchange
// returns. An answer read after ctx's deadline is discarded: the endpoint was told that the forwarder stops waiting
// then, and may not count the call as delivered. That the message is over holds whenever it is read.
func (p *Endpoints) exchange(ctx context.Context, conn *endpointConn, call Call) (verdict, error) {
	deadline, limited := ctx.Deadline()
	if limited {
		call.Timeout = time.Until(deadline)
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() { defer close(closed); _ = conn.Close() })
	pieces := call.Buffers()
	total := int64(0)
	for _, piece := range pieces {
		total += int64(len(piece))
	}
	written, err := pieces.WriteTo(conn)
	v := verdict{outcome: Unconnected}
	if written == total {
		v, err = p.readAnswer(ctx, conn, call.OnRetryAfter)
		if limited && !time.Now().Before(deadline) && !v.endsMessage() {
			v = verdict{outcome: Abandoned}
		}
	}
	if !stop() {
		<-closed
		v.reusable = false
	}
	if v.doubt = doubtOn(conn, v.doubt); v.doubt.Suspicious() {
		p.count(&p.counters.InDoubt)
	}
	p.release(conn, v.reusable, call.answer(v.reply))
	return v, err
}

// doubtOn returns the doubt about an answer that came on a connection.
func doubtOn(conn *endpointConn, doubt connpool.Doubt) connpool.Doubt {
	if conn.pooled.Certain() {
		return connpool.NoDoubt
	}
	return max(doubt, connpool.Unconfirmed)
}

// answer returns what the pool remembers of an answer to the call.
func (c Call) answer(reply protocol.Reply) connpool.Answer {
	return connpool.Answer{Call: c.ID, Status: reply.Status, Refused: reply.Status != protocol.StatusDelivered, OnDoubt: c.OnDoubt}
}

// logSample logs a call whose connection could not be established or broke, and the system call that failed.
func (p *Endpoints) logSample(call Call, what string, err error, connection Connection) {
	reason := "ended"
	if failed := (*os.SyscallError)(nil); errors.As(err, &failed) {
		reason = failed.Error()
	}
	p.Samples.Note(what, reason, func(e *zerolog.Event) {
		e.Str("request", call.ID).Str("endpoint", call.Name).EmbedObject(connection).Err(err)
	})
}
