package places

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// few is a fleet small enough for tests.
var few = Setup{Forwarders: 24, Zones: map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}, Sites: 2, Capacity: 100}

var (
	quiet = Day{Name: "calm", Length: 20 * time.Second, Load: 0.5}
	lost  = Day{Name: "zone lost", Length: 40 * time.Second, Load: 0.5, Faults: []Fault{{At: 8 * time.Second, For: 12 * time.Second, Zones: []string{"a1"}}}}
)

func play(t *testing.T, d Day, policy string, seed uint64) Result {
	t.Helper()
	r, err := Play(few, d, policy, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Equal seeds give equal days.
func TestEqualSeeds(t *testing.T) {
	if diff := cmp.Diff(play(t, lost, "plan", 3), play(t, lost, "plan", 3)); diff != "" {
		t.Error(diff)
	}
}

// On a calm day nothing crosses; with a zone lost the plan saves what near alone loses, pushes nobody over, and is within three in a
// hundred of what true knowledge delivers.
func TestPlanIsAhead(t *testing.T) {
	if r := play(t, quiet, "plan", 1); r.Crossings > 0 || r.Worth < 0.99*r.Offered {
		t.Errorf("calm: %d crossings, worth %.0f of %.0f", r.Crossings, r.Worth, r.Offered)
	}
	for seed := range uint64(3) {
		p, n, truth := play(t, lost, "plan", seed), play(t, lost, "near", seed), play(t, lost, "truth", seed)
		if p.Net() <= n.Net() || p.Worth/p.Offered < 0.97*truth.Worth/truth.Offered || p.Tips > 0 || p.Crossings == 0 {
			t.Errorf("seed %d: %.4f by the plan, %.4f near, %.4f at best; %d pushed over, %d crossings", seed, p.Net(), n.Net(), truth.Net(), p.Tips, p.Crossings)
		}
		if p.Moves > 2*few.Sites {
			t.Errorf("seed %d: %d moves for one fault at %d destinations", seed, p.Moves, few.Sites)
		}
	}
}

// Every policy plays every kind of day, and the page has them all.
func TestPage(t *testing.T) {
	days := []Day{quiet, lost}
	var lines, page bytes.Buffer
	results, err := Compare(t.Context(), few, days, Policies, 1, 4, &lines)
	if err != nil {
		t.Fatal(err)
	}
	if err := Page(&page, few, days, Policies, results); err != nil {
		t.Fatal(err)
	}
	for _, want := range append([]string{"zone lost"}, Policies...) {
		if !strings.Contains(page.String(), want) || !strings.Contains(lines.String(), want) {
			t.Errorf("no %q in the page, or in the lines", want)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != 4*len(days) {
		t.Errorf("%d plots", n)
	}
	if _, err := Play(few, quiet, "guess", 1); err == nil {
		t.Error("a policy that is none was played")
	}
}
