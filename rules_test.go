package mulleinbeam

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{
		Forwarders: 2, Slots: 8, MostHeld: 100, MaxAttempts: 6, OverShareWorth: 0.1, UseCapacityHints: true,
		SeparateRoutes: map[string]bool{"routes": true}, MayCancel: true, AnswerSlack: 20 * ms,
		KeepAlive: 15 * time.Second, DrainGrace: 250 * ms, TurnGap: 500 * ms, OverloadFactor: 2,
		TipAfter: 1500 * ms, ColdFrom: 0.2, WarmWithin: 10 * time.Second,
		Classes: []Class{
			{Name: "safe", Target: time.Second, DeliveryTimeout: 6 * time.Second, Worth: 1, LateWorth: 0.1, Effect: Safe},
			{Name: "keyed", Target: 2 * time.Second, DeliveryTimeout: 20 * time.Second, Worth: 2, LateWorth: 0.5, Effect: Keyed,
				KeyTTL: 5 * time.Second},
			{Name: "zoned", Target: 2 * time.Second, DeliveryTimeout: 20 * time.Second, Worth: 2, LateWorth: 0.5, Effect: Keyed,
				KeyTTL: 5 * time.Second, SameZoneOnly: true},
			{Name: "unsafe", Target: 3 * time.Second, DeliveryTimeout: 20 * time.Second, Worth: 5, LateWorth: 0.5, Effect: Unsafe},
			{Name: "ordered", Target: 3 * time.Second, DeliveryTimeout: 20 * time.Second, Worth: 2, LateWorth: 0.5, Effect: Keyed,
				KeyTTL: 15 * time.Second, InOrder: true},
		},
	}
}

// harness drives a decider by hand.
type harness struct {
	t            *testing.T
	d            *Decider
	now          time.Duration
	next         MessageID
	sends        []Send
	sent         map[MessageID]int
	otherActions []Action
	logs         []string
	timerAt      time.Duration
}

// harnessSeed is changed by tests that run several harnesses side by side.
var harnessSeed uint64 = 42

func newHarness(t *testing.T, s Settings, entries ...Entry) *harness {
	t.Helper()
	d, err := New(s, harnessSeed)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, d: d, now: time.Minute, sent: map[MessageID]int{}}
	if len(entries) == 0 {
		entries = []Entry{{Endpoint: "a", Destination: 1, Kind: "shared", CapacityHint: 50}}
	}
	r.do(EndpointUpdate{Scope: ListSaved, Entries: entries})
	return r
}

func (r *harness) do(in ...Event) []Send {
	var sends []Send
	for _, a := range r.d.Handle(r.now, in) {
		switch a := a.(type) {
		case Send:
			sends = append(sends, a)
			r.sent[a.ID]++
		case SetTimer:
			r.timerAt = r.now + a.After
		case Log:
			r.logs = append(r.logs, a.Text)
		default:
			r.otherActions = append(r.otherActions, a)
		}
	}
	r.sends = append(r.sends, sends...)
	return sends
}

// pass advances the clock, fires the timer for checks and returns the sends.
func (r *harness) pass(d time.Duration) []Send {
	var sends []Send
	for end := r.now + d; r.now < end; {
		r.now += 5 * ms
		if r.timerAt > 0 && r.now >= r.timerAt {
			r.timerAt = 0
			sends = append(sends, r.do(Timer{Cookie: 1})...)
		}
	}
	return sends
}

func (r *harness) submit(class string, dest DestinationID, key OrderKey) MessageID {
	r.next++
	left := time.Second
	for _, c := range r.d.cfg.Classes {
		if c.Name == class {
			left = c.DeliveryTimeout
		}
	}
	r.do(Submit{ID: r.next, Class: class, Destination: dest, Key: key, TimeLeft: left})
	return r.next
}

func (r *harness) answer(s Send, o Outcome, wait time.Duration) []Send {
	return r.do(Answer{
		ID: s.ID, Attempt: r.sent[s.ID] - 1, Endpoint: s.Endpoint, Outcome: o,
		Latency: 50 * ms, RetryAfter: wait, Settled: o == OK,
	})
}

// settle answers all calls that are out, in order, with the given outcomes.
func (r *harness) settle(outcome func() Outcome) (sends []Send) {
	for len(r.sends) > 0 {
		s := r.sends[0]
		r.sends = r.sends[1:]
		sends = append(sends, s)
		r.answer(s, outcome(), 0)
	}
	return sends
}

func always(o Outcome) func() Outcome { return func() Outcome { return o } }

func (r *harness) last() Send {
	r.t.Helper()
	if len(r.sends) == 0 {
		r.t.Fatal("nothing was sent")
	}
	return r.sends[len(r.sends)-1]
}

