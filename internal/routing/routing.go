// Package routing runs the decision module in real time. One goroutine, the Router's, owns the Decider, the messages
// held, the calls out, the timers, the journal and the counters: events go in, actions come out. It knows no wire
// format; what speaks one is put before it (Take, Learn) and behind it (Caller, Notifier).
package routing

import (
	"context"
	"time"

	mb "mulleinbeam"
)

// Message is what a client hands in.
type Message struct {
	ID, Key     string
	Class       string
	Destination int64
	TimeLeft    time.Duration // how long it may still be delivered
	Body        []byte
	Long        *Long // its body is passed on; nil for one that is held
}

// Verdict is the answer to a message that was handed in.
type Verdict struct {
	Kind       VerdictKind
	RetryAfter time.Duration // with Refused: when to come again
	record     uint64        // with Taken and Known: what has to be durable before it is told,
	mark, seq  uint64        // and what others have to hold
}

// VerdictKind says what became of a message that was handed in.
type VerdictKind int

// The verdicts. Unknown classes and destinations are the client's error.
const (
	Accepted        VerdictKind = iota
	AlreadyAccepted             // taken on before under this id, and held or delivered
	AlreadyEnded                // taken on before under this id, and given up or handed back
	Refused
	Failed
	UnknownClass
	UnknownDestination
	Stopped     // the router has ended
	Unconfirmed // taken on, perhaps, and perhaps held by others: nothing can be told
)

// Endpoint is one endpoint as discovery lists it.
type Endpoint struct {
	Name, Address string
	Zone, Kind    string
	Destination   int64
	Weight        float64
	State         mb.Readiness
}

// EndpointList is a list of endpoints: the whole one, or the entries that changed.
type EndpointList struct {
	Whole     bool
	Saved     bool // the list as it was last held, perhaps out of date
	Endpoints []Endpoint
}

// Attempt is one attempt: a message on its way to an endpoint.
type Attempt struct {
	ID, Key       string
	Body          []byte
	Endpoint      string
	Address       string
	Deadline      time.Time // the attempt is abandoned then
	NewConnection bool      // on a new connection
	BodySource    any       // of a long message: Long.Source; there is no Body then
	// RecordDelivery must be asked, for a long message, once its delivery is known and before its client can hear of that.
	RecordDelivery func() bool
	// Begin must be asked just before the first byte is written; false forbids it.
	Begin func() bool
}

// Result is how an attempt ended.
type Result struct {
	Outcome          mb.Outcome
	RetryAfter       time.Duration   // with Full: the wait told, zero if none
	Limit            *mb.LimitReport // what the endpoint told of its limit, if anything
	Final            bool            // the message is over: nothing more is owed
	ReusedConnection bool            // it went on a connection that had carried a call before
	BodyConsumed     bool            // of a long message: its body is gone, and no further attempt can be made
}

// Caller makes calls. Call returns when the attempt has ended and nothing of it is on a connection any more; when
// ctx ends before that, it gives the attempt up.
type Caller interface {
	Call(ctx context.Context, call Attempt) Result
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint string)
}

// DeliveryReport tells the platform how a message ended that was taken on and not delivered.
type DeliveryReport struct {
	ID         string
	Returned   bool // it may be handed in again, after RetryAfter
	RetryAfter time.Duration
	// MaySend says, just before the notice is sent, whether it may be, and whether it never will: others who hold copies of the
	// message may have taken it over. Nil is always.
	MaySend func() (now, never bool)
	Done    func() // to be called once the platform has acknowledged it
}

// Notifier passes notices on until they are acknowledged; Notify does not wait for that.
type Notifier interface{ Notify(DeliveryReport) }
