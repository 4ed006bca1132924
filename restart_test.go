package mulleinbeam

import (
	"testing"
	"time"
)

// A message keeps its history over a restart: an unsafe one that may have run is abandoned, a keyed one is repeated
// only within its window, and attempts are counted on. Guards against a second effect after a restart.
func TestMessagesOfEarlierProcess(t *testing.T) {
	for name, c := range map[string]struct {
		class    string
		attempts int
		ran      *PriorAttempt
		ends     string
		sends    int
	}{
		"unsafe, never ran":            {"unsafe", 2, nil, "", 1},
		"unsafe, may have run":         {"unsafe", 1, &PriorAttempt{SentAgo: time.Second}, "fail", 0},
		"keyed, inside its window":     {"keyed", 1, &PriorAttempt{SentAgo: 2 * time.Second}, "", 1},
		"keyed, past its window":       {"keyed", 1, &PriorAttempt{SentAgo: 6 * time.Second}, "fail", 0},
		"zoned, another zone":          {"zoned", 1, &PriorAttempt{SentAgo: time.Second, Zone: "z"}, "", 0},
		"safe, may have run":           {"safe", 3, &PriorAttempt{SentAgo: time.Hour}, "", 1},
		"safe, all attempts used":      {"safe", 6, nil, "refuse", 0},
		"safe, its time up meanwhile":  {"late", 1, nil, "refuse", 0},
		"unsafe, never ran, time's up": {"unsafe late", 1, nil, "refuse", 0},
	} {
		left := 4 * time.Second
		switch c.class {
		case "late":
			c.class, left = "safe", -time.Second
		case "unsafe late":
			c.class, left = "unsafe", 0
		}
		r := newHarness(t, testSettings())
		sends := r.do(Submit{ID: 9, Class: c.class, Destination: 1, TimeLeft: left, Attempts: c.attempts, MayHaveRun: c.ran})
		if got := r.ended(9); got != c.ends || len(sends) != c.sends {
			t.Errorf("%s: ended %q with %d sends, want %q with %d", name, got, len(sends), c.ends, c.sends)
		}
		if c.sends == 0 {
			continue
		}
		r.sent[9] += c.attempts
		r.answer(sends[0], Refused, 0)
		if r.d.messages[9].call != nil {
			t.Errorf("%s: the answer to attempt %d was not known", name, c.attempts)
		}
	}
}

// After a Shutdown no call is sent that may still be out at the end, least of all an unsafe one, and no call lasts
// longer.
func TestShutdownLimitsCalls(t *testing.T) {
	r := newHarness(t, testSettings())
	r.do(Shutdown{In: time.Second})
	r.submit("unsafe", 1, 0) // expected to last 450 ms: four times that is too long
	if len(r.sends) != 0 {
		t.Error("an unsafe message was sent that may be out at the end")
	}
	r.submit("safe", 1, 0) // expected to last 150 ms
	if len(r.sends) != 1 || r.last().CutAt > r.now+time.Second {
		t.Errorf("sends %+v, want one cut off in time", r.sends)
	}
	r.pass(800 * ms)
	r.submit("safe", 1, 0)
	if len(r.sends) != 1 {
		t.Error("sent too late to be over")
	}
}

// Every refusal carries a RetryAfter for the client. If clients do not follow it, it does not narrow a keyed message's
// window.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	s := testSettings()
	s.MaxAttempts, s.MaxRetryAfter = 1, 2*time.Second
	r := newHarness(t, s)
	id := r.submit("keyed", 1, 0)
	r.d.destinations[1].circuits[0].waitUntil = r.now + 30*time.Second
	r.now += 3500 * ms
	r.answer(r.last(), TimedOut, 0)
	if got := r.ended(id); got != "refuse" {
		t.Fatalf("ended %q", got)
	}
	if f := r.otherActions[len(r.otherActions)-1].(Refuse); f.RetryAfter != s.MaxRetryAfter {
		t.Errorf("RetryAfter is %v", f.RetryAfter)
	}
}

// An endpoint that moves to another destination on the list gets that one's messages and none of the old one's.
func TestEndpointMovesToAnotherDestination(t *testing.T) {
	r := newHarness(t, testSettings())
	r.submit("safe", 1, 0)
	r.do(EndpointUpdate{Scope: ListChanges, Entries: []Entry{{Endpoint: "a", Destination: 2, CapacityHint: 50}}})
	r.answer(r.last(), OK, 0) // a call from before the move
	r.submit("safe", 1, 0)
	id := r.submit("safe", 2, 0)
	if len(r.sends) != 2 || r.last().ID != id {
		t.Errorf("sends %+v, want only message %d after the move", r.sends, id)
	}
}

// Messages that a restart finds accepted but untried are tried: shedding abandons later messages instead, and neither a
// breaker nor slow start after the restart ends them before their deadline. A Retry-After until then ends them at once.
func TestUntriedMessagesAreTriedAfterRestart(t *testing.T) {
	resumed := func(r *harness, n int) {
		for range n {
			r.next++
			r.do(Submit{ID: r.next, Class: "safe", Destination: 1, TimeLeft: 5 * time.Second, Resumed: true})
		}
	}
	full := func() *harness {
		s := testSettings()
		s.MostHeld, s.Slots = 10, 1
		return newHarness(t, s)
	}
	r := full()
	resumed(r, 9) // one is sent, eight are held
	for range 20 {
		r.submit("unsafe", 1, 0) // worth more
	}
	for id := MessageID(1); id <= 9; id++ {
		if got := r.ended(id); got != "" {
			t.Errorf("message %d of an earlier process ended %q without a call, by shedding", id, got)
		}
	}
	if got := r.ended(r.next); got != "refuse" {
		t.Errorf("the last of those that found no room ended %q", got)
	}

	r = full()
	resumed(r, 3)
	circ := r.d.destinations[1].circuits[0]
	circ.slowStart, circ.recoveredAt, circ.outageSince, circ.lastSend = true, -1, r.now-10*time.Second, r.now
	circ.state, circ.openUntil, circ.capacityHint = open, r.now+10*time.Second, 0.01
	r.answer(r.last(), Failed, 0)
	fresh := r.submit("safe", 1, 0)
	if got := r.ended(fresh); got != "refuse" {
		t.Errorf("one that no call can reach in time ended %q", got)
	}
	if a, b := r.ended(2), r.ended(3); a != "" || b != "" {
		t.Errorf("two of an earlier process ended %q and %q at an open breaker", a, b)
	}
	circ.waitUntil = r.now + 10*time.Second
	r.pass(50 * ms)
	if a, b := r.ended(2), r.ended(3); a != "refuse" || b != "refuse" {
		t.Errorf("two of an earlier process ended %q and %q at a Retry-After until their deadline", a, b)
	}
}
