package wal

import (
	"strings"
	"testing"
	"time"

	"mulleinbeam/internal/bootclock"
)

// If the wall clock is set by an hour between two runs, a restart must not abandon messages at once, hold them for an
// hour too long, or reopen their deduplication windows.
func TestTimesSurviveWallClockStep(t *testing.T) {
	for name, step := range map[string]time.Duration{"none": 0, "forward": time.Hour, "back": -time.Hour} {
		dir := t.TempDir()
		now := time.Now()
		// The first process wrote under a wall clock that has been set by the step since: all times that it recorded
		// are off by the step.
		written := now.Add(-step).Round(0)
		first, err := Open(dir, Options{MaxBytes: diskBytes, Clock: bootclock.New("boot", time.Hour, written)}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		m := &Message{Seq: first.NextSeq(), Deadline: written.Add(10 * time.Second), ID: "m", Class: "c"}
		inFlight := &Message{Seq: first.NextSeq() + 1, Deadline: written.Add(10 * time.Second), ID: "out", Class: "c"}
		for _, err := range []error{
			first.Accept(m), first.Started(m.Seq, written.Add(-2*time.Second), "z"), first.Outcome(m.Seq, true), first.Accept(inFlight),
			first.Started(inFlight.Seq, written.Add(-3*time.Second), "z"), first.Close(),
		} {
			if err != nil {
				t.Fatal(err)
			}
		}
		var lines []string
		second, err := Open(dir, Options{MaxBytes: diskBytes, Clock: bootclock.New("boot", time.Hour, now)}, func(line string) { lines = append(lines, line) })
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
		if reported := strings.Contains(strings.Join(lines, "\n"), "the wall clock was set by"); reported != (step != 0) {
			t.Errorf("%s: reported %q", name, lines)
		}
	}
}