// ended returns how a message was answered: "refuse", "fail" or "".
func (r *harness) ended(id MessageID) string {
	for _, a := range r.otherActions {
		if a == (Fail{ID: id}) {
			return "fail"
		}
		if f, ok := a.(Refuse); ok && f.ID == id {
			return "refuse"
		}
	}
	return ""
}

func TestAnswerAtTheDeadline(t *testing.T) {
	r := newHarness(t, testSettings())
	held := r.submit("unsafe", 7, 0) // a destination without endpoints
	r.pass(20*time.Second - 100*ms)
	if got := r.ended(held); got != "" {
		t.Fatalf("held message answered early: %q", got)
	}
	r.pass(100 * ms)
	if got := r.ended(held); got != "refuse" {
		t.Errorf("held message at its deadline: %q, want refuse", got)
	}
	out := r.submit("unsafe", 1, 0)
	s := r.last()
	r.now = s.CutAt
	r.answer(s, TimedOut, 0)
	if got := r.ended(out); got != "fail" {
		t.Errorf("unsafe message timed out at its deadline: %q, want fail", got)
	}
}

func TestRepeatsAfterEachOutcome(t *testing.T) {
	for _, c := range []struct {
		class  string
		o      Outcome
		resent bool
		end    string
	}{
		{"unsafe", Failed, false, "fail"}, {"unsafe", TimedOut, false, "fail"}, {"unsafe", Reset, false, "fail"},
		{"unsafe", Cancelled, false, "fail"}, {"unsafe", Refused, true, ""}, {"unsafe", ConnectFailed, true, ""},
		{"unsafe", NotSent, true, ""}, {"safe", Failed, true, ""}, {"safe", TimedOut, true, ""},
		{"keyed", Reset, true, ""}, {"keyed", Failed, true, ""},
	} {
		r := newHarness(t, testSettings())
		id := r.submit(c.class, 1, 0)
		r.answer(r.last(), c.o, 0)
		r.pass(4 * time.Second)
		if got := r.sent[id] > 1; got != c.resent || r.ended(id) != c.end {
			t.Errorf("%s after outcome %d: resent %v, ended %q; want %v, %q", c.class, c.o, got, r.ended(id), c.resent, c.end)
		}
	}
}

// Conditions at the time of a send are checked again when its connection is up: a keyed repeat begins only within its
// window, any call only while an answer can be in time, and none to a destination that has sent a Retry-After
// meanwhile.
func TestMayBegin(t *testing.T) {
	begins := func(r *harness, s Send, until time.Duration) {
		t.Helper()
		if !r.d.MayBegin(until-1, s.ID) || r.d.MayBegin(until, s.ID) {
			t.Errorf("message %d does not begin until %v and no longer", s.ID, until)
		}
	}
	r := newHarness(t, testSettings())
	r.submit("keyed", 1, 0)
	first, at := r.last(), r.now
	begins(r, first, at+20*time.Second-60*ms)
	r.answer(first, Reset, 0)
	r.pass(time.Second)
	repeat := r.last()
	if repeat == first {
		t.Fatal("no repeat")
	}
	begins(r, repeat, at+4500*ms)

	r = newHarness(t, testSettings())
	r.submit("safe", 1, 0)
	refused := r.last()
	r.submit("safe", 1, 0)
	slow := r.last()
	r.answer(refused, Refused, time.Second)
	if r.d.MayBegin(r.now+time.Second-1, slow.ID) || !r.d.MayBegin(r.now+time.Second, slow.ID) {
		t.Error("a call did not wait for a Retry-After that came before its connection was up")
	}
	if r.d.MayBegin(r.now+time.Second, refused.ID) || r.d.MayBegin(r.now, 99) {
		t.Error("a call that is not out may begin")
	}
}

func TestKeyedWindowAndGroup(t *testing.T) {
	for _, c := range []struct {
		class  string
		away   time.Duration // until the outcome
		resent bool
		end    string
	}{
		{"keyed", 4 * time.Second, true, ""},
		{"keyed", 4900 * ms, false, "fail"}, // the key expires before the client retries
		{"zoned", 4900 * ms, false, "fail"},
	} {
		r := newHarness(t, testSettings())
		id := r.submit(c.class, 1, 0)
		s := r.last()
		r.now += c.away
		r.answer(s, Failed, 0)
		r.pass(2 * time.Second)
		if got := r.sent[id] > 1; got != c.resent || r.ended(id) != c.end {
			t.Errorf("%s after %v: resent %v, ended %q; want %v, %q", c.class, c.away, got, r.ended(id), c.resent, c.end)
		}
	}
	r := newHarness(t, testSettings(),
		Entry{Endpoint: "a", Zone: "z1", Destination: 1, CapacityHint: 50},
		Entry{Endpoint: "b", Zone: "z2", Destination: 1, CapacityHint: 50})
	id := r.submit("zoned", 1, 0)
	first := r.last()
	r.answer(first, Reset, 0)
	r.pass(4 * time.Second)
	if r.sent[id] < 2 {
		t.Fatal("zoned message was not repeated")
	}
	for _, s := range r.sends {
		if s.Endpoint != first.Endpoint {
			t.Errorf("zoned message repeated at %s, first at %s", s.Endpoint, first.Endpoint)
		}
	}
}

