package mulleinbeam

import (
	"testing"
	"time"
)

func sharedSettings(batch int) Settings {
	s := testSettings()
	s.BatchByKind = map[string]int{"shared": batch}
	return s
}

// together submits messages of one class in one round and returns the sends.
func (r *harness) together(class string, n int) []Send {
	var in []Event
	for range n {
		r.next++
		for _, c := range r.d.cfg.Classes {
			if c.Name == class {
				in = append(in, Submit{ID: r.next, Class: class, Destination: 1, TimeLeft: c.DeliveryTimeout})
			}
		}
	}
	return r.do(in...)
}

// answerAll answers sends in one round, as the end of a shared call does.
func (r *harness) answerAll(sends []Send, o Outcome, wait time.Duration) []Send {
	var in []Event
	for _, s := range sends {
		in = append(in, Answer{
			ID: s.ID, Attempt: r.sent[s.ID] - 1, Endpoint: s.Endpoint, Outcome: o,
			Latency: 50 * ms, RetryAfter: wait, Settled: o == OK,
		})
	}
	return r.do(in...)
}

// Messages for one endpoint share calls: more of them than there are slots are sent in one round, in full calls. Slots,
// call limits and rate limits count calls, not messages.
func TestMoreMessagesThanSlotsShareCalls(t *testing.T) {
	s := sharedSettings(10)
	s.Slots = 4
	r := newHarness(t, s)
	if sends := r.together("safe", 10); len(sends) != 10 {
		t.Fatalf("%d of 10 messages sent in one round with 4 slots", len(sends))
	}
	circ := r.d.destinations[1].circuits[0]
	if r.d.slotsUsed != 1 || len(circ.inflight) != 1 || r.d.destinations[1].inflight != 1 {
		t.Errorf("one call of ten counts as %d slots, %d calls", r.d.slotsUsed, len(circ.inflight))
	}
	if len(circ.recentCalls) != 1 || circ.recentCalls[0].weight <= 1 || circ.recentCalls[0].weight >= 10 {
		t.Errorf("slow-start budget counts %v", circ.recentCalls)
	}
}

// A kind whose batch limit is one, missing or unusable sends each message in a call of its own.
func TestKindsThatShareNoCalls(t *testing.T) {
	for _, batch := range []int{1, 0, -3} {
		s := sharedSettings(batch)
		r := newHarness(t, s)
		sends := r.together("safe", 10)
		if len(sends) != r.d.slotsUsed || len(sends) < 1 || len(sends) > 6 {
			t.Errorf("limit %d: %d sends in %d slots", batch, len(sends), r.d.slotsUsed)
		}
	}
}

// A call has one outcome and counts once, and each of its messages is retried as its own class allows.
func TestSharedCallHasOneOutcome(t *testing.T) {
	r := newHarness(t, sharedSettings(20))
	first := r.together("safe", 6)
	r.answerAll(first, OK, 0)
	circ := r.d.destinations[1].circuits[0]
	if len(circ.window) != 1 {
		t.Fatalf("%d outcomes counted for one call", len(circ.window))
	}
	var in []Event
	for i, class := range []string{"safe", "keyed", "unsafe"} {
		in = append(in, Submit{ID: MessageID(100 + i), Class: class, Destination: 1, TimeLeft: 6 * time.Second})
	}
	mixed := r.do(in...)
	if len(mixed) != 3 || r.d.slotsUsed != 1 {
		t.Fatalf("%d sends in %d slots", len(mixed), r.d.slotsUsed)
	}
	r.answerAll(mixed, Reset, 0)
	if circ.consecFailures != 1 || circ.state != closed {
		t.Errorf("one failed call counts as %d, breaker %s", circ.consecFailures, stateNames[circ.state])
	}
	r.pass(time.Second)
	if r.sent[100] != 2 || r.sent[101] != 2 || r.sent[102] != 1 || r.ended(102) != "fail" {
		t.Errorf("tries %d, %d, %d; unsafe one ended %q", r.sent[100], r.sent[101], r.sent[102], r.ended(102))
	}
	if r.d.slotsUsed != 1 {
		t.Errorf("the repeats take %d slots", r.d.slotsUsed)
	}
}

