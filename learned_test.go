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

// life is a courier with one partner, "a" of destination 1, on a clock that the test sets.
type life struct {
	t    *testing.T
	d    *Decider
	now  time.Duration
	next MessageID
	out  map[MessageID]Send
	tell map[MessageID]int
}

func newLife(t *testing.T, recall *LearnedState, endpoints ...EndpointID) *life {
	t.Helper()
	d, err := New(learnedSettings(), 3)
	if err != nil {
		t.Fatal(err)
	}
	l := &life{t: t, d: d, now: 24 * time.Hour, out: map[MessageID]Send{}, tell: map[MessageID]int{}}
	if recall != nil {
		d.Restore(l.now, *recall)
	}
	var entries []Entry
	for _, id := range endpoints {
		entries = append(entries, Entry{Endpoint: id, Destination: 1, Readiness: Serving, CapacityHint: 100})
	}
	l.handle(EndpointUpdate{Scope: ListWhole, Entries: entries})
	return l
}

func (l *life) handle(events ...Event) {
	for _, a := range l.d.Handle(l.now, events) {
		if s, ok := a.(Send); ok {
			l.out[s.ID] = s
		}
	}
}

// submit hands messages in and gives how many calls are out then.
func (l *life) submit(n int) int {
	for range n {
		l.next++
		l.handle(Submit{ID: l.next, Class: "c", TimeLeft: 20 * time.Second, Destination: 1})
	}
	return len(l.out)
}

// answer ends all calls that are out.
func (l *life) answer(o Outcome, wait time.Duration) {
	for id, s := range l.out {
		delete(l.out, id)
		l.tell[id]++
		l.handle(Answer{ID: id, Attempt: l.tell[id] - 1, Endpoint: s.Endpoint, Outcome: o, RetryAfter: wait, Latency: 20 * time.Millisecond, Settled: o == OK})
	}
}

// pass lets time go by, with the module's looks in between.
func (l *life) pass(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.now += 20 * time.Millisecond
		l.handle(Timer{Cookie: 1})
	}
}

// A told wait that has not ended holds in the next life to its last moment, and not longer.
func TestRecalledWaitHolds(t *testing.T) {
	first := newLife(t, nil, "a")
	if first.submit(1) != 1 {
		t.Fatal("no call")
	}
	first.answer(Refused, 5*time.Second)
	first.now += time.Second
	learned := first.d.Snapshot(first.now)
	if cold := newLife(t, nil, "a"); cold.submit(1) != 1 {
		t.Error("a cold life holds the call back, so this shows nothing")
	}
	second := newLife(t, &learned, "a")
	if second.submit(3) != 0 {
		t.Error("called within a told wait")
	}
	second.pass(3900 * time.Millisecond)
	if len(second.out) != 0 {
		t.Error("called 0.1 s before a told wait's end")
	}
	second.pass(3 * time.Second)
	if len(second.out) == 0 {
		t.Error("not called behind the wait's end")
	}
}

// A breaker that was open is still careful: one trial, and no burst.
func TestRecalledBreakerIsCareful(t *testing.T) {
	first := newLife(t, nil, "a")
	for range 12 {
		first.submit(1)
		first.answer(ConnectFailed, 0)
		first.pass(40 * time.Millisecond)
	}
	learned := first.d.Snapshot(first.now)
	if len(learned.Circuits) != 1 || learned.Circuits[0].Breaker == BreakerClosed || !learned.Circuits[0].Guard {
		t.Fatalf("%+v", learned.Circuits)
	}
	cold := newLife(t, nil, "a").submit(6)
	second := newLife(t, &learned, "a")
	second.submit(6)
	most := len(second.out)
	for range 100 {
		second.pass(20 * time.Millisecond)
		most = max(most, len(second.out))
	}
	if most != 1 || cold < 2 {
		t.Errorf("%d trials at once, %d calls of a life that knows nothing", most, cold)
	}
}

