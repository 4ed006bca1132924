// Package mulleinbeam makes the decisions of a forwarder of messages: when each
// message is sent, to which endpoint, how long it may wait, and when it is
// abandoned.
//
// A forwarder passes everything that it observes to a [Decider] as events and
// performs the actions that are returned. The package reads no clock, starts no
// goroutines and does no I/O, so equal events give equal actions. This file is
// the interface; the decisions are in decide.go.
package mulleinbeam

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// MessageID identifies a message; it is never reused.
type MessageID uint64

// EndpointID identifies an endpoint of a destination.
type EndpointID string

// DestinationID identifies a destination.
type DestinationID int64

// OrderKey is the key within which messages of an ordered class are delivered in order; zero is none.
type OrderKey uint64

// Effect says what happens if a message of a class is delivered repeatedly.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated at any time
	Keyed                // the destination drops repeats within KeyTTL
	Unsafe               // must never take effect twice
)

// Decay says how the worth of a message falls after its class's target.
type Decay int

// The kinds of decay.
const (
	DecayLinear      Decay = iota // linearly, to LateWorth at the deadline
	DecayExponential              // halved with each further target, but not below LateWorth
)

// Class describes one class of messages.
type Class struct {
	Name            string
	Target          time.Duration // a message delivered within this has its full worth
	DeliveryTimeout time.Duration // the deadline, from the first submission
	Worth           float64
	LateWorth       float64 // share of the worth that is left at the deadline
	Effect          Effect
	SameZoneOnly    bool          // repeats are dropped only by endpoints in the zone of the first attempt
	KeyTTL          time.Duration // how long a destination drops repeats of a keyed message
	InOrder         bool          // messages with the same key are delivered one at a time, in order
}

// Tenant is a client with a share of the service.
type Tenant struct {
	Name          string
	AllowancePerS float64 // messages a second within its share, over all forwarders
}

// Settings holds the configuration of a forwarder.
type Settings struct {
	Forwarders     int // number of forwarders side by side, this one included
	Slots          int // calls out at once
	LongSlots      int // calls with long messages out at once, beside Slots; see Submit.Long
	MostHeld       int // messages held at once, sent or not
	MaxAttempts    int
	Classes        []Class
	Decay          Decay
	Tenants        []Tenant
	OverShareWorth float64         // factor on the worth of messages beyond a tenant's share
	SeparateRoutes map[string]bool // by kind: each endpoint is a circuit of its own
	SeparateZones  bool            // the endpoints in each zone are a circuit; a Retry-After still applies to all zones
	// BatchByKind is how many messages may share a call, by kind; see Send. Kinds that are missing or below one
	// send each message in a call of its own.
	BatchByKind        map[string]int
	ZoneFee            map[string]float64 // by zone: cost of a call to a separate route there, in shares of the mean worth
	UseCapacityHints   bool               // the capacity hints of the list can be used
	RoughCapacityHints bool               // the hints may be up to half too high or too low
	MayProbe           bool
	MayCancel          bool
	SendRetryAfter     bool          // clients that are refused follow Refuse.RetryAfter
	MaxRetryAfter      time.Duration // longest Refuse.RetryAfter
	MustSubscribe      bool          // the list of endpoints has to be subscribed to
	SubscribeWithin    time.Duration
	KeepAlive          time.Duration // idle connections close after this
	ConnectTimeout     time.Duration // a connect that takes longer fails
	AnswerSlack        time.Duration // how long after its deadline a message may still be answered
	DrainGrace         time.Duration // how long calls may still go to an endpoint that is draining or deleted
	TurnGap            time.Duration // gap between messages of an order key after an attempt that may still run
	OverloadFactor     float64       // slow start: load that its budget allows, relative to the present capacity
	TipAfter           time.Duration // slow start: the interval of its budget
	ColdFrom           float64       // slow start: share of the capacity right after an outage
	WarmWithin         time.Duration // slow start: time from there to the full capacity
}

// ErrSettings is wrapped by all errors about settings.
var ErrSettings = errors.New("mulleinbeam: settings")

