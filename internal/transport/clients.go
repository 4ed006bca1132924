// Package transport contains the drivers that read and write sockets for the state machines of packages protocol and
// pump: the clients' listener, the connections to endpoints, the discovery watch and the delivery reports. It makes
// no routing decisions.
package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/oplog"
	"mulleinbeam/internal/protocol"
)

const (
	idleTimeout       = 90 * time.Second        // of a connection between requests, while there is room
	minIdleTime       = 2 * time.Second         // the same while many are open, and before an eviction to make room
	minReadTime       = 500 * time.Millisecond  // before an incomplete request may be evicted to make room
	requestTimeout    = 2400 * time.Millisecond // from a request's first byte, or from the accept, to its last byte
	answerTimeout     = 2 * time.Second         // for writing an answer
	shutdownGrace     = 300 * time.Millisecond  // for a request that has begun when the shutdown starts
	drainTimeout      = 3 * time.Second         // input after an error is discarded: a close would lose the answer
	drainQuietTimeout = 500 * time.Millisecond  // draining stops after a pause of this length in the input
	drainStepBytes    = 1 << 20                 // bytes discarded between two checks of the time
	maxDrainBytes     = 64 << 20                // bytes discarded in all
	crowdedDivisor    = 4                       // with more than MaxConnections/crowdedDivisor, none is kept open
	acceptRetryDelay  = 5 * time.Millisecond    // short: a message's timeout runs while it waits for the accept
)

// OverflowConnections is how many connections beyond Clients.MaxConnections may be open while they are rejected or
// accepted.
const OverflowConnections = 14

// maxRejecting is how many of them may stay open until the rejection is delivered.
const maxRejecting = OverflowConnections - 2

// Handler decides about the messages that clients submit.
type Handler interface {
	// Accept answers a submission. A nil Refusal means that the message is accepted; cancel, unless it is nil, is
	// then called if the client could not be told. The submission's body belongs to the handler; its other slices are
	// valid only during the call.
	Accept(submission protocol.Submission) (r *protocol.Refusal, cancel func())
	// Stream accepts or refuses a long message, whose Submission.Body is empty. If the Refusal is nil, the message is
	// accepted and the channel delivers its end once.
	Stream(submission protocol.Submission, upload *Upload) (*protocol.Refusal, <-chan StreamEnd)
}

// StreamEnd is the end of a long message.
type StreamEnd struct {
	Refusal    *protocol.Refusal // nil if the message was delivered
	OnAnswered func(bool)        // if not nil, called with whether the Refusal was written to the client
}

// Clients serves the client connections.
type Clients struct {
	Handler        Handler
	MaxConnections int            // not counting those that stream long messages
	Streams        *Streams       // if nil, bodies are limited to protocol.MaxBodyBytes
	RequestMemory  *RequestMemory // bounds the memory of requests that are not whole; nil for no bound
	Samples        *oplog.Sampler // logs connections that end with an error; may be nil

	mu             sync.Mutex
	conns          map[*clientConn]struct{}
	closingConns   int // connections in stateClosing
	streamingConns int // connections in stateStreaming
	shuttingDown   bool
	counters       ClientCounters
	parserMemory   memoryGauge // of the connections' parsers
}

// ClientCounters counts connections, and those that ended without or outside of a request.
type ClientCounters struct {
	Accepted    int64
	Rejected    int64 // no room for the connection
	ClosedIdle  int64 // idle connections evicted to make room
	Silent      int64 // closed before any request, by timeout or eviction
	Late        int64 // a request was not complete in time
	BadRequests int64 // a request was malformed or not supported
	// AcceptFailed counts failed accepts, Broken the connections that failed during a request or an answer.
	AcceptFailed, Broken int64
	Departed             int64 // connections whose client left before requests that it had sent were answered
	Open                 int   // current number of open connections
	// ParserBytes is the memory that parsers hold for requests, UnreadAnswerBytes what was written to clients and has
	// not been acknowledged by them. Both are current values.
	ParserBytes, UnreadAnswerBytes int64
	// OutOfMemory counts requests that were refused while they were not whole, since too many were not.
	OutOfMemory int64
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c ClientCounters) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("connections", c.Accepted).Int("open", c.Open).Int64("turned_away", c.Rejected).Int64("closed_idle", c.ClosedIdle).
		Int64("silent", c.Silent).Int64("late", c.Late).Int64("unreadable", c.BadRequests).
		Int64("accept_failed", c.AcceptFailed).Int64("broken", c.Broken).Int64("departed", c.Departed).Int64("out_of_memory", c.OutOfMemory).
		Int64("parser_bytes", c.ParserBytes).Int64("unread_answer_bytes", c.UnreadAnswerBytes)
}

// connState is the state of a client connection.
type connState int

const (
	stateNew       connState = iota // no request yet
	stateReading                    // a request has begun and is incomplete
	stateAnswering                  // a complete request is being answered
	stateStreaming                  // a long message is being streamed
	stateIdle                       // between requests
	stateClosing                    // the last answer is sent; remaining input is drained
)

// clientConn is one client connection. Its goroutine owns the connection; Clients.mu guards state, stateSince and
// closeAfterAnswer.
type clientConn struct {
	retryConn
	accepted         time.Time
	state            connState
	stateSince       time.Time
	closeAfterAnswer bool // closes after its next answer, or at once if none is due
	acceptDelayed    bool // the connection and its first request may have waited in the accept queue
	graceUsed        bool // the read deadline expired once and the input that had arrived was still read
}

// Serve accepts connections until ctx is done. When shutdown is done, which happens first, idle connections are closed
// and the others close after their next answer. Requests that have arrived by then are answered. A request that
// arrives during the close is not read; the client repeats it on a new connection, which is still answered until ctx
// is done.
func (s *Clients) Serve(ctx, shutdown context.Context, listener net.Listener) error {
	s.mu.Lock()
	s.conns = map[*clientConn]struct{}{}
	s.mu.Unlock()
	var group errgroup.Group
	defer context.AfterFunc(shutdown, s.shutDown)()
	defer context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.shutDown()
	})()
	var failed error
	delayedUntil := time.Time{} // connections accepted before then may have waited behind a failed accept
	for {
		conn, err := listener.Accept()
		if err == nil {
			c := &clientConn{retryConn: retryConn{conn}, accepted: time.Now()}
			c.acceptDelayed = c.accepted.Before(delayedUntil)
			if room := s.admit(c); room {
				group.Go(func() error { s.serve(c); return nil })
			} else {
				group.Go(func() error { s.reject(c); return nil })
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
		delayedUntil = time.Now().Add(acceptDelayWindow)
		s.Samples.Note("accept failed", err.Error(), func(*zerolog.Event) {})
		if s.count(&s.counters.AcceptFailed); errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			s.freeDescriptor()
		}
		pause(ctx, acceptRetryDelay)
	}
	return errors.Join(failed, group.Wait())
}

// Counters returns the current counters.
func (s *Clients) Counters() ClientCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Open = len(s.conns)
	s.counters.ParserBytes = s.parserMemory.total.Load()
	s.counters.UnreadAnswerBytes = s.unreadAnswerBytes()
	return s.counters
}

// unreadAnswerBytes returns how many bytes clients have not acknowledged. The caller holds s.mu.
func (s *Clients) unreadAnswerBytes() (total int64) {
	for c := range s.conns {
		total += int64(max(0, unacknowledgedBytes(c.Conn)))
	}
	return total
}

func (s *Clients) count(which *int64) {
	s.mu.Lock()
	*which++
	s.mu.Unlock()
}
