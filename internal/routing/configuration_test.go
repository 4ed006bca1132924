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

// Whatever discovery lists and operators configure, in any order: what the router has learned is what counts by then.
func TestOverlay(t *testing.T) {
	endpoint := rapid.Custom(func(t *rapid.T) Endpoint {
		return Endpoint{
			Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), Destination: rapid.Int64Range(1, 3).Draw(t, "group"),
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
				learn(o.list(d))
			} else {
				change := map[int64][]Endpoint{}
				for _, group := range rapid.SliceOfNDistinct(rapid.Int64Range(1, 3), 1, 2, rapid.ID[int64]).Draw(t, "destinations") {
					change[group] = nil
					for _, e := range rapid.SliceOfNDistinct(endpoint, 0, 3, func(e Endpoint) string { return e.Name }).Draw(t, "configured") {
						e.State, e.Destination = mb.Serving, group
						change[group] = append(change[group], e)
					}
					if destinations[group] = change[group]; len(change[group]) == 0 {
						delete(destinations, group)
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
			for group := int64(3); group > 0; group-- { // a name of two is the first's
				for _, e := range destinations[group] {
					want[e.Name] = e
				}
			}
			if diff := cmp.Diff(want, learned); diff != "" {
				t.Fatalf("listed %v, configured %v:\n%s", listed, destinations, diff)
			}
		}
	})
}

// Calls go to configured endpoints from the moment on at which they are; what discovery says of that destination meanwhile counts once they are
// configured no more.
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

// oneOf allows one message of each class.
type oneOf map[string]bool

func (o oneOf) Allows(class string) bool {
	allowed := !o[class]
	o[class] = true
	return allowed
}

// A message above its class's rate is refused with a time to come again; one that is held already is known all the same.
func TestAClassAboveItsRateIsRefused(t *testing.T) {
	journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	r, _, _ := runConfig(t, journal, func(c *Config) { c.Limiter = oneOf{} })
	for _, step := range []struct {
		id   string
		want VerdictKind
	}{{"m", Accepted}, {"n", Refused}, {"m", AlreadyAccepted}} {
		v := r.Accept(message(step.id))
		if v.Kind != step.want || step.want == Refused && (v.RetryAfter <= 0 || v.RetryAfter > time.Minute) {
			t.Errorf("%s: %+v", step.id, v)
		}
	}
	if c := r.Counters(); c.OverRate != 1 || c.Held != 1 {
		t.Errorf("counters %+v", c)
	}
}
