package mulleinbeam

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The checker sees only what a forwarder sees: the events that it passed in and the actions that were returned. It
// shares no code with the decisions.

type checkedMessage struct {
	submit       Submit
	class        Class
	deadline     time.Duration
	ended        bool
	attempts     int
	pending      *Send
	sentAt       time.Duration
	call         *sharedCall
	mayHaveRun   bool
	ranAt        time.Duration
	ranZone      string
	endKnown     bool
	bodyConsumed bool // its body can't be sent again
}

// sharedCall is the messages sent to one endpoint in one round, up to the batch limit: one slot until all have an
// answer.
type sharedCall struct {
	round, left, size int
	outcome           *Outcome // the same for all its messages
}

type keyOrder struct {
	order    []*checkedMessage
	gapUntil time.Duration
	gapFor   *checkedMessage
}

type checker struct {
	settings     Settings
	msgs         map[MessageID]*checkedMessage
	keyOrders    map[OrderKey]*keyOrder
	entries      map[EndpointID]Entry
	noSendsFrom  map[EndpointID]time.Duration // no sends from here on
	waitUntil    map[string]time.Duration
	callsOut     int
	longCallsOut int
	round        int
	calls        map[EndpointID]*sharedCall // the latest to each
	violations   []string

	pauseStart, pauseEnd time.Duration // the latest pause of the process
}

func newChecker(s Settings) *checker {
	return &checker{
		settings: s, msgs: map[MessageID]*checkedMessage{}, keyOrders: map[OrderKey]*keyOrder{},
		entries: map[EndpointID]Entry{}, noSendsFrom: map[EndpointID]time.Duration{}, waitUntil: map[string]time.Duration{},
		calls: map[EndpointID]*sharedCall{},
	}
}

func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// scope is what a Retry-After applies to: a destination, or one endpoint with SeparateRoutes.
func (c *checker) scope(e Entry) string {
	if c.settings.SeparateRoutes[e.Kind] {
		return string(e.Endpoint)
	}
	return fmt.Sprint(e.Destination)
}

func neverRan(o Outcome) bool { return o == Refused || o == ConnectFailed || o == NotSent }

// event records an event. A Retry-After in newWaits came with the current batch: sends in reply to that are allowed.
func (c *checker) event(now time.Duration, e Event, newWaits map[string]time.Duration) {
	switch e := e.(type) {
	case Submit:
		m := &checkedMessage{submit: e, deadline: now + e.TimeLeft, class: Class{Effect: Unsafe}, bodyConsumed: e.BodyConsumed}
		for _, cl := range c.settings.Classes {
			if cl.Name == e.Class {
				m.class = cl
			}
		}
		c.msgs[e.ID] = m
		if m.class.InOrder && e.Key != 0 {
			if c.keyOrders[e.Key] == nil {
				c.keyOrders[e.Key] = &keyOrder{}
			}
			c.keyOrders[e.Key].order = append(c.keyOrders[e.Key].order, m)
		}
	case Answer:
		m := c.msgs[e.ID]
		if m == nil || m.pending == nil {
			return
		}
		m.pending = nil
		m.bodyConsumed = m.bodyConsumed || e.BodyConsumed
		if m.submit.Long {
			c.longCallsOut--
		} else if m.call.left--; m.call.left == 0 {
			c.callsOut--
		}
		if !neverRan(e.Outcome) && e.Outcome != OK && !m.mayHaveRun {
			m.mayHaveRun, m.ranAt, m.ranZone = true, m.sentAt, c.entries[e.Endpoint].Zone
		}
		if order := c.keyOrders[m.submit.Key]; order != nil && m.class.InOrder &&
			(e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Cancelled) {
			order.gapUntil, order.gapFor = now+c.settings.TurnGap, m
		}
		if e.Settled {
			m.ended, m.endKnown = true, true
		}
		if e.Outcome == Refused && e.RetryAfter > 0 {
			sc := c.scope(c.entries[e.Endpoint])
			newWaits[sc] = max(newWaits[sc], now+e.RetryAfter)
		}
	case MessageCancelled:
		if m := c.msgs[e.ID]; m != nil {
			m.ended, m.endKnown = true, true
		}
	case EndpointUpdate:
		if e.Scope == ListWhole {
			for id := range c.entries {
				if !slices.ContainsFunc(e.Entries, func(x Entry) bool { return x.Endpoint == id }) {
					c.ban(id, now)
				}
			}
		}
		for _, en := range e.Entries {
			c.entries[en.Endpoint] = en
			if en.Readiness == Serving {
				delete(c.noSendsFrom, en.Endpoint)
			} else {
				c.ban(en.Endpoint, now)
			}
		}
	}
}

