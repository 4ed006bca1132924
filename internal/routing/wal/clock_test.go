package wal

import (
	"strings"
	"testing"
	"time"

	"mulleinbeam/internal/bootclock"
)

// Guards against messages that a restart gives up at once, or holds for an hour too long, and windows that open again, because the wall
// clock was set by an hour between two lives.
func TestTimesOutlastAStepOfTheWallClock(t *testing.T) {
	for name, step := range map[string]time.Duration{"none": 0, "forward": time.Hour, "back": -time.Hour} {
		dir := t.TempDir()
		now := time.Now()
		// A life that wrote under a wall clock which has been set by the step since: all that it noted is off by that.
		written := now.Add(-step).Round(0)
		first, err := Open(dir, Options{MaxBytes: disk, Clock: bootclock.New("boot", time.Hour, written)}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		m := &Message{Seq: first.NextSeq(), Deadline: written.Add(10 * time.Second), ID: "m", Class: "c"}
		out := &Message{Seq: first.NextSeq() + 1, Deadline: written.Add(10 * time.Second), ID: "out", Class: "c"}
		for _, err := range []error{
			first.Accept(m), first.Started(m.Seq, written.Add(-2*time.Second), "z"), first.Outcome(m.Seq, true), first.Accept(out),
			first.Started(out.Seq, written.Add(-3*time.Second), "z"), first.Close(),
		} {
			if err != nil {
				t.Fatal(err)
			}
		}
		var lines []string
		second, err := Open(dir, Options{MaxBytes: disk, Clock: bootclock.New("boot", time.Hour, now)}, func(line string) { lines = append(lines, line) })
		if err != nil {
			t.Fatal(err)
		}
		defer second.Close()
		for _, m := range second.Live() {
			left, ago := m.Deadline.Sub(now), now.Sub(m.RanAt)
			if (left-10*time.Second).Abs() > time.Second || ago < time.Second || ago > 4*time.Second {
				t.Errorf("%s: %s has %v left, and ran %v ago", name, m.ID, left, ago)
			}
		}
		if told := strings.Contains(strings.Join(lines, "\n"), "the wall clock was set by"); told != (step != 0) {
			t.Errorf("%s: told %q", name, lines)
		}
	}
}
