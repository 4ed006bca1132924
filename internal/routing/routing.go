// Package routing runs the decision module in real time. A single goroutine, started by Router.Run, owns the Decider,
// the held messages, the outgoing calls, the timers, the journal and the counters: it receives events and carries out
// the actions that the module returns. The package knows no wire format; code that speaks one calls Router.Accept and
// Router.Learn, or implements Caller and Notifier.
package routing

import (
	"context"
	"time"

	mb "mulleinbeam"
)

// Message is a message as a client submits it.
type Message struct {
	ID, Key     string
	Class       string
	Destination int64
	TimeLeft    time.Duration // how long it may still be delivered
	Body        []byte
	Long        *Long // set if the body is streamed instead of stored
	// ConnectionAccepted is how many messages were accepted of late on the connection that submits this one.
	ConnectionAccepted int
}

// Verdict is the answer to a submitted message.
type Verdict struct {
	Kind             VerdictKind
	RetryAfter       time.Duration // with Refused: when the client may try again
	recordNumber     uint64        // with Accepted and AlreadyAccepted: must be durable before the answer
	logPosition, seq uint64        // position in the replicated log, and the message's sequence number
}

// VerdictKind is the kind of a Verdict.
type VerdictKind int

// Verdict kinds. UnknownClass and UnknownDestination are client errors.
const (
	Accepted        VerdictKind = iota
	AlreadyAccepted             // accepted earlier under this id, and held or delivered
	AlreadyEnded                // accepted earlier under this id, and abandoned or returned
	Refused
	Failed
	UnknownClass
	UnknownDestination
	Stopped     // the router has stopped
	Unconfirmed // possibly accepted and replicated: no answer would be safe
)

// Endpoint is an endpoint as discovery or the configuration lists it.
type Endpoint struct {
	Name, Address string
	Zone, Kind    string
	Destination   int64
	Weight        float64
	StartedAt     int64 // when the process started, in Unix milliseconds as discovery tells it; 0 for long ago
	State         mb.Readiness
}

// EndpointList is a complete list of endpoints, or the entries that changed.
type EndpointList struct {
	Whole     bool // a complete list
	Saved     bool // the last known list, possibly out of date
	Endpoints []Endpoint
}

// Attempt is one attempt to deliver a message to an endpoint.
type Attempt struct {
	ID, Key       string
	Body          []byte
	Endpoint      string
	Address       string
	Deadline      time.Time // the attempt is abandoned then
	NewConnection bool      // whether it needs a new connection
	MustNotRepeat bool      // whether the message must not take effect twice
	Retry         bool      // whether an earlier attempt was made
	BodySource    any       // Long.BodySource of a long message, whose Body is empty
	// RecordDelivery journals the delivery of a long message. The Caller calls it once the delivery is known and before
	// the client can learn of it.
	RecordDelivery func() bool
	// The Caller must call Begin just before the first byte is written; false forbids writing it.
	Begin func() bool
	// The Caller calls OnDoubt at most once, possibly after the attempt has ended, if it finds that the answer may have
	// been another attempt's.
	OnDoubt func()
	// The Caller calls OnRetryAfter if it has received a retry-after but not decided yet whether the answer is the
	// attempt's own.
	OnRetryAfter func(time.Duration)
}

// Result is how an attempt ended.
type Result struct {
	Outcome          mb.Outcome
	RetryAfter       time.Duration   // with Refused: the delay that the endpoint asked for, zero if none
	Limit            *mb.LimitReport // limit reported by the endpoint, if any
	Status           int             // of the endpoint's answer; 0 if there was none
	Certainty        Certainty       // of that answer
	DoubtReason      string          // why it may be another attempt's, for the log
	Final            bool            // the message is over for the endpoint: no further attempt, and no report is needed
	NoAttemptsLeft   bool            // the message has had all its attempts: no further attempt, but its end has to be reported
	ReusedConnection bool            // the connection had carried a call before
	BodyConsumed     bool            // the body of a long message is lost, so no further attempt is possible
	Waited           time.Duration   // part of the attempt's time in which it did not wait for the endpoint
	Connection       ConnectionUse
}

// Certainty says how sure it is that an answer is its attempt's own.
type Certainty int

// The values of Certainty.
const (
	Certain   Certainty = iota // it cannot be another attempt's
	Plausible                  // nothing speaks against it, but the connection carried another attempt shortly before
	InDoubt                    // something speaks against it
)

// ConnectionUse describes the connection of an attempt in the log.
type ConnectionUse struct {
	ID    uint64        // unique within the process; 0 if there was none
	Uses  int           // attempts that it has carried, with this one
	Quiet time.Duration // silence before the attempt
}

// Caller makes calls. Call returns when the attempt has ended and its connection carries nothing of it any more; if ctx
// ends first, it abandons the attempt.
type Caller interface {
	Call(ctx context.Context, call Attempt) Result
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint string)
}

// DeliveryReport tells the platform how an accepted message ended that was not delivered.
type DeliveryReport struct {
	ID         string
	Returned   bool // the client may submit it again, after RetryAfter
	RetryAfter time.Duration
	// MaySend is called just before the report is sent. It returns whether the report may be sent now, and whether it
	// must never be sent because another forwarder took the message over. If MaySend is nil, the report may always be
	// sent.
	MaySend func() (now, never bool)
	Done    func() // must be called once the platform has acknowledged the report
}

// Notifier sends delivery reports until they are acknowledged. Notify does not wait for that.
type Notifier interface{ Notify(DeliveryReport) }
