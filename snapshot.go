package mulleinbeam

// What a courier has learned, as plain values that may outlast its life. Nothing here decides: what a value is still worth
// is for who kept it to say, and what follows from it is in decide.go.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Breaker is a lane's breaker.
type Breaker int

// The states of a breaker.
const (
	BreakerClosed Breaker = iota
	BreakerOpen
	BreakerHalfOpen // half open
)

// LearnedState is what a courier has learned. Times are told as ago, or as left.
type LearnedState struct {
	Circuits []LearnedCircuit
	Classes  []LearnedClass
	Losses   LossCounts
}

// LearnedCircuit is what was learned of a destination, or of one route where routes are apart, or of its endpoints in one zone ("in z")
// where places are separate.
type LearnedCircuit struct {
	Destination DestinationID
	Endpoint    EndpointID    // of a route; "" is the whole destination
	Endpoints   []EndpointID  // that were listed: it holds only where one of them still is
	Seen        time.Duration // ago: its latest outcome
	Breaker     Breaker
	OpenFor     time.Duration // the open period, which grows from failed trial to failed trial
	OpenLeft    time.Duration // of it
	Wait        time.Duration // left of a told wait
	Rate        float64       // calls a second to which it is paced; 0 is not
	Limit       float64       // calls a second, as reported; 0 is none
	Pace        float64       // latency relative to the classes' means
	Cap         float64       // calls out at once
	Guard       bool          // an outage may not be over
	Weak        bool          // the guard was raised by what may be a limit
	GuardSince  time.Duration // ago: its first sign
	GuardFrom   time.Duration // ago: the first success since; negative is none
	LastBad     time.Duration // ago: its latest sign; negative is never
	LastOK      time.Duration // ago; negative is never
	// Trust is how far Rate, Pace and Cap are believed, from 0 to 1; a snapshot says 1.
	Trust float64
	// Cold says that the destination may have gone cold unseen: it is met as after an outage.
	Cold bool
}

// LearnedClass is what was learned of a class.
type LearnedClass struct {
	Name        string
	MeanSeconds float64 // seconds that a call takes at a lane of pace 1
	Trust       float64
}

// LossCounts are the tallies that tell a dead connection or a chance failure from one that speaks of an endpoint. Each is
// calls, and how many of them were lost.
type LossCounts struct {
	AfterIdle, Others, ReusedConnection, NewConnection, StrayFailures, StrayRefusals [2]float64
	IdleLimit                                                                        time.Duration // connections that idled longer are taken for dead; 0 is none known
	RetryAfterSeen                                                                   bool          // a refusal has told a wait
}

// laneName names a lane over lives.
type laneName struct {
	destination DestinationID
	endpoint    EndpointID
}

func (d *Decider) nameOf(l *lane) laneName {
	switch {
	case l.apart:
		return laneName{l.dest.id, EndpointID(l.name)}
	case l.place != "":
		return laneName{l.dest.id, EndpointID("in " + l.place)}
	}
	return laneName{destination: l.dest.id}
}

