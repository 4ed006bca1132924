//go:build cluster

package main

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/cluster/plan"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

// Tests of the plan under combined faults: cut paths, members with bad networks, operator orders and releases during a
// failover.

// awaitCalls waits until each of the sites has received that many more calls.
func (f *testFleet) awaitCalls(calls int, sites ...int) {
	f.t.Helper()
	for _, k := range sites {
		for n := f.callCount(k); f.callCount(k) < n+calls; {
			if !lab.Sleep(f.ctx, 10*time.Millisecond) {
				f.t.Fatalf("%d calls to p%d, wanted %d", f.callCount(k)-n, k, calls)
			}
		}
	}
}

// awaitPlan waits until a condition on the plan holds at a member.
func (f *testFleet) awaitPlan(i int, what string, holds func(node.PlanStatus) bool) {
	f.t.Helper()
	must(f.t, f.AwaitPlan(f.ctx, i, what, holds))
}

// moveCount counts the moves of a kind and place in the history of a member.
func (f *testFleet) moveCount(i int, kind, place string) (n int) {
	f.awaitPlan(i, "history", func(s node.PlanStatus) bool { n = countMoves(s, kind, place); return true })
	return n
}

// finish stops the load and checks the delivery rules.
func (f *testFleet) finish() {
	f.t.Helper()
	f.stop()
	f.checkMembers(f.All()...)
}

// awaitCommonPlan waits until each member follows the newest plan that it knows, and that is later than a version.
func (f *testFleet) awaitCommonPlan(later uint64, members ...int) {
	f.t.Helper()
	for _, i := range members {
		f.awaitPlan(i, "plan again", func(s node.PlanStatus) bool { return s.Obeys > later && s.Plan != nil && s.Obeys == s.Plan.Version })
	}
}

func (f *testFleet) version(i int) (v uint64) {
	f.awaitPlan(i, "plan", func(s node.PlanStatus) bool { v = s.Obeys; return v > 0 })
	return v
}

// The regions are partitioned from each other, for cluster connections and calls alike, and a site in one of them goes
// down. The region with the majority moves traffic within itself; the other falls back to the default rule, near
// traffic only; nothing is sent across. After the partition all members follow one plan again.
func TestFleetRegionsCut(t *testing.T) {
	t.Parallel()
	s := cluster.Setup{Members: 6, Paths: true, Alone: []string{"safe", "keyed", "unsafe"}} // classes that continue without a majority
	f := newZonedFleetFrom(t, s, &lab.Endpoint{Name: "p", Weight: 200}, 0, 2, 3)
	f.awaitCalls(10, 0, 2, 3)
	west, east := []int{0, 1, 4, 5}, []int{2, 3} // n0, n1 and n2 are the voters
	f.Split(east...)
	f.CutPaths(west, east, false) // site k is in zone k
	f.CutPaths(east, []int{0, 1}, false)
	for _, i := range east {
		f.awaitPlan(i, "the default rule", func(s node.PlanStatus) bool {
			to := s.Targets[cluster.Group]
			return s.Obeys == 0 && len(to) == 1 && to[s.Zone].Free
		})
	}
	f.Partners[0].Down()
	f.awaitPlan(4, "way within the region", func(s node.PlanStatus) bool {
		return sitePhase(s, "z0") == plan.Down && quota(s, "z0", "z1").Rate > 0 && quota(s, "z0", "z2").Rate+quota(s, "z0", "z3").Rate == 0
	})
	f.awaitCalls(20, 1, 2, 3)
	was := f.version(4)
	f.Heal()
	must(t, f.Partners[0].Up())
	f.awaitCommonPlan(was, f.All()...)
	f.awaitPlan(3, "way home", func(s node.PlanStatus) bool { return sitePhase(s, "z0") != plan.Down })
	f.awaitCalls(20, 0, 2, 3)
	for i, place := range []string{"z1", "z2", "z3"} {
		if n := f.moveCount(4, "out", place); n > 0 {
			t.Errorf("z%d was considered down %d times", i+1, n)
		}
	}
	f.finish()
}

