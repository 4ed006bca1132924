//go:build cluster

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

const pollInterval = 10 * time.Millisecond

// configFleet is a fleet of five members, two of which use a relay, with an endpoint in the discovery list and one that
// is not.
type configFleet struct {
	*testFleet
	unlisted *lab.Endpoint
}

func newConfigFleet(t *testing.T) *configFleet {
	t.Helper()
	f := newFleetOf(t, cluster.Setup{Members: 5, Relays: 1, Extra: longLease}, &lab.Endpoint{Name: "p"})
	unlisted := &lab.Endpoint{Name: "q", Group: cluster.Group}
	must(t, unlisted.Listen())
	f.Partners = append(f.Partners, unlisted) // it is checked and closed with the others
	return &configFleet{f, unlisted}
}

// config runs a command on the configuration through a member.
func (f *configFleet) config(i int, args ...string) (out string, status int) {
	f.t.Helper()
	out, status = fleetCommand(f.t, "config", append(args, "--at", f.Members[i].Links)...)
	f.Event("config %v at n%d: status %d, %s", args, i, status, out)
	return out, status
}

// committed runs a command and fails the test unless its change comes into force on all members.
func (f *configFleet) committed(i int, args ...string) {
	f.t.Helper()
	if out, status := f.config(i, append(args, "--wait", "30s")...); status != 0 || !strings.Contains(out, "in force on all") {
		f.t.Fatalf("config %v: status %d, %s", args, status, out)
	}
}

