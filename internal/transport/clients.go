// Package transport has the thin drivers that read and write sockets for the state machines of package protocol: the
// clients' listener, the endpoints' connections, discovery's watch and the notices. It decides nothing.
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
	idleFor     = 90 * time.Second        // a connection between requests, while there is room
	idleLeast   = 2 * time.Second         // and where there is none
	askLeast    = 500 * time.Millisecond  // a request that is not whole, where there is no room
	requestFor  = 2400 * time.Millisecond // a request from its first byte to its last, the first one from the accept on
	answerFor   = 2 * time.Second         // the writing of an answer
	graceFor    = 300 * time.Millisecond  // for a request that has begun, once clients are to leave
	drainFor    = 3 * time.Second         // after an error: what still comes is read for so long,
	drainQuiet  = 500 * time.Millisecond  // while it does not pause for so long,
	drainStep   = 1 << 20                 // in steps of so many bytes,
	drainMost   = 64 << 20                // and up to so many bytes; a close under them would take the error away
	crowdShare  = 4                       // of the room, one part: with more connections than that they no longer stay
	acceptAgain = 5 * time.Millisecond    // behind an accept that failed: a message\'s time runs while its connection waits
)

// OverflowConnections is how many connections there may be beyond the most, while they are turned away or accepted.
const OverflowConnections = 14

// overflow are those that may stay until they have been told so.
const overflow = OverflowConnections - 2

// Handler decides on what clients hand in.
type Handler interface {
	// Accept answers a handover; a nil Refusal says that it is taken on, and withdraw, unless it is nil, is to be called
	// if its client could not be told so. The handover's slices are the caller's.
	Accept(h protocol.Submission) (r *protocol.Refusal, withdraw func())
	// Stream takes a long message, whose Body is not there. Without a Refusal it is taken on, and its end comes once.
	Stream(h protocol.Submission, up *Upload) (*protocol.Refusal, <-chan StreamEnd)
}

// StreamEnd is the end of a long message.
type StreamEnd struct {
	Refusal    *protocol.Refusal // nil for a delivery
	OnAnswered func(bool)        // to be called unless it is nil: whether the client was told of the Refusal
}

// Clients serves the clients' side.
type Clients struct {
	Handler        Handler
	MaxConnections int            // connections at once, beside those with long messages
	Streams        *Streams       // nil: no body may be longer than protocol.MostBody
	Samples        *oplog.Sampler // of connections that end otherwise than in order; nil tells of none

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	endings  int // of them, those at their end,
	passings int // and those with a long message
	leaving  bool
	counters ClientCounters
}

// ClientCounters counts connections and what became of those that did not just ask.
type ClientCounters struct {
	Accepted    int64
	Rejected    int64 // there was no room for one more
	ClosedIdle  int64 // to make room, after their idle time
	Silent      int64 // nothing was asked in time, or others needed the room
	Late        int64 // a request did not come whole in time
	BadRequests int64 // a request can't be read, or asks for what there is not
	// AcceptFailed counts accepts that failed, Broken the connections that ended under a request or an answer.
	AcceptFailed, Broken int64
	Open                 int // now
}

// MarshalZerologObject writes the counters' group of the log.
func (c ClientCounters) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("connections", c.Accepted).Int("open", c.Open).Int64("turned_away", c.Rejected).Int64("closed_idle", c.ClosedIdle).
		Int64("silent", c.Silent).Int64("late", c.Late).Int64("unreadable", c.BadRequests).
		Int64("accept_failed", c.AcceptFailed).Int64("broken", c.Broken)
}

// standing is what a connection is at.
type standing int

const (
	silent    standing = iota // it has asked for nothing yet
	asking                    // a request has begun and is not whole
	answering                 // a whole one is being answered
	passing                   // a long one is passed on
	idle                      // between requests
	ending                    // it has its last answer; what it still sends is drained
)

// clientConn is one connection. Its goroutine owns it; Clients.mu guards the rest.
type clientConn struct {
	lastingConn
	accepted time.Time
	at       standing
	since    time.Time
	closing  bool // it ends with its next answer, or without one where none is due
	held     bool // it may have waited to be accepted, and its first request with it
	overtime bool // its time was up, and what had come by then was let in
}

// Serve accepts connections until ctx ends. When leave ends, which comes first, connections end with their next answer
// and idle ones at once. A request that had come by then is answered; one that crosses the end is not read as one, and comes
// again on a new connection, which is still answered.
func (s *Clients) Serve(ctx, leave context.Context, listener net.Listener) error {
	s.mu.Lock()
	s.conns = map[*clientConn]struct{}{}
	s.mu.Unlock()
	var group errgroup.Group
	defer context.AfterFunc(leave, s.leave)()
	defer context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.leave()
	})()
	var failed error
	heldUntil := time.Time{} // until then accepted connections may have waited behind one that failed
	for {
		conn, err := listener.Accept()
		if err == nil {
			c := &clientConn{lastingConn: lastingConn{conn}, accepted: time.Now()}
			c.held = c.accepted.Before(heldUntil)
			if room := s.admit(c); room {
				group.Go(func() error { s.serve(c); return nil })
			} else {
				group.Go(func() error { s.turnAway(c); return nil })
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
		heldUntil = time.Now().Add(heldFor)
		s.Samples.Note("accept failed", err.Error(), func(*zerolog.Event) {})
		if s.count(&s.counters.AcceptFailed); errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			s.freeDescriptor()
		}
		pause(ctx, acceptAgain)
	}
	return errors.Join(failed, group.Wait())
}

// Counters gives the counters as they are now.
func (s *Clients) Counters() ClientCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Open = len(s.conns)
	return s.counters
}

func (s *Clients) count(which *int64) {
	s.mu.Lock()
	*which++
	s.mu.Unlock()
}
