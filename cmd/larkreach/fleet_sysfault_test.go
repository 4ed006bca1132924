//go:build cluster && linux

package main

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinbeam/internal/lab/cluster"
	"mulleinbeam/internal/lab/sysfault"
)

var fleetSysfaultSeed = flag.Uint64("fleet.sysfault.seed", 7, "first seed of the fleet tests with failing system calls")

// failingDisks makes system calls on the folders of the members of a fleet fail.
type failingDisks struct {
	t       *testing.T
	seed    uint64
	mu      sync.Mutex
	chances *rand.Rand
	faults  map[*cluster.Member]*sysfault.Supervisor
}

func newFailingDisks(t *testing.T, seed uint64) *failingDisks {
	return &failingDisks{t: t, seed: seed, chances: rand.New(rand.NewPCG(seed, 21)), faults: map[*cluster.Member]*sysfault.Supervisor{}}
}

// Attach attaches a supervisor to a member.
func (d *failingDisks) Attach(m *cluster.Member) {
	folder, err := filepath.EvalSymlinks(m.State())
	must(d.t, err)
	d.seed++
	s := sysfault.NewSupervisor(d.seed, folder, m.Address())
	d.faults[m] = s
	m.Forwarder.Attach = s.Attach
}

// Fail sets whether system calls on a member's folder fail.
func (d *failingDisks) Fail(m *cluster.Member, on bool) {
	d.mu.Lock()
	chance := 0.05 + 0.85*d.chances.Float64()
	d.mu.Unlock()
	if on {
		d.faults[m].Set(diskRules(chance)...)
	} else {
		d.faults[m].Set()
	}
}

// Guards against lost messages, and unsafe ones called twice, when disks fail temporarily during other faults of logs,
// leases, replicas and takeovers. -sysfault.seeds N runs N seeds.
func TestFleetUnderDiskFaults(t *testing.T) {
	t.Parallel()
	for i := range uint64(*sysfaultSeeds) {
		seed := *fleetSysfaultSeed + i
		ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
		disks := newFailingDisks(t, seed)
		o, err := cluster.Trial{
			Seed: seed, Members: 4, Length: 8 * time.Second, Rate: 120, Program: []string{os.Args[0]}, Env: []string{childProcessEnv + "=1"}, Dir: t.TempDir(),
			Disk: disks,
		}.Run(ctx)
		cancel()
		t.Log(o.Summary(), o.Faults)
		if err != nil || len(o.Broken) > 0 || o.Taken == 0 {
			t.Errorf("seed %d: %v, broken %q, %d accepted\n%s", seed, err, o.Broken, o.Taken, strings.Join(o.Events, "\n"))
		}
		failed := 0
		for _, s := range disks.faults {
			failed += len(s.Counts())
		}
		if failed == 0 {
			t.Logf("seed %d: no call failed", seed)
		}
	}
}
