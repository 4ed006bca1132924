//go:build cluster

package main

import (
	"testing"

	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab/cluster"
)

// Two members reach each other and a relay, and none of the voters: what they hold stays theirs, in the same life, and a copy of it is asked
// for through the relay. Without the relay they have no lease; another in its place gives them one again, and all that was taken on ends.
func TestFleetBehindARelay(t *testing.T) {
	t.Parallel()
	g := newGate()
	f := newFleet(t, cluster.Setup{Members: 5, Relays: 1, Amend: slots(1)}, g)
	life, err := f.Life(3)
	must(t, err)
	f.take(3, "unsafe") // out, and held by the partner
	<-g.calls
	f.Split(3, 4)
	must(t, f.Await(f.ctx, 3, "copies at the other member", func(s node.Status) bool {
		return len(s.Keepers) == 1 && s.Keepers[0].Name == "n4" && s.Keepers[0].Counts
	}))
	behind := f.take(3, "unsafe")
	if now, err := f.Life(3); err != nil || now != life {
		t.Errorf("life %d, %v; it was %d", now, err, life)
	}
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
	after := f.take(3, "unsafe")
	f.rules(f.All()...)
	f.reached(behind, after)
}
