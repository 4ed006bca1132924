package mulleinbeam

import (
	"testing"
	"time"
)

func longRig(t *testing.T) *harness {
	t.Helper()
	s := testSettings()
	s.LongSlots = 2
	return newHarness(t, s)
}

// long submits a long message that has to be sent at once.
func (r *harness) long(class string, left time.Duration) Send {
	r.t.Helper()
	r.next++
	sends := r.do(Submit{ID: r.next, Class: class, Destination: 1, TimeLeft: left, Long: true})
	if len(sends) != 1 {
		r.t.Fatalf("%d sends of a long message", len(sends))
	}
	return sends[0]
}

// A transfer of five minutes does not mean a slow endpoint: it changes no latency factor, call limit or class mean,
// does not count as stalled, and is cut only at its own expiry.
func TestLongCallsDoNotAffectLatency(t *testing.T) {
	r := longRig(t)
	for range 5 {
		r.submit("unsafe", 1, 0)
		r.settle(always(OK))
	}
	circ := r.d.destinations[1].circuits[0]
	pace, limit, mean := circ.latencyFactor, circ.callLimit, r.d.classes["unsafe"].meanSec
	s := r.long("unsafe", 30*time.Minute)
	if got := s.CutAt - r.now; got != 30*time.Minute {
		t.Errorf("cut after %v", got)
	}
	r.pass(5 * time.Minute)
	r.do(Answer{ID: s.ID, Endpoint: s.Endpoint, Outcome: OK, Latency: 5 * time.Minute, Settled: true})
	if circ.latencyFactor != pace || circ.callLimit != limit || r.d.classes["unsafe"].meanSec != mean || circ.state != closed || len(r.logs) > 0 {
		t.Errorf("latency factor %v to %v, call limit %v to %v, mean %v to %v, %s, %v", pace, circ.latencyFactor, limit, circ.callLimit, mean,
			r.d.classes["unsafe"].meanSec, stateNames[circ.state], r.logs)
	}
}

// Long calls take none of the slots, and short calls take no long slots.
func TestLongCallsUseLongSlots(t *testing.T) {
	r := longRig(t)
	first := r.long("safe", time.Minute)
	r.long("safe", time.Minute)
	r.next++
	if sends := r.do(Submit{ID: r.next, Class: "safe", Destination: 1, TimeLeft: time.Minute, Long: true}); len(sends) != 0 {
		t.Error("a third long call in two slots")
	}
	third := r.next
	if r.d.slotsUsed != 0 || r.d.heldCount != 0 {
		t.Errorf("%d slots used, %d held", r.d.slotsUsed, r.d.heldCount)
	}
	r.submit("safe", 1, 0)
	if s := r.last(); s.ID == third || r.d.slotsUsed != 1 {
		t.Errorf("sent %d, %d slots used", s.ID, r.d.slotsUsed)
	}
	r.answer(first, OK, 0)
	if s := r.last(); s.ID != third {
		t.Errorf("sent %d when a long slot was free", s.ID)
	}
}

// A breaker counts long calls that their endpoint failed like any others, and ignores those that their client
// cancelled.
func TestBreakerAndLongCalls(t *testing.T) {
	r := longRig(t)
	circ := r.d.destinations[1].circuits[0]
	for range 30 {
		s := r.long("safe", time.Minute)
		r.do(Answer{ID: s.ID, Endpoint: s.Endpoint, Outcome: Cancelled, Latency: time.Second, BodyConsumed: true})
		r.pass(500 * ms)
	}
	if ep := r.d.endpoints["a"]; len(ep.classFailures) > 0 || ep.consecFailures > 0 {
		t.Errorf("cancelling clients count as failures of their endpoint: %v, run %d", ep.classFailures, ep.consecFailures)
	}
	if circ.state != closed || len(circ.window) != 0 {
		t.Errorf("%s after cancelled calls, window %v", stateNames[circ.state], circ.window)
	}
	for range 10 {
		if circ.state != closed {
			break
		}
		s := r.long("safe", time.Minute)
		r.do(Answer{ID: s.ID, Endpoint: s.Endpoint, Outcome: TimedOut, Latency: 20 * time.Second, BodyConsumed: true})
		r.pass(500 * ms)
	}
	if circ.state != open {
		t.Errorf("%s after timed-out calls", stateNames[circ.state])
	}
}

