//go:build cluster

package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/cluster/plan"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

// Tests with six processes in two regions of two zones each, with a site of the destination in each zone, under steady
// load.

const messagesPerSecond = 20 // load at each loaded member

// newZonedFleet starts the fleet, waits until all members follow a plan, and submits messages at the loaded members
// until the test ends.
func newZonedFleet(t *testing.T, loaded ...int) *testFleet {
	t.Helper()
	return newZonedFleetWithCapacity(t, 200, loaded...)
}

// newZonedFleetWithCapacity does the same with sites of a capacity in calls a second.
func newZonedFleetWithCapacity(t *testing.T, capacity float64, loaded ...int) *testFleet {
	t.Helper()
	return newZonedFleetWithSite(t, &lab.Endpoint{Name: "p", Weight: capacity}, loaded...)
}

// newZonedFleetWithSite does the same with sites that are copies of the given endpoint.
func newZonedFleetWithSite(t *testing.T, site *lab.Endpoint, loaded ...int) *testFleet {
	t.Helper()
	return newZonedFleetFrom(t, cluster.Setup{Members: 6}, site, loaded...)
}

// newZonedFleetFrom does the same with another setup, such as more members or paths that can be cut.
func newZonedFleetFrom(t *testing.T, s cluster.Setup, site *lab.Endpoint, loaded ...int) *testFleet {
	t.Helper()
	s.Zones, s.Sites = 4, 4
	s.Settings = cluster.PlacesSettings(s.Members)
	f := newFleetOf(t, s, site)
	ctx, stop := context.WithCancel(f.ctx)
	var clients sync.WaitGroup
	f.stop = func() { stop(); clients.Wait() }
	t.Cleanup(f.stop)
	for _, i := range loaded {
		clients.Go(func() {
			for lab.Sleep(ctx, time.Second/messagesPerSecond) {
				f.Hand(i, []string{"safe", "keyed", "unsafe"}[rand.IntN(3)], 10*time.Second)
			}
		})
	}
	for i := range f.Members {
		must(t, f.AwaitPlan(f.ctx, i, "plan in force", func(s node.PlanStatus) bool { return s.Obeys > 0 }))
	}
	return f
}

// sitePhase returns the phase of a place in the plan that a member knows.
func sitePhase(s node.PlanStatus, place string) plan.Phase {
	if s.Plan != nil {
		for _, x := range s.Plan.Sites {
			if x.Place == place {
				return x.Phase
			}
		}
	}
	return plan.Open
}

// quota returns the quota from one place to another.
func quota(s node.PlanStatus, from, to string) (g plan.Quota) {
	if s.Plan != nil {
		for _, g := range s.Plan.Grants {
			if g.From == from && g.To == to {
				return g
			}
		}
	}
	return g
}

func countMoves(s node.PlanStatus, kind, place string) (n int) {
	for _, d := range s.History {
		for _, m := range d.Moves {
			if m.Kind == kind && m.Place == place {
				n++
			}
		}
	}
	return n
}

// callCount returns the number of calls that a site received.
func (f *testFleet) callCount(site int) int { return len(f.Partners[site].Arrivals()) }

// A zone's site goes down and the leader of the control plane dies: the traffic moves to the other zone of the region
// only, and returns when the site is back, with one move out and one back.
func TestFleetZoneFailsOver(t *testing.T) {
	t.Parallel()
	f := newZonedFleet(t, 0, 4) // both members in z0
	before := f.callCount(1)
	f.Partners[0].Down()
	must(t, f.AwaitPlan(f.ctx, 5, "way out", func(s node.PlanStatus) bool { return sitePhase(s, "z0") == plan.Down && quota(s, "z0", "z1").Rate > 0 }))
	for f.callCount(1) < before+20 {
		must(t, f.ctx.Err())
		lab.Sleep(f.ctx, 10*time.Millisecond)
	}
	leader := -1
	must(t, f.Await(f.ctx, 5, "state", func(node.Status) bool { return true }))
	for i := range 3 {
		if s, err := f.Look(i); err == nil && s.Leader == s.Name {
			leader = i
		}
	}
	if leader < 0 {
		t.Fatal("no member leads")
	}
	must(t, f.Kill(leader))
	rest := slices.DeleteFunc(f.All(), func(i int) bool { return i == leader })
	var was uint64
	must(t, f.AwaitPlan(f.ctx, rest[3], "plan", func(s node.PlanStatus) bool { was = s.Plan.Version; return true }))
	must(t, f.AwaitPlan(f.ctx, rest[3], "plan of another leader", func(s node.PlanStatus) bool { return s.Plan.Version > was+1 && s.Obeys == s.Plan.Version }))
	must(t, f.Start(leader))
	must(t, f.Partners[0].Up())
	must(t, f.AwaitPlan(f.ctx, 5, "way back", func(s node.PlanStatus) bool { return sitePhase(s, "z0") != plan.Down }))
	home := f.callCount(0)
	for f.callCount(0) < home+10 {
		must(t, f.ctx.Err())
		lab.Sleep(f.ctx, 10*time.Millisecond)
	}
	must(t, f.AwaitPlan(f.ctx, 5, "history", func(s node.PlanStatus) bool {
		if out, back := countMoves(s, "out", "z0"), countMoves(s, "back", "z0"); out != 1 || back != 1 || countMoves(s, "crossing", "z2")+countMoves(s, "crossing", "z3") > 0 {
			t.Errorf("%d out, %d back, %+v", out, back, s.History)
		}
		return true
	}))
}

