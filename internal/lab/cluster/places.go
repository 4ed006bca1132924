package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/cluster/plan"
	"mulleinbeam/internal/lab"
)

// PlacesSettings are the tables of a fleet of so many members in four zones of two regions.
func PlacesSettings(members int) string {
	return fmt.Sprintf(`
[place]
window  = "500ms"
hold    = "3s"
members = %d
[place.regions]
z0 = "r0"
z1 = "r0"
z2 = "r1"
z3 = "r1"
`, members)
}

// Meter counts a site's calls by the second, and the seconds in which it got more than twice what it can take; chance is allowed three.
type Meter struct {
	Warm   float64       // calls a second
	Cold   float64       // share of that which it takes as it comes back,
	Within time.Duration // and until it takes all

	mu     sync.Mutex
	back   time.Time // since when it is back; zero is always
	begins time.Time // of the second that is counted
	calls  float64
	bears  float64 // in it
	fell   []Overload
}

// Overload is a second in which a site got more than it bears.
type Overload struct {
	After time.Duration // since the site came back; 0 where it was never away
	Span  time.Duration // from the second's first call to the next second's
	Calls float64
	Bears float64
}

func (o Overload) String() string {
	return fmt.Sprintf("%.0f calls in %v, %v behind its return, of %.1f that it takes", o.Calls, o.Span.Round(time.Millisecond), o.After.Round(time.Millisecond), o.Bears)
}

// Back says that the site comes back, cold.
func (m *Meter) Back() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.back, m.begins = time.Now(), time.Time{}
}

// Call counts one.
func (m *Meter) Call() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, share := time.Now(), 1.0
	if !m.back.IsZero() {
		share = min(1, m.Cold+(1-m.Cold)*now.Sub(m.back).Seconds()/m.Within.Seconds())
	}
	if now.Sub(m.begins) >= time.Second {
		if !m.begins.IsZero() && m.calls > 2*m.bears+3 {
			o := Overload{Span: now.Sub(m.begins), Calls: m.calls, Bears: m.bears}
			if !m.back.IsZero() {
				o.After = m.begins.Sub(m.back)
			}
			m.fell = append(m.fell, o)
		}
		m.begins, m.calls, m.bears = now, 0, share*m.Warm
	}
	m.calls++
}

// Fell are the seconds that had more than it bears.
func (m *Meter) Fell() []Overload {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.fell)
}

// guarded has members keep to the users' rule of partners that come back, with its figures, as one of so many.
func guarded(members int) func(map[string]any) {
	return func(conf map[string]any) {
		settings := conf["settings"].(map[string]any)
		settings["balancers"] = members
		rules := settings["rules"].(map[string]any)
		rules["overload-factor"], rules["tip-after"], rules["cold-from"], rules["warm-within"] = 2, int64(1e6), 0.3, int64(14e6)
	}
}

// siteRate is what each site of a trial takes, calls a second.
const siteRate = 80

// placeKinds are faults of places, beside those of processes and links.
var placeKinds = []string{"site", "silent", "way", "region"}

// sites is the trial's part that a fleet with places adds.
type sites struct {
	meters map[string]*Meter // by address
	mu     sync.Mutex
}

// count counts a call at its site.
func (s *sites) count(c *lab.Call) {
	at := c.Conn.LocalAddr().String()
	s.mu.Lock()
	m := s.meters[at]
	if m == nil {
		m = &Meter{Warm: siteRate}
		s.meters[at] = m
	}
	s.mu.Unlock()
	m.Call()
}

// fell says which sites were pushed over.
func (s *sites) fell() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, m := range s.meters {
		for _, o := range m.Fell() {
			out = append(out, fmt.Sprintf("the site at %s got more than it bears: %v", at, o))
		}
	}
	return out
}

// placeFault does one; what it gives takes it back.
func (f *Fleet) placeFault(kind string, who int, rng *rand.Rand) (back func() error) {
	k := rng.IntN(len(f.Partners))
	heal := func() error { f.Heal(); return nil }
	switch kind {
	case "site":
		f.Event("p%d: down", k)
		f.Partners[k].Down()
		return f.Partners[k].Up
	case "silent":
		f.CutPaths(f.All(), []int{k}, true)
	case "way":
		f.CutPaths([]int{who}, []int{k}, rng.IntN(2) == 0)
	case "region":
		var west, east []int
		for i := range f.Members {
			if i%f.Zones < f.Zones/2 {
				west = append(west, i)
			} else {
				east = append(east, i)
			}
		}
		f.Split(east...)
		f.CutPaths(west, []int{2, 3}, false)
		f.CutPaths(east, []int{0, 1}, false)
	}
	return heal
}

// AwaitOnePlan waits until all members go by one plan in which nothing is down or cut off from its own zone.
func (f *Fleet) AwaitOnePlan(ctx context.Context) error {
	for i := range f.Members {
		err := f.AwaitPlan(ctx, i, "plan for all places", func(s node.PlanStatus) bool {
			if s.Plan == nil || s.Obeys != s.Plan.Version {
				return false
			}
			for _, x := range s.Plan.Sites {
				if x.Phase == plan.Down {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
	}
	return nil
}
