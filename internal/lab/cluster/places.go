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

// PlacesSettings returns the settings of a fleet in four zones of two regions.
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

// Meter counts the calls of a site per second and records overloads: seconds with more than twice its capacity
// plus three calls, which allow for chance.
type Meter struct {
	Warm   float64       // capacity in calls per second
	Cold   float64       // share of Warm available when the site returns
	Within time.Duration // time from the return to full capacity

	mu        sync.Mutex
	back      time.Time // time of the return; zero if never away
	begins    time.Time // start of the current second
	calls     float64
	capacity  float64 // capacity in the current second
	overloads []Overload
}

// Overload is a second in which a site received more calls than it can handle.
type Overload struct {
	After time.Duration // time since the return of the site; 0 if it was never away
	Span  time.Duration // from the first call of the second to that of the next
	Calls float64
	Bears float64
}

func (o Overload) String() string {
	return fmt.Sprintf("%.0f calls in %v, %v behind its return, of %.1f that it takes", o.Calls, o.Span.Round(time.Millisecond), o.After.Round(time.Millisecond), o.Bears)
}

// Back records the return of the site with cold capacity.
func (m *Meter) Back() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.back, m.begins = time.Now(), time.Time{}
}

// Call counts one call.
func (m *Meter) Call() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, share := time.Now(), 1.0
	if !m.back.IsZero() {
		share = min(1, m.Cold+(1-m.Cold)*now.Sub(m.back).Seconds()/m.Within.Seconds())
	}
	if now.Sub(m.begins) >= time.Second {
		if !m.begins.IsZero() && m.calls > 2*m.capacity+3 {
			o := Overload{Span: now.Sub(m.begins), Calls: m.calls, Bears: m.capacity}
			if !m.back.IsZero() {
				o.After = m.begins.Sub(m.back)
			}
			m.overloads = append(m.overloads, o)
		}
		m.begins, m.calls, m.capacity = now, 0, share*m.Warm
	}
	m.calls++
}

// Fell returns the recorded overloads.
func (m *Meter) Fell() []Overload {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.overloads)
}

// withRecoveryRules returns an amendment that sets the rules for returning partners, for a number of members.
func withRecoveryRules(members int) func(map[string]any) {
	return func(conf map[string]any) {
		settings := conf["settings"].(map[string]any)
		settings["balancers"] = members
		rules := settings["rules"].(map[string]any)
		rules["overload-factor"], rules["tip-after"], rules["cold-from"], rules["warm-within"] = 2, int64(1e6), 0.3, int64(14e6)
	}
}

// siteRate is the capacity of each site in a trial, in calls per second.
const siteRate = 80

// localityFaultKinds are the kinds of locality faults, in addition to those of processes and links.
var localityFaultKinds = []string{"site", "silent", "way", "region"}

// siteMeters measures the load of each site in a trial with localities.
type siteMeters struct {
	meters map[string]*Meter // keyed by address
	mu     sync.Mutex
}

// count counts a call at the site that received it.
func (s *siteMeters) count(c *lab.Call) {
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

// overloads describes each overload of a site.
func (s *siteMeters) overloads() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, m := range s.meters {
		for _, o := range m.Fell() {
			out = append(out, fmt.Sprintf("the site at %s got more calls than it can handle: %v", at, o))
		}
	}
	return out
}

// injectLocalityFault injects a locality fault and returns the function that reverts it.
func (f *Fleet) injectLocalityFault(kind string, who int, rng *rand.Rand) (back func() error) {
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

// AwaitOnePlan waits until each member obeys the plan that it holds, with no site down.
func (f *Fleet) AwaitOnePlan(ctx context.Context) error {
	for i := range f.Members {
		err := f.AwaitPlan(ctx, i, "plan with no site down", func(s node.PlanStatus) bool {
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
