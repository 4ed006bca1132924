package mulleinbeam

// The learned state of a forwarder, as plain values that can outlive the process. This file decides nothing: the caller
// says how far stored values are still trusted, and decide.go what follows from them.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Breaker is the state of a circuit breaker.
type Breaker int

// The states of a breaker.
const (
	BreakerClosed Breaker = iota
	BreakerOpen
	BreakerHalfOpen
)

// LearnedState is what a forwarder has learned. Times are durations before or after the moment of the snapshot.
type LearnedState struct {
	Circuits []LearnedCircuit
	Classes  []LearnedClass
	Losses   LossCounts
}

// LearnedCircuit is the learned state of a circuit: a destination, a single endpoint with Settings.SeparateRoutes, or
// the endpoints in one zone with Settings.SeparateZones.
type LearnedCircuit struct {
	Destination DestinationID
	Endpoint    EndpointID    // of a single endpoint, or "in ZONE"; "" is the whole destination
	Endpoints   []EndpointID  // those listed; the state applies only while one of them still is
	Seen        time.Duration // time since the latest outcome
	Breaker     Breaker
	OpenFor     time.Duration // the breaker's open period, which grows with each failed trial
	OpenLeft    time.Duration // remaining part of it
	Wait        time.Duration // remaining time of a Retry-After
	Rate        float64       // rate limit in calls a second; 0 is none
	Limit       float64       // reported limit in calls a second; 0 is none
	Pace        float64       // latency relative to the classes' means
	Cap         float64       // limit on concurrent calls
	Guard       bool          // slow start is on: an outage may not be over
	Weak        bool          // slow start was started by what may be a limit
	GuardSince  time.Duration // time since the first sign of the outage
	GuardFrom   time.Duration // time since the first success after it; negative is none
	LastBad     time.Duration // time since the latest sign of an outage; negative is never
	LastOK      time.Duration // time since the latest success; negative is never
	// Trust is the weight of Rate, Pace and Cap against their initial values, from 0 to 1; a snapshot has 1.
	Trust float64
	// Cold says that the destination may have gone cold unobserved: slow start applies as after an outage.
	Cold bool
}

// LearnedClass is the learned state of a class.
type LearnedClass struct {
	Name        string
	MeanSeconds float64 // of a call at a circuit with Pace 1
	Trust       float64
}

// LossCounts holds the tallies that tell dead connections and stray failures from a failing endpoint. Each is a number
// of calls and how many of them were lost.
type LossCounts struct {
	AfterIdle, Others, ReusedConnection, NewConnection, StrayFailures, StrayRefusals [2]float64
	// IdleLimit is the idle time beyond which connections are taken for dead; 0 is no limit.
	IdleLimit time.Duration
	// RetryAfterSeen says that a refusal has carried a Retry-After.
	RetryAfterSeen bool
}

// circuitKey identifies a circuit across processes.
type circuitKey struct {
	destination DestinationID
	endpoint    EndpointID
}

func (d *Decider) keyOf(l *circuit) circuitKey {
	switch {
	case l.separateRoute:
		return circuitKey{l.dest.id, EndpointID(l.name)}
	case l.zone != "":
		return circuitKey{l.dest.id, EndpointID("in " + l.zone)}
	}
	return circuitKey{destination: l.dest.id}
}