// A zone's site accepts calls but answers none: its traffic moves to the next zone as for a site that is down, and
// returns when the site answers again.
func TestFleetZoneFallsSilent(t *testing.T) {
	t.Parallel()
	f := newZonedFleetFrom(t, cluster.Setup{Members: 6, Paths: true}, &lab.Endpoint{Name: "p", Weight: 200}, 0, 4)
	f.awaitCalls(20, 0)
	f.CutPaths(f.All(), []int{0}, true)
	f.awaitPlan(5, "way out", func(s node.PlanStatus) bool { return sitePhase(s, "z0") == plan.Down && quota(s, "z0", "z1").Rate > 0 })
	f.awaitCalls(60, 1)
	f.Heal()
	f.awaitPlan(5, "way back", func(s node.PlanStatus) bool { return sitePhase(s, "z0") != plan.Down })
	f.awaitCalls(20, 0)
	if out, back := f.moveCount(5, "out", "z0"), f.moveCount(5, "back", "z0"); out != 1 || back != 1 {
		t.Errorf("%d out, %d back", out, back)
	}
	f.finish()
}

// A path is silent from one zone only: its traffic takes another path, and the zone at the other end is not considered
// down and is still served by its own members.
func TestFleetPathCutSilently(t *testing.T) {
	t.Parallel()
	f := newZonedFleetFrom(t, cluster.Setup{Members: 6, Paths: true}, &lab.Endpoint{Name: "p", Weight: 200}, 2, 3)
	f.Partners[3].Down()
	f.awaitPlan(3, "way out", func(s node.PlanStatus) bool { return sitePhase(s, "z3") == plan.Down && quota(s, "z3", "z2").Rate > 0 })
	f.awaitCalls(10, 2)
	f.CutPaths([]int{3}, []int{2}, true)
	f.awaitPlan(0, "another way", func(s node.PlanStatus) bool {
		return s.Plan != nil && slices.ContainsFunc(s.Plan.Sites, func(x plan.Site) bool { return x.Place == "z2" && slices.Contains(x.Cut, "z3") }) &&
			quota(s, "z3", "z0").Rate+quota(s, "z3", "z1").Rate > 0
	})
	f.awaitCalls(20, 2)
	if n := f.moveCount(0, "out", "z2"); n > 0 {
		t.Errorf("the place at the end of the path was considered down %d times", n)
	}
	f.Heal()
	f.awaitPlan(0, "way back", func(s node.PlanStatus) bool { return countMoves(s, "path back", "z2") == 1 })
	f.finish()
}

// One of three members of a zone has a bad network: it is reported as sick, and no traffic moves. With two of three it
// is unknown which are sick, but one member that reaches the place is enough for it not to count as down, and no
// traffic moves either.
func TestFleetSickMembers(t *testing.T) {
	t.Parallel()
	f := newZonedFleetFrom(t, cluster.Setup{Members: 9, Paths: true}, &lab.Endpoint{Name: "p", Weight: 200}, 0, 4, 8, 1)
	f.awaitCalls(10, 0, 1)
	f.CutPaths([]int{8}, []int{0, 1, 2, 3}, false)
	f.awaitPlan(1, "sick member", func(s node.PlanStatus) bool { return s.Plan != nil && slices.Equal(s.Plan.Sick, []string{"n8/1"}) })
	f.awaitCalls(20, 0)
	f.CutPaths([]int{4}, []int{0, 1, 2, 3}, false)
	f.awaitCalls(60, 0, 1)
	for _, place := range []string{"z0", "z1"} {
		if n := f.moveCount(1, "out", place) + f.moveCount(1, "path cut", place); n > 0 {
			t.Errorf("sick members moved %s %d times", place, n)
		}
	}
	f.Heal()
	f.awaitPlan(1, "no sick member", func(s node.PlanStatus) bool { return len(s.Plan.Sick) == 0 })
	f.finish()
}