func TestDrainsApplyAtOnce(t *testing.T) {
	for _, state := range []Readiness{Draining, Deleted} {
		r := newHarness(t, testSettings())
		r.do(EndpointUpdate{Scope: ListChanges, Entries: []Entry{{Endpoint: "a", Destination: 1, Readiness: state}}})
		r.submit("safe", 1, 0)
		if sends := append(r.sends, r.pass(2*time.Second)...); len(sends) > 0 {
			t.Errorf("readiness %d: sent %v", state, sends)
		}
		r.do(EndpointUpdate{Scope: ListWhole, Entries: []Entry{{Endpoint: "a", Destination: 1, CapacityHint: 50}}})
		r.pass(time.Second)
		if len(r.sends) == 0 {
			t.Errorf("readiness %d: nothing sent after the endpoint came back", state)
		}
	}
}

func TestEndpointVanishesWithACallOut(t *testing.T) {
	r := newHarness(t, testSettings())
	id := r.submit("keyed", 1, 0)
	s := r.last()
	r.do(EndpointUpdate{Scope: ListWhole})
	r.answer(s, Reset, 0)
	r.pass(20 * time.Second)
	if r.sent[id] != 1 || r.ended(id) == "" {
		t.Errorf("sent %d times, ended %q", r.sent[id], r.ended(id))
	}
}

// A Retry-After holds in every breaker state, for the destination or for the endpoint with SeparateRoutes.
func TestRetryAfter(t *testing.T) {
	for state := closed; state <= halfOpen; state++ {
		r := newHarness(t, testSettings())
		r.submit("safe", 1, 0)
		s := r.last()
		circ := r.d.destinations[1].circuits[0]
		circ.state = state
		r.answer(s, Refused, 1200*ms)
		for range 5 {
			r.submit("safe", 1, 0)
		}
		before := len(r.sends)
		r.pass(1190 * ms)
		if n := len(r.sends) - before; n > 0 {
			t.Errorf("breaker %s: %d sends before the Retry-After expired", stateNames[state], n)
		}
		r.pass(4 * time.Second)
		if len(r.sends) == before {
			t.Errorf("breaker %s: no send after the Retry-After", stateNames[state])
		}
	}
	r := newHarness(t, testSettings(),
		Entry{Endpoint: "a", Kind: "routes", Destination: 1, CapacityHint: 50},
		Entry{Endpoint: "b", Kind: "routes", Destination: 1, CapacityHint: 50})
	r.submit("safe", 1, 0)
	s := r.last()
	r.answer(s, Refused, 2*time.Second)
	r.pass(time.Second)
	if got := r.last(); got.Endpoint == s.Endpoint || len(r.sends) < 2 {
		t.Errorf("after a Retry-After of %s the other endpoint was not used: %v", s.Endpoint, r.sends)
	}
}

func TestOrderByKey(t *testing.T) {
	for _, o := range []Outcome{TimedOut, Reset, Cancelled} {
		r := newHarness(t, testSettings())
		first, second := r.submit("ordered", 1, 9), r.submit("ordered", 1, 9)
		if r.sent[second] > 0 {
			t.Fatal("second message of the key sent beside the first")
		}
		s := r.last()
		r.do(MessageCancelled{ID: first}) // its attempt is still out
		r.pass(time.Second)
		if r.sent[second] > 0 {
			t.Fatal("second message sent while the first has an attempt out")
		}
		r.answer(s, o, 0)
		r.pass(480 * ms)
		if r.sent[second] > 0 {
			t.Errorf("outcome %d: second message sent inside the turn gap", o)
		}
		r.pass(6 * time.Second)
		if r.sent[second] == 0 {
			t.Errorf("outcome %d: second message never sent", o)
		}
	}
}

