package mulleinbeam

import (
	"math"
	"slices"
	"testing"
	"time"
)

func fleetSettings(couriers int) Settings {
	s := testSettings()
	s.Forwarders, s.RoughCapacityHints = couriers, true
	return s
}

// A few couriers pace a lane by its whole rate, as they always did; many pace what each is itself asked for, and never less
// than a part of an even share.
func TestPacedByTheSizeOfTheFleet(t *testing.T) {
	for couriers, want := range map[int]float64{1: 50, 3: 50, largeFleetSize - 1: 50, largeFleetSize: 50 * fleetMin / largeFleetSize, 1000: 50 * fleetMin / 1000} {
		r := newHarness(t, fleetSettings(couriers))
		l := r.d.destinations[1].circuits[0]
		if part := r.d.rateBase(l); part != want {
			t.Errorf("%d couriers: paced by %v, want %v", couriers, part, want)
		}
		for range 400 { // two a second
			r.submit("safe", 1, 0)
			r.settle(always(OK))
			r.pass(500 * ms)
		}
		p, part := r.d.rateControl(), r.d.rateBase(l)
		top := p.max
		if couriers < largeFleetSize && p != (rateControl{cut: rateCut, grow: rateGrow, max: rateMax, burst: 1, start: math.Inf(1)}) {
			t.Errorf("%d couriers: paced by %+v", couriers, p)
		}
		if many := couriers >= largeFleetSize; many && (part < 1.5 || part > 2.5) || !many && part != 50 {
			t.Errorf("%d couriers: asked for two a second and paced by %v", couriers, part)
		}
		if l.rateLimit > 1.1*top*part { // the part fades between two messages
			t.Errorf("%d couriers: a rate of %v, over %v times %v", couriers, l.rateLimit, top, part)
		}
	}
}

// Among many couriers a refusal halves what this one sends, whatever the lane's rate; a further one within the time for which
// a cut stands takes nothing.
func TestARefusalCutsTheOwnPart(t *testing.T) {
	r := newHarness(t, fleetSettings(80))
	l := r.d.destinations[1].circuits[0]
	for range 100 {
		r.submit("safe", 1, 0)
		r.settle(always(OK))
		r.pass(500 * ms)
	}
	before, part := l.rateLimit, 0.0
	for range 2 {
		part = r.d.rateBase(l)
		r.d.onRefusal(l, 0)
	}
	if want := before * fleetCut; l.rateLimit > want+1e-9 || l.rateLimit < rateMin*part {
		t.Errorf("after a refusal paced at %v; before %v, asked for %v", l.rateLimit, before, part)
	}
}

// Where nothing is told of the limit, a refusal or two are the limit's among many couriers, each of which sees few calls; a run
// of them over a second with no success still raises the guard. A few couriers see it as soon as before.
func TestRefusalsAmongMany(t *testing.T) {
	for couriers, want := range map[int]int{3: minOutageRun, 80: fleetRefusals} {
		r := newHarness(t, fleetSettings(couriers))
		l := r.d.destinations[1].circuits[0]
		r.submit("safe", 1, 0)
		r.settle(always(OK)) // its answer tells nothing of the limit
		r.pass(time.Second)
		n := 0
		for ; !l.slowStart && n < 10; n++ {
			r.d.now += 600 * ms
			r.d.onRefusal(l, 0)
		}
		if n != want {
			t.Errorf("%d couriers: %d refusals raised the guard, want %d", couriers, n, want)
		}
	}
}

