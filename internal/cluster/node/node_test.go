package node

import (
	"math"
	"runtime"
	"testing"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/replication"
)

// Guards against waiters that outlive an incarnation that is fenced while they wait for its replicas: a class that may
// be unreplicated goes on alone, a strict class gets an error, and no waiter is left for a log position that means
// something else in the next incarnation.
func TestIncarnationEndsWhileWaitingForReplicas(t *testing.T) {
	for class, strict := range map[string]bool{"safe": false, "unsafe": true} {
		n := &Node{cfg: Config{Copies: 2, AllowUnreplicated: map[string]bool{"safe": true}, ReplicaTimeout: time.Millisecond}, started: time.Now()}
		n.owner = replication.NewOwner(controlplane.Incarnation{Name: "n", Number: 1})
		n.owner.SetReplicas([]string{"k"}, nil)
		n.leaseUntil.Store(math.MaxInt64)
		n.resumed.Store(true)
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
			t.Errorf("%s: alone %v, %v, %d waiters left", class, a.alone, a.err, waiting())
		}
	}
}
