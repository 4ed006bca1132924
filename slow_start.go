package mulleinbeam

// Slow start: the limited budget of calls to a destination that comes back from an outage, until it is warm.

import (
	"math"
	"time"
)

// suspectAfter is the age at which a failure without a success since counts as an outage.
const suspectAfter = 3 * time.Second

// beginSlowStart limits calls to the slow-start budget after signs of an outage, until successes end it. If
// only connections were lost, a success too soon after the first loss for an outage cancels it. Refusals that
// the reported limit explains start a weak one, which holds the fleet's sum at the capacity itself.
func (d *Decider) beginSlowStart(c *circuit, since time.Duration, weak bool) {
	if d.cfg.OverloadFactor <= 0 || d.cfg.TipAfter <= 0 {
		return // slow start is not configured
	}
	if c.weakSlowStart = weak && (c.weakSlowStart || !c.slowStart); !c.slowStart {
		c.slowStart, c.outageSince, c.gapPhase = true, since, d.rng.Float64()
		c.gapsDue = c.gapPhase
	}
	c.recoveredAt, c.outageSeenAt, c.slowStartByConns = -1, d.now, false
}

// nextSlowStartCall returns when slow start admits the next call, so that this forwarder keeps to its part of
// the budget: overload factor x current share of the capacity x TipAfter, in any such interval, divided among
// the forwarders likely to have seen the outage. The warm-up starts at the first success, in a large fleet a
// quarter of the way back to the last failure. If an interval has less than one call, the first gap and that
// after a Retry-After are random. Drawback: with an underestimated capacity a backlog drains slowly.
func (d *Decider) nextSlowStartCall(c *circuit) time.Duration {
	d.suspectOutage(c)
	if !c.slowStart {
		return 0
	}
	budget := d.slowStartBudget(c)
	switch {
	case !c.slowStart || budget >= 1 && d.slowStartRoom(c, budget) >= 1:
		return 0
	case budget >= 1:
		return d.now + 1
	}
	gap := float64(d.cfg.TipAfter) / budget // a heavier call is followed by a longer gap
	return max(c.lastSend+time.Duration(gap*c.gapsDue), c.waitUntil+time.Duration(gap*c.gapPhase))
}

// suspectOutage begins slow start if the latest calls failed, however few, and nothing has been heard for
// long since: in a large fleet a forwarder may see no more of an outage than one lost call. Drawback: with
// little traffic a stray loss slows the destination down.
func (d *Decider) suspectOutage(c *circuit) {
	if d.largeFleet() && !c.slowStart && c.consecFailures > 0 && d.now-c.failedSince > suspectAfter {
		d.beginSlowStart(c, c.failedSince, false)
	}
}

// slowStartRoom returns the budget left after the calls of the last interval, by weight.
func (d *Decider) slowStartRoom(c *circuit, budget float64) float64 {
	for _, s := range c.recentCalls {
		if s.at > d.now-d.cfg.TipAfter {
			budget -= s.weight
		}
	}
	return budget
}

// slowStartBudget returns the calls this forwarder may send per interval; a warm circuit ends slow start.
func (d *Decider) slowStartBudget(c *circuit) float64 {
	share, until := d.cfg.ColdFrom, d.now
	if c.weakSlowStart {
		share = max(share, min(1, 1/d.cfg.OverloadFactor))
	}
	if c.recoveredAt >= 0 {
		until = c.recoveredAt
		share += (1 - share) * (d.now - until).Seconds() / math.Max(0.1, d.cfg.WarmWithin.Seconds())
	}
	c.slowStart = c.slowStart && share < 1
	est := d.capacity(c)
	if c.reportedLimit <= 0 && d.cfg.RoughCapacityHints {
		est *= roughHintMargin
	}
	n, span := float64(d.cfg.Forwarders), d.cfg.TipAfter.Seconds()
	since := c.outageSince
	if d.largeFleet() { // others may have seen it from the latest success on; without one, all have
		since = min(since, c.lastOK)
	}
	seen := 1 + (n-1)*(1-math.Exp(-meanLoad*d.capacity(c)*min(until-since, d.maxTimeout).Seconds()/n))
	part := math.Min(1/math.Sqrt(seen), (1+unevenness/math.Sqrt(seen))/seen)
	if d.largeFleet() { // half even, half by successes, so that the sum keeps to the budget
		own := d.rateOf(&c.successes, successDecay) / (meanLoad * d.capacity(c))
		part = (1/seen + math.Min(maxEvenShares/seen, own)) / 2
	}
	return math.Max(minSlowStartCalls, slowStartMargin*d.cfg.OverloadFactor*share*est*span*part)
}
