package mulleinbeam

import (
	"math"
	"slices"
	"testing"
	"time"
)

func fleetSettings(forwarders int) Settings {
	s := testSettings()
	s.Forwarders, s.RoughCapacityHints = forwarders, true
	return s
}

// In a small fleet a circuit's rate limit is relative to its capacity; in a large fleet to the rate of messages
// submitted to this forwarder, and at least to a part of an even share.
func TestRateBaseByFleetSize(t *testing.T) {
	for forwarders, want := range map[int]float64{1: 50, 3: 50, largeFleetSize - 1: 50, largeFleetSize: 50 * fleetMin / largeFleetSize, 1000: 50 * fleetMin / 1000} {
		r := newHarness(t, fleetSettings(forwarders))
		circ := r.d.destinations[1].circuits[0]
		if base := r.d.rateBase(circ); base != want {
			t.Errorf("%d forwarders: rate base %v, want %v", forwarders, base, want)
		}
		for range 400 { // two a second
			r.submit("safe", 1, 0)
			r.settle(always(OK))
			r.pass(500 * ms)
		}
		p, base := r.d.rateControl(), r.d.rateBase(circ)
		top := p.max
		if forwarders < largeFleetSize && p != (rateControl{cut: rateCut, grow: rateGrow, max: rateMax, burst: 1, start: math.Inf(1)}) {
			t.Errorf("%d forwarders: rate control %+v", forwarders, p)
		}
		if large := forwarders >= largeFleetSize; large && (base < 1.5 || base > 2.5) || !large && base != 50 {
			t.Errorf("%d forwarders: rate base %v with two messages a second", forwarders, base)
		}
		if circ.rateLimit > 1.1*top*base { // the rate base decays between two messages
			t.Errorf("%d forwarders: a rate of %v, over %v times %v", forwarders, circ.rateLimit, top, base)
		}
	}
}

// In a large fleet a refusal halves this forwarder's rate, whatever the circuit's capacity; another one within
// rateCutInterval does not cut it again.
func TestRefusalCutsRateInLargeFleet(t *testing.T) {
	r := newHarness(t, fleetSettings(80))
	circ := r.d.destinations[1].circuits[0]
	for range 100 {
		r.submit("safe", 1, 0)
		r.settle(always(OK))
		r.pass(500 * ms)
	}
	before, base := circ.rateLimit, 0.0
	for range 2 {
		base = r.d.rateBase(circ)
		r.d.onRefusal(circ, 0)
	}
	if want := before * fleetCut; circ.rateLimit > want+1e-9 || circ.rateLimit < rateMin*base {
		t.Errorf("rate limit %v after a refusal; before %v, rate base %v", circ.rateLimit, before, base)
	}
}

// In a large fleet each forwarder sees few calls, so a refusal or two without a reported limit are due to the limit; a
// run of refusals over a second without a success still starts slow start. A small fleet detects it earlier.
func TestRefusalsInLargeFleet(t *testing.T) {
	for forwarders, want := range map[int]int{3: minOutageRun, 80: fleetRefusals} {
		r := newHarness(t, fleetSettings(forwarders))
		circ := r.d.destinations[1].circuits[0]
		r.submit("safe", 1, 0)
		r.settle(always(OK)) // its answer reports no limit
		r.pass(time.Second)
		n := 0
		for ; !circ.slowStart && n < 10; n++ {
			r.d.now += 600 * ms
			r.d.onRefusal(circ, 0)
		}
		if n != want {
			t.Errorf("%d forwarders: %d refusals until slow start, want %d", forwarders, n, want)
		}
	}
}