// A rolling restart takes place while a zone's site is down, and two members are killed during it. The zone's traffic
// is moved once, no restarted member follows an older plan than before, and every message ends.
func TestFleetReleaseDuringFailover(t *testing.T) {
	t.Parallel()
	f := newZonedFleet(t, 0, 2)
	f.Partners[0].Down()
	f.awaitPlan(5, "way out", func(s node.PlanStatus) bool { return sitePhase(s, "z0") == plan.Down && quota(s, "z0", "z1").Rate > 0 })
	newest := uint64(0)
	for i := range f.Members {
		next := (i + 1) % len(f.Members)
		newest = max(newest, f.version(next))
		must(t, f.Stop(i))
		if i == 3 {
			must(t, f.Kill(4))
			must(t, f.Kill(5))
			must(t, f.Start(4, 5))
		}
		must(t, f.Start(i))
		f.awaitPlan(i, "plan that is not older", func(s node.PlanStatus) bool {
			if s.Obeys > 0 && s.Obeys < newest {
				t.Errorf("n%d follows plan %d, and %d was in force before it ended", i, s.Obeys, newest)
			}
			return s.Obeys >= newest
		})
		must(t, f.AwaitCopied(f.ctx, f.All()...))
	}
	f.awaitCalls(10, 1)
	for i := range f.Members {
		if out, back := f.moveCount(i, "out", "z0"), f.moveCount(i, "back", "z0"); out > 1 || back > 0 {
			t.Errorf("n%d has %d moves out and %d back in its history", i, out, back)
		}
	}
	f.finish()
}

// The endpoint list renames a zone, then all endpoints of another zone drain: traffic moves to the available sites, and
// returns when the list does.
func TestFleetZonesRenamed(t *testing.T) {
	t.Parallel()
	f := newZonedFleet(t, 0, 1)
	f.awaitCalls(10, 0, 1)
	list := slices.Clone(f.Partners)
	list[0] = list[0].As("q0", "y0", "SERVING")
	f.Agent.List(list...)
	f.awaitPlan(2, "way without a site near", func(s node.PlanStatus) bool {
		_, old := s.Sites[cluster.Group]["z0"]
		return !old && s.Sites[cluster.Group]["y0"] > 0 && quota(s, "z0", "z1").Rate > 0
	})
	f.awaitCalls(20, 1)
	list[1] = list[1].As("p1", "z1", "DRAINING")
	f.Agent.List(list[1:]...)
	f.awaitPlan(2, "way out of the region", func(s node.PlanStatus) bool { return quota(s, "z1", "z2").Rate+quota(s, "z1", "z3").Rate > 0 })
	quiet := f.callCount(1)
	f.awaitCalls(20, 2)
	if n := f.callCount(1) - quiet; n > 2 { // calls in flight
		t.Errorf("%d calls to the draining endpoint", n)
	}
	f.Agent.List(f.Partners...)
	f.awaitCalls(20, 0, 1)
	f.finish()
}

// A zone is evacuated while the other zone of its region is down: its traffic moves to the other region, within the
// capacity there. When the evacuation is undone half-way the traffic returns, and the zone that is down is never used.
func TestFleetEvacuationDuringOutage(t *testing.T) {
	t.Parallel()
	f := newZonedFleetWithCapacity(t, 60, 0, 2)
	f.Partners[1].Down()
	f.awaitCalls(10, 0, 2)
	order := func(place string, on bool) {
		var seen uint64
		f.awaitPlan(3, "orders", func(s node.PlanStatus) bool { seen = s.Ordered; return s.Plan != nil })
		r, err := node.SendCommand(f.ctx, f.Members[3].Links, controlplane.Command{Kind: controlplane.Evacuate, Place: place, On: on, From: seen})
		if must(t, err); r.Refused != "" {
			t.Fatal(r.Refused)
		}
	}
	order("z0", true)
	across := func(s node.PlanStatus) float64 {
		return quota(s, "z0", "z2").Rate + quota(s, "z0", "z3").Rate + quota(s, "z0", "z1").Rate
	}
	f.awaitPlan(3, "half of the way", func(s node.PlanStatus) bool { return across(s) > 0 && quota(s, "z0", "z0").Share < 0.9 })
	order("z0", false)
	f.awaitPlan(3, "all at home", func(s node.PlanStatus) bool { return across(s) == 0 && quota(s, "z0", "z0").Share == 1 })
	f.awaitCalls(20, 0, 2)
	f.finish()
}