func (c *checker) ban(id EndpointID, now time.Duration) {
	if _, ok := c.noSendsFrom[id]; !ok {
		c.noSendsFrom[id] = now + c.settings.DrainGrace
	}
}

func (c *checker) action(now time.Duration, a Action) {
	switch a := a.(type) {
	case Send:
		m := c.msgs[a.ID]
		en, known := c.entries[a.Endpoint]
		switch {
		case m == nil || !known:
			c.violation("send of unknown message or to unknown endpoint")
			return
		case m.ended:
			c.violation("lost: send of an ended message")
		case en.Destination != m.submit.Destination:
			c.violation("send to another destination")
		case m.pending != nil:
			c.violation("twice: two attempts out")
		case m.attempts >= c.settings.MaxAttempts:
			c.violation("attempt beyond the limit")
		}
		if m.bodyConsumed {
			c.violation("twice: send of a message whose body cannot be sent again")
		}
		call := c.calls[a.Endpoint]
		if m.submit.Long {
			if c.longCallsOut++; c.longCallsOut > c.settings.LongSlots {
				c.violation("long call beyond its slots")
			}
			call = &sharedCall{round: c.round}
		} else if call == nil || call.round != c.round || call.size >= max(1, c.settings.BatchByKind[en.Kind]) {
			if c.callsOut >= c.settings.Slots {
				c.violation("call beyond the slots")
			}
			call = &sharedCall{round: c.round}
			c.calls[a.Endpoint] = call
			c.callsOut++
		}
		call.left++
		call.size++
		if m.mayHaveRun && m.class.Effect == Unsafe {
			c.violation("twice: unsafe message sent again")
		}
		if m.mayHaveRun && m.class.Effect == Keyed &&
			(now > m.ranAt+m.class.KeyTTL || m.class.SameZoneOnly && en.Zone != m.ranZone) {
			c.violation("twice: keyed message sent outside its window or zone")
		}
		if at, ok := c.noSendsFrom[a.Endpoint]; ok && now > at {
			c.violation("drain: send to a draining or gone endpoint")
		}
		if now < c.waitUntil[c.scope(en)] {
			c.violation("wait: send before a Retry-After expired")
		}
		if order := c.keyOrders[m.submit.Key]; order != nil && m.class.InOrder {
			for _, o := range order.order {
				if o == m {
					break
				}
				if !o.ended || o.pending != nil {
					c.violation("order: send before an earlier message of the key")
				}
			}
			if now < order.gapUntil && order.gapFor != m {
				c.violation("order: send inside the turn gap")
			}
		}
		send := a
		m.pending, m.sentAt, m.call = &send, now, call
		m.attempts++
	case Refuse:
		m := c.msgs[a.ID]
		switch {
		case m == nil:
			c.violation("refusal of an unknown message")
			return
		case m.ended && !m.endKnown:
			c.violation("lost: two final answers")
		case m.ended:
			return
		case m.class.Effect == Unsafe && (m.mayHaveRun || m.pending != nil),
			m.class.Effect == Keyed && m.class.SameZoneOnly && (m.mayHaveRun || m.pending != nil):
			c.violation("twice: refusal of a message that may have run")
		}
		c.finalAnswer(now, m)
	case Fail:
		if m := c.msgs[a.ID]; m == nil || m.ended && !m.endKnown {
			c.violation("lost: failure of an unknown or ended message")
		} else if !m.ended {
			c.finalAnswer(now, m)
		}
	case Cancel:
		if m := c.msgs[a.ID]; !c.settings.MayCancel || m == nil || m.attempts <= a.Attempt {
			c.violation("cancel where not allowed or never sent")
		}
	case Probe:
		if !c.settings.MayProbe {
			c.violation("probe where not allowed")
		}
	}
}