// Validate returns an error that names an unusable setting.
func (s Settings) Validate() error {
	bad := func(what string) error { return fmt.Errorf("%w: %s", ErrSettings, what) }
	switch {
	case s.Forwarders < 1:
		return bad("Forwarders must be at least 1")
	case s.Slots < 1:
		return bad("Slots must be at least 1")
	case s.MostHeld < 1:
		return bad("MostHeld must be at least 1")
	case s.MaxAttempts < 1:
		return bad("MaxAttempts must be at least 1")
	case s.LongSlots < 0:
		return bad("LongSlots is negative")
	case len(s.Classes) == 0:
		return bad("Classes must name at least one class")
	}
	share := func(f float64) bool { return f >= 0 && f <= 1 } // false for NaN as well
	amount := func(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }
	names := map[string]bool{}
	for _, c := range s.Classes {
		switch {
		case names[c.Name]:
			return bad(fmt.Sprintf("class %q is named twice", c.Name))
		case c.DeliveryTimeout <= 0 || c.Target <= 0:
			return bad(fmt.Sprintf("class %q needs Target and DeliveryTimeout (give-up)", c.Name))
		case c.Effect < Safe || c.Effect > Unsafe:
			return bad(fmt.Sprintf("class %q has no known Effect", c.Name))
		case c.Effect == Keyed && c.KeyTTL <= 0:
			return bad(fmt.Sprintf("keyed class %q needs KeyTTL", c.Name))
		case c.KeyTTL < 0:
			return bad(fmt.Sprintf("class %q: KeyTTL is negative", c.Name))
		case !amount(c.Worth):
			return bad(fmt.Sprintf("class %q: Worth must be finite and not negative", c.Name))
		case !share(c.LateWorth):
			return bad(fmt.Sprintf("class %q: LateWorth must be within 0 and 1", c.Name))
		}
		names[c.Name] = true
	}
	clear(names)
	for _, t := range s.Tenants {
		if names[t.Name] {
			return bad(fmt.Sprintf("tenant %q is named twice", t.Name))
		}
		if names[t.Name] = true; !amount(t.AllowancePerS) {
			return bad(fmt.Sprintf("tenant %q: AllowancePerS must be finite and not negative", t.Name))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(s.ZoneFee)) {
		if !amount(s.ZoneFee[zone]) {
			return bad(fmt.Sprintf("ZoneFee of %q must be finite and not negative", zone))
		}
	}
	for _, duration := range []struct {
		name  string
		value time.Duration
	}{
		{"MaxRetryAfter", s.MaxRetryAfter}, {"SubscribeWithin", s.SubscribeWithin}, {"KeepAlive", s.KeepAlive},
		{"ConnectTimeout", s.ConnectTimeout},
		{"AnswerSlack", s.AnswerSlack}, {"DrainGrace", s.DrainGrace}, {"TurnGap", s.TurnGap},
		{"TipAfter", s.TipAfter}, {"WarmWithin", s.WarmWithin},
	} {
		if duration.value < 0 {
			return bad(duration.name + " is negative")
		}
	}
	switch {
	case !share(s.OverShareWorth):
		return bad("OverShareWorth must be within 0 and 1")
	case !share(s.ColdFrom):
		return bad("ColdFrom must be within 0 and 1")
	case !amount(s.OverloadFactor):
		return bad("OverloadFactor must be finite and not negative")
	}
	return nil
}

// Readiness is the state of an endpoint on the list; it says nothing about its health.
type Readiness int

// The states of a listed endpoint.
const (
	Serving Readiness = iota
	Draining
	Deleted
)

// Entry describes an endpoint on the list.
type Entry struct {
	Endpoint     EndpointID
	Zone         string
	Kind         string
	Destination  DestinationID
	Readiness    Readiness
	CapacityHint float64 // calls a second from all forwarders together
	// TryNext requests a call that shows the endpoint's state: the next call of its destination goes there as soon as its
	// circuit admits one, however much faster others are. It applies to the whole circuit; see Settings.SeparateZones.
	TryNext bool
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes. Those marked (never ran) prove that the message had no effect.
const (
	OK            Outcome = iota
	Failed                // an error answer; it may have taken effect
	Refused               // rejected unread (never ran)
	TimedOut              // no answer in time
	ConnectFailed         // no connection in time (never ran)
	Reset                 // the connection broke
	Cancelled             // by a Cancel action, or for a long message by its client; no evidence about the endpoint
	NotSent               // never sent (never ran)
	Doubtful              // an answer that may have been another attempt's; no evidence about the endpoint
)

// isEvidence reports whether an outcome says something about the endpoint.
func (o Outcome) isEvidence() bool { return o != Cancelled && o != NotSent && o != Doubtful }

// Event is something that a forwarder observed: one of the types below.
type Event interface{ isEvent() }

// Submit adds a new message.
type Submit struct {
	ID          MessageID
	Class       string
	Tenant      string
	Key         OrderKey
	TimeLeft    time.Duration // until its deadline
	Destination DestinationID
	// Resumed marks a message that an earlier process of this forwarder accepted; if that made no attempt, this one does.
	Resumed bool
	// Attempts is how many attempts were made before, and MayHaveRun the first that may have taken effect. Numbers of
	// attempts continue from there.
	Attempts   int
	MayHaveRun *PriorAttempt
	// Long marks a message whose body is streamed. Its calls take one of LongSlots instead of Slots, and their latency
	// says nothing about the endpoint. It waits for a call for up to its class's delivery timeout, and the call may last
	// until TimeLeft is over.
	Long bool
	// BodyConsumed marks a long message whose body can't be sent again: it ends at once.
	BodyConsumed bool
}

// PriorAttempt is an earlier attempt that may have taken effect.
type PriorAttempt struct {
	SentAgo time.Duration // time since it was sent
	Zone    string        // zone of its endpoint
}

// Shutdown announces that the process ends: no call may be out after In.
type Shutdown struct{ In time.Duration }

// Answer reports the end of an attempt.
type Answer struct {
	ID               MessageID
	Attempt          int
	Endpoint         EndpointID
	Outcome          Outcome
	Latency          time.Duration
	Settled          bool          // the message has had its final answer
	RetryAfter       time.Duration // with Refused; zero if none
	Limit            *LimitReport  // reported by the endpoint; nil if none
	ReusedConnection bool          // the connection had carried an earlier call
	BodyConsumed     bool          // of a long message: its body can't be sent again, so there is no further attempt
}

// LimitReport is an endpoint's report of its rate limit.
type LimitReport struct {
	Remaining float64 // share of the limit that is left
	Rate      float64 // the limit in calls a second; zero is none
}

// AttemptMayHaveRun says that an attempt which was answered as never run may have taken effect after all.
type AttemptMayHaveRun struct {
	ID MessageID
	PriorAttempt
}

// MessageCancelled says that the client no longer wants a message delivered.
type MessageCancelled struct{ ID MessageID }

// Timer reports that a SetTimer has expired.
type Timer struct{ Cookie uint64 }

// Probed reports the end of a probe.
type Probed struct {
	Endpoint EndpointID
	Outcome  Outcome
	Latency  time.Duration
	Limit    *LimitReport
}

// ListScope says what an EndpointUpdate holds.
type ListScope int

// The scopes of a list.
const (
	ListChanges ListScope = iota // changed entries only
	ListWhole                    // all entries; endpoints that are missing are removed
	ListSaved                    // the list as last stored, perhaps outdated
	ListError                    // the subscription failed; the present list remains
)

// EndpointUpdate brings entries of the list of endpoints, from discovery.
type EndpointUpdate struct {
	Scope   ListScope
	Entries []Entry
}

func (Submit) isEvent()            {}
func (Answer) isEvent()            {}
func (AttemptMayHaveRun) isEvent() {}
func (MessageCancelled) isEvent()  {}
func (Timer) isEvent()             {}
func (Probed) isEvent()            {}
func (EndpointUpdate) isEvent()    {}
func (Shutdown) isEvent()          {}

// Action is something that the forwarder has to do: one of the types below.
type Action interface{ isAction() }

// Send calls an endpoint with a message; the attempt ends at CutAt (zero: at the deadline). If the call has to wait for
// a connection, call Decider.MayBegin just before its first byte; a call that may not begin is NotSent.
//
// Sends to one endpoint from one Handle share a call, in their order and up to BatchByKind messages of its kind;
// further ones share the next call. A call takes one of Settings.Slots until all its messages have an answer, counts
// once at the destination and has one outcome, which an Answer for each message reports.
type Send struct {
	ID            MessageID
	Endpoint      EndpointID
	CutAt         time.Duration
	NewConnection bool // on a new connection
}

// Refuse ends a message; the client may safely try again, after RetryAfter if set.
type Refuse struct {
	ID         MessageID
	RetryAfter time.Duration
}

// Fail ends a message; it may or may not have taken effect.
type Fail struct{ ID MessageID }

// Cancel aborts an attempt.
type Cancel struct {
	ID      MessageID
	Attempt int
}

// Probe checks an endpoint; the destination counts it as a call.
type Probe struct{ Endpoint EndpointID }

// CloseIdle closes this forwarder's idle connections to an endpoint.
type CloseIdle struct{ Endpoint EndpointID }

// Subscribe requests the list of endpoints and its changes from now on.
type Subscribe struct{}

// SetTimer requests a Timer event after a delay.
type SetTimer struct {
	After  time.Duration
	Cookie uint64
}

// Log is a log line for operators.
type Log struct{ Text string }

func (Send) isAction()      {}
func (Refuse) isAction()    {}
func (Fail) isAction()      {}
func (Cancel) isAction()    {}
func (Probe) isAction()     {}
func (CloseIdle) isAction() {}
func (Subscribe) isAction() {}
func (SetTimer) isAction()  {}
func (Log) isAction()       {}