// One call in twenty fails, and all calls of one class: error answers move no traffic.
func TestFleetErrorsMoveNothing(t *testing.T) {
	t.Parallel()
	var n atomic.Int64
	p := &lab.Endpoint{Name: "p", Weight: 200, Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		if n.Add(1)%20 == 0 || strings.HasPrefix(c.ID, "keyed") {
			return c.Answer(500, "") == nil
		}
		return c.Answer(200, "") == nil
	}}
	f := newZonedFleetWithSite(t, p, 0, 3)
	f.awaitCalls(80, 0, 3)
	for _, place := range []string{"z0", "z1", "z2", "z3"} {
		for _, kind := range []string{"out", "slow", "crossing"} {
			if n := f.moveCount(2, kind, place); n > 0 {
				t.Errorf("%s: %d times %s", place, n, kind)
			}
		}
	}
	f.finish()
}

// The leader of the control plane is paused repeatedly until another is elected: traffic continues, and none is moved.
func TestFleetRepeatedLeaderChanges(t *testing.T) {
	t.Parallel()
	f := newZonedFleet(t, 3, 5)
	for range 6 {
		leader := -1
		must(t, f.Await(f.ctx, 3, "leader", func(s node.Status) bool {
			for i, m := range f.Members[:3] {
				if x, err := f.Look(i); err == nil && x.Leader == m.Name {
					leader = i
				}
			}
			return leader >= 0
		}))
		must(t, f.Pause(leader))
		must(t, f.Await(f.ctx, (leader+1)%3, "another leader", func(s node.Status) bool { return s.Leader != "" && s.Leader != f.Members[leader].Name }))
		must(t, f.Wake(leader))
		f.awaitCalls(10, 1, 3)
	}
	f.awaitCommonPlan(0, f.All()...)
	for _, place := range []string{"z1", "z3"} {
		if n := f.moveCount(3, "out", place); n > 0 {
			t.Errorf("%s moved out %d times", place, n)
		}
	}
	f.finish()
}

// A site returns cold under full demand: it gets no more calls than it can handle until it is warm.
func TestFleetColdReturn(t *testing.T) {
	t.Parallel()
	m := &cluster.Meter{Warm: 60, Cold: 0.3, Within: 14 * time.Second}
	home := &atomic.Pointer[string]{}
	p := &lab.Endpoint{Name: "p", Weight: 60, Handle: func(call *lab.Call) bool {
		if at := home.Load(); at != nil && call.Conn.LocalAddr().String() == *at {
			m.Call()
		}
		return call.ReadAll(0) == nil && call.Answer(200, "") == nil
	}}
	f := newZonedFleetWithSite(t, p, 0, 4)
	at := f.Partners[0].Address()
	home.Store(&at)
	f.Partners[0].Down()
	f.awaitPlan(5, "way out", func(s node.PlanStatus) bool { return sitePhase(s, "z0") == plan.Down && quota(s, "z0", "z1").Rate > 0 })
	m.Back()
	must(t, f.Partners[0].Up())
	f.awaitPlan(5, "all at home", func(s node.PlanStatus) bool { return sitePhase(s, "z0") == plan.Open && quota(s, "z0", "z1").Rate == 0 })
	for _, o := range m.Fell() {
		t.Error("more than the site can handle: ", o)
	}
	f.finish()
}