// A zone is evacuated: its traffic leaves within a few windows and returns when the evacuation is undone. Of two
// concurrent orders the second is refused.
func TestFleetEvacuation(t *testing.T) {
	t.Parallel()
	f := newZonedFleet(t, 0, 1, 2)
	var seen uint64
	must(t, f.AwaitPlan(f.ctx, 3, "demand", func(s node.PlanStatus) bool { seen = s.Ordered; return quota(s, "z0", "z0").Rate > 0 }))
	order := func(at int, from uint64, place string, on bool) string {
		r, err := node.SendCommand(f.ctx, f.Members[at].Links, controlplane.Command{Kind: controlplane.Evacuate, Place: place, On: on, From: from})
		must(t, err)
		return r.Refused
	}
	if refused := order(0, seen, "z0", true); refused != "" {
		t.Fatal(refused)
	}
	if refused := order(1, seen, "z1", true); refused != controlplane.ErrConflict.Error() {
		t.Errorf("the second order was answered %q", refused)
	}
	must(t, f.AwaitPlan(f.ctx, 0, "empty place", func(s node.PlanStatus) bool {
		return quota(s, "z0", "z0").Rate == 0 && quota(s, "z0", "z1").Rate > 0 && s.Obeys == s.Plan.Version
	}))
	quiet := f.callCount(0)
	must(t, f.AwaitPlan(f.ctx, 3, "later plan", func(s node.PlanStatus) bool { seen = s.Ordered; return len(s.Evacuating) == 1 && s.Obeys > 0 }))
	for n := f.callCount(1); f.callCount(1) < n+20; { // its clients are served by another zone meanwhile
		must(t, f.ctx.Err())
		lab.Sleep(f.ctx, 10*time.Millisecond)
	}
	if now := f.callCount(0); now > quiet+2 { // calls in flight
		t.Errorf("%d calls reached the evacuated place", now-quiet)
	}
	if refused := order(2, seen, "z0", false); refused != "" {
		t.Fatal(refused)
	}
	for f.callCount(0) < quiet+20 {
		must(t, f.ctx.Err())
		lab.Sleep(f.ctx, 10*time.Millisecond)
	}
}

// A member that is cut off from the control plane follows its plan until that expires, then the default rule: near
// traffic only. A member that was paused for longer than its plan holds does not follow it afterwards. Both adopt the
// next plan that they receive.
func TestFleetPlanRunsOut(t *testing.T) {
	t.Parallel()
	f := newZonedFleet(t, 5) // in z1, not a voter
	f.Partners[1].Down()
	must(t, f.AwaitPlan(f.ctx, 5, "way out", func(s node.PlanStatus) bool { return s.Targets[cluster.Group]["z0"].Rate > 0 }))
	f.Split(5)
	must(t, f.AwaitPlan(f.ctx, 5, "end of its plan", func(s node.PlanStatus) bool {
		to := s.Targets[cluster.Group]
		return s.Obeys == 0 && len(to) == 1 && to["z1"].Free
	}))
	f.Heal()
	must(t, f.AwaitPlan(f.ctx, 5, "plan again", func(s node.PlanStatus) bool { return s.Obeys > 0 && s.Targets[cluster.Group]["z0"].Rate > 0 }))
	must(t, f.Pause(5))
	for at := time.Now(); time.Since(at) < 4*time.Second; { // its plan holds for 3 s; this is the length of the fault
		lab.Sleep(f.ctx, 100*time.Millisecond)
	}
	must(t, f.Wake(5))
	must(t, f.AwaitPlan(f.ctx, 5, "plan again", func(s node.PlanStatus) bool { return s.Obeys > 0 && s.Obeys == s.Plan.Version }))
}