// With answers of a shared call out of order, duplicated or delayed, its slot is free once all have arrived.
func TestAnswersOfASharedCallOutOfOrder(t *testing.T) {
	r := newHarness(t, sharedSettings(20))
	sends := r.together("keyed", 4)
	r.answer(sends[2], TimedOut, 0)
	r.answer(sends[2], TimedOut, 0)
	r.answer(sends[0], OK, 0)
	r.answer(sends[0], OK, 0)
	r.answer(sends[1], OK, 0)
	if r.d.slotsUsed != 1 {
		t.Fatalf("%d slots with an answer missing", r.d.slotsUsed)
	}
	r.now += time.Second
	r.answer(sends[3], OK, 0)
	r.pass(time.Second)
	if r.sent[sends[2].ID] != 2 || len(r.d.messages) != 1 {
		t.Errorf("the lost message was sent %d times, %d messages known", r.sent[sends[2].ID], len(r.d.messages))
	}
	r.answer(r.last(), OK, 0)
	if r.d.slotsUsed != 0 || len(r.d.messages) != 0 || r.d.heldCount != 0 {
		t.Errorf("left over: %d slots, %d messages", r.d.slotsUsed, len(r.d.messages))
	}
}

// Messages of one call are cut at their own deadlines, and a Retry-After with any of them applies.
func TestSharedCallWithDifferentDeadlines(t *testing.T) {
	r := newHarness(t, sharedSettings(20))
	sends := r.do(Submit{ID: 1, Class: "safe", Destination: 1, TimeLeft: 700 * ms},
		Submit{ID: 2, Class: "unsafe", Destination: 1, TimeLeft: 20 * time.Second},
		Submit{ID: 3, Class: "safe", Destination: 1, TimeLeft: 6 * time.Second})
	if len(sends) != 3 {
		t.Fatalf("%d sent", len(sends))
	}
	for _, s := range sends {
		if most := r.now + map[MessageID]time.Duration{1: 700 * ms, 2: 20 * time.Second, 3: 6 * time.Second}[s.ID]; s.CutAt > most {
			t.Errorf("message %d is cut at %v, its deadline is %v", s.ID, s.CutAt-r.now, most-r.now)
		}
	}
	r.do(Answer{ID: 3, Endpoint: "a", Outcome: Refused, Latency: ms}, Answer{ID: 2, Endpoint: "a", Outcome: Refused, Latency: ms, RetryAfter: 2 * time.Second})
	if more := r.pass(1990 * ms); len(more) > 0 {
		t.Errorf("sent before the Retry-After of the second answer expired: %v", more)
	}
}

// At a circuit with recent refusals, messages wait for others as long as that costs no worth, and no longer.
func TestMessagesWaitForBatchAtLimitedCircuit(t *testing.T) {
	r := newHarness(t, sharedSettings(4))
	r.answerAll(r.together("keyed", 1), OK, 0)
	if len(r.together("keyed", 1)) != 1 {
		t.Fatal("waited for a batch without a refusal")
	}
	r.answer(r.last(), Refused, 0)
	r.settle(always(OK))
	r.pass(1500 * ms) // its repeat
	r.settle(always(OK))
	if n := len(r.together("keyed", 1)); n != 0 {
		t.Fatal("sent alone at a limited circuit")
	}
	if n := len(r.together("keyed", 3)); n != 4 {
		t.Errorf("a full call did not go at once: %d sent", n)
	}
	r.settle(always(OK))
	r.together("keyed", 1)
	if n := len(r.pass(2 * time.Second)); n != 1 {
		t.Errorf("%d sent within the target", n)
	}
}