// Snapshot returns the state learned up to now.
func (d *Decider) Snapshot(now time.Duration) LearnedState {
	var out LearnedState
	ago := func(at time.Duration) time.Duration { return max(0, now-at) }
	for _, dest := range d.destinations {
		for _, l := range dest.circuits {
			seen := time.Duration(math.MinInt64)
			for _, at := range []time.Duration{l.outageSeenAt, l.rateCutAt, l.refusedSince, l.failedSince} {
				if at != 0 { // 0 is never; times of an earlier process are negative
					seen = max(seen, at)
				}
			}
			if l.lastOK != neverOK {
				seen = max(seen, l.lastOK)
			}
			if seen == math.MinInt64 {
				continue
			}
			name := d.keyOf(l)
			f := LearnedCircuit{
				Destination: name.destination, Endpoint: name.endpoint, Seen: ago(seen), Breaker: Breaker(l.state),
				OpenFor: l.openFor, OpenLeft: max(0, l.openUntil-now), Wait: max(0, l.waitUntil-now), Rate: l.rateLimit, Limit: l.reportedLimit,
				Pace: l.latencyFactor, Cap: l.callLimit, Guard: l.slowStart, Weak: l.weakSlowStart, GuardSince: ago(l.outageSince), GuardFrom: -1,
				LastBad: -1, LastOK: -1, Trust: 1,
			}
			if l.outageSeenAt != 0 {
				f.LastBad = ago(l.outageSeenAt)
			}
			if l.lastOK != neverOK {
				f.LastOK = ago(l.lastOK)
			}
			if l.recoveredAt >= 0 {
				f.GuardFrom = ago(l.recoveredAt)
			}
			if l.peerLimit > 0 && l.reportedLimit == l.peerLimit { // reported by others, not by the endpoint
				f.Limit = 0
			}
			for _, ep := range l.endpoints {
				f.Endpoints = append(f.Endpoints, ep.id)
			}
			slices.Sort(f.Endpoints)
			out.Circuits = append(out.Circuits, f)
		}
	}
	slices.SortFunc(out.Circuits, func(a, b LearnedCircuit) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	for _, c := range d.cfg.Classes {
		out.Classes = append(out.Classes, LearnedClass{Name: c.Name, MeanSeconds: d.classes[c.Name].meanSec, Trust: 1})
	}
	pair := func(t lossTally) [2]float64 { return [2]float64{t.calls, t.lost} }
	out.Losses = LossCounts{
		AfterIdle: pair(d.afterIdle), Others: pair(d.others), ReusedConnection: pair(d.reusedConnection), NewConnection: pair(d.newConnection),
		StrayFailures: pair(d.strayFailures), StrayRefusals: pair(d.strayRefusals), IdleLimit: d.idleLimit, RetryAfterSeen: d.retryAfterSeen,
	}
	return out
}

// Restore sets the learned state of an earlier process. Call it before the first EndpointUpdate; each circuit takes its
// part when one of its earlier endpoints is listed.
func (d *Decider) Restore(now time.Duration, l LearnedState) {
	d.now = now
	d.restored = map[circuitKey]LearnedCircuit{}
	for _, f := range l.Circuits {
		d.restored[circuitKey{f.Destination, f.Endpoint}] = f
	}
	for _, f := range l.Classes {
		if c := d.classes[f.Name]; c != nil && f.MeanSeconds > 0 {
			c.meanSec = interpolate(c.meanSec, f.MeanSeconds, f.Trust)
		}
	}
	tallyOf := func(t [2]float64) lossTally { return lossTally{calls: t[0], lost: t[1]} }
	d.afterIdle, d.others, d.reusedConnection, d.newConnection = tallyOf(l.Losses.AfterIdle), tallyOf(l.Losses.Others), tallyOf(l.Losses.ReusedConnection), tallyOf(l.Losses.NewConnection)
	d.strayFailures, d.strayRefusals, d.retryAfterSeen = tallyOf(l.Losses.StrayFailures), tallyOf(l.Losses.StrayRefusals), l.Losses.RetryAfterSeen
	if d.idleLimit = l.Losses.IdleLimit; d.idleLimit > 0 {
		d.idleLossAt = now
	}
}

// ApplyObservations applies what other forwarders observed of known destinations, beside this one's own: a
// Retry-After; a limit where the endpoint reported none, weighted by Trust and at most maxPeerLimitFactor off the
// listed capacity; and slow start after an outage. Each call gives all that applies now: a limit that is missing has
// expired.
func (d *Decider) ApplyObservations(now time.Duration, circuits []LearnedCircuit) {
	d.now = now
	observed := make(map[circuitKey]LearnedCircuit, len(circuits))
	for _, f := range circuits {
		observed[circuitKey{f.Destination, f.Endpoint}] = f
	}
	for _, dest := range d.destinations {
		for _, l := range dest.circuits {
			f := observed[d.keyOf(l)]
			l.waitUntil = max(l.waitUntil, now+f.Wait)
			if l.peerLimit > 0 && l.reportedLimit == l.peerLimit {
				l.reportedLimit = 0
			}
			if l.peerLimit = 0; l.reportedLimit <= 0 && f.Limit > 0 && f.Trust > 0 {
				base := d.capacity(l)
				l.peerLimit = math.Min(maxPeerLimitFactor*base, math.Max(base/maxPeerLimitFactor, interpolate(base, f.Limit, f.Trust)))
				l.reportedLimit = l.peerLimit
			}
			if f.Guard && !l.slowStart && d.cfg.OverloadFactor > 0 && d.cfg.TipAfter > 0 {
				l.slowStart, l.weakSlowStart, l.gapPhase = true, false, d.rng.Float64()
				l.outageSince, l.recoveredAt = max(0, now-f.GuardSince), -1
				if f.GuardFrom >= 0 {
					l.recoveredAt = max(0, now-f.GuardFrom)
				}
			}
		}
	}
}

// ApplyRetryAfter applies a Retry-After of any endpoint to the whole destination.
func (d *Decider) ApplyRetryAfter(now time.Duration, id DestinationID, wait time.Duration) {
	if dest := d.destinations[id]; dest != nil {
		for _, l := range dest.circuits {
			l.waitUntil = max(l.waitUntil, now+wait)
		}
	}
}

// maxPeerLimitFactor bounds how far a limit reported by others may differ from the listed capacity.
const maxPeerLimitFactor = 4

// interpolate returns the value at this share of the way from one value to another.
func interpolate(from, to, share float64) float64 { return from + share*(to-from) }

// restoreCircuit restores a circuit's learned state when one of its earlier endpoints is listed.
func (d *Decider) restoreCircuit(ep *endpoint) {
	l := ep.circuit
	f, known := d.restored[d.keyOf(l)]
	if !known || !slices.Contains(f.Endpoints, ep.id) {
		return
	}
	delete(d.restored, d.keyOf(l))
	at := func(ago time.Duration) time.Duration { return d.now - ago }
	l.waitUntil = max(l.waitUntil, d.now+f.Wait)
	if f.Limit > 0 && f.Trust > 0 {
		l.reportedLimit = f.Limit
	}
	if base := d.capacity(l); f.Rate > 0 {
		l.rateLimit, l.tokensAt, l.tokens = math.Max(rateMin*base, interpolate(base, f.Rate, f.Trust)), d.now, 1
	}
	if f.Pace > 0 {
		l.latencyFactor = math.Min(maxLatencyFactor, math.Max(minLatencyFactor, interpolate(1, f.Pace, f.Trust)))
	}
	l.callLimit = math.Min(d.callLimitCeil(), math.Max(1, interpolate(d.callLimitFloor(), f.Cap, f.Trust)))
	if f.LastOK >= 0 {
		l.lastOK = at(f.LastOK)
	}
	if f.LastBad >= 0 {
		l.outageSeenAt = at(f.LastBad)
	}
	if f.Breaker != BreakerClosed {
		l.state, l.openFor, l.openUntil = open, min(openMax, max(openFirst, f.OpenFor)), d.now+f.OpenLeft
	}
	if (f.Guard || f.Cold) && d.cfg.OverloadFactor > 0 && d.cfg.TipAfter > 0 {
		l.slowStart, l.weakSlowStart, l.gapPhase = true, f.Weak && !f.Cold, d.rng.Float64()
		l.outageSince, l.recoveredAt = at(f.GuardSince), -1
		if f.GuardFrom >= 0 {
			l.recoveredAt = max(0, at(f.GuardFrom))
		}
		if f.Cold {
			l.outageSince, l.recoveredAt, l.outageSeenAt = d.now, -1, d.now
		}
	}
}
