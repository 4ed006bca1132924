//go:build cluster

package main

import (
	"testing"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab/cluster"
)

// longLease leaves a busy machine time to find another relay before a life is ended.
const longLease = "lease = \"4s\"\nmargin = \"1s\"\n"

// newRelayedFleet is five members, of which the last two reach each other and relays, and none of the voters.
func newRelayedFleet(t *testing.T, relays int, g *gate) *testFleet {
	t.Helper()
	f := newFleet(t, cluster.Setup{Members: 5, Relays: relays, Extra: longLease, Amend: slots(1)}, g)
	f.Split(3, 4)
	for i, other := range map[int]string{3: "n4", 4: "n3"} {
		must(t, f.Await(f.ctx, i, "copies at the other member", func(s node.Status) bool {
			return len(s.Keepers) == 1 && s.Keepers[0].Name == other && s.Keepers[0].Counts
		}))
	}
	return f
}

// Members that reach a relay and no voter keep what they hold, in the same life, and ask through the relay for a replica at each other. Without
// the relay they have no lease; another in its place gives them one again, and all that was taken on ends.
func TestFleetBehindARelay(t *testing.T) {
	t.Parallel()
	g := newGate()
	f := newRelayedFleet(t, 1, g)
	if incarnation, err := f.Life(3); err != nil || incarnation != 1 {
		t.Errorf("life %d, %v", incarnation, err)
	}
	f.submit(3, "unsafe") // out, and held by the partner
	<-g.calls
	behind := f.submit(3, "unsafe")
	f.KillRelay(0)
	for _, i := range []int{3, 4} {
		must(t, f.Await(f.ctx, i, "no lease", func(s node.Status) bool { return !s.MayAct }))
	}
	must(t, f.StartRelay(0))
	for _, i := range []int{3, 4} {
		must(t, f.Await(f.ctx, i, "a lease", func(s node.Status) bool { return s.MayAct }))
	}
	f.Heal()
	must(t, f.AwaitCopied(f.ctx, f.All()...))
	g.release()
	after := f.submit(3, "unsafe")
	f.checkRules(f.All()...)
	f.checkDelivered(behind, after)
}

// A relay is stopped where it is, with renewals that it has not answered, and then the other one: members go to the one that answers and keep
// their lives. Each wakes with what it had not sent, and nothing is taken for newer than it is.
func TestFleetRelaysPauseAndResume(t *testing.T) {
	t.Parallel()
	g := newGate()
	g.release()
	f := newRelayedFleet(t, 2, g)
	var taken []string
	for _, stopped := range []int{0, 1} {
		must(t, f.PauseRelay(stopped))
		for _, i := range []int{3, 4} {
			s, err := f.Look(i)
			must(t, err)
			version := s.State.Version
			for _, on := range []bool{true, false} {
				must(t, f.Order(f.ctx, controlplane.Command{Kind: controlplane.Drain, Life: controlplane.Incarnation{Name: "n0"}, On: on}))
			}
			must(t, f.Await(f.ctx, i, "a later version", func(s node.Status) bool { return s.State.Version > version && s.MayAct }))
			taken = append(taken, f.submit(i, "unsafe"))
		}
		must(t, f.WakeRelay(stopped))
	}
	for _, i := range []int{3, 4} {
		if incarnation, err := f.Life(i); err != nil || incarnation != 1 {
			t.Errorf("n%d: life %d, %v", i, incarnation, err)
		}
	}
	f.Heal()
	must(t, f.AwaitCopied(f.ctx, f.All()...))
	f.checkRules(f.All()...)
	f.checkDelivered(taken...)
}
