package mulleinbeam

import (
	"testing"
	"time"
)

func learnedSettings() Settings {
	return Settings{
		Forwarders: 1, Slots: 8, MostHeld: 50, MaxAttempts: 5, MaxRetryAfter: time.Second, OverloadFactor: 1.3, TipAfter: time.Second,
		ColdFrom: 0.2, WarmWithin: 10 * time.Second, UseCapacityHints: true, SendRetryAfter: true,
		Classes: []Class{{Name: "c", Target: time.Second, DeliveryTimeout: 20 * time.Second, Worth: 1, Effect: Safe}},
	}
}

// testForwarder is a forwarder with destination 1, on a clock set by the test.
type testForwarder struct {
	t        *testing.T
	d        *Decider
	now      time.Duration
	next     MessageID
	out      map[MessageID]Send
	attempts map[MessageID]int
}

func newTestForwarder(t *testing.T, restore *LearnedState, endpoints ...EndpointID) *testForwarder {
	t.Helper()
	d, err := New(learnedSettings(), 3)
	if err != nil {
		t.Fatal(err)
	}
	f := &testForwarder{t: t, d: d, now: 24 * time.Hour, out: map[MessageID]Send{}, attempts: map[MessageID]int{}}
	if restore != nil {
		d.Restore(f.now, *restore)
	}
	var entries []Entry
	for _, id := range endpoints {
		entries = append(entries, Entry{Endpoint: id, Destination: 1, Readiness: Serving, CapacityHint: 100})
	}
	f.handle(EndpointUpdate{Scope: ListWhole, Entries: entries})
	return f
}

func (f *testForwarder) handle(events ...Event) {
	for _, a := range f.d.Handle(f.now, events) {
		if s, ok := a.(Send); ok {
			f.out[s.ID] = s
		}
	}
}

// submit submits messages and returns how many calls are out.
func (f *testForwarder) submit(n int) int {
	for range n {
		f.next++
		f.handle(Submit{ID: f.next, Class: "c", TimeLeft: 20 * time.Second, Destination: 1})
	}
	return len(f.out)
}

// answer ends all calls that are out.
func (f *testForwarder) answer(o Outcome, wait time.Duration) {
	for id, s := range f.out {
		delete(f.out, id)
		f.attempts[id]++
		f.handle(Answer{ID: id, Attempt: f.attempts[id] - 1, Endpoint: s.Endpoint, Outcome: o, RetryAfter: wait, Latency: 20 * time.Millisecond, Settled: o == OK})
	}
}

// pass advances the clock and fires the timer for checks.
func (f *testForwarder) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 20 * time.Millisecond
		f.handle(Timer{Cookie: 1})
	}
}

// A Retry-After that has not expired still holds after a restart, to its end and no longer.
func TestRestoredRetryAfterHolds(t *testing.T) {
	first := newTestForwarder(t, nil, "a")
	if first.submit(1) != 1 {
		t.Fatal("no call")
	}
	first.answer(Refused, 5*time.Second)
	first.now += time.Second
	learned := first.d.Snapshot(first.now)
	if unrestored := newTestForwarder(t, nil, "a"); unrestored.submit(1) != 1 {
		t.Error("the call is held without restored state as well")
	}
	second := newTestForwarder(t, &learned, "a")
	if second.submit(3) != 0 {
		t.Error("called before the Retry-After expired")
	}
	second.pass(3900 * time.Millisecond)
	if len(second.out) != 0 {
		t.Error("called 0.1 s before the Retry-After expired")
	}
	second.pass(3 * time.Second)
	if len(second.out) == 0 {
		t.Error("not called after the Retry-After expired")
	}
}

// A breaker that was open before a restart allows one trial at a time, no burst.
func TestRestoredBreakerAllowsOneTrial(t *testing.T) {
	first := newTestForwarder(t, nil, "a")
	for range 12 {
		first.submit(1)
		first.answer(ConnectFailed, 0)
		first.pass(40 * time.Millisecond)
	}
	learned := first.d.Snapshot(first.now)
	if len(learned.Circuits) != 1 || learned.Circuits[0].Breaker == BreakerClosed || !learned.Circuits[0].Guard {
		t.Fatalf("%+v", learned.Circuits)
	}
	unrestored := newTestForwarder(t, nil, "a").submit(6)
	second := newTestForwarder(t, &learned, "a")
	second.submit(6)
	most := len(second.out)
	for range 100 {
		second.pass(20 * time.Millisecond)
		most = max(most, len(second.out))
	}
	if most != 1 || unrestored < 2 {
		t.Errorf("%d trials at once, %d calls without restored state", most, unrestored)
	}
}

