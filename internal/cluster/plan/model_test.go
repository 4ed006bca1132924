//go:build !race

package plan

import (
	"fmt"
	"math"
	"testing"
	"time"

	"mulleinbeam/internal/lab/explore"
)

// The model of adoption: three forwarders in two places whose near sites fail in turn, a third place that both cross to, the program's
// own planner at whoever leads, plans that are decided, asked for, heard late or not at all. What all may send to the third place at
// any moment never adds up to more than it bears.

type answer struct {
	Asked time.Duration
	Plan  *Plan
}

type adoption struct {
	Now       time.Duration
	Planner   *Planner
	Decided   *Plan
	Followers []*Follower
	Coming    [][]answer
	CutOff    []bool
	Left      struct{ Windows, Leaders, Cuts, Late int }
	Whole     bool // mutation: the reserve is not split among forwarders
}

const (
	bears  = 100.0
	nearBy = 20.0
)

func adoptionConfig() Config {
	c := Defaults()
	c.Hold, c.Confirm, c.Rest, c.WarmWithin, c.Step = 4*time.Second, 1, 0, time.Second, 1
	return c
}

var threePlaces = Topology{Region: map[string]string{"o1": "r", "o2": "r", "p": "r"}}

func newAdoption(windows, leaders, cuts, late int) *adoption {
	a := &adoption{Planner: NewPlanner(adoptionConfig(), threePlaces, nil)}
	for _, place := range []string{"o1", "o1", "o2"} {
		a.Followers = append(a.Followers, NewFollower(place))
		a.Coming, a.CutOff = append(a.Coming, nil), append(a.CutOff, false)
	}
	a.Left.Windows, a.Left.Leaders, a.Left.Cuts, a.Left.Late = windows, leaders, cuts, late
	return a
}

// window is the end of one in which some near sites were down.
func (a *adoption) window(down ...string) {
	a.Now += time.Second
	a.Left.Windows--
	in := Input{Elapsed: time.Second, Zones: map[string]Summary{}, Capacity: map[int64]map[string]float64{1: {"o1": bears, "o2": bears, "p": bears}}, Members: map[string]int{"o1": 2, "o2": 1, "p": 1}}
	reports := map[string][]Report{"p": {{Observer: "p", Place: "p", Span: time.Second, Obeys: math.MaxUint64, Demand: map[int64]float64{1: nearBy}, Paths: map[Path]Tally{{1, "p"}: {OK: nearBy}}}}}
	for i, f := range a.Followers {
		if a.CutOff[i] {
			continue
		}
		n := map[string]float64{"o1": 45, "o2": 90}[f.Zone]
		t := Tally{OK: n}
		for _, d := range down {
			if d == f.Zone {
				t = Tally{NoConnect: n}
			}
		}
		reports[f.Zone] = append(reports[f.Zone], Report{
			Observer: fmt.Sprint("f", i), Place: f.Zone, Span: time.Second, Obeys: f.ActiveVersion(a.Now), Demand: map[int64]float64{1: n}, Paths: map[Path]Tally{{1, f.Zone}: t},
		})
	}
	for place, list := range reports {
		in.Zones[place] = Merge(place, list)
	}
	if next, changed := a.Planner.Step(in); changed {
		a.Decided = next
	}
}

// Moves are what can happen.
func (a *adoption) Moves() (out []explore.Move[*adoption]) {
	move := func(name string, do func(*adoption)) { out = append(out, explore.Move[*adoption]{Name: name, Do: do}) }
	if a.Left.Windows > 0 {
		move("calm", func(a *adoption) { a.window() })
		move("o1 down", func(a *adoption) { a.window("o1") })
		move("o2 down", func(a *adoption) { a.window("o2") })
	}
	if a.Left.Leaders > 0 && a.Decided != nil {
		move("another leads", func(a *adoption) { a.Left.Leaders--; a.Planner = NewPlanner(adoptionConfig(), threePlaces, a.Decided) })
	}
	for i, f := range a.Followers {
		if a.Left.Cuts > 0 || a.CutOff[i] {
			move(fmt.Sprint("cut off or healed ", i), func(a *adoption) {
				if a.CutOff[i] = !a.CutOff[i]; a.CutOff[i] {
					a.Left.Cuts--
				}
			})
		}
		if a.Decided == nil || a.CutOff[i] {
			continue
		}
		if f.LatestVersion() < a.Decided.Version || a.Now > 0 {
			move(fmt.Sprint("hears ", i), func(a *adoption) { a.Followers[i].Apply(a.Now, a.Decided) })
		}
		if a.Left.Late > 0 {
			move(fmt.Sprint("asks ", i), func(a *adoption) {
				a.Left.Late--
				a.Coming[i] = append(a.Coming[i], answer{a.Now, a.Decided})
			})
		}
		if len(a.Coming[i]) > 0 {
			move(fmt.Sprint("hears late ", i), func(a *adoption) {
				c := a.Coming[i][0]
				a.Coming[i] = a.Coming[i][1:]
				a.Followers[i].Apply(c.Asked, c.Plan)
			})
		}
	}
	return out
}

// Broken adds up what all may send to p now.
func (a *adoption) Broken() string {
	sum := 0.0
	fleet := FallbackConfig{MaxForwarders: 4, Reserve: adoptionConfig().Reserve}
	if a.Whole {
		fleet.MaxForwarders = 1
	}
	for _, f := range a.Followers {
		for _, t := range f.Targets(a.Now, 1, map[string]float64{"p": bears, f.Zone: bears}, []string{"p"}, fleet) {
			if t.Zone == "p" {
				sum += t.Rate
			}
		}
		if f.ActiveVersion(a.Now) == 0 { // and what the rule lets those send whose near is gone from their list
			for _, t := range f.Targets(a.Now, 1, map[string]float64{"p": bears}, []string{"p"}, fleet) {
				sum += t.Rate
			}
		}
	}
	if most := bears*Defaults().Headroom - nearBy; sum > most+1e-6 {
		return fmt.Sprintf("%.1f a second may cross, of %.1f", sum, most)
	}
	return ""
}

// In no order of windows, leaders, cuts and late answers do the plans and rules in force add up to too much.
func TestAdoption(t *testing.T) {
	all := explore.Walk(newAdoption(6, 1, 1, 1), 3_000, nil)
	some := explore.Roam(func() *adoption { return newAdoption(40, 3, 4, 6) }, 4000, 120, 1)
	t.Logf("%d states, depth %d, cut %v; by chance %d moves, up to %d in a row", all.States, all.Depth, all.Cut, some.States, some.Depth)
	for _, r := range []explore.Result{all, some} {
		if r.Broken != "" {
			t.Errorf("%s after %q", r.Broken, r.Trace)
		}
	}
}

// Each safeguard that is taken out is found to be missing.
func TestAdoptionFindsWhatIsMissing(t *testing.T) {
	for name, spoil := range map[string]func(*adoption){
		"no expiry": func(a *adoption) {
			for _, f := range a.Followers {
				f.endless = true
			}
		},
		"an old version obeyed": func(a *adoption) {
			for _, f := range a.Followers {
				f.stale = true
			}
		},
		"the budget not split":      func(a *adoption) { a.Whole = true },
		"no floors for what may be": func(a *adoption) { a.Planner.forgets = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := explore.Roam(func() *adoption { a := newAdoption(40, 0, 4, 12); spoil(a); return a }, 20_000, 120, 2)
			t.Logf("%d moves: %s, %q", r.States, r.Broken, r.Trace)
			if r.Broken == "" {
				t.Error("not found")
			}
		})
	}
}