// What was learned belongs to names: a partner of which no endpoint is listed any more is a new one, and one that has an
// endpoint left is the same.
func TestRecalledPartnerIsRenamed(t *testing.T) {
	first := newLife(t, nil, "a", "b")
	first.submit(1)
	first.answer(Refused, 5*time.Second)
	learned := first.d.Snapshot(first.now)
	for _, c := range []struct {
		listed []EndpointID
		want   int
	}{{[]EndpointID{"x", "y"}, 1}, {[]EndpointID{"x", "b"}, 0}, {[]EndpointID{"a", "b"}, 0}} {
		if got := newLife(t, &learned, c.listed...).submit(1); got != c.want {
			t.Errorf("listed %v: %d calls", c.listed, got)
		}
	}
}

// A partner that may have gone cold unseen is met as after an outage: within the fail-back budget, until it has answered.
func TestColdPartnerIsMetAsSuch(t *testing.T) {
	first := newLife(t, nil, "a")
	for range 20 {
		first.submit(1)
		first.answer(OK, 0)
		first.pass(40 * time.Millisecond)
	}
	learned := first.d.Snapshot(first.now)
	calls := func(cold bool) (n int) {
		learned.Circuits[0].Cold = cold
		l := newLife(t, &learned, "a")
		for range 50 {
			l.submit(1)
			n += len(l.out)
			l.answer(NotSent, 0) // which speaks of nothing
			l.pass(20 * time.Millisecond)
		}
		return n
	}
	warm, cold := calls(false), calls(true)
	budget := int(1.3 * 0.2 * 100) // overload factor, cold share, capacity a second
	if cold > budget || cold == 0 || warm <= cold {
		t.Errorf("%d calls in a second to a cold partner, %d to a warm one; the budget is %d", cold, warm, budget)
	}
}

// What others tell is heeded beside what is seen: a wait, a limit until it lapses or one of its own is told, care at an outage.
func TestHearsOthers(t *testing.T) {
	r := newLife(t, nil, "a")
	l := r.d.destinations[1].circuits[0]
	hear := func(f LearnedCircuit) {
		f.Destination = 1
		r.d.ApplyObservations(r.now, []LearnedCircuit{f})
	}
	hear(LearnedCircuit{Wait: 5 * time.Second, GuardFrom: -1})
	if l.waitUntil != r.now+5*time.Second {
		t.Errorf("waits until %v", l.waitUntil)
	}
	hear(LearnedCircuit{Wait: time.Second, GuardFrom: -1})
	if l.waitUntil != r.now+5*time.Second {
		t.Errorf("a shorter wait took it back: %v", l.waitUntil)
	}
	base := r.d.capacity(l)
	hear(LearnedCircuit{Limit: 2 * base, Trust: 0.5, GuardFrom: -1})
	if want := 1.5 * base; l.reportedLimit != want {
		t.Errorf("limit %v, want %v", l.reportedLimit, want)
	}
	hear(LearnedCircuit{Limit: 1e6, Trust: 1, GuardFrom: -1})
	if l.reportedLimit != maxPeerLimitFactor*base {
		t.Errorf("limit %v of %v", l.reportedLimit, base)
	}
	if hear(LearnedCircuit{GuardFrom: -1}); l.reportedLimit != 0 {
		t.Errorf("limit %v when it has lapsed", l.reportedLimit)
	}
	l.reportedLimit = 33
	if hear(LearnedCircuit{Limit: 99, Trust: 1, GuardFrom: -1}); l.reportedLimit != 33 {
		t.Errorf("its own limit became %v", l.reportedLimit)
	}
	hear(LearnedCircuit{Guard: true, GuardSince: 3 * time.Second, GuardFrom: time.Second})
	if !l.slowStart || l.recoveredAt != max(0, r.now-time.Second) {
		t.Errorf("guard %v since its return at %v", l.slowStart, l.recoveredAt)
	}
}