func (c *checker) finalAnswer(now time.Duration, m *checkedMessage) {
	m.ended = true
	if now > m.deadline+c.settings.AnswerSlack && (now != c.pauseEnd || m.deadline < c.pauseStart) {
		c.violation("lost: answer after the deadline")
	}
}

func (c *checker) finish() {
	for id, m := range c.msgs {
		if !m.ended {
			c.violation("lost: message %d never answered", id)
		}
	}
}

// randomSettings draws settings: limits of one, no tenants, no hints, subscriptions, separate routes, ordered classes.
func randomSettings(r *rand.Rand) Settings {
	s := Settings{
		Forwarders: []int{1, 2, 3, 4, 60, 400}[r.IntN(6)], Slots: 1 + r.IntN(12), MostHeld: 1 + r.IntN(60), MaxAttempts: 1 + r.IntN(7),
		Decay: Decay(r.IntN(2)), OverShareWorth: 0.1, SeparateRoutes: map[string]bool{"k1": r.IntN(2) == 0},
		BatchByKind: map[string]int{"k0": []int{0, 1, 2, 5, 20}[r.IntN(5)]}, UseCapacityHints: r.IntN(2) == 0, RoughCapacityHints: r.IntN(2) == 0,
		MayProbe: r.IntN(2) == 0, MayCancel: r.IntN(3) > 0, SendRetryAfter: r.IntN(2) == 0,
		MaxRetryAfter: time.Second, MustSubscribe: r.IntN(2) == 0, SubscribeWithin: 10 * time.Second,
		KeepAlive: 15 * time.Second, AnswerSlack: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
		OverloadFactor: 2, TipAfter: 1500 * time.Millisecond, ColdFrom: 0.2, WarmWithin: 10 * time.Second,
		ZoneFee: map[string]float64{"z1": 0.05},
	}
	if r.IntN(2) == 0 {
		s.TurnGap = 300 * time.Millisecond
	}
	if r.IntN(2) == 0 {
		s.Tenants = []Tenant{{Name: "t0", AllowancePerS: 5}, {Name: "t1", AllowancePerS: 1}}
	}
	for i := range 4 {
		s.Classes = append(s.Classes, Class{
			Name: fmt.Sprint("c", i), Target: time.Duration(500+r.IntN(2000)) * time.Millisecond,
			DeliveryTimeout: time.Duration(3000+r.IntN(9000)) * time.Millisecond, Worth: 1 + 4*r.Float64(), LateWorth: r.Float64(),
			Effect: Effect(i % 3), SameZoneOnly: r.IntN(3) == 0, KeyTTL: time.Duration(1+r.IntN(8)) * time.Second,
			InOrder: r.IntN(2) == 0,
		})
	}
	return s
}

