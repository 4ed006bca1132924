package routing

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// For any order of lists from discovery and configuration changes, the endpoints that the router knows are those that
// apply.
func TestOverlay(t *testing.T) {
	endpoint := rapid.Custom(func(t *rapid.T) Endpoint {
		return Endpoint{
			Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), Destination: rapid.Int64Range(1, 3).Draw(t, "destination"),
			Address: rapid.SampledFrom([]string{"h:1", "h:2"}).Draw(t, "address"),
			State:   rapid.SampledFrom([]mb.Readiness{mb.Serving, mb.Draining, mb.Deleted}).Draw(t, "state"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		o := newOverlay(nil)
		listed, destinations, learned := map[string]Endpoint{}, map[int64][]Endpoint{}, map[string]Endpoint{}
		learn := func(d EndpointList) {
			if d.Whole {
				clear(learned)
			}
			for _, e := range d.Endpoints {
				if e.State == mb.Deleted {
					delete(learned, e.Name)
				} else {
					learned[e.Name] = e
				}
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "list") {
				d := EndpointList{Whole: rapid.Bool().Draw(t, "whole"), Endpoints: rapid.SliceOfNDistinct(endpoint, 0, 4, func(e Endpoint) string { return e.Name }).Draw(t, "endpoints")}
				if d.Whole {
					clear(listed)
				}
				for _, e := range d.Endpoints {
					if listed[e.Name] = e; e.State == mb.Deleted {
						delete(listed, e.Name)
					}
				}
				learn(o.applyDiscovery(d))
			} else {
				change := map[int64][]Endpoint{}
				for _, destination := range rapid.SliceOfNDistinct(rapid.Int64Range(1, 3), 1, 2, rapid.ID[int64]).Draw(t, "destinations") {
					change[destination] = nil
					for _, e := range rapid.SliceOfNDistinct(endpoint, 0, 3, func(e Endpoint) string { return e.Name }).Draw(t, "configured") {
						e.State, e.Destination = mb.Serving, destination
						change[destination] = append(change[destination], e)
					}
					if destinations[destination] = change[destination]; len(change[destination]) == 0 {
						delete(destinations, destination)
					}
				}
				learn(EndpointList{Endpoints: o.configure(change)})
			}
			want := map[string]Endpoint{}
			for name, e := range listed {
				if _, configured := destinations[e.Destination]; !configured {
					want[name] = e
				}
			}
			for destination := int64(3); destination > 0; destination-- { // of two destinations, the lower wins
				for _, e := range destinations[destination] {
					want[e.Name] = e
				}
			}
			if diff := cmp.Diff(want, learned); diff != "" {
				t.Fatalf("listed %v, configured %v:\n%s", listed, destinations, diff)
			}
		}
	})
}

// Calls go to configured endpoints as soon as they are configured. Endpoints that discovery lists for that destination
// meanwhile are used again once the configuration is removed.
func TestConfiguredEndpointsReplaceListedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s, _ := newRouter(t) // discovery lists a
		deliver := func(id string) string {
			t.Helper()
			if v := r.Accept(message(id)); v.Kind != Accepted {
				t.Fatalf("%s: %+v", id, v)
			}
			call := <-s.calls
			if !call.Begin() {
				t.Fatalf("%s: the call did not begin", id)
			}
			s.results <- Result{Outcome: mb.OK}
			synctest.Wait()
			return call.Endpoint + " at " + call.Address
		}
		for i, step := range []struct {
			change func()
			want   string
		}{
			{func() {}, "a at a:1"},
			{func() {
				r.Configure(map[int64][]Endpoint{7: {{Name: "b", Address: "b:1", Destination: 7, Weight: 50}}})
			}, "b at b:1"},
			{func() {
				r.Learn(EndpointList{Whole: true, Endpoints: []Endpoint{{Name: "a", Address: "a:2", Destination: 7, Weight: 50}}})
			}, "b at b:1"},
			{func() { r.Configure(map[int64][]Endpoint{7: nil}) }, "a at a:2"},
			{func() {
				r.Configure(map[int64][]Endpoint{7: {{Name: "a", Address: "a:3", Destination: 7, Weight: 50}}})
			}, "a at a:3"},
		} {
			step.change()
			if got := deliver(fmt.Sprint("m", i)); got != step.want {
				t.Errorf("step %d: %s, want %s", i, got, step.want)
			}
		}
	})
}

// onePerClass allows one message of each class.
type onePerClass map[string]bool

func (o onePerClass) Allows(class string) bool {
	allowed := !o[class]
	o[class] = true
	return allowed
}

// A message above the rate limit of its class is refused with a retry-after; one that is already held is reported as
// accepted.
func TestClassOverRateLimitIsRefused(t *testing.T) {
	journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	r, _, _ := runConfig(t, journal, func(c *Config) { c.Limiter = onePerClass{} })
	for _, step := range []struct {
		id   string
		want VerdictKind
	}{{"m", Accepted}, {"n", Refused}, {"m", AlreadyAccepted}} {
		v := r.Accept(message(step.id))
		if v.Kind != step.want || step.want == Refused && (v.RetryAfter <= 0 || v.RetryAfter > time.Minute) {
			t.Errorf("%s: %+v", step.id, v)
		}
	}
	if c := r.Counters(); c.OverRateLimit != 1 || c.Held != 1 {
		t.Errorf("counters %+v", c)
	}
}