func TestBreakerTransitions(t *testing.T) {
	r := newHarness(t, testSettings())
	circ := r.d.destinations[1].circuits[0]
	failures := 0
	for circ.state == closed && failures < 30 {
		r.submit("safe", 1, 0)
		failures += len(r.settle(always(Failed)))
		r.now += 200 * ms
	}
	if circ.state != open {
		t.Fatalf("breaker is %s after %d failures", stateNames[circ.state], failures)
	}
	if n := minOutageRun + tripExtraFailures; failures < n || failures > n+2 { // a call or two may be out when it opens
		t.Errorf("%d failures in a row to open, want about %d", failures, n)
	}
	sent := len(r.sends)
	if r.pass(openFirst/2 - 10*ms); len(r.sends) > sent {
		t.Error("sent while open")
	}
	for range 3000 {
		if r.submit("safe", 1, 0); len(r.sends) > sent {
			break
		}
		r.pass(10 * ms)
	}
	if circ.state != halfOpen {
		t.Fatalf("breaker is %s after the open period", stateNames[circ.state])
	}
	r.settle(always(Failed))
	if circ.state != open {
		t.Fatalf("breaker is %s after a failed trial", stateNames[circ.state])
	}
	for range 2000 {
		r.submit("safe", 1, 0)
		r.pass(10 * ms)
		r.settle(always(OK))
	}
	if circ.state != closed {
		t.Errorf("breaker is %s after successful trials", stateNames[circ.state])
	}
	if text := strings.Join(r.logs, "\n"); !strings.Contains(text, "open (consecutive failures)") || !strings.Contains(text, "closed") {
		t.Errorf("log lines lack a transition: %s", text)
	}
}

// After failures, the sends in any interval of TipAfter stay within the slow-start budget, which grows during the
// warm-up.
func TestSlowStartBudget(t *testing.T) {
	s := testSettings()
	r := newHarness(t, s)
	for range minOutageRun + tripExtraFailures {
		r.submit("keyed", 1, 0)
		r.settle(always(ConnectFailed))
		r.now += 200 * ms
	}
	var at []time.Duration
	start := time.Duration(0)
	for range 1500 {
		r.submit("keyed", 1, 0)
		r.pass(10 * ms)
		for range r.settle(always(OK)) {
			at = append(at, r.now)
			if start == 0 {
				start = r.now
			}
		}
	}
	if len(at) < 50 {
		t.Fatalf("only %d sends", len(at))
	}
	for i := range at {
		n := 0
		for j := i; j < len(at) && at[j] < at[i]+s.TipAfter; j++ {
			n++
		}
		warm := min(1, s.ColdFrom+(1-s.ColdFrom)*(at[i]+s.TipAfter-start).Seconds()/s.WarmWithin.Seconds())
		if budget := s.OverloadFactor * warm * 50 * s.TipAfter.Seconds(); warm < 1 && float64(n) > budget {
			t.Fatalf("%d sends in the span from %v, budget %.1f", n, at[i]-start, budget)
		}
	}
}

// A full connection table is no outage: single failed connects between successes leave the breaker closed.
func TestFullConnectionTable(t *testing.T) {
	r := newHarness(t, testSettings())
	for i := range 30 {
		r.submit("safe", 1, 0)
		o := OK
		if i%2 == 1 {
			o = ConnectFailed
		}
		r.answer(r.last(), o, 0)
		r.pass(150 * ms)
	}
	if circ := r.d.destinations[1].circuits[0]; circ.state != closed {
		t.Errorf("breaker is %s", stateNames[circ.state])
	}
	closes := 0
	for _, a := range r.otherActions {
		if _, ok := a.(CloseIdle); ok {
			closes++
		}
	}
	if closes == 0 {
		t.Error("idle connections were not closed")
	}
}

// Connections that die while idle are told from a failing endpoint and closed before the next use.
func TestDeadIdleConnections(t *testing.T) {
	r := newHarness(t, testSettings())
	resets := 0
	for range 20 {
		before := len(r.otherActions)
		r.submit("safe", 1, 0)
		o := Reset
		for _, a := range r.otherActions[before:] {
			if _, ok := a.(CloseIdle); ok {
				o = OK
			}
		}
		s := r.last()
		if o == Reset {
			resets++
		}
		r.answer(s, o, 0)
		for _, s := range r.pass(1500 * ms) {
			r.answer(s, OK, 0)
		}
		r.pass(1500 * ms)
	}
	if resets > 5 { // the first is on a new connection
		t.Errorf("%d resets before idle connections were closed", resets)
	}
	if circ := r.d.destinations[1].circuits[0]; circ.state != closed {
		t.Errorf("breaker is %s", stateNames[circ.state])
	}
}

