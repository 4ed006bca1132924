package memory

import (
	"testing"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/bootclock"
	"mulleinbeam/internal/routing/wal/fsys"
)

// If the wall clock is set while the process is down, ids must not be forgotten, or a resubmitted message is sent
// again, and Retry-After waits must not end early.
func TestLearnedTimesSurviveWallClockStep(t *testing.T) {
	const downtime, sinceBoot = 2 * time.Second, time.Hour
	for name, step := range map[string]time.Duration{"none": 0, "forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			folder := fsys.NewMem()
			c, reports := newClock(), []string{}
			o := options(folder, c, &reports)
			o.Clock = bootclock.New("boot", sinceBoot, c.at)
			first := Open(o)
			circuit := mb.LearnedCircuit{Destination: 1, Wait: 10 * time.Second, GuardFrom: -1, LastBad: -1, LastOK: -1}
			err := first.Save(Snapshot{
				Learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{circuit}},
				Ended:   []Ended{{ID: "young", Age: time.Second}, {ID: "old", Age: 19 * time.Second}},
			})
			if err != nil {
				t.Fatal(err)
			}
			c.at = c.at.Add(downtime + step)
			o.Clock = bootclock.New("boot", sinceBoot+downtime, c.at)
			second := Open(o)
			if _, known := second.Ended("young"); !known {
				t.Error("an id that has not expired is forgotten")
			}
			if _, known := second.Ended("old"); known {
				t.Error("an expired id is known")
			}
			if wait := second.Learned().Circuits[0].Wait; wait != 10*time.Second-downtime {
				t.Errorf("a Retry-After wait has %v left", wait)
			}
			if reported := len(reports) > 0; reported != (step != 0) {
				t.Errorf("reports: %q", reports)
			}
		})
	}
}