// Of a few couriers all have an even part of the fail-back budget; among many one half goes by what each has served there, up to
// twice an even part of that half. However uneven their traffic, all together have no more than the budget.
func TestPartsOfTheFailBackBudget(t *testing.T) {
	budget := func(couriers int, every time.Duration) float64 {
		r := newHarness(t, fleetSettings(couriers))
		l := r.d.destinations[1].circuits[0]
		for range int(60 * time.Second / every) {
			r.submit("safe", 1, 0)
			r.settle(always(OK))
			r.pass(every)
		}
		r.d.beginSlowStart(l, r.d.now-10*time.Second, false)
		return r.d.slowStartBudget(l)
	}
	if few, much := budget(3, 2*time.Second), budget(3, 100*ms); few != much {
		t.Errorf("three couriers: a budget of %v with little traffic, %v with much", few, much)
	}
	little, some, much := budget(80, 30*time.Second), budget(80, 1200*ms), budget(80, 100*ms)
	if !(little < some && some < much) || much < 2.4*little || much > 3.01*little {
		t.Errorf("eighty couriers: budgets of %v, %v and %v with little, some and much traffic", little, some, much)
	}
	// Fifty calls a second are the hint. A tenth of eighty couriers has half of 35, the others have the rest.
	s, all := fleetSettings(80), 0.0
	for range 8 {
		all += budget(80, 8*time.Second*10/175)
	}
	for range 72 {
		all += budget(80, 72*time.Second*10/175)
	}
	if most := s.OverloadFactor * s.ColdFrom * roughHintMargin * 50 * s.TipAfter.Seconds(); all > most || all < 0.7*most {
		t.Errorf("eighty couriers: %v calls in a span together, of a budget of %v", all, most)
	}
}

// A release begins the lives of most of a fleet at once, with what the earlier ones held: among many each sends one call to a
// destination and paces itself from there on. A few send as many as the rate allows in one go.
func TestANewLifeAmongMany(t *testing.T) {
	for couriers, want := range map[int]int{3: 2, 80: 1} { // two is the cap of eight slots
		r := newHarness(t, fleetSettings(couriers))
		for range 5 {
			r.submit("safe", 1, 0)
		}
		if len(r.sends) != want {
			t.Errorf("%d couriers: %d calls at once, want %d", couriers, len(r.sends), want)
		}
	}
}

// A lane whose state has to be found out gets the next call, however much faster another looks, and gets a message whose loss hurts least; once
// that is known the faster one has the calls again. Without it the slower one would never be tried while the other has room.
func TestADueLaneGoesFirst(t *testing.T) {
	s := testSettings()
	s.SeparateZones = true
	s.Classes = slices.Clone(s.Classes)
	unsafe := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == "unsafe" })
	s.Classes[unsafe].Worth = 50 // it would go first
	entries := []Entry{
		{Endpoint: "a", Zone: "z0", Destination: 1, Kind: "shared", CapacityHint: 50},
		{Endpoint: "b", Zone: "z1", Destination: 1, Kind: "shared", CapacityHint: 50},
	}
	next := func(r *harness, class string) EndpointID {
		r.sends = nil
		r.submit(class, 1, 0)
		to := r.last().Endpoint
		r.settle(always(OK))
		r.pass(200 * ms)
		return to
	}
	for _, due := range []bool{false, true} {
		r := newHarness(t, s, entries...)
		r.d.destinations[1].circuits[0].latencyFactor = 3 // as its calls were before it went down
		for range 5 {
			if to := next(r, "safe"); to != "b" {
				t.Fatalf("due %v: the slower lane is gone to as it is: %s", due, to)
			}
		}
		tried := entries[0]
		tried.TryNext = due
		r.do(EndpointUpdate{Scope: ListChanges, Entries: []Entry{tried}})
		if to := next(r, "safe"); (to == "a") != due {
			t.Errorf("due %v: the next call goes to %s", due, to)
		}
		r.sends = nil
		r.do(Submit{ID: 1000, Class: "unsafe", Destination: 1, TimeLeft: 20 * time.Second}, Submit{ID: 1001, Class: "safe", Destination: 1, TimeLeft: 6 * time.Second})
		if first := r.sends[0]; due && (first.Endpoint != "a" || first.ID != 1001) {
			t.Errorf("an unsafe message is tried where a safe one is at hand: %+v", r.sends)
		}
		r.settle(always(OK))
		r.pass(200 * ms)
		r.do(EndpointUpdate{Scope: ListChanges, Entries: entries[:1]})
		if to := next(r, "safe"); to != "b" {
			t.Errorf("due %v: no longer due, and gone to %s", due, to)
		}
	}
}
