package node

import (
	"slices"
	"time"
)

const (
	delayTick = 10 * time.Millisecond // between two looks at the clock
	delayMin  = delayTick             // by which a look is late before that counts: less is a timer's own
	delayKeep = time.Minute           // for which a delay is remembered; longer than calls last that are judged by their time
)

// span is a part of this process's time.
type span struct{ from, until time.Duration }

// schedulingDelays knows when this process had no processor: its own clock, looked at every delayTick, jumped. Calls that were out meanwhile
// seem to have taken longer than they did, which says nothing of whom they went to. It is not safe for concurrent use.
type schedulingDelays struct {
	looked time.Duration // the latest look; 0 is none yet
	spans  []span        // oldest first
}

// look is due every delayTick.
func (d *schedulingDelays) look(now time.Duration) {
	if late, isLate := d.late(now); isLate {
		d.spans = append(d.spans, late)
	}
	d.looked = now
	d.spans = slices.DeleteFunc(d.spans, func(s span) bool { return s.until < now-delayKeep })
}

// late is the delay that is under way, if there is one.
func (d *schedulingDelays) late(now time.Duration) (span, bool) {
	late := span{d.looked + delayTick, now}
	return late, d.looked > 0 && late.until-late.from > delayMin
}

// within is for how long between two moments this process had no processor. The second is now.
func (d *schedulingDelays) within(from, now time.Duration) (sum time.Duration) {
	for _, s := range d.spans {
		sum += max(0, s.until-max(s.from, from))
	}
	if late, isLate := d.late(now); isLate {
		sum += max(0, late.until-max(late.from, from))
	}
	return sum
}