// Snapshot gives what was learned up to now.
func (d *Decider) Snapshot(now time.Duration) LearnedState {
	var out LearnedState
	ago := func(at time.Duration) time.Duration { return max(0, now-at) }
	for _, dest := range d.dests {
		for _, l := range dest.lanes {
			seen := time.Duration(math.MinInt64)
			for _, at := range []time.Duration{l.lastBad, l.cutAt, l.fullSince, l.badSince} {
				if at != 0 { // which is never; what an earlier life has seen lies before this one's clock began
					seen = max(seen, at)
				}
			}
			if l.lastOK != neverOK {
				seen = max(seen, l.lastOK)
			}
			if seen == math.MinInt64 {
				continue
			}
			name := d.nameOf(l)
			f := LearnedCircuit{
				Destination: name.destination, Endpoint: name.endpoint, Seen: ago(seen), Breaker: Breaker(l.state),
				OpenFor: l.openFor, OpenLeft: max(0, l.openUntil-now), Wait: max(0, l.waitUntil-now), Rate: l.rate, Limit: l.x1,
				Pace: l.pace, Cap: l.cap, Guard: l.guard, Weak: l.weak, GuardSince: ago(l.guardSince), GuardFrom: -1,
				LastBad: -1, LastOK: -1, Trust: 1,
			}
			if l.lastBad != 0 {
				f.LastBad = ago(l.lastBad)
			}
			if l.lastOK != neverOK {
				f.LastOK = ago(l.lastOK)
			}
			if l.guardFrom >= 0 {
				f.GuardFrom = ago(l.guardFrom)
			}
			if l.heard > 0 && l.x1 == l.heard { // that is others' to tell
				f.Limit = 0
			}
			for _, ep := range l.eps {
				f.Endpoints = append(f.Endpoints, ep.id)
			}
			slices.Sort(f.Endpoints)
			out.Circuits = append(out.Circuits, f)
		}
	}
	slices.SortFunc(out.Circuits, func(a, b LearnedCircuit) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	for _, c := range d.s.Classes {
		out.Classes = append(out.Classes, LearnedClass{Name: c.Name, MeanSeconds: d.classes[c.Name].mean, Trust: 1})
	}
	two := func(t tally) [2]float64 { return [2]float64{t.n, t.lost} }
	out.Losses = LossCounts{
		AfterIdle: two(d.paused), Others: two(d.others), ReusedConnection: two(d.onKept), NewConnection: two(d.onFresh),
		StrayFailures: two(d.strayBad), StrayRefusals: two(d.strayFull), IdleLimit: d.idleBound, RetryAfterSeen: d.tells,
	}
	return out
}

// Restore has the courier start from what an earlier life had learned. It comes before the first Members; each lane takes its
// part up when an endpoint that it had then is listed.
func (d *Decider) Restore(now time.Duration, l LearnedState) {
	d.now = now
	d.recalled = map[laneName]LearnedCircuit{}
	for _, f := range l.Circuits {
		d.recalled[laneName{f.Destination, f.Endpoint}] = f
	}
	for _, f := range l.Classes {
		if c := d.classes[f.Name]; c != nil && f.MeanSeconds > 0 {
			c.mean = toward(c.mean, f.MeanSeconds, f.Trust)
		}
	}
	one := func(t [2]float64) tally { return tally{n: t[0], lost: t[1]} }
	d.paused, d.others, d.onKept, d.onFresh = one(l.Losses.AfterIdle), one(l.Losses.Others), one(l.Losses.ReusedConnection), one(l.Losses.NewConnection)
	d.strayBad, d.strayFull, d.tells = one(l.Losses.StrayFailures), one(l.Losses.StrayRefusals), l.Losses.RetryAfterSeen
	if d.idleBound = l.Losses.IdleLimit; d.idleBound > 0 {
		d.idleHitAt = now
	}
}

// ApplyObservations has the courier heed what others have learned of destinations that it knows, beside what it sees itself: a told wait, a
// limit where it was told none, believed as far as Trust says and never further than hearFactor off the list, and care as after
// an outage. It is told all that holds at the moment; a limit that is missing has lapsed.
func (d *Decider) ApplyObservations(now time.Duration, lanes []LearnedCircuit) {
	d.now = now
	told := make(map[laneName]LearnedCircuit, len(lanes))
	for _, f := range lanes {
		told[laneName{f.Destination, f.Endpoint}] = f
	}
	for _, dest := range d.dests {
		for _, l := range dest.lanes {
			f := told[d.nameOf(l)]
			l.waitUntil = max(l.waitUntil, now+f.Wait)
			if l.heard > 0 && l.x1 == l.heard {
				l.x1 = 0
			}
			if l.heard = 0; l.x1 <= 0 && f.Limit > 0 && f.Trust > 0 {
				base := d.base(l)
				l.heard = math.Min(hearFactor*base, math.Max(base/hearFactor, toward(base, f.Limit, f.Trust)))
				l.x1 = l.heard
			}
			if f.Guard && !l.guard && d.s.OverloadFactor > 0 && d.s.TipAfter > 0 {
				l.guard, l.weak, l.phase = true, false, d.rng.Float64()
				l.guardSince, l.guardFrom = max(0, now-f.GuardSince), -1
				if f.GuardFrom >= 0 {
					l.guardFrom = max(0, now-f.GuardFrom)
				}
			}
		}
	}
}

// ApplyRetryAfter has a whole destination wait, whichever of its endpoints told so.
func (d *Decider) ApplyRetryAfter(now time.Duration, id DestinationID, wait time.Duration) {
	if dest := d.dests[id]; dest != nil {
		for _, l := range dest.lanes {
			l.waitUntil = max(l.waitUntil, now+wait)
		}
	}
}

// hearFactor is how far off the list's capacity a limit that others tell of may be.
const hearFactor = 4

// toward is what lies a share of the way from one value to another.
func toward(from, to, share float64) float64 { return from + share*(to-from) }

// recall has a lane take up what is known of it, once one of its endpoints is listed again.
func (d *Decider) recall(ep *endpoint) {
	l := ep.lane
	f, known := d.recalled[d.nameOf(l)]
	if !known || !slices.Contains(f.Endpoints, ep.id) {
		return
	}
	delete(d.recalled, d.nameOf(l))
	at := func(ago time.Duration) time.Duration { return d.now - ago }
	l.waitUntil = max(l.waitUntil, d.now+f.Wait)
	if f.Limit > 0 && f.Trust > 0 {
		l.x1 = f.Limit
	}
	if base := d.base(l); f.Rate > 0 {
		l.rate, l.bucketAt, l.bucket = math.Max(paceFloor*base, toward(base, f.Rate, f.Trust)), d.now, 1
	}
	if f.Pace > 0 {
		l.pace = math.Min(paceMost, math.Max(paceLeast, toward(1, f.Pace, f.Trust)))
	}
	l.cap = math.Min(d.capCeil(), math.Max(1, toward(d.capFloor(), f.Cap, f.Trust)))
	if f.LastOK >= 0 {
		l.lastOK = at(f.LastOK)
	}
	if f.LastBad >= 0 {
		l.lastBad = at(f.LastBad)
	}
	if f.Breaker != BreakerClosed {
		l.state, l.openFor, l.openUntil = open, min(openMost, max(openFirst, f.OpenFor)), d.now+f.OpenLeft
	}
	if (f.Guard || f.Cold) && d.s.OverloadFactor > 0 && d.s.TipAfter > 0 {
		l.guard, l.weak, l.phase = true, f.Weak && !f.Cold, d.rng.Float64()
		l.guardSince, l.guardFrom = at(f.GuardSince), -1
		if f.GuardFrom >= 0 {
			l.guardFrom = max(0, at(f.GuardFrom))
		}
		if f.Cold {
			l.guardSince, l.guardFrom, l.lastBad = d.now, -1, d.now
		}
	}
}