// The same if calls on dead connections get no answer at all while later calls do.
func TestSilentlyDeadIdleConnections(t *testing.T) {
	r := newHarness(t, testSettings())
	for range 12 {
		r.submit("keyed", 1, 0)
		r.settle(always(OK))
		r.pass(100 * ms)
	}
	for range 3 {
		r.pass(1500 * ms)
		r.submit("keyed", 1, 0) // the first call after a pause is never answered
		lost := r.last()
		r.sends = nil
		for range 30 {
			r.pass(100 * ms)
			r.submit("safe", 1, 0)
			r.settle(always(OK))
		}
		r.answer(lost, TimedOut, 0)
		r.pass(300 * ms)
		r.settle(always(OK)) // its repeat
	}
	if r.d.idleLimit == 0 || r.d.idleLimit > 1500*ms {
		t.Fatalf("bound of idle connections: %v", r.d.idleLimit)
	}
}

// At low traffic no later call overtakes the lost one: losses after pauses are summed over all destinations and
// compared with the other calls. If those are lost as often, the destinations are stalled and no connection is closed.
func TestDeadIdleConnectionsAtLowTraffic(t *testing.T) {
	for _, c := range []struct {
		others Outcome
		found  bool
	}{{OK, true}, {TimedOut, false}} {
		var entries []Entry
		for i := range 12 {
			entries = append(entries, Entry{
				Endpoint: EndpointID(fmt.Sprint("e", i)), Destination: DestinationID(i), CapacityHint: 50,
			})
		}
		r := newHarness(t, testSettings(), entries...)
		for _, after := range []Outcome{OK, TimedOut} { // first calls, then calls after a pause
			for i := range 12 {
				r.submit("unsafe", DestinationID(i), 0)
				o := after
				if o == OK && i%2 == 0 {
					o = c.others
				}
				r.answer(r.last(), o, 0)
				r.pass(150 * ms)
			}
		}
		if got := r.d.idleLimit > 0; got != c.found {
			t.Errorf("other calls end with outcome %d: bound %v", c.others, r.d.idleLimit)
		}
	}
}

// A stall leaves calls that are never answered: if slots are short, they are cancelled.
func TestStuckCallsAreCancelled(t *testing.T) {
	s := testSettings()
	s.Slots = 2
	r := newHarness(t, s,
		Entry{Endpoint: "a", Destination: 1, CapacityHint: 50}, Entry{Endpoint: "b", Destination: 2, CapacityHint: 50},
		Entry{Endpoint: "c", Destination: 3, CapacityHint: 50})
	r.submit("unsafe", 1, 0)
	r.submit("unsafe", 2, 0)
	r.submit("safe", 3, 0)
	r.pass(5500 * ms)
	for _, a := range r.otherActions {
		if _, ok := a.(Cancel); ok {
			return
		}
	}
	t.Error("no stuck call was cancelled while another message waited for a slot")
}

func TestRefusalsInABurstLeaveTheBreakerClosed(t *testing.T) {
	r := newHarness(t, testSettings())
	calls := 0
	for range 200 {
		r.submit("safe", 1, 0)
		r.settle(func() Outcome {
			if calls++; calls%4 == 0 {
				return OK
			}
			return Refused
		})
		r.pass(50 * ms)
	}
	if calls < 20 {
		t.Errorf("only %d calls", calls)
	}
	if circ := r.d.destinations[1].circuits[0]; circ.state != closed {
		t.Errorf("breaker is %s", stateNames[circ.state])
	}
}

func TestOneBadEndpointLeavesBreakerClosed(t *testing.T) {
	r := newHarness(t, testSettings(),
		Entry{Endpoint: "a", Destination: 1, CapacityHint: 50}, Entry{Endpoint: "b", Destination: 1, CapacityHint: 50})
	good := 0
	for range 100 {
		r.submit("safe", 1, 0)
		for _, s := range append(r.sends, r.pass(50*ms)...) {
			o := OK
			if s.Endpoint == "a" {
				o = Failed
			} else {
				good++
			}
			r.answer(s, o, 0)
		}
		r.sends = nil
	}
	if circ := r.d.destinations[1].circuits[0]; circ.state != closed || good < 80 {
		t.Errorf("breaker is %s, %d delivered", stateNames[circ.state], good)
	}
}

