package node

import (
	"slices"
	"time"
)

const (
	delayTick      = 10 * time.Millisecond // time between two samples of the clock
	delayMin       = delayTick             // smaller delays of a sample are ignored as normal timer inaccuracy
	delayRetention = time.Minute           // how long a delay is remembered; longer than any call whose latency is evaluated
)

// span is a period of time since the process's start.
type span struct{ from, until time.Duration }

// schedulingDelays records when this process was not scheduled: the clock, sampled every delayTick, jumped. Calls in
// flight at such a time seem slower than they were, which says nothing about their destinations. It is not safe for
// concurrent use.
type schedulingDelays struct {
	sampledAt time.Duration // time of the latest sample; 0 means none yet
	spans     []span        // oldest first
}

// sample compares the clock with the latest sample. It is called every delayTick.
func (d *schedulingDelays) sample(now time.Duration) {
	if late, isLate := d.late(now); isLate {
		d.spans = append(d.spans, late)
	}
	d.sampledAt = now
	d.spans = slices.DeleteFunc(d.spans, func(s span) bool { return s.until < now-delayRetention })
}

// late returns the delay that is in progress, if there is one.
func (d *schedulingDelays) late(now time.Duration) (span, bool) {
	late := span{d.sampledAt + delayTick, now}
	return late, d.sampledAt > 0 && late.until-late.from > delayMin
}

// within returns for how long this process was not scheduled between from and now.
func (d *schedulingDelays) within(from, now time.Duration) (sum time.Duration) {
	for _, s := range d.spans {
		sum += max(0, s.until-max(s.from, from))
	}
	if late, isLate := d.late(now); isLate {
		sum += max(0, late.until-max(late.from, from))
	}
	return sum
}