// runStream passes a random valid stream of events to a decider and checks every action; tamper may alter the actions.
func runStream(t *testing.T, s Settings, seed uint64, tamper func(now time.Duration, in []Event, out []Action) []Action) []string {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 7))
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := newChecker(s)
	var entries []Entry
	for i := range 8 {
		entries = append(entries, Entry{
			Endpoint: EndpointID(fmt.Sprint("e", i)), Zone: fmt.Sprint("z", i%2), Kind: fmt.Sprint("k", i/2%2),
			Destination: DestinationID(i / 2), CapacityHint: []float64{3, 3, 3, 0, -1, math.NaN(), math.Inf(1), 200}[r.IntN(8)],
		})
	}
	type wake struct {
		at     time.Duration
		cookie uint64
	}
	type answerDue struct {
		at time.Duration
		a  Answer
	}
	var wakes []wake
	var due []answerDue
	var next MessageID = 1
	failureMode := map[DestinationID]int{}
	probes := []EndpointID{}
	for now := time.Duration(0); now < 45*time.Second; now += 5 * time.Millisecond {
		if now > 0 && now < 25*time.Second && r.IntN(3000) == 0 {
			c.pauseStart = now - 200*time.Millisecond             // what was due from here on could not be answered in time
			now += time.Duration(r.IntN(2000)) * time.Millisecond // all that arrived meanwhile comes at once
			c.pauseEnd = now
		}
		var in []Event
		if now == 0 {
			in = append(in, EndpointUpdate{Scope: ListSaved, Entries: slices.Clone(entries)})
		}
		if r.IntN(2000) == 0 {
			failureMode[DestinationID(r.IntN(4))] = r.IntN(5)
		}
		if now < 25*time.Second {
			switch i := r.IntN(len(entries)); r.IntN(600) {
			case 3: // most endpoints are replaced in one change
				var change []Entry
				for j := range entries {
					if r.IntN(4) > 0 {
						gone, replacement := entries[j], entries[j]
						gone.Readiness, replacement.Readiness = Readiness(1+r.IntN(2)), Serving
						replacement.Endpoint = EndpointID(fmt.Sprint("n", now, "-", j))
						change = append(change, gone, replacement)
						entries[j] = replacement
					}
				}
				in = append(in, EndpointUpdate{Scope: ListChanges, Entries: change})
			case 0:
				entries[i].Readiness = Readiness(r.IntN(3))
				in = append(in, EndpointUpdate{Scope: ListChanges, Entries: []Entry{entries[i]}})
			case 1:
				cut := r.IntN(len(entries))
				in = append(in, EndpointUpdate{Scope: ListWhole, Entries: slices.Clone(entries[cut:])})
			case 2:
				entries[i].Readiness = Serving
				in = append(in, EndpointUpdate{Scope: ListChanges, Entries: []Entry{entries[i]}}, EndpointUpdate{Scope: ListError})
			}
		}
		if now < 25*time.Second && r.IntN(12) == 0 {
			cl := s.Classes[r.IntN(len(s.Classes))]
			left := cl.DeliveryTimeout
			if r.IntN(5) == 0 {
				left = time.Duration(r.Int64N(int64(cl.DeliveryTimeout)))
			}
			name := cl.Name
			if r.IntN(50) == 0 {
				name = "unheard-of"
			}
			submit := Submit{
				ID: next, Class: name, Tenant: fmt.Sprint("t", r.IntN(3)), Key: OrderKey(r.IntN(4)),
				TimeLeft: left, Destination: DestinationID(r.IntN(5)),
			}
			if s.LongSlots > 0 && r.IntN(3) == 0 {
				submit.Long, submit.TimeLeft = true, time.Duration(1+r.IntN(15))*time.Second
				submit.BodyConsumed = r.IntN(30) == 0
			}
			in = append(in, submit)
			next++
		}
		if next > 1 && r.IntN(300) == 0 {
			in = append(in, MessageCancelled{ID: 1 + MessageID(r.Int64N(int64(next)))})
		}
		if r.IntN(500) == 0 {
			in = append(in, Timer{Cookie: 9999}, Answer{ID: next + 5, Endpoint: "e0", Outcome: OK}, Probed{Endpoint: "gone"})
		}
		for _, p := range probes {
			in = append(in, Probed{Endpoint: p, Outcome: Outcome(r.IntN(6)), Latency: time.Millisecond})
		}
		probes = nil
		wakes = slices.DeleteFunc(wakes, func(w wake) bool {
			if now >= w.at {
				in = append(in, Timer{Cookie: w.cookie})
			}
			return now >= w.at
		})
		due = slices.DeleteFunc(due, func(p answerDue) bool {
			if now < p.at {
				return false
			}
			m := c.msgs[p.a.ID]
			p.a.Settled = p.a.Outcome == OK || m.ended
			in = append(in, p.a)
			if tamper == nil && r.IntN(40) == 0 { // duplicate; a build that sends after each answer would never end
				in = append(in, p.a)
			}
			return true
		})
		if len(in) == 0 {
			continue
		}
		newWaits := map[string]time.Duration{}
		for _, e := range in {
			c.event(now, e, newWaits)
		}
		out := d.Handle(now, in)
		if tamper != nil {
			out = tamper(now, in, out)
		}
		c.round++
		for _, a := range out {
			c.action(now, a)
			switch a := a.(type) {
			case SetTimer:
				wakes = append(wakes, wake{now + a.After, a.Cookie})
			case Probe:
				probes = append(probes, a.Endpoint)
			case Send:
				m := c.msgs[a.ID]
				if m == nil {
					continue
				}
				o, took := OK, time.Duration(5+r.IntN(400))*time.Millisecond
				if k := failureMode[m.submit.Destination]; k > 0 && r.IntN(10) < 8 {
					o = []Outcome{OK, Failed, Refused, ConnectFailed, Reset}[k]
				} else if r.IntN(15) == 0 {
					o = Outcome(r.IntN(6))
				}
				if m.call.outcome == nil {
					m.call.outcome = &o
				}
				if o = *m.call.outcome; o == TimedOut || r.IntN(40) == 0 {
					took = time.Hour
				}
				ans := Answer{ID: a.ID, Attempt: m.attempts - 1, Endpoint: a.Endpoint, Outcome: o}
				if m.submit.Long {
					took *= 10
					if ans.BodyConsumed = r.IntN(3) == 0; ans.BodyConsumed && r.IntN(2) == 0 {
						ans.Outcome = Cancelled // its client went away
					}
				}
				if o == Refused && r.IntN(2) == 0 {
					ans.RetryAfter = time.Duration(r.IntN(1500)) * time.Millisecond
				}
				end := m.deadline
				if a.CutAt > 0 {
					end = min(end, a.CutAt)
				}
				if now+took >= end {
					ans.Outcome, ans.RetryAfter, took = TimedOut, 0, max(0, end-now)
				}
				ans.Latency = took
				due = append(due, answerDue{now + took, ans})
			case Cancel:
				for i := range due {
					if due[i].a.ID == a.ID {
						due[i].at, due[i].a.Outcome, due[i].a.RetryAfter = now+10*time.Millisecond, Cancelled, 0
					}
				}
			}
		}
		if tamper == nil && d.longSlotsUsed != c.longCallsOut {
			c.violation("long slots: %d counted, %d calls out", d.longSlotsUsed, c.longCallsOut)
		}
		if tamper == nil && d.slotsUsed != c.callsOut {
			c.violation("slots: %d counted, %d calls out", d.slotsUsed, c.callsOut)
		}
		for sc, until := range newWaits {
			c.waitUntil[sc] = max(c.waitUntil[sc], until)
		}
	}
	c.finish()
	return c.violations
}

