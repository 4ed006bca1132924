//go:build !race

package cluster

import (
	"testing"

	"mulleinbeam/internal/lab/explore"
)

// Bounds of the exploration in the tests; larklab cluster model explores further.
const (
	states = 4000
	walks  = 500
	moves  = 90
)

// Guards against orders of crashes, lost folders, pauses and lost batches in which an unsafe message takes effect twice, two forwarders
// may send one message, or no forwarder owns an accepted message.
func TestModel(t *testing.T) {
	for name, s := range Worlds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, whole := range []bool{false, true} {
				s.Whole = whole
				all := explore.Walk(NewModel(s), states, nil)
				some := explore.RandomWalk(func() *Model { return NewModel(s) }, walks, moves, 1)
				t.Logf("whole %v: %d states, depth %d; by chance %d moves, up to %d in a row", whole, all.States, all.Depth, some.States, some.Depth)
				for _, r := range []explore.Result{all, some} {
					if r.Broken != "" {
						t.Errorf("%s, after %d moves: %q", r.Broken, len(r.Trace), r.Trace)
					}
				}
			}
		})
	}
}

// Guards against a model that cannot find defects: with any one safeguard removed, the exploration has to find a broken rule.
func TestModelFindsRemovedSafeguards(t *testing.T) {
	for fault, in := range map[Fault]string{
		AckBeforeStored: "an owner dies with its folder", TakenBeforeFenced: "a lease runs out", NoLeaseLook: "a lease runs out",
		BehindCounts: "an owner dies with its folder", MergeNever: "copies are rolled back", DropsEnded: "an id comes again",
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			s := Worlds()[in]
			if s.Fault, s.Whole = fault, true; s.Expired > 0 { // these faults need neither a kill nor a second message
				s.Messages, s.Kills = s.Messages[:1], 0
			}
			r := explore.RandomWalk(func() *Model { return NewModel(s) }, 100*walks, moves, 2)
			t.Logf("%d moves: %s, %q", r.States, r.Broken, r.Trace)
			if r.Broken == "" {
				t.Error("not found")
			}
		})
	}
}
