package memory

import (
	"math"
	"time"

	mb "mulleinbeam"
)

// Decay says what a learned fact is worth by its age: half of it after a half-life, and never less than the floor.
type Decay struct {
	HalfLife time.Duration
	Floor    float64
}

// at is the trust in a fact of an age.
func (t Decay) at(age time.Duration) float64 {
	return math.Max(t.Floor, math.Exp2(-max(0, age).Seconds()/t.HalfLife.Seconds()))
}

// DecayConfig are the trusts of each kind of fact, and the bounds beyond which one is not believed at all.
type DecayConfig struct {
	Rate           Decay         // to what a partner is paced, its reported limit, how many calls it takes at once
	Class          Decay         // how long a class's calls take
	Losses         Decay         // what connections and chance failures were like
	ColdAfter      time.Duration // a partner of which nothing was seen for so long may be cold
	MaxWait        time.Duration // the longest wait that is believed
	ClockTolerance time.Duration // a clock that far behind the file's was set back; less is drift
}

// DefaultDecay are for partners whose rates change within minutes and classes whose work changes over hours; a partner is cold after a
// quarter of an hour without calls.
var DefaultDecay = DecayConfig{
	Rate: Decay{HalfLife: 2 * time.Minute}, Class: Decay{HalfLife: time.Hour, Floor: 0.1}, Losses: Decay{HalfLife: 5 * time.Minute},
	ColdAfter: 15 * time.Minute, MaxWait: 10 * time.Minute, ClockTolerance: 2 * time.Second,
}

// Weigh says what is left of facts after a time. They are weighed, not believed: what says "careful" holds whatever its age (an
// open breaker, a guard, a wait that has not ended), what says "go" fades. Each fact's age counts from when it was seen, not
// from when it was saved, so that saving it again adds nothing. jumped says that the clock was set back since: what says "go"
// is not believed then, and waits count from now.
func (f DecayConfig) Weigh(l mb.LearnedState, age time.Duration, jumped bool) mb.LearnedState {
	if jumped {
		age = 0
	}
	out := mb.LearnedState{Circuits: make([]mb.LearnedCircuit, 0, len(l.Circuits)), Classes: make([]mb.LearnedClass, 0, len(l.Classes))}
	for _, lane := range l.Circuits {
		out.Circuits = append(out.Circuits, f.lane(lane, age, jumped))
	}
	for _, c := range l.Classes {
		if c.Trust *= f.Class.at(age); jumped {
			c.Trust = min(c.Trust, f.Class.Floor)
		}
		out.Classes = append(out.Classes, c)
	}
	share := f.Losses.at(age)
	if jumped {
		share = 0
	}
	fade := func(t [2]float64) [2]float64 { return [2]float64{t[0] * share, t[1] * share} }
	out.Losses = mb.LossCounts{
		AfterIdle: fade(l.Losses.AfterIdle), Others: fade(l.Losses.Others), ReusedConnection: fade(l.Losses.ReusedConnection), NewConnection: fade(l.Losses.NewConnection),
		StrayFailures: fade(l.Losses.StrayFailures), StrayRefusals: fade(l.Losses.StrayRefusals), RetryAfterSeen: l.Losses.RetryAfterSeen,
	}
	if share >= 0.5 { // closing idle connections costs handshakes: only while it is likely still so
		out.Losses.IdleLimit = l.Losses.IdleLimit
	}
	return out
}

// lane weighs what is known of one.
func (f DecayConfig) lane(l mb.LearnedCircuit, age time.Duration, jumped bool) mb.LearnedCircuit {
	older := func(ago time.Duration) time.Duration {
		if ago < 0 { // never
			return ago
		}
		return ago + age
	}
	l.Seen = older(l.Seen)
	l.Wait = min(f.MaxWait, max(0, l.Wait-age))
	l.OpenLeft = min(f.MaxWait, max(0, l.OpenLeft-age))
	l.GuardSince, l.GuardFrom = older(l.GuardSince), older(l.GuardFrom)
	l.LastBad, l.LastOK = older(l.LastBad), older(l.LastOK)
	l.Trust *= f.Rate.at(l.Seen)
	if l.Cold = l.Cold || jumped || l.Seen >= f.ColdAfter; l.Cold {
		l.Trust = f.Rate.Floor
	}
	return l
}
