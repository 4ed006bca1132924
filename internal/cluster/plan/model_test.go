//go:build !race

package plan

import (
	"fmt"
	"math"
	"testing"
	"time"

	"mulleinbeam/internal/lab/explore"
)

// Model of how forwarders adopt plans. Three forwarders in two zones, whose local sites fail in turn, both send
// cross-zone traffic to a third zone. The planner is the program's own and runs at the current leader; plans are
// decided, requested, and received late or not at all. At no moment may the rates to the third zone add up to more than
// its capacity.

type reply struct {
	Requested time.Duration
	Plan      *Plan
}

type adoption struct {
	Now            time.Duration
	Planner        *Planner
	Decided        *Plan
	Followers      []*Follower
	Pending        [][]reply
	Partitioned    []bool
	Remaining      struct{ Windows, Leaders, Cuts, Late int }
	ReserveUnsplit bool // mutation: the reserve is not split among the forwarders
}

const (
	siteCapacity = 100.0
	localDemand  = 20.0
)

func adoptionConfig() Config {
	c := Defaults()
	c.Hold, c.Confirm, c.Rest, c.WarmWithin, c.Step = 4*time.Second, 1, 0, time.Second, 1
	return c
}

var threeZones = Topology{Region: map[string]string{"o1": "r", "o2": "r", "p": "r"}}

func newAdoption(windows, leaders, cuts, late int) *adoption {
	a := &adoption{Planner: NewPlanner(adoptionConfig(), threeZones, nil)}
	for _, zone := range []string{"o1", "o1", "o2"} {
		a.Followers = append(a.Followers, NewFollower(zone))
		a.Pending, a.Partitioned = append(a.Pending, nil), append(a.Partitioned, false)
	}
	a.Remaining.Windows, a.Remaining.Leaders, a.Remaining.Cuts, a.Remaining.Late = windows, leaders, cuts, late
	return a
}

// window ends a window in which the given local sites were down.
func (a *adoption) window(down ...string) {
	a.Now += time.Second
	a.Remaining.Windows--
	in := Input{Elapsed: time.Second, Zones: map[string]Summary{}, Capacity: map[int64]map[string]float64{1: {"o1": siteCapacity, "o2": siteCapacity, "p": siteCapacity}}, Members: map[string]int{"o1": 2, "o2": 1, "p": 1}}
	reports := map[string][]Report{"p": {{Observer: "p", Place: "p", Span: time.Second, Obeys: math.MaxUint64, Demand: map[int64]float64{1: localDemand}, Paths: map[Path]Tally{{1, "p"}: {OK: localDemand}}}}}
	for i, follower := range a.Followers {
		if a.Partitioned[i] {
			continue
		}
		demand := map[string]float64{"o1": 45, "o2": 90}[follower.Zone]
		tally := Tally{OK: demand}
		for _, failed := range down {
			if failed == follower.Zone {
				tally = Tally{NoConnect: demand}
			}
		}
		reports[follower.Zone] = append(reports[follower.Zone], Report{
			Observer: fmt.Sprint("f", i), Place: follower.Zone, Span: time.Second, Obeys: follower.ActiveVersion(a.Now), Demand: map[int64]float64{1: demand}, Paths: map[Path]Tally{{1, follower.Zone}: tally},
		})
	}
	for zone, list := range reports {
		in.Zones[zone] = Merge(zone, list)
	}
	if next, changed := a.Planner.Step(in); changed {
		a.Decided = next
	}
}

