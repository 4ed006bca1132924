package memory

import (
	"math"
	"time"

	mb "mulleinbeam"
)

// Decay defines the weight of a learned value by its age: it halves with each half-life, down to a floor.
type Decay struct {
	HalfLife time.Duration
	Floor    float64
}

// weight returns the weight of a value of the given age, from 0 to 1.
func (d Decay) weight(age time.Duration) float64 {
	return math.Max(d.Floor, math.Exp2(-max(0, age).Seconds()/d.HalfLife.Seconds()))
}

// DecayConfig holds the decay of each kind of learned value and the bounds beyond which a value is not used at all.
type DecayConfig struct {
	Rate           Decay         // rate limit, reported limit and concurrency limit of a destination
	Class          Decay         // latency of a class
	Losses         Decay         // loss counts of connections and stray failures
	ColdAfter      time.Duration // time without an outcome after which a destination may be cold
	MaxWait        time.Duration // upper bound of a restored wait
	ClockTolerance time.Duration // a clock further behind the file's timestamp was set back; less is drift
}

// DefaultDecay suits destinations whose rates change within minutes and classes whose work changes over hours. A
// destination is cold after a quarter of an hour without calls.
var DefaultDecay = DecayConfig{
	Rate: Decay{HalfLife: 2 * time.Minute}, Class: Decay{HalfLife: time.Hour, Floor: 0.1}, Losses: Decay{HalfLife: 5 * time.Minute},
	ColdAfter: 15 * time.Minute, MaxWait: 10 * time.Minute, ClockTolerance: 2 * time.Second,
}

// Weigh returns the learned state age after it was saved. State that restrains traffic holds at any age: an open
// breaker, slow start, a wait that has not ended. State that permits traffic loses weight. The age of a value counts
// from when it was observed, not from when it was saved, so that saving it again does not restore its weight.
// clockSetBack tells that the clock was set back since: then state that permits traffic gets its lowest weight, and
// waits start anew.
func (c DecayConfig) Weigh(l mb.LearnedState, age time.Duration, clockSetBack bool) mb.LearnedState {
	if clockSetBack {
		age = 0
	}
	out := mb.LearnedState{Circuits: make([]mb.LearnedCircuit, 0, len(l.Circuits)), Classes: make([]mb.LearnedClass, 0, len(l.Classes))}
	for _, circuit := range l.Circuits {
		out.Circuits = append(out.Circuits, c.weighCircuit(circuit, age, clockSetBack))
	}
	for _, class := range l.Classes {
		if class.Trust *= c.Class.weight(age); clockSetBack {
			class.Trust = min(class.Trust, c.Class.Floor)
		}
		out.Classes = append(out.Classes, class)
	}
	share := c.Losses.weight(age)
	if clockSetBack {
		share = 0
	}
	scale := func(t [2]float64) [2]float64 { return [2]float64{t[0] * share, t[1] * share} }
	out.Losses = mb.LossCounts{
		AfterIdle: scale(l.Losses.AfterIdle), Others: scale(l.Losses.Others), ReusedConnection: scale(l.Losses.ReusedConnection), NewConnection: scale(l.Losses.NewConnection),
		StrayFailures: scale(l.Losses.StrayFailures), StrayRefusals: scale(l.Losses.StrayRefusals), RetryAfterSeen: l.Losses.RetryAfterSeen,
	}
	if share >= 0.5 { // closing idle connections costs handshakes, so only while the limit is likely to hold
		out.Losses.IdleLimit = l.Losses.IdleLimit
	}
	return out
}

// weighCircuit returns a circuit's state age after it was saved.
func (c DecayConfig) weighCircuit(l mb.LearnedCircuit, age time.Duration, clockSetBack bool) mb.LearnedCircuit {
	addAge := func(ago time.Duration) time.Duration {
		if ago < 0 { // never
			return ago
		}
		return ago + age
	}
	l.Seen = addAge(l.Seen)
	l.Wait = min(c.MaxWait, max(0, l.Wait-age))
	l.OpenLeft = min(c.MaxWait, max(0, l.OpenLeft-age))
	l.GuardSince, l.GuardFrom = addAge(l.GuardSince), addAge(l.GuardFrom)
	l.LastBad, l.LastOK = addAge(l.LastBad), addAge(l.LastOK)
	l.Trust *= c.Rate.weight(l.Seen)
	if l.Cold = l.Cold || clockSetBack || l.Seen >= c.ColdAfter; l.Cold {
		l.Trust = c.Rate.Floor
	}
	return l
}