// While another endpoint serves, a message is not retried at the endpoint that failed it, nor are others of its class
// sent there for some time: successes of other classes hide that one class fails there.
func TestClassThatFailsAtOneEndpoint(t *testing.T) {
	r := newHarness(t, testSettings(),
		Entry{Endpoint: "a", Destination: 1, CapacityHint: 50}, Entry{Endpoint: "b", Destination: 1, CapacityHint: 50})
	lost := 0
	for i := range 60 {
		class := []string{"safe", "keyed"}[i%2]
		r.submit(class, 1, 0)
		for len(r.sends) > 0 {
			s := r.sends[0]
			r.sends = r.sends[1:]
			o := OK
			if class == "keyed" && s.Endpoint == "a" {
				o = TimedOut
				lost++
			}
			r.answer(s, o, 0)
		}
		r.pass(100 * ms)
	}
	if lost > 3 {
		t.Errorf("%d calls of the class lost at the endpoint that fails it", lost)
	}
}

// A message that no allowed attempt can deliver any more is answered in the same round, not held until its deadline:
// one case for each reason. A refusal carries a RetryAfter within the client's bound.
func TestAbandonedMessagesAreAnsweredAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		left  time.Duration
		spoil func(r *harness, s Send)
		want  string
	}{
		"attempts used up": {"safe", 6 * time.Second, func(r *harness, s Send) {
			r.d.cfg.MaxAttempts = 1
			r.answer(s, Refused, 0)
		}, "refuse"},
		"unsafe message that may have run": {"unsafe", 20 * time.Second, func(r *harness, s Send) { r.answer(s, Reset, 0) }, "fail"},
		"Retry-After past the deadline": {"safe", 6 * time.Second, func(r *harness, s Send) {
			r.answer(s, Refused, 7*time.Second)
		}, "refuse"},
		"Retry-After past the key's TTL": {"keyed", 20 * time.Second, func(r *harness, s Send) {
			r.answer(s, Failed, 0)
			r.pass(time.Second)
			r.answer(r.last(), Refused, 6*time.Second)
		}, "refuse"},
		"key forgotten": {"keyed", 20 * time.Second, func(r *harness, s Send) {
			r.now += 5 * time.Second
			r.answer(s, TimedOut, 0)
		}, "fail"},
		"slow-start gap past the deadline": {"safe", 6 * time.Second, func(r *harness, s Send) {
			circ := r.d.destinations[1].circuits[0]
			circ.slowStart, circ.recoveredAt, circ.outageSince, circ.capacityHint = true, -1, r.now-20*time.Second, 0.1
			r.answer(s, Refused, 0)
		}, "refuse"},
	} {
		s := testSettings()
		s.SendRetryAfter, s.MaxRetryAfter = true, 2*time.Second
		r := newHarness(t, s)
		r.do(Submit{ID: 77, Class: c.class, Destination: 1, TimeLeft: c.left})
		c.spoil(r, r.last())
		if got := r.ended(77); got != c.want {
			t.Errorf("%s: %q at once, want %q", name, got, c.want)
		}
		for _, a := range r.otherActions {
			if f, ok := a.(Refuse); ok && (f.RetryAfter <= 0 || f.RetryAfter > s.MaxRetryAfter) {
				t.Errorf("%s: RetryAfter is %v", name, f.RetryAfter)
			}
		}
	}
}

// A keyed message that may have run is refused only if its RetryAfter ends within its window.
func TestRefusalsOfKeyedMessagesKeepToTheWindow(t *testing.T) {
	for _, c := range []struct {
		held time.Duration
		want string
	}{{time.Second, "refuse"}, {3500 * ms, "fail"}} {
		s := testSettings()
		s.SendRetryAfter, s.MaxRetryAfter, s.MaxAttempts = true, 2*time.Second, 1
		r := newHarness(t, s)
		id := r.submit("keyed", 1, 0)
		sent := r.last()
		r.d.destinations[1].circuits[0].waitUntil = r.now + 30*time.Second // for the longest possible RetryAfter
		r.now += c.held
		r.answer(sent, TimedOut, 0)
		if got := r.ended(id); got != c.want {
			t.Errorf("abandoned %v after its first attempt: %q, want %q", c.held, got, c.want)
		}
	}
}