// An endpoint that went down before the list removed it is no outage of its destination: its removal closes the breaker
// and ends slow start, unless another endpoint failed as well.
func TestRemovedEndpointClearsItsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		stays  Outcome // outcome at the endpoint that stays
		rounds int     // with both listed
		clears bool
	}{"alone to blame": {OK, 0, true}, "the other serves": {OK, 20, true}, "the other fails too": {ConnectFailed, 150, false}} {
		r := newHarness(t, testSettings())
		circ := r.d.destinations[1].circuits[0]
		fail := func(rounds int) {
			for range rounds {
				r.submit("safe", 1, 0)
				for len(r.sends) > 0 {
					s := r.sends[0]
					r.sends = r.sends[1:]
					o := ConnectFailed
					if s.Endpoint != "a" {
						o = c.stays
					}
					r.answer(s, o, 0)
				}
				r.pass(100 * ms)
			}
		}
		fail(40)
		if circ.state == closed || !circ.slowStart {
			t.Fatalf("%s: breaker %s, slow start %v with every connect refused", name, stateNames[circ.state], circ.slowStart)
		}
		r.do(EndpointUpdate{Scope: ListChanges, Entries: []Entry{{Endpoint: "b", Destination: 1, CapacityHint: 50}}})
		fail(c.rounds)
		r.do(EndpointUpdate{Scope: ListChanges, Entries: []Entry{{Endpoint: "a", Destination: 1, Readiness: Draining}}})
		if (circ.state == closed) != c.clears || circ.slowStart == c.clears {
			t.Errorf("%s: breaker %s, slow start %v", name, stateNames[circ.state], circ.slowStart)
		}
	}
}

// Resets of reused connections are no evidence about the endpoint. If they are common, an unsafe message, which a reset
// ends, gets a new connection.
func TestResetsOfReusedConnections(t *testing.T) {
	r := newHarness(t, testSettings())
	r.submit("unsafe", 1, 0)
	if r.last().NewConnection {
		t.Error("a new connection is asked for with nothing seen")
	}
	r.answer(r.last(), OK, 0)
	for range 20 {
		r.submit("safe", 1, 0)
		s := r.last()
		r.do(Answer{ID: s.ID, Attempt: r.sent[s.ID] - 1, Endpoint: s.Endpoint, Outcome: Reset, Latency: 50 * ms, ReusedConnection: true})
		r.do(MessageCancelled{ID: s.ID})
	}
	if circ := r.d.destinations[1].circuits[0]; circ.state != closed || circ.slowStart {
		t.Errorf("breaker %s, slow start %v", stateNames[circ.state], circ.slowStart)
	}
	for class, want := range map[string]bool{"safe": false, "keyed": false, "unsafe": true} {
		r.submit(class, 1, 0)
		if got := r.last(); got.NewConnection != want {
			t.Errorf("%s: a new connection %v", class, got.NewConnection)
		}
		r.answer(r.last(), OK, 0)
	}
}

// Two lost connections in a row start slow start; a success of a call sent after the first cancels it if it comes too
// soon for an outage. After errors, or with a later success, slow start stays.
func TestBriefRunsOfLostConnections(t *testing.T) {
	for name, c := range map[string]struct {
		lost      Outcome
		after     time.Duration
		slowStart bool
	}{"soon": {ConnectFailed, 200 * ms, false}, "resets": {Reset, 200 * ms, false}, "late": {ConnectFailed, time.Second, true},
		"errors": {Failed, 200 * ms, true}} {
		r := newHarness(t, testSettings())
		circ := r.d.destinations[1].circuits[0]
		for range 2 {
			r.submit("keyed", 1, 0)
			s := r.last()
			r.answer(s, c.lost, 0)
			r.do(MessageCancelled{ID: s.ID})
		}
		if !circ.slowStart {
			t.Fatalf("%s: no slow start after two", name)
		}
		k := &call{endpoint: circ.endpoints[0], class: r.d.classes["safe"], size: 1, sentAt: r.now}
		r.d.now = r.now + c.after
		if r.d.onSuccess(k, 50*ms); circ.slowStart != c.slowStart {
			t.Errorf("%s: slow start %v", name, circ.slowStart)
		}
	}
}

func TestCallLimitStaysUnderThreeQuarters(t *testing.T) {
	r := newHarness(t, testSettings())
	most := 0
	for range 200 {
		r.submit("safe", 1, 0)
		r.submit("safe", 1, 0)
		r.pass(20 * ms)
		most = max(most, r.d.destinations[1].inflight)
		if len(r.sends) > 1 {
			s := r.sends[0]
			r.sends = r.sends[1:]
			r.answer(s, OK, 0)
		}
	}
	if most < 3 || most >= 6 {
		t.Errorf("most calls out at one destination of 8 slots: %d, want 3 to 5", most)
	}
}

func TestStrayEvents(t *testing.T) {
	r := newHarness(t, testSettings())
	id := r.submit("no such class", 1, 0)
	s := r.last()
	r.answer(s, OK, 0)
	r.do(
		Answer{ID: id, Endpoint: "a", Outcome: OK}, Answer{ID: 999, Endpoint: "zz", Outcome: Refused, RetryAfter: time.Second},
		MessageCancelled{ID: id}, MessageCancelled{ID: 12345}, Timer{Cookie: 77}, Probed{Endpoint: "zz", Outcome: OK}, Probed{Endpoint: "a"},
	)
	if len(r.d.messages) != 0 || r.d.heldCount != 0 || r.d.slotsUsed != 0 {
		t.Errorf("left over: %d messages, %d held, %d slots", len(r.d.messages), r.d.heldCount, r.d.slotsUsed)
	}
}

