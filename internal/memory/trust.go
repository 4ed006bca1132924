package memory

import (
	"math"
	"time"

	mb "mulleinbeam"
)

// Trust says what a learned fact is worth by its age: half of it after a half-life, and never less than the floor.
type Trust struct {
	Half  time.Duration
	Floor float64
}

// at is the trust in a fact of an age.
func (t Trust) at(age time.Duration) float64 {
	return math.Max(t.Floor, math.Exp2(-max(0, age).Seconds()/t.Half.Seconds()))
}

// Figures are the trusts of each kind of fact, and the bounds beyond which one is not believed at all.
type Figures struct {
	Rate   Trust         // to what a partner is paced, its reported limit, how many calls it takes at once
	Class  Trust         // how long a class's calls take
	Lost   Trust         // what connections and chance failures were like
	Cold   time.Duration // a partner of which nothing was seen for so long may be cold
	Wait   time.Duration // the longest wait that is believed
	Behind time.Duration // a clock that far behind the file's was set back; less is drift
}

// DefaultFigures are for partners whose rates change within minutes and classes whose work changes over hours; a partner is cold after a
// quarter of an hour without calls.
var DefaultFigures = Figures{
	Rate: Trust{Half: 2 * time.Minute}, Class: Trust{Half: time.Hour, Floor: 0.1}, Lost: Trust{Half: 5 * time.Minute},
	Cold: 15 * time.Minute, Wait: 10 * time.Minute, Behind: 2 * time.Second,
}

// Weigh says what is left of facts after a time. They are weighed, not believed: what says "careful" holds whatever its age (an
// open breaker, a guard, a wait that has not ended), what says "go" fades. Each fact's age counts from when it was seen, not
// from when it was saved, so that saving it again adds nothing. jumped says that the clock was set back since: what says "go"
// is not believed then, and waits count from now.
func (f Figures) Weigh(l mb.LearnedState, age time.Duration, jumped bool) mb.LearnedState {
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
	share := f.Lost.at(age)
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
func (f Figures) lane(l mb.LearnedCircuit, age time.Duration, jumped bool) mb.LearnedCircuit {
	older := func(ago time.Duration) time.Duration {
		if ago < 0 { // never
			return ago
		}
		return ago + age
	}
	l.Seen = older(l.Seen)
	l.Wait = min(f.Wait, max(0, l.Wait-age))
	l.OpenLeft = min(f.Wait, max(0, l.OpenLeft-age))
	l.GuardSince, l.GuardFrom = older(l.GuardSince), older(l.GuardFrom)
	l.LastBad, l.LastOK = older(l.LastBad), older(l.LastOK)
	l.Trust *= f.Rate.at(l.Seen)
	if l.Cold = l.Cold || jumped || l.Seen >= f.Cold; l.Cold {
		l.Trust = f.Rate.Floor
	}
	return l
}