func TestRandomStreamsBreakNoRule(t *testing.T) {
	for seed := range uint64(120) {
		s := randomSettings(rand.New(rand.NewPCG(seed, 1)))
		if broken := runStream(t, s, seed, nil); len(broken) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(broken), broken[0])
		}
	}
}

// Long messages obey the same rules, in slots of their own.
func TestRandomStreamsWithLongMessages(t *testing.T) {
	for seed := range uint64(120) {
		s := randomSettings(rand.New(rand.NewPCG(seed, 2)))
		s.LongSlots = 1 + int(seed%4)
		if broken := runStream(t, s, seed, nil); len(broken) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(broken), broken[0])
		}
	}
}

// The checker has to catch builds that break each rule on purpose.
func TestCheckerCatchesBrokenBuilds(t *testing.T) {
	type spoil = func(now time.Duration, in []Event, out []Action) []Action
	lastEndpoint := map[MessageID]EndpointID{}
	resendAfter := func(pick func(Answer) bool) spoil {
		return func(_ time.Duration, in []Event, out []Action) []Action {
			for _, e := range in {
				if a, ok := e.(Answer); ok && pick(a) {
					out = append([]Action{Send{ID: a.ID, Endpoint: a.Endpoint}}, out...)
				}
			}
			return out
		}
	}
	for name, sp := range map[string]spoil{
		"drops failures and refusals": func(_ time.Duration, _ []Event, out []Action) []Action {
			return slices.DeleteFunc(out, func(a Action) bool {
				switch a.(type) {
				case Fail, Refuse:
					return true
				}
				return false
			})
		},
		"repeats after a time-out": resendAfter(func(a Answer) bool { return a.Outcome == TimedOut }),
		"sends after success":      resendAfter(func(a Answer) bool { return a.Outcome == OK }),
		"answers twice": func(_ time.Duration, _ []Event, out []Action) []Action {
			for _, a := range slices.Clone(out) {
				if f, ok := a.(Fail); ok {
					out = append(out, f)
				}
			}
			return out
		},
		"refuses in place of failing": func(_ time.Duration, _ []Event, out []Action) []Action {
			for i, a := range out {
				if f, ok := a.(Fail); ok {
					out[i] = Refuse{ID: f.ID}
				}
			}
			return out
		},
		"sends each message twice": func(_ time.Duration, _ []Event, out []Action) []Action {
			for _, a := range slices.Clone(out) {
				if s, ok := a.(Send); ok {
					lastEndpoint[s.ID] = s.Endpoint
					out = append(out, s)
				}
			}
			return out
		},
	} {
		found := 0
		for seed := range uint64(6) {
			s := randomSettings(rand.New(rand.NewPCG(seed, 1)))
			found += len(runStream(t, s, seed, sp))
		}
		if found == 0 {
			t.Errorf("a build that %s passes the checker", name)
		}
	}
}