// While a breaker is not closed, one long message at a time is a trial; short trials continue beside it, and long ones
// alone can close the breaker.
func TestLongTrials(t *testing.T) {
	r := longRig(t)
	circ := r.d.destinations[1].circuits[0]
	r.d.trip(circ, "test")
	circ.slowStart = false
	a, b := r.next+1, r.next+2
	r.next = b
	r.do(Submit{ID: a, Class: "safe", Destination: 1, TimeLeft: time.Minute, Long: true},
		Submit{ID: b, Class: "safe", Destination: 1, TimeLeft: time.Minute, Long: true})
	for len(r.sends) == 0 {
		r.pass(100 * ms)
	}
	r.pass(time.Second)
	if len(r.sends) != 1 || circ.state != halfOpen {
		t.Fatalf("%d trials, %s", len(r.sends), stateNames[circ.state])
	}
	r.submit("safe", 1, 0)
	r.pass(time.Second)
	if len(r.sends) != 2 {
		t.Errorf("%d sends: a short trial waits for a long one", len(r.sends))
	}
	for range trialsToClose {
		circ.slowStart = false
		r.answer(r.last(), OK, 0)
		r.submit("safe", 1, 0)
		r.pass(time.Second)
	}
	if circ.state != closed {
		t.Errorf("%s after trials", stateNames[circ.state])
	}
}

// A long message whose body can't be sent again ends at once: refused if it can't have run, otherwise as its class
// demands. One that has not started waits no longer than its class's delivery timeout, and not at all after a Shutdown.
func TestConsumedLongMessagesEndAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		o     Outcome
		ends  string
	}{
		"unsafe, refused":  {"unsafe", Refused, "refuse"},
		"unsafe, reset":    {"unsafe", Reset, "fail"},
		"unsafe, its time": {"unsafe", Cancelled, "fail"},
		"safe, reset":      {"safe", Reset, "refuse"},
		"safe, no connect": {"safe", ConnectFailed, "refuse"},
	} {
		r := longRig(t)
		s := r.long(c.class, time.Minute)
		r.do(Answer{ID: s.ID, Endpoint: s.Endpoint, Outcome: c.o, Latency: time.Second, BodyConsumed: true})
		if got := r.ended(s.ID); got != c.ends {
			t.Errorf("%s: %q", name, got)
		}
	}
	r := longRig(t)
	r.do(Submit{ID: 90, Class: "unsafe", Destination: 1, TimeLeft: time.Minute, Long: true, BodyConsumed: true, Attempts: 1, MayHaveRun: &PriorAttempt{SentAgo: ms}})
	if got := r.ended(90); got != "fail" {
		t.Errorf("one sent by an earlier process: %q", got)
	}
	r.do(EndpointUpdate{Scope: ListWhole})
	r.do(Submit{ID: 91, Class: "safe", Destination: 1, TimeLeft: time.Hour, Long: true})
	if r.pass(5 * time.Second); r.ended(91) != "" {
		t.Error("abandoned before its class's delivery timeout")
	}
	if r.pass(time.Second); r.ended(91) != "refuse" {
		t.Error("held after its class's delivery timeout")
	}
	r.do(Submit{ID: 92, Class: "safe", Destination: 1, TimeLeft: time.Hour, Long: true})
	r.do(Shutdown{In: time.Second})
	if r.ended(92) != "refuse" {
		t.Error("held after a Shutdown")
	}
}

// A long message whose body can be sent again is retried within its class's rules.
func TestLongMessagesAreRetried(t *testing.T) {
	r := longRig(t)
	s := r.long("safe", time.Minute)
	r.do(Answer{ID: s.ID, Endpoint: s.Endpoint, Outcome: Failed, Latency: time.Second})
	if sends := r.pass(2 * time.Second); len(sends) != 1 || sends[0].CutAt > s.CutAt {
		t.Errorf("sent again %+v", sends)
	}
	u := r.long("unsafe", time.Minute)
	r.do(Answer{ID: u.ID, Endpoint: u.Endpoint, Outcome: Failed, Latency: time.Second})
	if r.ended(u.ID) != "fail" {
		t.Error("an unsafe one that may have run did not end")
	}
}
