// Package mulleinbeam decides what an outbound gateway's couriers do with the
// messages they take: when each is sent, to which endpoint, how long it may
// wait, and when it is given up.
//
// A courier feeds a [Decider] everything it observes as events and performs
// the actions that come back. The package keeps no clock, starts no
// goroutines and does no input or output, so equal events give equal actions.
// This file is the interface; every decision is in decide.go.
package mulleinbeam

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// MessageID names one message; it is never used twice.
type MessageID uint64

// EndpointID names one endpoint of a destination.
type EndpointID string

// DestinationID numbers a destination.
type DestinationID int64

// OrderKey is the key by which messages of an ordered class take turns; zero is none.
type OrderKey uint64

// Effect says what repeating a message of a class can do.
type Effect int

// The effects a class may have.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are dropped within KeyTTL
	Unsafe               // must never take effect twice
)

// Decay says how the worth of a message falls after its aim.
type Decay int

// The ways in which worth falls.
const (
	DecayLinear      Decay = iota // evenly, down to LateWorth at the deadline
	DecayExponential              // by half with each further aim, not under LateWorth
)

// Class describes one class of messages.
type Class struct {
	Name            string
	Target          time.Duration // delivered within this, a message earns its full worth
	DeliveryTimeout time.Duration // the deadline, from when it was first handed in
	Worth           float64
	LateWorth       float64 // share of the worth left at the deadline
	Effect          Effect
	SameZoneOnly    bool          // repeats are dropped only by endpoints in the first one's zone
	KeyTTL          time.Duration // how long a keyed message's destination drops repeats
	InOrder         bool          // messages with one key go one at a time, in order
}

// Tenant is a client with a share of the service.
type Tenant struct {
	Name          string
	AllowancePerS float64 // messages a second within its share, over all couriers
}

// Settings is all that a courier is told at its start.
type Settings struct {
	Forwarders     int // how many couriers serve side by side, this one included
	Slots          int // calls out at once
	LongSlots      int // calls out with long messages, beside Slots; see Submit.Long
	MostHeld       int // messages held at once, sent or not
	MaxAttempts    int
	Classes        []Class
	Decay          Decay
	Tenants        []Tenant
	OverShareWorth float64         // worth of what exceeds a tenant's share, as a fraction
	SeparateRoutes map[string]bool // by kind: each endpoint is a route with limit and outages of its own
	SeparateZones  bool            // a destination's endpoints in each zone have limit and outages of their own; a told wait binds all
	// BatchByKind says by kind how many messages may share a call; see Send. Kinds that are missing, or below one,
	// send each message in a call of its own.
	BatchByKind        map[string]int
	ZoneFee            map[string]float64
	UseCapacityHints   bool // capacity hints say something
	RoughCapacityHints bool // and may be up to half too high or too low
	MayProbe           bool
	MayCancel          bool
	SendRetryAfter     bool
	MaxRetryAfter      time.Duration
	MustSubscribe      bool // the list of endpoints comes only when asked for
	SubscribeWithin    time.Duration
	KeepAlive          time.Duration // idle connections close after this
	ConnectTimeout     time.Duration // a connection that is not there after this is given up
	AnswerSlack        time.Duration
	DrainGrace         time.Duration
	TurnGap            time.Duration
	OverloadFactor     float64
	TipAfter           time.Duration
	ColdFrom           float64
	WarmWithin         time.Duration
}

// ErrSettings is wrapped by every error about settings.
var ErrSettings = errors.New("mulleinbeam: settings")

