package places

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// smallFleet is a fleet small enough for tests.
var smallFleet = Setup{Forwarders: 24, Zones: map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}, Sites: 2, Capacity: 100}

var (
	calmDay     = Day{Name: "calm", Length: 20 * time.Second, Load: 0.5}
	lostZoneDay = Day{Name: "zone lost", Length: 40 * time.Second, Load: 0.5, Faults: []Fault{{At: 8 * time.Second, For: 12 * time.Second, Zones: []string{"a1"}}}}
)

func simulate(t *testing.T, d Day, policy string, seed uint64) Result {
	t.Helper()
	r, err := Simulate(smallFleet, d, policy, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Equal seeds must give equal results.
func TestEqualSeeds(t *testing.T) {
	if diff := cmp.Diff(simulate(t, lostZoneDay, "plan", 3), simulate(t, lostZoneDay, "plan", 3)); diff != "" {
		t.Error(diff)
	}
}

// On a calm day no call leaves its zone. When a zone is lost, the plan has to deliver more than local calls alone,
// overload no healthy site, make at most two moves per destination, and come within 3 % of the worth that the oracle
// policy delivers.
func TestPlanIsAhead(t *testing.T) {
	if r := simulate(t, calmDay, "plan", 1); r.CrossZone > 0 || r.Worth < 0.99*r.Offered {
		t.Errorf("calm: %d cross-zone calls, worth %.0f of %.0f", r.CrossZone, r.Worth, r.Offered)
	}
	for seed := range uint64(3) {
		planned, local, oracle := simulate(t, lostZoneDay, "plan", seed), simulate(t, lostZoneDay, "near", seed), simulate(t, lostZoneDay, "truth", seed)
		if planned.Net() <= local.Net() || planned.Worth/planned.Offered < 0.97*oracle.Worth/oracle.Offered || planned.Overloaded > 0 || planned.CrossZone == 0 {
			t.Errorf("seed %d: net worth %.4f with the plan, %.4f with local calls, %.4f with the oracle; %d healthy sites overloaded, %d cross-zone calls", seed, planned.Net(), local.Net(), oracle.Net(), planned.Overloaded, planned.CrossZone)
		}
		if planned.Moves > 2*smallFleet.Sites {
			t.Errorf("seed %d: %d moves for one fault at %d destinations", seed, planned.Moves, smallFleet.Sites)
		}
	}
}

// Every policy must run on every kind of day and appear in the printed lines and on the page.
func TestPage(t *testing.T) {
	days := []Day{calmDay, lostZoneDay}
	var lines, page bytes.Buffer
	results, err := Compare(t.Context(), smallFleet, days, Policies, 1, 4, &lines)
	if err != nil {
		t.Fatal(err)
	}
	if err := Page(&page, smallFleet, days, Policies, results); err != nil {
		t.Fatal(err)
	}
	for _, want := range append([]string{"zone lost"}, Policies...) {
		if !strings.Contains(page.String(), want) || !strings.Contains(lines.String(), want) {
			t.Errorf("%q is missing from the page or from the printed lines", want)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != 4*len(days) {
		t.Errorf("%d plots", n)
	}
	if _, err := Simulate(smallFleet, calmDay, "guess", 1); err == nil {
		t.Error("an unknown policy was accepted")
	}
}
