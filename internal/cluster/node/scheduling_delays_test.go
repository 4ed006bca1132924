package node

import (
	"testing"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/cluster/plan"
)

const ms = time.Millisecond

// Guards against delays that are counted wrongly: only the part within a call's time counts, a delay still in progress
// counts too, and old delays are forgotten.
func TestSchedulingDelays(t *testing.T) {
	d := &schedulingDelays{}
	for _, at := range []time.Duration{10 * ms, 21 * ms, 40 * ms, 340 * ms, 350 * ms} { // samples late by 1, 9 and 290 ms
		d.sample(at)
	}
	for _, c := range []struct{ from, now, want time.Duration }{
		{0, 355 * ms, 290 * ms},
		{40 * ms, 355 * ms, 290 * ms},
		{300 * ms, 355 * ms, 40 * ms},
		{345 * ms, 355 * ms, 0},
		{345 * ms, 460 * ms, 100 * ms}, // no sample since 350 ms
	} {
		if got := d.within(c.from, c.now); got != c.want {
			t.Errorf("within %v to %v: %v, want %v", c.from, c.now, got, c.want)
		}
	}
	if d.sample(2 * delayRetention); len(d.spans) != 1 {
		t.Errorf("remembered: %v", d.spans)
	}
}

// Guards against blaming a destination for delays of this process: a call during which the process was not scheduled is
// neither slow nor timed out.
func TestSchedulingDelaysDoNotCountAgainstDestination(t *testing.T) {
	for name, c := range map[string]struct {
		out           mb.Outcome
		took, delayed time.Duration
		median        time.Duration // of the recorded latencies; 0 means none
		late          float64
	}{
		"a usual call":                   {mb.OK, 40 * ms, 0, 58 * ms, 0},
		"a call in a delay":              {mb.OK, 540 * ms, 500 * ms, 58 * ms, 0},
		"an error in a delay":            {mb.Failed, 540 * ms, 500 * ms, 58 * ms, 0},
		"a delay longer than the call":   {mb.OK, 10 * ms, 500 * ms, ms, 0},
		"no answer":                      {mb.TimedOut, 2000 * ms, 0, 0, 1},
		"no answer, a short delay in it": {mb.TimedOut, 2000 * ms, 300 * ms, 0, 1},
		"no answer, most of it a delay":  {mb.TimedOut, 2000 * ms, 1500 * ms, 0, 0},
		"refused connection in a delay":  {mb.ConnectFailed, 300 * ms, 299 * ms, 0, 1},
	} {
		tally := plan.Tally{}
		recordCall(&tally, c.out, c.took, c.delayed)
		if got := tally.Median().Round(ms); got != c.median && !(got < 58*ms && got > 0 && c.median == 58*ms) || tally.Late+tally.NoConnect != c.late {
			t.Errorf("%s: median %v, late %v, no connection %v", name, got, tally.Late, tally.NoConnect)
		}
	}
}