func TestSubscribeRetriesBackOff(t *testing.T) {
	s := testSettings()
	s.MustSubscribe, s.SubscribeWithin = true, 10*time.Second
	r := newHarness(t, s)
	subscribed := func() (n int) {
		for _, a := range r.otherActions {
			if _, ok := a.(Subscribe); ok {
				n++
			}
		}
		return n
	}
	if subscribed() != 1 {
		t.Fatalf("subscribed %d times at the start, want 1", subscribed())
	}
	for range 4 {
		r.do(EndpointUpdate{Scope: ListError})
		before, at := subscribed(), r.now
		for subscribed() == before && r.now < at+20*time.Second {
			r.pass(5 * ms)
		}
		if subscribed() != before+1 || r.now-at < subscribeRetryFirst/2 {
			t.Errorf("subscribed again %d times after %v", subscribed()-before, r.now-at)
		}
	}
	r.do(EndpointUpdate{Scope: ListWhole, Entries: []Entry{{Endpoint: "a", Destination: 1, CapacityHint: 50}}})
	before := subscribed()
	r.submit("safe", 9, 0)
	r.pass(5 * time.Second)
	if subscribed() != before {
		t.Error("subscribed again while subscribed")
	}
}

// Equal events give equal actions, alone or beside another instance; a new decider has no memory; names have no
// meaning.
func TestDeterminismAndNames(t *testing.T) {
	record := func(prefix string, beside bool) []string {
		s := testSettings()
		for i := range s.Classes {
			s.Classes[i].Name = prefix + s.Classes[i].Name
		}
		s.SeparateRoutes = map[string]bool{prefix + "routes": true}
		s.Tenants = []Tenant{{Name: prefix + "t", AllowancePerS: 3}}
		d, err := New(s, 5)
		if err != nil {
			t.Fatal(err)
		}
		noise, _ := New(s, 6)
		var lines []string
		for i := range 400 {
			now := time.Duration(i) * 20 * ms
			in := []Event{Timer{Cookie: 1}}
			if i == 0 {
				in = append(in, EndpointUpdate{Scope: ListSaved, Entries: []Entry{
					{Endpoint: "a", Zone: prefix + "z", Kind: prefix + "routes", Destination: 1, CapacityHint: 9},
					{Endpoint: "b", Zone: prefix + "z", Kind: prefix + "routes", Destination: 1, CapacityHint: 9},
					{Endpoint: "c", Zone: prefix + "z", Kind: prefix + "shared", Destination: 2, CapacityHint: 9},
				}})
			}
			in = append(in, Submit{
				ID: MessageID(i), Class: s.Classes[i%5].Name, Tenant: prefix + "t", Key: OrderKey(i%3 + 1),
				TimeLeft: 6 * time.Second, Destination: DestinationID(1 + i%2),
			})
			if i > 3 {
				in = append(in, Answer{ID: MessageID(i - 4), Endpoint: "a", Outcome: Outcome(i % 6), Latency: 80 * ms})
			}
			if beside {
				noise.Handle(now, in[:1])
				noise.Handle(now, in)
			}
			lines = append(lines, fmt.Sprintf("%v", d.Handle(now, in)))
		}
		return lines
	}
	plain := record("", false)
	if !reflect.DeepEqual(plain, record("", true)) {
		t.Error("another instance changes the actions")
	}
	if !reflect.DeepEqual(plain, record("other-", false)) {
		t.Error("names change the actions")
	}
}

// No state grows with the number of messages served.
func TestMemoryIsBounded(t *testing.T) {
	r := newHarness(t, testSettings())
	for range 5000 {
		r.submit("ordered", 1, OrderKey(r.next+1))
		for _, s := range r.sends {
			r.answer(s, OK, 0)
		}
		r.sends = nil
		for _, s := range r.pass(20 * ms) {
			r.answer(s, OK, 0)
		}
		r.sends = nil
	}
	r.pass(25 * time.Second)
	if n := len(r.d.messages) + len(r.d.keyQueues) + len(r.d.destinations[1].held); n > 0 {
		t.Errorf("%d entries left after all messages ended", n)
	}
}