// Learned state applies to a destination only while one of the endpoints that it had is still listed; otherwise the
// destination is taken for a new one.
func TestRestoredStateNeedsListedEndpoint(t *testing.T) {
	first := newTestForwarder(t, nil, "a", "b")
	first.submit(1)
	first.answer(Refused, 5*time.Second)
	learned := first.d.Snapshot(first.now)
	for _, c := range []struct {
		listed []EndpointID
		want   int
	}{{[]EndpointID{"x", "y"}, 1}, {[]EndpointID{"x", "b"}, 0}, {[]EndpointID{"a", "b"}, 0}} {
		if got := newTestForwarder(t, &learned, c.listed...).submit(1); got != c.want {
			t.Errorf("listed %v: %d calls", c.listed, got)
		}
	}
}

// A destination that may have gone cold unobserved gets slow start as after an outage, until it has answered.
func TestColdDestinationGetsSlowStart(t *testing.T) {
	first := newTestForwarder(t, nil, "a")
	for range 20 {
		first.submit(1)
		first.answer(OK, 0)
		first.pass(40 * time.Millisecond)
	}
	learned := first.d.Snapshot(first.now)
	calls := func(cold bool) (n int) {
		learned.Circuits[0].Cold = cold
		f := newTestForwarder(t, &learned, "a")
		for range 50 {
			f.submit(1)
			n += len(f.out)
			f.answer(NotSent, 0) // no evidence about the endpoint
			f.pass(20 * time.Millisecond)
		}
		return n
	}
	warm, cold := calls(false), calls(true)
	budget := int(1.3 * 0.2 * 100) // overload factor, cold share, capacity a second
	if cold > budget || cold == 0 || warm <= cold {
		t.Errorf("%d calls in a second to a cold partner, %d to a warm one; the budget is %d", cold, warm, budget)
	}
}

// Observations of other forwarders apply beside this one's own: a Retry-After, a limit until it expires or the endpoint
// reports one, and slow start after an outage.
func TestApplyObservations(t *testing.T) {
	f := newTestForwarder(t, nil, "a")
	circ := f.d.destinations[1].circuits[0]
	apply := func(lc LearnedCircuit) {
		lc.Destination = 1
		f.d.ApplyObservations(f.now, []LearnedCircuit{lc})
	}
	apply(LearnedCircuit{Wait: 5 * time.Second, GuardFrom: -1})
	if circ.waitUntil != f.now+5*time.Second {
		t.Errorf("waits until %v", circ.waitUntil)
	}
	apply(LearnedCircuit{Wait: time.Second, GuardFrom: -1})
	if circ.waitUntil != f.now+5*time.Second {
		t.Errorf("a shorter wait took it back: %v", circ.waitUntil)
	}
	base := f.d.capacity(circ)
	apply(LearnedCircuit{Limit: 2 * base, Trust: 0.5, GuardFrom: -1})
	if want := 1.5 * base; circ.reportedLimit != want {
		t.Errorf("limit %v, want %v", circ.reportedLimit, want)
	}
	apply(LearnedCircuit{Limit: 1e6, Trust: 1, GuardFrom: -1})
	if circ.reportedLimit != maxPeerLimitFactor*base {
		t.Errorf("limit %v of %v", circ.reportedLimit, base)
	}
	if apply(LearnedCircuit{GuardFrom: -1}); circ.reportedLimit != 0 {
		t.Errorf("limit %v when it has lapsed", circ.reportedLimit)
	}
	circ.reportedLimit = 33
	if apply(LearnedCircuit{Limit: 99, Trust: 1, GuardFrom: -1}); circ.reportedLimit != 33 {
		t.Errorf("its own limit became %v", circ.reportedLimit)
	}
	apply(LearnedCircuit{Guard: true, GuardSince: 3 * time.Second, GuardFrom: time.Second})
	if !circ.slowStart || circ.recoveredAt != max(0, f.now-time.Second) {
		t.Errorf("slow start %v, recovered at %v", circ.slowStart, circ.recoveredAt)
	}
}