// file writes a file of entries and returns its path.
func (f *configFleet) file(text string) string {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "entries.toml")
	must(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// destination returns a file of entries in which the unlisted endpoint is the only one.
func (f *configFleet) destination() string {
	return f.file(fmt.Sprintf("[[destination.%d.endpoint]]\nname = \"q\"\naddress = %q\ncapacity = 50\n", cluster.Group, f.unlisted.Address()))
}

// inForce waits until a member reports the committed configuration as in force on all members.
func (f *configFleet) inForce(i int) {
	f.t.Helper()
	for {
		r, err := node.GetRollout(f.ctx, f.Members[i].Links)
		if err == nil && r.Members == len(f.Members) && r.InForce() {
			return
		}
		if !lab.Sleep(f.ctx, pollInterval) {
			f.t.Fatalf("in force: %+v, %v", r, err)
		}
	}
}

func (f *configFleet) revision(i int) uint64 {
	f.t.Helper()
	s, err := f.Look(i)
	must(f.t, err)
	return s.State.Configured
}

// expectDeliveredTo submits a message at each member and waits until it reaches the endpoint.
func (f *configFleet) expectDeliveredTo(want *lab.Endpoint, members ...int) {
	f.t.Helper()
	for _, i := range members {
		id := f.submit(i, "safe")
		for !arrivedAt(want, id) {
			if !lab.Sleep(f.ctx, pollInterval) {
				f.t.Fatalf("%s did not reach %s", id, want.Name)
			}
		}
	}
}

// leaderOf returns the number of the member that leads the control plane.
func (f *configFleet) leaderOf() int {
	f.t.Helper()
	for i := range f.Members {
		if s, err := f.Look(i); err == nil && s.Leader == s.Name {
			return i
		}
	}
	f.t.Fatal("no member leads")
	return -1
}

func arrivedAt(endpoint *lab.Endpoint, id string) bool {
	for _, a := range endpoint.Arrivals() {
		if a.ID == id {
			return true
		}
	}
	return false
}

// A destination configured through one member is used by all members, also behind a relay, after downtime and after the
// loss of the leader. After its removal the discovery list applies again.
func TestFleetConfiguration(t *testing.T) {
	t.Parallel()
	f := newConfigFleet(t)
	listed := f.Partners[0]
	f.expectDeliveredTo(listed, f.All()...)
	must(t, f.Kill(4))
	if out, status := f.config(3, "apply", f.destination()); status != 0 {
		t.Fatalf("status %d, %s", status, out)
	}
	must(t, f.Start(4))
	must(t, f.AwaitCopied(f.ctx, f.All()...))
	f.expectDeliveredTo(f.unlisted, 4) // it accepts no message before it has the configuration committed during its downtime
	f.inForce(4)
	f.expectDeliveredTo(f.unlisted, f.All()...)
	f.committed(4, "remove", "destination/7")
	f.expectDeliveredTo(listed, f.All()...)

	leader := f.leaderOf()
	must(t, f.Kill(leader))
	other := (leader + 1) % 3
	must(t, f.Await(f.ctx, other, "another leader", func(s node.Status) bool {
		return s.Leader != "" && s.Leader != f.Members[leader].Name && s.MayAct
	}))
	out, status := f.config(other, "apply", f.destination(), "--wait", "1ms")
	if status != 1 || !strings.Contains(out, "committed as revision") && !strings.Contains(out, "committed; ") {
		t.Errorf("a change not awaited to its end: status %d, %s", status, out)
	}
	must(t, f.Start(leader))
	must(t, f.AwaitCopied(f.ctx, f.All()...))
	f.inForce(leader)
	f.expectDeliveredTo(f.unlisted, f.All()...)
	f.checkRules(f.All()...)
}

// An invalid file is not committed and is reported in one line. Of two concurrent changes one is rejected. An entry
// that members refuse is reported with the reason while the previous one stays in force. Messages above the rate of a
// class get Retry-After.
func TestFleetConfigurationRefused(t *testing.T) {
	t.Parallel()
	f := newConfigFleet(t)
	bad := f.file("[class.safe]\nrate = 1\nspeed = 2\n")
	if out, status := f.config(0, "apply", bad); status != 1 || !strings.Contains(out, bad+":3: class.safe.speed: no such key") || strings.Count(out, "\n") != 1 {
		t.Errorf("a file with an unknown key: status %d, %s", status, out)
	}
	if out, status := f.config(0, "remove", "class/safe"); status != 1 || !strings.Contains(out, "nothing was committed") {
		t.Errorf("a missing entry: status %d, %s", status, out)
	}
	if revision := f.revision(0); revision != 0 {
		t.Errorf("something was committed: revision %d", revision)
	}

	slow := f.file("[class.safe]\nrate = 0.01\n")
	f.committed(3, "apply", slow)
	before := f.revision(3)
	if out, status := f.config(1, "apply", f.destination(), "--revision", "0"); status != 1 || !strings.Contains(out, "nothing was committed") {
		t.Errorf("a second operator: status %d, %s", status, out)
	}
	f.submit(2, "safe")
	if _, a := f.Hand(2, "safe", testTimeout); a.Status != 503 || a.Header.Get("Retry-After") == "" {
		t.Errorf("above the rate: %+v", a)
	}
	f.submit(2, "keyed")

	unknown := f.file("[class.unheard]\nrate = 1\n")
	out, status := f.config(1, "apply", unknown, "--wait", "1s")
	if status != 1 || !strings.Contains(out, "refuse an entry") {
		t.Errorf("an entry that all refuse: status %d, %s", status, out)
	}
	for !strings.Contains(out, "5 refuse") {
		must(t, f.ctx.Err())
		out, _ = f.config(4, "status")
	}
	if !strings.Contains(out, `class "unheard" is not one of this forwarder's`) || f.revision(1) <= before {
		t.Errorf("status: %s", out)
	}
	if _, a := f.Hand(2, "safe", testTimeout); a.Status != 503 {
		t.Errorf("the entry before is no longer in force: %+v", a)
	}
	f.committed(0, "remove", "class/unheard", "class/safe")
	f.submit(2, "safe")
	if out, _ := f.config(2, "get"); strings.Contains(out, "class") {
		t.Errorf("entries that were removed: %s", out)
	}
	f.checkRules(f.All()...)
}