// Idle connections stay open whatever the size of the fleet, and close after use only if a connection table was full: a
// handshake for each message costs more than idle connections.
func TestIdleConnectionsAreKeptUntilATableIsFull(t *testing.T) {
	for _, forwarders := range []int{3, 60} {
		s := testSettings()
		s.Forwarders = forwarders
		r := newHarness(t, s)
		r.submit("safe", 1, 0)
		r.answer(r.last(), OK, 0)
		if len(r.otherActions) > 0 {
			t.Errorf("%d forwarders: %v after use", forwarders, r.otherActions)
		}
		r.submit("safe", 1, 0)
		r.pass(2 * time.Second)              // a large fleet is rate limited
		r.answer(r.last(), ConnectFailed, 0) // at once, and soon after a success
		r.pass(2 * time.Second)
		r.otherActions = nil
		r.answer(r.last(), OK, 0)
		if len(r.otherActions) != 1 || r.otherActions[0] != (CloseIdle{Endpoint: "a"}) {
			t.Errorf("%d forwarders: %v after use beside a full table", forwarders, r.otherActions)
		}
	}
}

// Forwarders that all saw the same outage stay within the slow-start budget together, however many they are: here
// against one destination that refuses connections for 12 s and then returns cold. A tenth is allowed for chance. The
// parts of two forwarders add up to 1.27, since with uneven traffic a busy one would get too little from half.
func TestSlowStartBudgetOfFleets(t *testing.T) {
	for _, n := range []int{2, 50, 400} {
		const rate, load, outage = 60.0, 0.6, 12 * time.Second
		s := testSettings()
		s.Forwarders = n
		var harnesses []*harness
		for i := range n {
			harnessSeed = uint64(1000 + i)
			harnesses = append(harnesses, newHarness(t, s, Entry{Endpoint: "a", Destination: 1, CapacityHint: rate}))
		}
		var at []time.Duration
		harnessSeed = 42
		due, turn := 0.0, 0
		for now := time.Duration(0); now < outage+8*time.Second; now += 20 * ms {
			down := now > 2*time.Second && now < 2*time.Second+outage
			for due += load * rate * 0.02; due >= 1; due-- {
				turn++
				harnesses[turn*7919%n].submit("keyed", 1, 0)
			}
			for _, r := range harnesses {
				o := OK
				if down {
					o = ConnectFailed
				}
				if sent := r.settle(always(o)); now >= 2*time.Second+outage {
					for range sent {
						at = append(at, now)
					}
				}
				r.pass(20 * ms)
			}
		}
		slack := 1.1
		if n < largeFleetSize {
			slack = 1.3
		}
		if len(at) == 0 {
			t.Fatalf("%d forwarders: nothing sent after the recovery", n)
		}
		for i, from := range at {
			calls := 0
			for j := i; j < len(at) && at[j] < from+s.TipAfter; j++ {
				calls++
			}
			back := (from + s.TipAfter - 2*time.Second - outage).Seconds()
			share := min(1, s.ColdFrom+(1-s.ColdFrom)*back/s.WarmWithin.Seconds())
			if most := slack * s.OverloadFactor * share * rate * s.TipAfter.Seconds(); share < 1 && float64(calls) > most {
				t.Fatalf("%d forwarders: %d calls in the interval from %.2f s after the recovery, budget %.1f", n, calls, back, most)
			}
		}
	}
}

// A Retry-After ends for all forwarders at the same time: those that saw an outage must not all call at that moment.
func TestLargeFleetSpreadsCallsAfterRetryAfter(t *testing.T) {
	s := testSettings()
	s.Forwarders = 200
	at := map[time.Duration]int{}
	for i := range 200 {
		harnessSeed = uint64(i)
		r := newHarness(t, s)
		r.submit("keyed", 1, 0)
		r.answer(r.last(), Refused, 10*time.Second)
		r.pass(10 * time.Second)
		before := r.now
		if len(r.sends) > 1 {
			t.Fatal("sent before the Retry-After expired")
		}
		for len(r.sends) < 2 && r.now < before+8*time.Second {
			r.pass(20 * ms)
		}
		at[(r.now-before)/(500*ms)]++
	}
	harnessSeed = 42
	for span, n := range at {
		if n > 60 && span < 16 {
			t.Errorf("%d of 200 forwarders called in the half second from %v after the Retry-After", n, span*500*ms)
		}
	}
}

// Forwarders without calls out must not all choose the endpoint that is listed first.
func TestForwardersSpreadOverEndpoints(t *testing.T) {
	first := 0
	for i := range 100 {
		harnessSeed = uint64(i)
		r := newHarness(t, testSettings(), Entry{Endpoint: "a", Destination: 1, CapacityHint: 50},
			Entry{Endpoint: "b", Destination: 1, CapacityHint: 50})
		r.submit("safe", 1, 0)
		if r.last().Endpoint == "a" {
			first++
		}
	}
	harnessSeed = 42
	if first < 25 || first > 75 {
		t.Errorf("%d of 100 forwarders chose the first endpoint", first)
	}
}
