package memory

import (
	"testing"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/bootclock"
	"mulleinbeam/internal/routing/wal/fsys"
)

// Guards against ids that are forgotten, and sent again when they are handed in once more, and told waits that end, because the wall clock was
// set while the process was down.
func TestLearnedTimesOutlastAStepOfTheWallClock(t *testing.T) {
	const down, passed = 2 * time.Second, time.Hour
	for name, step := range map[string]time.Duration{"none": 0, "forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			folder := fsys.NewMem()
			c, told := newClock(), []string{}
			o := options(folder, c, &told)
			o.Clock = bootclock.New("boot", passed, c.at)
			first := Open(o)
			lane := mb.LearnedCircuit{Destination: 1, Wait: 10 * time.Second, GuardFrom: -1, LastBad: -1, LastOK: -1}
			err := first.Save(Snapshot{
				Learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{lane}},
				Ended:   []Ended{{ID: "young", Age: time.Second}, {ID: "old", Age: 19 * time.Second}},
			})
			if err != nil {
				t.Fatal(err)
			}
			c.at = c.at.Add(down + step)
			o.Clock = bootclock.New("boot", passed+down, c.at)
			next := Open(o)
			if _, known := next.Ended("young"); !known {
				t.Error("an id that may still be meant is forgotten")
			}
			if _, known := next.Ended("old"); known {
				t.Error("an id that nobody can mean is known")
			}
			if wait := next.Learned().Circuits[0].Wait; wait != 10*time.Second-down {
				t.Errorf("a told wait has %v left", wait)
			}
			if reported := len(told) > 0; reported != (step != 0) {
				t.Errorf("told: %q", told)
			}
		})
	}
}