// With one site down the demand exceeds the capacity of the others: the excess is refused at once and counted.
func TestFleetNoRoomAnywhere(t *testing.T) {
	t.Parallel()
	const takes = 7 // calls a second; a third of the demand, however slow this machine is
	f := newZonedFleetWithCapacity(t, takes, 0, 4)
	f.Partners[0].Down()
	must(t, f.AwaitPlan(f.ctx, 4, "way out", func(s node.PlanStatus) bool {
		return sitePhase(s, "z0") == plan.Down && quota(s, "z0", "z1").Rate > 0 && quota(s, "z0", "z2").Rate > 0 && quota(s, "z0", "z3").Rate > 0
	}))
	for refused := int64(0); refused == 0; {
		must(t, f.ctx.Err())
		refused, _ = f.Members[0].Counter("places", "refused") // the counter appears with the first refusal
	}
	must(t, f.AwaitPlan(f.ctx, 4, "bounds", func(s node.PlanStatus) bool {
		for _, to := range []string{"z1", "z2", "z3"} {
			if rate := quota(s, "z0", to).Rate; rate > takes*plan.Defaults().Headroom {
				t.Errorf("%v a second may go to %s, which takes %d", rate, to, takes)
			}
		}
		return true
	}))
}

// A zone's site becomes thirty times slower without failures: it gets less traffic, the rest moves to the next zone,
// and returns when the site is fast again.
func TestFleetSlowZone(t *testing.T) {
	t.Parallel()
	var slow atomic.Pointer[string] // address of the slow site
	p := &lab.Endpoint{Name: "p", Weight: 100, Handle: func(c *lab.Call) bool {
		if at := slow.Load(); at != nil && c.Conn.LocalAddr().String() == *at {
			time.Sleep(300 * time.Millisecond) // service time
		}
		return c.ReadAll(0) == nil && c.Answer(200, "") == nil
	}}
	f := newZonedFleetWithSite(t, p, 0, 4)
	must(t, f.AwaitPlan(f.ctx, 4, "usual time", func(s node.PlanStatus) bool {
		return slices.ContainsFunc(s.Plan.Sites, func(x plan.Site) bool { return x.Place == "z0" && x.Usual > 0 })
	}))
	at := f.Partners[0].Address()
	slow.Store(&at)
	must(t, f.AwaitPlan(f.ctx, 4, "less for z0", func(s node.PlanStatus) bool { return countMoves(s, "slow", "z0") == 1 && quota(s, "z0", "z1").Rate > 0 }))
	slow.Store(nil)
	must(t, f.AwaitPlan(f.ctx, 4, "all for z0", func(s node.PlanStatus) bool {
		return countMoves(s, "near again", "z0") == 1 && quota(s, "z0", "z1").Rate == 0
	}))
	must(t, f.AwaitPlan(f.ctx, 4, "history", func(s node.PlanStatus) bool {
		if n := countMoves(s, "out", "z0"); n > 0 {
			t.Errorf("%d times out: %+v", n, s.History)
		}
		return true
	}))
}

// A site goes down and up every three seconds: each time it is left out for longer, and traffic does not follow each
// change.
func TestFleetFlapping(t *testing.T) {
	t.Parallel()
	f := newZonedFleet(t, 0, 4)
	f.Partners[0].Down()
	must(t, f.AwaitPlan(f.ctx, 4, "first move", func(s node.PlanStatus) bool { return countMoves(s, "out", "z0") == 1 }))
	must(t, f.Partners[0].Up())
	for range 6 {
		f.Partners[0].Down()
		lab.Sleep(f.ctx, 1500*time.Millisecond) // length of the fault
		must(t, f.Partners[0].Up())
		lab.Sleep(f.ctx, 1500*time.Millisecond)
	}
	must(t, f.AwaitPlan(f.ctx, 4, "history", func(s node.PlanStatus) bool {
		if out, back := countMoves(s, "out", "z0"), countMoves(s, "back", "z0"); out < 1 || out > 3 || back > out {
			t.Errorf("%d out, %d back in 18 s: %+v", out, back, s.History)
		}
		return true
	}))
}