// Without hint and report, a circuit's capacity follows its successes: a busy circuit is estimated higher than an idle
// one, over all forwarders, and not by a fixed number.
func TestUnknownCapacityFollowsSuccesses(t *testing.T) {
	s := testSettings()
	s.UseCapacityHints, s.Forwarders = false, 100
	r := newHarness(t, s, Entry{Endpoint: "a", Destination: 1, CapacityHint: 1}, Entry{Endpoint: "b", Destination: 2, CapacityHint: 1})
	for range 100 {
		r.submit("safe", 1, 0)
		r.settle(always(OK))
		r.pass(200 * ms)
	}
	busy, idle := r.d.capacity(r.d.destinations[1].circuits[0]), r.d.capacity(r.d.destinations[2].circuits[0])
	if busy < 300 || busy > 510 || idle > busy/10 {
		t.Errorf("5 successes a second of each of 100 forwarders: capacity %.0f a second, of the idle circuit %.1f", busy, idle)
	}
}

// If a third of the calls is lost at circuits that serve the rest, two failures in a row are common and no outage: slow
// start takes a longer run than with rare losses.
func TestStrayFailuresStartNoSlowStart(t *testing.T) {
	slowStarts := func(loseEvery int) (n int) {
		var entries []Entry
		for i := range 30 {
			entries = append(entries, Entry{Endpoint: EndpointID(rune('A' + i)), Destination: DestinationID(i + 1), CapacityHint: 50})
		}
		r := newHarness(t, testSettings(), entries...)
		for i := range 300 {
			r.submit("unsafe", DestinationID(1+i/10), 0)
			o := OK
			if i%loseEvery == loseEvery-1 {
				o = TimedOut
			}
			r.answer(r.last(), o, 0)
			r.pass(200 * ms)
		}
		r.d.others, r.d.afterIdle = lossTally{}, lossTally{}
		r.submit("unsafe", 1, 0)
		for range 2 {
			r.answer(r.last(), TimedOut, 0)
			r.submit("unsafe", 1, 0)
		}
		if r.d.destinations[1].circuits[0].slowStart {
			n++
		}
		return n
	}
	if slowStarts(1000) != 1 || slowStarts(3) != 0 {
		t.Errorf("two lost in a row start slow start: %d where losses are rare, %d where a third is lost", slowStarts(1000), slowStarts(3))
	}
}

// Refusals that the reported limit explains start a weak slow start, under which the forwarders' parts add up to the
// capacity itself; a failure, a longer run or an open breaker makes it strong, and later refusals do not weaken it
// again.
func TestWeakSlowStart(t *testing.T) {
	for name, escalate := range map[string]func(d *Decider, circ *circuit){
		"failures": func(d *Decider, circ *circuit) {
			d.onFailure(circ, circ.endpoints[0], Reset)
			d.onFailure(circ, circ.endpoints[0], Reset)
		},
		"a longer run":    func(d *Decider, circ *circuit) { d.onRefusal(circ, 0); d.onRefusal(circ, 0) },
		"a long wait":     func(d *Decider, circ *circuit) { d.onRefusal(circ, outageRetryAfter+time.Second) },
		"an open breaker": func(d *Decider, circ *circuit) { d.trip(circ, "test") },
	} {
		s := testSettings()
		s.Forwarders, s.ColdFrom = 50, 0.1
		r := newHarness(t, s)
		circ := r.d.destinations[1].circuits[0]
		circ.limitRemaining = 0.1
		r.d.onRefusal(circ, 0)
		r.d.now += quietPeriod + ms
		r.d.onRefusal(circ, 0)
		if !circ.slowStart || !circ.weakSlowStart {
			t.Fatalf("after two explained refusals: slow start %v, weak %v", circ.slowStart, circ.weakSlowStart)
		}
		weak := r.d.slowStartBudget(circ)
		escalate(r.d, circ)
		r.d.onRefusal(circ, 0)
		if strong := r.d.slowStartBudget(circ); circ.weakSlowStart || !circ.slowStart || strong > weak*0.21 {
			t.Errorf("%s: slow start %v, weak %v, budget %v after %v", name, circ.slowStart, circ.weakSlowStart, strong, weak)
		}
	}
}