// Validate reports, by name, a setting that can't be used.
func (s Settings) Validate() error {
	bad := func(what string) error { return fmt.Errorf("%w: %s", ErrSettings, what) }
	switch {
	case s.Forwarders < 1:
		return bad("Couriers must be at least 1")
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
			return bad(fmt.Sprintf("class %q needs Target and GiveUp", c.Name))
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
	for _, d := range []struct {
		name string
		d    time.Duration
	}{
		{"MaxRetryAfter", s.MaxRetryAfter}, {"AskWithin", s.SubscribeWithin}, {"KeepAlive", s.KeepAlive},
		{"ConnectTimeout", s.ConnectTimeout},
		{"AnswerSlack", s.AnswerSlack}, {"DrainGrace", s.DrainGrace}, {"TurnGap", s.TurnGap},
		{"TipAfter", s.TipAfter}, {"WarmWithin", s.WarmWithin},
	} {
		if d.d < 0 {
			return bad(d.name + " is negative")
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

// Readiness is what the list says of an endpoint; it tells nothing of health.
type Readiness int

// The states an endpoint is listed in.
const (
	Serving Readiness = iota
	Draining
	Deleted
)

// Entry is one line of the list of endpoints.
type Entry struct {
	Endpoint     EndpointID
	Zone         string
	Kind         string
	Destination  DestinationID
	Readiness    Readiness
	CapacityHint float64 // calls a second taken from all couriers together
	// TryNext says that it has to be found out how the endpoint stands: the next call of its destination goes there as soon as its lane admits one,
	// however much faster others look. It counts for all endpoints of a lane alike; see Settings.SeparatePlaces.
	TryNext bool
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes. Those marked (never ran) prove that the message had no effect.
const (
	OK            Outcome = iota
	Failed                // an error answer; it may have taken effect
	Refused               // turned away unseen (never ran)
	TimedOut              // no answer in time
	ConnectFailed         // no connection in time (never ran)
	Reset                 // the connection broke
	Cancelled             // called off; of a long message also cut by its client, which is no endpoint's doing
	NotSent               // not sent at all (never ran)
)

// Event is something a courier observed: one of the types below.
type Event interface{ isEvent() }

// Submit hands in a new message.
type Submit struct {
	ID          MessageID
	Class       string
	Tenant      string
	Key         OrderKey
	TimeLeft    time.Duration // how long it may still be delivered
	Destination DestinationID
	// Resumed marks a message that an earlier life of this forwarder took on: one that it had not tried is tried in this one.
	Resumed bool
	// The attempts that life has made, and the first of them that may have taken effect, if one may. Attempts are numbered on
	// from these.
	Attempts   int
	MayHaveRun *PriorAttempt
	// Long marks a message whose body is passed on as it comes. Its calls take none of Slots but one of LongSlots, and how
	// long they take is no endpoint's doing. It waits for a call for as long as its class lets a message live, and a call
	// of it may last until Left is over.
	Long bool
	// BodyConsumed marks a long message whose body is gone, so that no attempt of it can begin: it ends at once.
	BodyConsumed bool
}

// PriorAttempt is an attempt of an earlier life that may have taken effect.
type PriorAttempt struct {
	SentAgo time.Duration // since it was sent
	Zone    string        // its endpoint's
}

// Shutdown says that this courier's life ends soon: from then on no call may be out.
type Shutdown struct{ In time.Duration }

// Answer reports the end of an attempt.
type Answer struct {
	ID           MessageID
	Attempt      int
	Endpoint     EndpointID
	Outcome      Outcome
	Latency      time.Duration
	Settled      bool          // the message has had its final answer
	RetryAfter   time.Duration // with Full: the wait told, zero if none
	Limit        *LimitReport  // what the endpoint told of its limit, if anything
	ReusedConn   bool          // it went on a connection that had carried a call before
	BodyConsumed bool          // of a long message: its body is gone, and no further attempt can begin
}

// LimitReport is what an endpoint tells of its limit.
type LimitReport struct {
	Remaining float64 // share of the limit that is left
	Rate      float64 // the limit in calls a second; zero is none
}

// MessageCancelled says that nobody wants a message any more.
type MessageCancelled struct{ ID MessageID }

// Timer is a wake-up asked for by SetTimer.
type Timer struct{ Cookie uint64 }

// Probed reports the end of a probe.
type Probed struct {
	Endpoint EndpointID
	Outcome  Outcome
	Latency  time.Duration
	Limit    *LimitReport
}

// ListScope says what a Members event holds.
type ListScope int

// The scopes of a list.
const (
	ListChanges ListScope = iota // changed entries only
	ListWhole                    // everything; what is missing is gone
	ListSaved                    // the list as last held, perhaps stale
	ListError                    // asking failed; the list held stands
)

// EndpointUpdate is what the registry tells of the endpoints.
type EndpointUpdate struct {
	Scope   ListScope
	Entries []Entry
}

func (Submit) isEvent()           {}
func (Answer) isEvent()           {}
func (MessageCancelled) isEvent() {}
func (Timer) isEvent()            {}
func (Probed) isEvent()           {}
func (EndpointUpdate) isEvent()   {}
func (Shutdown) isEvent()         {}

// Action is something the courier is to do: one of the types below.
type Action interface{ isAction() }

// Send calls an endpoint with a message; the attempt is abandoned at CutAt (zero: at the deadline). Where its first byte
// waits for a connection, Decider.MayBegin is asked just before it; a call that may not begin is Moot.
//
// The Sends of one Handle to the same endpoint are one call, in their order up to what BatchByKind allows for its
// kind, further ones the next call. A call takes one of Settings.Slots until all its messages are answered, counts once
// at the destination and has one fate, which an Answer for each message tells.
type Send struct {
	ID            MessageID
	Endpoint      EndpointID
	CutAt         time.Duration
	NewConnection bool // on a new connection
}

// Refuse ends a message; the client may safely try again, after RetryAfter if that is set.
type Refuse struct {
	ID         MessageID
	RetryAfter time.Duration
}

// Fail ends a message with no promise about its effect.
type Fail struct{ ID MessageID }

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      MessageID
	Attempt int
}

// Probe checks an endpoint; the destination counts it as a call.
type Probe struct{ Endpoint EndpointID }

// CloseIdle closes this courier's idle connections to an endpoint.
type CloseIdle struct{ Endpoint EndpointID }

// Subscribe asks for the list of endpoints and its changes from now on.
type Subscribe struct{}

// SetTimer asks for a Timer event after a delay.
type SetTimer struct {
	After  time.Duration
	Cookie uint64
}

// Log is a line for the operators.
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
