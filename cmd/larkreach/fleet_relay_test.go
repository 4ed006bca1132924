//go:build cluster

package main

import (
	"testing"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab/cluster"
)

// longLease gives members on a busy machine time to find another relay before their lease expires.
const longLease = "lease = \"4s\"\nmargin = \"1s\"\n"

// newRelayedFleet starts five members, of which the last two reach each other and the relays, but no voter.
func newRelayedFleet(t *testing.T, relays int, g *gate) *testFleet {
	t.Helper()
	f := newFleet(t, cluster.Setup{Members: 5, Relays: relays, Extra: longLease, Amend: slots(1)}, g)
	f.Split(3, 4)
	for i, other := range map[int]string{3: "n4", 4: "n3"} {
		must(t, f.Await(f.ctx, i, "replica at the other member", func(s node.Status) bool {
			return len(s.Keepers) == 1 && s.Keepers[0].Name == other && s.Keepers[0].Counts
		}))
	}
	return f
}

// Members that reach a relay but no voter keep their messages and their incarnation, and get replicas at each other
// through the relay. Without the relay they lose their leases; after its restart they have leases again, and all
// accepted messages end.
func TestFleetBehindARelay(t *testing.T) {
	t.Parallel()
	g := newGate()
	f := newRelayedFleet(t, 1, g)
	if incarnation, err := f.Life(3); err != nil || incarnation != 1 {
		t.Errorf("incarnation %d, %v", incarnation, err)
	}
	f.submit(3, "unsafe") // in flight, held back by the endpoint
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

// First one relay is paused with unanswered lease renewals, then the other: members switch to the relay that answers
// and keep their incarnations. A resumed relay sends its outdated answers, and none is taken for newer than it is.
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
			t.Errorf("n%d: incarnation %d, %v", i, incarnation, err)
		}
	}
	f.Heal()
	must(t, f.AwaitCopied(f.ctx, f.All()...))
	f.checkRules(f.All()...)
	f.checkDelivered(taken...)
}