// Moves returns the possible next events.
func (a *adoption) Moves() (moves []explore.Move[*adoption]) {
	move := func(name string, apply func(*adoption)) {
		moves = append(moves, explore.Move[*adoption]{Name: name, Do: apply})
	}
	if a.Remaining.Windows > 0 {
		move("calm", func(a *adoption) { a.window() })
		move("o1 down", func(a *adoption) { a.window("o1") })
		move("o2 down", func(a *adoption) { a.window("o2") })
	}
	if a.Remaining.Leaders > 0 && a.Decided != nil {
		move("leader changes", func(a *adoption) {
			a.Remaining.Leaders--
			a.Planner = NewPlanner(adoptionConfig(), threeZones, a.Decided)
		})
	}
	for i, follower := range a.Followers {
		if a.Remaining.Cuts > 0 || a.Partitioned[i] {
			move(fmt.Sprint("partitioned or healed ", i), func(a *adoption) {
				if a.Partitioned[i] = !a.Partitioned[i]; a.Partitioned[i] {
					a.Remaining.Cuts--
				}
			})
		}
		if a.Decided == nil || a.Partitioned[i] {
			continue
		}
		if follower.LatestVersion() < a.Decided.Version || a.Now > 0 {
			move(fmt.Sprint("receives ", i), func(a *adoption) { a.Followers[i].Apply(a.Now, a.Decided) })
		}
		if a.Remaining.Late > 0 {
			move(fmt.Sprint("requests ", i), func(a *adoption) {
				a.Remaining.Late--
				a.Pending[i] = append(a.Pending[i], reply{a.Now, a.Decided})
			})
		}
		if len(a.Pending[i]) > 0 {
			move(fmt.Sprint("receives late ", i), func(a *adoption) {
				received := a.Pending[i][0]
				a.Pending[i] = a.Pending[i][1:]
				a.Followers[i].Apply(received.Requested, received.Plan)
			})
		}
	}
	return moves
}

// Broken adds up what all forwarders may send to p now.
func (a *adoption) Broken() string {
	sum := 0.0
	fallback := FallbackConfig{MaxForwarders: 4, Reserve: adoptionConfig().Reserve}
	if a.ReserveUnsplit {
		fallback.MaxForwarders = 1
	}
	for _, follower := range a.Followers {
		for _, target := range follower.Targets(a.Now, 1, map[string]float64{"p": siteCapacity, follower.Zone: siteCapacity}, []string{"p"}, fallback) {
			if target.Zone == "p" {
				sum += target.Rate
			}
		}
		// The fallback also covers forwarders whose local site is gone from their list.
		if follower.ActiveVersion(a.Now) == 0 {
			for _, target := range follower.Targets(a.Now, 1, map[string]float64{"p": siteCapacity}, []string{"p"}, fallback) {
				sum += target.Rate
			}
		}
	}
	if limit := siteCapacity*Defaults().Headroom - localDemand; sum > limit+1e-6 {
		return fmt.Sprintf("%.1f cross-zone calls/s are allowed, limit %.1f", sum, limit)
	}
	return ""
}

// Plans and fallbacks in force must never add up to more than the capacity of a zone, in any order of windows, leader
// changes, partitions and late answers.
func TestAdoption(t *testing.T) {
	exhaustive := explore.Walk(newAdoption(6, 1, 1, 1), 3_000, nil)
	random := explore.RandomWalk(func() *adoption { return newAdoption(40, 3, 4, 6) }, 4000, 120, 1)
	t.Logf("%d states, depth %d, cut %v; random walks: %d moves, up to %d in a row", exhaustive.States, exhaustive.Depth, exhaustive.Cut, random.States, random.Depth)
	for _, r := range []explore.Result{exhaustive, random} {
		if r.Broken != "" {
			t.Errorf("%s after %q", r.Broken, r.Trace)
		}
	}
}

// Each safeguard of plan adoption is needed: the model finds a violation when one of them is disabled.
func TestAdoptionNeedsEachSafeguard(t *testing.T) {
	for name, disable := range map[string]func(*adoption){
		"plans do not expire": func(a *adoption) {
			for _, follower := range a.Followers {
				follower.neverExpires = true
			}
		},
		"older versions are applied": func(a *adoption) {
			for _, follower := range a.Followers {
				follower.acceptStale = true
			}
		},
		"the reserve is not split":  func(a *adoption) { a.ReserveUnsplit = true },
		"active quotas are ignored": func(a *adoption) { a.Planner.ignoreActive = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := explore.RandomWalk(func() *adoption { a := newAdoption(40, 0, 4, 12); disable(a); return a }, 20_000, 120, 2)
			t.Logf("%d moves: %s, %q", result.States, result.Broken, result.Trace)
			if result.Broken == "" {
				t.Error("the model finds no violation")
			}
		})
	}
}