// If refusals carry a Retry-After, that is the sign of a limit and the reported share excuses nothing: one refusal with
// the limit reported as unspent starts slow start, and refusals with it reported as spent do so as fast as others. If
// no refusal has carried one, there is only the reported share, which can be half a second old.
func TestReportedLimitsWithRetryAfter(t *testing.T) {
	for _, tells := range []bool{false, true} {
		for _, left := range []float64{0.1, 0.9} {
			r := newHarness(t, testSettings(), Entry{Endpoint: "a", Destination: 1, CapacityHint: 50},
				Entry{Endpoint: "z", Destination: 2, CapacityHint: 50})
			if tells {
				r.submit("safe", 2, 0)
				r.answer(r.last(), Refused, 100*ms)
			}
			circ := r.d.destinations[1].circuits[0]
			circ.limitRemaining = left
			r.d.onRefusal(circ, 0)
			if circ.slowStart != (tells && left > 0.5) {
				t.Errorf("Retry-After %v, %v left: slow start %v after one refusal", tells, left, circ.slowStart)
			}
			r.d.now += 300 * ms
			r.d.onRefusal(circ, 0)
			if circ.slowStart != (tells || left > 0.5) || circ.weakSlowStart {
				t.Errorf("Retry-After %v, %v left: slow start %v, weak %v after two", tells, left, circ.slowStart, circ.weakSlowStart)
			}
		}
	}
}

// A later message of a round joins the round's call to its endpoint if that has room, in one slot, as documented at
// Send. Here one message avoids b; the others fill calls to b first and are sent to a after that.
func TestLaterMessagesJoinTheCallOfTheRound(t *testing.T) {
	s := sharedSettings(3)
	s.Slots = 20
	r := newHarness(t, s, Entry{Endpoint: "a", Kind: "shared", Destination: 1, CapacityHint: 50},
		Entry{Endpoint: "b", Kind: "shared", Destination: 1, CapacityHint: 50})
	circ := r.d.destinations[1].circuits[0]
	r.d.endpoints["a"].rank, r.d.endpoints["b"].rank = 1, 2
	circ.callLimit = 10
	r.together("safe", 1) // sent to a
	circ.waitUntil = r.now + 100*ms
	r.do(Submit{ID: 50, Class: "safe", Destination: 1, TimeLeft: 6 * time.Second}) // the first among equals
	r.d.messages[50].avoidEndpoint = r.d.endpoints["b"]
	r.together("safe", 7)
	sends := r.pass(150 * ms)
	calls := map[EndpointID]int{}
	for _, m := range sends {
		calls[m.Endpoint]++
	}
	if len(sends) != 8 || calls["a"] != 2 || calls["b"] != 6 {
		t.Fatalf("%d sends, to a and b: %v", len(sends), calls)
	}
	if r.d.slotsUsed != 4 || len(circ.inflight) != 4 {
		t.Errorf("%d slots and %d calls counted, want the one out, one more at a and two at b", r.d.slotsUsed, len(circ.inflight))
	}
}

// If limits refuse a third of the calls and the rest is served, two refusals in a row are common: slow start takes a
// longer run than with rare refusals.
func TestStrayRefusalsStartNoSlowStart(t *testing.T) {
	for _, c := range []struct {
		every     int
		slowStart bool
	}{{1000, true}, {3, false}} {
		r := newHarness(t, testSettings())
		circ := r.d.destinations[1].circuits[0]
		circ.limitRemaining = -1 // nothing reported
		k := &call{endpoint: circ.endpoints[0], class: r.d.classes["safe"], size: 1}
		for i := range 90 {
			if r.d.now += 300 * ms; i%c.every == c.every-1 {
				r.d.onRefusal(circ, 0)
			} else {
				r.d.onSuccess(k, 50*ms)
			}
		}
		circ.slowStart = false
		r.d.onSuccess(k, 50*ms)
		for range 2 {
			r.d.now += 300 * ms
			r.d.onRefusal(circ, 0)
		}
		if circ.slowStart != c.slowStart {
			t.Errorf("one call in %d refused: slow start %v after two in a row", c.every, circ.slowStart)
		}
	}
}