// In a small fleet all forwarders have an even part of the slow-start budget. In a large one, half of it is divided by
// each forwarder's successes there, up to twice an even part of that half. However uneven the traffic is, the sum stays
// within the budget.
func TestPartsOfSlowStartBudget(t *testing.T) {
	budget := func(forwarders int, every time.Duration) float64 {
		r := newHarness(t, fleetSettings(forwarders))
		circ := r.d.destinations[1].circuits[0]
		for range int(60 * time.Second / every) {
			r.submit("safe", 1, 0)
			r.settle(always(OK))
			r.pass(every)
		}
		r.d.beginSlowStart(circ, r.d.now-10*time.Second, false)
		return r.d.slowStartBudget(circ)
	}
	if few, much := budget(3, 2*time.Second), budget(3, 100*ms); few != much {
		t.Errorf("three forwarders: a budget of %v with little traffic, %v with much", few, much)
	}
	little, some, much := budget(80, 30*time.Second), budget(80, 1200*ms), budget(80, 100*ms)
	if !(little < some && some < much) || much < 2.4*little || much > 3.01*little {
		t.Errorf("eighty forwarders: budgets of %v, %v and %v with little, some and much traffic", little, some, much)
	}
	// The hint is 50 calls a second. A tenth of 80 forwarders gets half of 35, the others get the rest.
	s, all := fleetSettings(80), 0.0
	for range 8 {
		all += budget(80, 8*time.Second*10/175)
	}
	for range 72 {
		all += budget(80, 72*time.Second*10/175)
	}
	if most := s.OverloadFactor * s.ColdFrom * roughHintMargin * 50 * s.TipAfter.Seconds(); all > most || all < 0.7*most {
		t.Errorf("eighty forwarders: %v calls in an interval together, of a budget of %v", all, most)
	}
}

// A release restarts most of a fleet at once, with the messages held before. In a large fleet each forwarder sends one
// call to a destination at first and is rate limited from there on; in a small one a burst up to the rate limit is
// sent.
func TestRestartInLargeFleet(t *testing.T) {
	for forwarders, want := range map[int]int{3: 2, 80: 1} { // 2 is the call limit with 8 slots
		r := newHarness(t, fleetSettings(forwarders))
		for range 5 {
			r.submit("safe", 1, 0)
		}
		if len(r.sends) != want {
			t.Errorf("%d forwarders: %d calls at once, want %d", forwarders, len(r.sends), want)
		}
	}
}

// A circuit with TryNext gets the next call, however much faster another one is, with the message whose loss costs
// least; without TryNext the faster one gets the calls again. Otherwise the slower circuit would never be tried while
// the faster one has room.
func TestTryNextCircuitGoesFirst(t *testing.T) {
	s := testSettings()
	s.SeparateZones = true
	s.Classes = slices.Clone(s.Classes)
	unsafe := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == "unsafe" })
	s.Classes[unsafe].Worth = 50 // it would be sent first
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
	for _, tryNext := range []bool{false, true} {
		r := newHarness(t, s, entries...)
		r.d.destinations[1].circuits[0].latencyFactor = 3 // as slow as before it went down
		for range 5 {
			if to := next(r, "safe"); to != "b" {
				t.Fatalf("TryNext %v: a call goes to the slower circuit: %s", tryNext, to)
			}
		}
		entry := entries[0]
		entry.TryNext = tryNext
		r.do(EndpointUpdate{Scope: ListChanges, Entries: []Entry{entry}})
		if to := next(r, "safe"); (to == "a") != tryNext {
			t.Errorf("TryNext %v: the next call goes to %s", tryNext, to)
		}
		r.sends = nil
		r.do(Submit{ID: 1000, Class: "unsafe", Destination: 1, TimeLeft: 20 * time.Second}, Submit{ID: 1001, Class: "safe", Destination: 1, TimeLeft: 6 * time.Second})
		if first := r.sends[0]; tryNext && (first.Endpoint != "a" || first.ID != 1001) {
			t.Errorf("an unsafe message is tried although a safe one is ready: %+v", r.sends)
		}
		r.settle(always(OK))
		r.pass(200 * ms)
		r.do(EndpointUpdate{Scope: ListChanges, Entries: entries[:1]})
		if to := next(r, "safe"); to != "b" {
			t.Errorf("TryNext %v: no longer TryNext, and the call goes to %s", tryNext, to)
		}
	}
}