func FuzzRandomStreams(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if broken := runStream(t, randomSettings(rand.New(rand.NewPCG(seed, 1))), seed, nil); len(broken) > 0 {
			t.Fatalf("%d violations, first: %s", len(broken), broken[0])
		}
	})
}

// Unusual fleet sizes, and costs that are missing, zero or absurd, break no rule: every message is answered in time,
// nothing is divided by zero, and no wait is longer than a message's lifetime.
func TestOddFleetsBreakNoRule(t *testing.T) {
	for _, forwarders := range []int{1, largeFleetSize, 300, 100_000} {
		for name, odd := range map[string]func(*Settings){
			"as usual": func(*Settings) {},
			"no costs": func(s *Settings) { s.ZoneFee = nil },
			"no worth": func(s *Settings) {
				for i := range s.Classes {
					s.Classes[i].Worth, s.Classes[i].LateWorth = 0, 0
				}
			},
			"absurd": func(s *Settings) {
				s.ZoneFee = map[string]float64{"z0": math.MaxFloat64, "z1": math.MaxFloat64}
				for i := range s.Classes {
					s.Classes[i].Worth = math.MaxFloat64
				}
			},
		} {
			for seed := range uint64(4) {
				s := randomSettings(rand.New(rand.NewPCG(seed, 3)))
				s.Forwarders = forwarders
				odd(&s)
				if broken := runStream(t, s, seed, nil); len(broken) > 0 {
					t.Errorf("%d forwarders, %s, seed %d: %d violations, first: %s", forwarders, name, seed, len(broken), broken[0])
				}
			}
		}
	}
}
