package node

import (
	"math"
	"runtime"
	"testing"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/replication"
)

// A life that ends while somebody waits for its keepers: a class that may goes on alone, a strict one learns that nobody knows,
// and nobody is left waiting for a mark that means something else in the next life.
func TestALifeEndsWhileItsKeepersAreWaitedFor(t *testing.T) {
	for class, strict := range map[string]bool{"safe": false, "unsafe": true} {
		n := &Node{cfg: Config{Copies: 2, AllowUnreplicated: map[string]bool{"safe": true}, ReplicaTimeout: time.Millisecond}, began: time.Now()}
		n.owner = replication.NewOwner(controlplane.Incarnation{Name: "n", Number: 1})
		n.owner.SetReplicas([]string{"k"}, nil)
		n.lease.Store(math.MaxInt64)
		n.thawed.Store(true)
		type answer struct {
			alone bool
			err   error
		}
		got := make(chan answer, 1)
		go func() {
			alone, err := n.WaitReplicated(5, class)
			got <- answer{alone, err}
		}()
		waiting := func() int {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.waiters)
		}
		for waiting() == 0 {
			runtime.Gosched()
		}
		n.mu.Lock()
		n.owner = nil
		n.mu.Unlock()
		if a := <-got; a.alone == strict || (a.err != nil) != strict || waiting() != 0 {
			t.Errorf("%s: alone %v, %v, %d still wait", class, a.alone, a.err, waiting())
		}
	}
}
