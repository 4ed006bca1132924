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

func (d *Decider) keyOf(c *circuit) circuitKey {
	switch {
	case c.separateRoute:
		return circuitKey{c.dest.id, EndpointID(c.name)}
	case c.zone != "":
		return circuitKey{c.dest.id, EndpointID("in " + c.zone)}
	}
	return circuitKey{destination: c.dest.id}
}

// Snapshot returns the state learned up to now.
func (d *Decider) Snapshot(now time.Duration) LearnedState {
	var out LearnedState
	ago := func(at time.Duration) time.Duration { return max(0, now-at) }
	for _, dest := range d.destinations {
		for _, c := range dest.circuits {
			seen := time.Duration(math.MinInt64)
			for _, at := range []time.Duration{c.outageSeenAt, c.rateCutAt, c.refusedSince, c.failedSince} {
				if at != 0 { // 0 is never; times of an earlier process are negative
					seen = max(seen, at)
				}
			}
			if c.lastOK != neverOK {
				seen = max(seen, c.lastOK)
			}
			if seen == math.MinInt64 {
				continue
			}
			name := d.keyOf(c)
			lc := LearnedCircuit{
				Destination: name.destination, Endpoint: name.endpoint, Seen: ago(seen), Breaker: Breaker(c.state),
				OpenFor: c.openFor, OpenLeft: max(0, c.openUntil-now), Wait: max(0, c.waitUntil-now), Rate: c.rateLimit, Limit: c.reportedLimit,
				Pace: c.latencyFactor, Cap: c.callLimit, Guard: c.slowStart, Weak: c.weakSlowStart, GuardSince: ago(c.outageSince), GuardFrom: -1,
				LastBad: -1, LastOK: -1, Trust: 1,
			}
			if c.outageSeenAt != 0 {
				lc.LastBad = ago(c.outageSeenAt)
			}
			if c.lastOK != neverOK {
				lc.LastOK = ago(c.lastOK)
			}
			if c.recoveredAt >= 0 {
				lc.GuardFrom = ago(c.recoveredAt)
			}
			if c.peerLimit > 0 && c.reportedLimit == c.peerLimit { // reported by others, not by the endpoint
				lc.Limit = 0
			}
			for _, ep := range c.endpoints {
				lc.Endpoints = append(lc.Endpoints, ep.id)
			}
			slices.Sort(lc.Endpoints)
			out.Circuits = append(out.Circuits, lc)
		}
	}
	slices.SortFunc(out.Circuits, func(a, b LearnedCircuit) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	for _, class := range d.cfg.Classes {
		out.Classes = append(out.Classes, LearnedClass{Name: class.Name, MeanSeconds: d.classes[class.Name].meanSec, Trust: 1})
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
func (d *Decider) Restore(now time.Duration, learned LearnedState) {
	d.now = now
	d.restored = map[circuitKey]LearnedCircuit{}
	for _, lc := range learned.Circuits {
		d.restored[circuitKey{lc.Destination, lc.Endpoint}] = lc
	}
	for _, lc := range learned.Classes {
		if cs := d.classes[lc.Name]; cs != nil && lc.MeanSeconds > 0 {
			cs.meanSec = interpolate(cs.meanSec, lc.MeanSeconds, lc.Trust)
		}
	}
	tallyOf := func(t [2]float64) lossTally { return lossTally{calls: t[0], lost: t[1]} }
	d.afterIdle, d.others, d.reusedConnection, d.newConnection = tallyOf(learned.Losses.AfterIdle), tallyOf(learned.Losses.Others), tallyOf(learned.Losses.ReusedConnection), tallyOf(learned.Losses.NewConnection)
	d.strayFailures, d.strayRefusals, d.retryAfterSeen = tallyOf(learned.Losses.StrayFailures), tallyOf(learned.Losses.StrayRefusals), learned.Losses.RetryAfterSeen
	if d.idleLimit = learned.Losses.IdleLimit; d.idleLimit > 0 {
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
	for _, lc := range circuits {
		observed[circuitKey{lc.Destination, lc.Endpoint}] = lc
	}
	for _, dest := range d.destinations {
		for _, c := range dest.circuits {
			lc := observed[d.keyOf(c)]
			c.waitUntil = max(c.waitUntil, now+lc.Wait)
			if c.peerLimit > 0 && c.reportedLimit == c.peerLimit {
				c.reportedLimit = 0
			}
			if c.peerLimit = 0; c.reportedLimit <= 0 && lc.Limit > 0 && lc.Trust > 0 {
				base := d.capacity(c)
				c.peerLimit = math.Min(maxPeerLimitFactor*base, math.Max(base/maxPeerLimitFactor, interpolate(base, lc.Limit, lc.Trust)))
				c.reportedLimit = c.peerLimit
			}
			if lc.Guard && !c.slowStart && d.cfg.OverloadFactor > 0 && d.cfg.TipAfter > 0 {
				c.slowStart, c.weakSlowStart, c.gapPhase = true, false, d.rng.Float64()
				c.outageSince, c.recoveredAt = max(0, now-lc.GuardSince), -1
				if lc.GuardFrom >= 0 {
					c.recoveredAt = max(0, now-lc.GuardFrom)
				}
			}
		}
	}
}

// ApplyRetryAfter applies a Retry-After of any endpoint to the whole destination.
func (d *Decider) ApplyRetryAfter(now time.Duration, id DestinationID, wait time.Duration) {
	if dest := d.destinations[id]; dest != nil {
		for _, c := range dest.circuits {
			c.waitUntil = max(c.waitUntil, now+wait)
		}
	}
}

// maxPeerLimitFactor bounds how far a limit reported by others may differ from the listed capacity.
const maxPeerLimitFactor = 4

// interpolate returns the value at this share of the way from one value to another.
func interpolate(from, to, share float64) float64 { return from + share*(to-from) }

// restoreCircuit restores a circuit's learned state when one of its earlier endpoints is listed.
func (d *Decider) restoreCircuit(ep *endpoint) {
	c := ep.circuit
	lc, known := d.restored[d.keyOf(c)]
	if !known || !slices.Contains(lc.Endpoints, ep.id) {
		return
	}
	delete(d.restored, d.keyOf(c))
	at := func(ago time.Duration) time.Duration { return d.now - ago }
	c.waitUntil = max(c.waitUntil, d.now+lc.Wait)
	if lc.Limit > 0 && lc.Trust > 0 {
		c.reportedLimit = lc.Limit
	}
	if base := d.capacity(c); lc.Rate > 0 {
		c.rateLimit, c.tokensAt, c.tokens = math.Max(rateMin*base, interpolate(base, lc.Rate, lc.Trust)), d.now, 1
	}
	if lc.Pace > 0 {
		c.latencyFactor = math.Min(maxLatencyFactor, math.Max(minLatencyFactor, interpolate(1, lc.Pace, lc.Trust)))
	}
	c.callLimit = math.Min(d.callLimitCeil(), math.Max(1, interpolate(d.callLimitFloor(), lc.Cap, lc.Trust)))
	if lc.LastOK >= 0 {
		c.lastOK = at(lc.LastOK)
	}
	if lc.LastBad >= 0 {
		c.outageSeenAt = at(lc.LastBad)
	}
	if lc.Breaker != BreakerClosed {
		c.state, c.openFor, c.openUntil = open, min(openMax, max(openFirst, lc.OpenFor)), d.now+lc.OpenLeft
	}
	if (lc.Guard || lc.Cold) && d.cfg.OverloadFactor > 0 && d.cfg.TipAfter > 0 {
		c.slowStart, c.weakSlowStart, c.gapPhase = true, lc.Weak && !lc.Cold, d.rng.Float64()
		c.outageSince, c.recoveredAt = at(lc.GuardSince), -1
		if lc.GuardFrom >= 0 {
			c.recoveredAt = max(0, at(lc.GuardFrom))
		}
		if lc.Cold {
			c.outageSince, c.recoveredAt, c.outageSeenAt = d.now, -1, d.now
		}
	}
}
