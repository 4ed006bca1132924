package mulleinbeam

// All decisions of mulleinbeam. The interface (settings, events, actions) is in mulleinbeam.go.
// Kept from the source: a count-based breaker, a bulkhead cap and jittered, growing retry waits.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Figures. Shares are of 1; "ours" marks starting values, "tuned" and "worse" name measured choices.
const (
	windowSize   = 20    // outcomes that a breaker remembers (source)
	windowLeast  = 10    // outcomes before the failure rate is judged (source)
	tripShare    = 0.5   // share of failures that opens a breaker (source)
	runTrip      = 2     // further failures in a row that open it: a small slice fills the window slowly (ours)
	runLeast     = 2     // failures or refusals in a row that raise the guard, at least (one: worse at size)
	flukeShare   = 0.02  // chance of a run under which it is no chance (ours)
	strayPrior   = 20.0  // calls, one of them lost, that a courier starts with in that reckoning (ours)
	idleHitsMin  = 3     // calls lost after a pause before connections are closed for their age (tuned: hb)
	idleRatio    = 3.0   // their share of losses over that of all other calls, at least (ours)
	tallyMost    = 60.0  // calls after which a tally is halved: old evidence fades (ours)
	keptMost     = 200.0 // calls after which a tally of resets is halved (ours)
	freshLeast   = 50.0  // calls that a share of resets is taken of, at least (ours)
	freshGain    = 0.03  // share of resets saved for which an unsafe message pays a handshake (ours)
	idleMargin   = 0.8   // of the shortest pause that met a dead connection: the bound (ours)
	tightRun     = 2     // failed connects in a row that may still be a full connection table (ours)
	manyCouriers = 8     // from here on what a courier does is counted as what all do (ours)
	trialsClose  = 3     // successful trials that close a half-open breaker (source: 5)
	openGrow     = 1.5   // growth of the open period from failed trial to failed trial (ours)
	capStart     = 0.25  // of the slots: where a cap starts and falls back to (0.34: worse on hb)
	capTop       = 0.75  // of the slots: a cap stays under this (design)
	capStep      = 0.5   // what a success within the aim adds to a cap (ours)
	retryGrow    = 2.0   // growth of the retry wait from try to try (source)
	jitterShare  = 0.5   // waits vary by up to this share (source)
	paceCut      = 0.75  // the paced rate after a refusal at the limit, as a share (ours)
	paceGrow     = 0.02  // of the base rate: what each success adds to the paced rate (ours)
	paceTop      = 1.6   // of the base rate: the paced rate's top; hints may be half too low (ours)
	paceFloor    = 0.1   // of the base rate: the paced rate's bottom (ours)
	ownCut       = 0.5   // among many, of what a courier is itself asked for: the same four (0.75: worse)
	ownGrow      = 0.1   // (tuned, from 0.05)
	ownTop       = 1.5   // (tuned, from 2)
	ownLeast     = 0.25  // of an even part of the rate: what a courier is taken to be asked for (ours)
	ownDepth     = 2.0   // calls that may be sent in one go, at least (ours)
	fullRuns     = 3     // refusals in a row that raise the guard among many couriers (5: no change)
	debtMost     = 4     // calls by which a run of refusals without a wait empties the bucket further (ours)
	leftHigh     = 0.5   // reported share of the limit left from which a refusal is not the limit's doing (ours)
	x0Low        = 0.1   // reported share of the limit left at which the bucket is emptied (ours)
	leastRate    = 0.5   // calls a second that a lane is taken for where nothing tells, at least (ours)
	servedPrior  = 0.5   // calls' weight of the mean lane in a lane's own rate (ours)
	roughMargin  = 0.8   // of a rough hint, which may be half too high, counts as capacity (ours)
	guardMargin  = 0.9   // of the fail-back budget is used at most (tuned: riga, hb)
	usualLoad    = 0.7   // of a destination's rate is called for in the mean (ours)
	evenMost     = 2.0   // even parts: the most that a courier takes for its share of the traffic (ours)
	unevenness   = 1.27  // of a few couriers' traffic: more than an even split of the fail-back budget (ours)
	minBudget    = 0.01  // calls a span: the smallest part (ours)
	timeoutScale = 8.0   // a repeatable call's time-out over its expected latency (ours)
	silenceScale = 6.0   // silence over expected latency before a lane counts as stalled (ours)
	silentCalls  = 2     // such calls that open a breaker; one twice as late counts double (ours)
	latencyGain  = 0.2   // weight of a new latency in a lane's pace (ours)
	classGain    = 0.05  // weight of a new latency in a class's mean (ours)
	gatherShare  = 0.4   // of its aim: how long a message waits for others at a limited lane (ours)
	growthFirst  = 0.25  // of a call's time: what each further message adds, before any is seen (ours)
	firstGuess   = 0.15  // of a class's aim: its latency before any is seen (ours)
	paceLeast    = 0.05  // bounds of a lane's pace
	paceMost     = 200.0
	urgencyShare = 0.8  // how much of what a wait would cost counts in the ranking (tuned: iecd0a0, from 0.6)
	unsafeTrial  = 0.02 // weight of unsafe messages in the choice of trials (ours)
	holdShare    = 0.92 // of the hold: above this the least worth is given up (ours)
	ttlMargin    = 0.9  // of a key's life in which repeats are sent (ours)
	closeRoom    = 2.0  // a call's usual time that must be left before this life ends (ours)
	closeUnsafe  = 2.0  // times as much for an unsafe message (ours)

	openFirst     = 1000 * time.Millisecond // first open period (tuned: riga, hb, from 1.5 s)
	openMost      = 3 * time.Second         // longest open period (tuned; 6 s was worse)
	retryFirst    = 100 * time.Millisecond  // first retry wait (source)
	retryFull     = 400 * time.Millisecond  // after a refusal: limits count in spans (ours)
	retryMost     = 3 * time.Second         // longest retry wait (ours)
	timeoutLeast  = 2 * time.Second         // shortest time-out; stalls pass (1.2 and 3 s: worse)
	silenceLeast  = 1500 * time.Millisecond // shortest silence taken for a stall (1 s: no change)
	unsafeStuck   = 4 * time.Second         // an unsafe call this old may be called off for its slot (ours)
	briefFor      = 800 * time.Millisecond  // no outage is over so soon after its first sign (ours)
	quietFor      = time.Second             // without success for this, refusals are no mere limit (ours)
	longWait      = 2500 * time.Millisecond // a told wait above this tells of an outage, not of a limit (ours)
	paceHold      = 500 * time.Millisecond  // at most one cut of the paced rate in this time (ours)
	paceDepth     = 600 * time.Millisecond  // of the paced rate: what may be sent in one go (ours)
	lookAhead     = 2 * time.Second         // the wait whose cost the ranking looks at (1 s was worse)
	downDelay     = 3 * time.Second         // delay assumed for a lane that is not taking calls (ours)
	heartbeat     = 20 * time.Millisecond   // how often held messages are looked at (ours)
	idleBeat      = 100 * time.Millisecond  // how often calls out are looked at (ours)
	answerEarly   = 60 * time.Millisecond   // a held message is answered this long before its time is up
	askFirst      = 500 * time.Millisecond  // first wait before asking for the list again (ours)
	askMost       = 6 * time.Second         // longest (ours)
	tenantDepth   = 1500 * time.Millisecond // of a tenant's allowance: what may come in one go (ours)
	askedFor      = 8 * time.Second         // over how long messages handed in are counted (ours)
	limitedFor    = 10 * time.Second        // a refusal so recent marks a kind as limited (ours)
	servedFor     = 30 * time.Second        // over how long served calls are counted (ours)
	classRest     = 10 * time.Second        // how long an endpoint that failed a class is kept off (ours)
	forgetEvery   = 10 * time.Second        // how often the memory is swept (ours)
	forgetAfter   = 60 * time.Second        // an endpoint gone for so long is forgotten
	idleLeast     = 250 * time.Millisecond  // a pause shorter than this is no idling (ours)
	idleQuick     = 100 * time.Millisecond  // a dead connection shows within this beyond a usual call (ours)
	tightRecent   = 5 * time.Second         // a success so recent speaks for a full table (ours)
	tightFor      = 10 * time.Second        // how long idle connections are closed after one (ours)
	heartbeatMark = 1                       // the cookie of the heartbeat timer
)

// Handle takes what came in at now and returns what to do, in order.
func (d *Decider) Handle(now time.Duration, events []Event) []Action {
	d.now, d.out = now, nil
	if d.round++; d.round == 1 {
		d.startAt = now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Submit:
			d.submit(e)
		case Answer:
			d.answer(e)
		case EndpointUpdate:
			d.members(e)
		case MessageCancelled:
			if m := d.msgs[e.ID]; m != nil && !m.ended {
				d.end(m)
			}
		case Shutdown:
			d.closeAt = d.now + max(e.In, 1)
		case Timer:
			if e.Cookie == heartbeatMark && d.now >= d.wakeAt {
				d.wakeAt = 0
			}
		}
	}
	if d.askAt > 0 && d.now >= d.askAt {
		d.ask()
	}
	if d.now >= d.forgetAt {
		d.forgetAt = d.now + forgetEvery
		d.forget(d.now - forgetAfter)
	}
	d.expire()
	d.watchSilence()
	d.shed()
	d.dispatch()
	d.dispatchLong()
	d.settle()
	d.arm()
	return d.out
}

// arm asks for the next look: soon while messages are held, seldom while calls are only out.
func (d *Decider) arm() {
	after := idleBeat
	if slices.ContainsFunc(d.busy, func(dest *destination) bool { return len(dest.held) > 0 }) {
		after = heartbeat
	} else if len(d.busy) == 0 && d.askAt == 0 {
		return
	}
	if d.wakeAt == 0 || d.now+after < d.wakeAt {
		d.wakeAt = d.now + after
		d.do(SetTimer{After: after, Cookie: heartbeatMark})
	}
}

// many couriers each see little of a destination.
func (d *Decider) many() bool { return d.s.Forwarders >= manyCouriers }

// vary draws the factor by which a wait varies.
func (d *Decider) vary() float64 { return 1 + jitterShare*(2*d.rng.Float64()-1) }

// ---- the list of endpoints ----

// ask subscribes; should no answer come at all, it asks again in time to count as having asked.
func (d *Decider) ask() {
	d.do(Subscribe{})
	d.askAt = d.now + max(d.s.SubscribeWithin/2, askMost)
}

func (d *Decider) members(e EndpointUpdate) {
	if e.Scope == ListError {
		if d.s.MustSubscribe {
			d.askWait = min(max(askFirst, 2*d.askWait), askMost)
			d.askAt = d.now + time.Duration(d.vary()*float64(d.askWait))
			d.logf("list: asking failed, again in %v", d.askAt-d.now)
		}
		return
	}
	if e.Scope != ListChanges {
		d.unlist(e.Entries)
	}
	for _, en := range e.Entries {
		d.entry(en)
	}
	if d.s.MustSubscribe {
		if e.Scope == ListSaved {
			d.ask()
		} else {
			d.askAt, d.askWait = 0, 0
		}
	}
}

func (d *Decider) entry(en Entry) {
	if ep := d.find(en); ep != nil {
		if d.s.UseCapacityHints && en.CapacityHint > 0 && !math.IsInf(en.CapacityHint, 1) {
			ep.lane.hint = en.CapacityHint
		}
		d.setState(ep, en.Readiness)
	}
}

// departs clears a lane of what an endpoint that leaves the list has caused: until the list told it, its
// refused connects looked like an outage of the destination. Where an endpoint that stays has failed as well,
// or this one has served in between, breaker and guard stand. Harm: an outage that begins just as an endpoint
// is replaced is seen some calls later.
func (d *Decider) departs(ep *endpoint) {
	l := ep.lane
	if !l.guard || ep.failedAt < l.guardSince || ep.lastOK > l.guardSince {
		return
	}
	for _, o := range l.eps {
		if o.state == Serving && o.failedAt >= l.guardSince {
			return
		}
	}
	l.guard, l.guardFrom, l.badRun, l.fullRun, l.window = false, -1, 0, 0, nil
	if l.rate > 0 {
		l.rate = max(l.rate, d.base(l))
	}
	if l.state != closed {
		d.setBreaker(l, closed)
	}
}

// ---- messages ----

func (d *Decider) submit(e Submit) {
	if d.msgs[e.ID] != nil {
		return
	}
	c := d.classes[e.Class]
	if c == nil { // an unknown class is treated as the most delicate one
		left := max(e.TimeLeft, time.Millisecond)
		c = &classState{Class: Class{Target: left, DeliveryTimeout: left, Worth: 1, Effect: Unsafe}}
		c.mean = firstGuess * left.Seconds()
	}
	m := &message{
		id: e.ID, class: c, key: e.Key, dest: d.dest(e.Destination), deadline: d.now + e.TimeLeft,
		worth: c.Worth, notBefore: d.now, attempts: e.Attempts, long: e.Long, spent: e.BodyConsumed,
		owed: e.Resumed && e.Attempts == 0,
	}
	if m.until = m.deadline; m.long {
		m.deadline = min(m.until, d.now+c.DeliveryTimeout)
	}
	if e.MayHaveRun != nil {
		m.mayRun, m.ranAt, m.ranZone = true, d.now-e.MayHaveRun.SentAgo, e.MayHaveRun.Zone
	}
	if t := d.tenants[e.Tenant]; t != nil {
		t.bucket = math.Min(t.bucket+t.rate*(d.now-t.at).Seconds(), math.Max(1, t.rate*tenantDepth.Seconds()))
		if t.at = d.now; t.bucket < 1 {
			m.worth *= d.s.OverShareWorth
		} else {
			t.bucket--
		}
	}
	d.msgs[m.id] = m
	m.dest.asked.add(d.now, askedFor)
	d.count(m, 1)
	d.hold(m)
	d.enqueue(m)
}

// giveUp answers at once: a refusal, with the time to come back, where the rules permit one and what may
// have run is still known as a repeat then; else a failure.
func (d *Decider) giveUp(m *message) {
	r := Refuse{ID: m.id, RetryAfter: min(max(retryFull, d.delay(m.dest)), d.s.MaxRetryAfter)}
	comes := d.now
	if d.s.SendRetryAfter { // else clients come when they like
		comes += r.RetryAfter
	}
	keyed := m.class.Effect == Keyed && !m.class.SameZoneOnly && comes < d.keyUntil(m)
	if m.class.Effect == Safe || !m.mayRun || keyed {
		d.do(r)
	} else {
		d.do(Fail{ID: m.id})
	}
	d.end(m)
}

// keyUntil is when a message may no longer be repeated: a keyed one that may have run, before its key's end.
func (d *Decider) keyUntil(m *message) time.Duration {
	if !m.mayRun || m.class.Effect != Keyed {
		return m.until
	}
	return m.ranAt + time.Duration(ttlMargin*float64(m.class.KeyTTL))
}

// value is a message's worth if it is delivered at t.
func (d *Decider) value(m *message, t time.Duration) float64 {
	c := m.class
	age := t - (m.deadline - c.DeliveryTimeout)
	switch {
	case t >= m.deadline:
		return 0
	case age <= c.Target:
		return m.worth
	case d.s.Decay == DecayExponential:
		late := (age - c.Target).Seconds() / c.Target.Seconds()
		return m.worth * math.Max(c.LateWorth, math.Exp2(-late))
	}
	late := (age - c.Target).Seconds() / max(c.DeliveryTimeout-c.Target, 1).Seconds()
	return m.worth * (1 - (1-c.LateWorth)*math.Min(1, late))
}

// expected is how long a call of the class takes at the lane, by what was seen there and is out now.
func (d *Decider) expected(c *classState, l *lane) time.Duration {
	sec := c.mean * l.pace
	if len(l.inflight) > 0 {
		sec = math.Max(sec, (d.now-l.inflight[0].sentAt).Seconds()/2)
	}
	return time.Duration(sec * float64(time.Second))
}

// delay estimates how long until the destination takes a new message.
func (d *Decider) delay(dest *destination) time.Duration {
	least := downDelay
	for _, l := range dest.lanes {
		w := max(0, l.waitUntil-d.now)
		if l.state != closed {
			w = max(w, l.openUntil-d.now, downDelay)
		}
		gap := 1 / math.Max(0.1, cmp.Or(l.rate, d.base(l)))
		if l.guard {
			gap = max(gap, d.s.TipAfter.Seconds()/d.guardBudget(l))
		}
		w += time.Duration(float64(len(dest.held)) * gap * float64(time.Second) / 2)
		least = min(least, w)
	}
	return least
}

// canRepeat says whether the rules let the message be sent to the endpoint now.
func (d *Decider) canRepeat(m *message, ep *endpoint) bool {
	return !m.mayRun || m.class.Effect == Safe || m.class.Effect == Keyed &&
		d.now < d.keyUntil(m) && (!m.class.SameZoneOnly || ep.zone == m.ranZone)
}

// MayBegin says whether a call's first byte may still go: connections can come up behind a window or a wait.
func (d *Decider) MayBegin(now time.Duration, id MessageID) bool {
	m := d.msgs[id]
	return m != nil && m.call != nil && now >= m.call.ep.lane.waitUntil &&
		now < min(m.deadline-answerEarly, d.keyUntil(m))
}

// expire gives up at once what no allowed attempt can deliver: attempts used up, an unsafe message that may
// have run, a long one whose body is gone or goes with this life, or no moment left, before its time or its
// key's ends, at which a send could go. What is owed is tried unless a told wait forbids it to the end.
func (d *Decider) expire() {
	for _, dest := range d.busy {
		var free, told time.Duration // the earliest moment at which a lane may take a call, and has told no wait
		for i, l := range dest.lanes {
			at := max(l.waitUntil, l.openUntil)
			if l.guard && l.guardFrom < 0 && len(l.inflight) == 0 { // else a success may end it
				at = max(at, d.guardFrees(l))
			}
			if i == 0 {
				free, told = at, l.waitUntil
			}
			free, told = min(free, at), min(told, l.waitUntil)
		}
		for _, m := range slices.Clone(dest.held) {
			if m.attempts >= d.s.MaxAttempts || m.mayRun && m.class.Effect == Unsafe ||
				m.long && (m.spent || d.closeAt > 0) || max(d.now, m.notBefore, m.waits(free, told)) >=
				min(m.deadline-answerEarly, d.keyUntil(m)) {
				d.giveUp(m)
			}
		}
	}
}

// shed keeps room in the hold by giving up what is worth least, but for what is owed.
func (d *Decider) shed() {
	most := max(1, int(holdShare*float64(d.s.MostHeld)))
	for d.heldCount > most {
		d.logHold()
		var worst *message
		low := math.Inf(1)
		for _, dest := range d.busy {
			wait := d.delay(dest)
			for _, m := range dest.held {
				if v := d.value(m, d.now+wait); !m.long && !m.owed && v < low {
					worst, low = m, v
				}
			}
		}
		if worst == nil {
			return
		}
		d.giveUp(worst)
	}
}

// ---- outcomes ----

func (d *Decider) answer(e Answer) {
	m := d.msgs[e.ID]
	if m == nil || m.call == nil || m.call.ep.id != e.Endpoint || e.Attempt != m.attempts-1 {
		return // not the attempt that is out
	}
	c := m.call
	ep, l := c.ep, c.ep.lane
	d.release(m)
	switch e.Outcome {
	case Failed, TimedOut, Reset, Cancelled:
		if !m.mayRun {
			m.mayRun, m.ranAt, m.ranZone = true, c.sentAt, ep.zone
		}
		if t := d.turns[m.key]; t != nil && m.class.InOrder && e.Outcome != Failed {
			t.restUntil, t.restFor = d.now+d.s.TurnGap, m
		}
		if m.avoid = ep; m.class.Name != "" && !(m.long && e.Outcome == Cancelled) {
			ep.bad[m.class] = mark{ep.bad[m.class].run + 1, d.now}
		}
	case ConnectFailed:
		m.avoid = ep
	case Refused:
		l.waitUntil = max(l.waitUntil, d.now+e.RetryAfter)
	case OK:
		delete(ep.bad, m.class)
	}
	if l.left = -1; e.Limit != nil && e.Limit.Rate > 0 && !math.IsInf(e.Limit.Rate, 1) {
		if l.x1, l.left = e.Limit.Rate, e.Limit.Remaining; l.left < x0Low {
			l.bucket = math.Min(l.bucket, 0)
		}
	}
	ep.lostConn = e.Outcome == ConnectFailed || e.Outcome == Reset
	if ep.usedAt = d.now; ep.lostConn || e.Outcome == Refused {
		ep.failedAt = d.now
	}
	if d.now < ep.tightUntil && len(m.dest.held) == 0 && len(c.msgs) == 0 {
		d.do(CloseIdle{Endpoint: ep.id})
	}
	if !c.heard || e.Outcome == OK && !c.served { // a call has one fate; a success corrects a time-out
		c.heard, c.served = e.Outcome != NotSent, e.Outcome == OK
		switch dead := d.deadIdle(c, e.Outcome, e.Latency) || d.deadKept(e); {
		case dead || e.Outcome == NotSent || e.Outcome == Cancelled: // they speak of no endpoint
		case e.Outcome == OK:
			d.learnOK(c, e.Latency)
		case e.Outcome == Refused:
			d.learnFull(l, e.RetryAfter)
		case e.Outcome == ConnectFailed && d.tableFull(ep, e.Latency): // nor does this
		default:
			d.learnBad(l, ep, e.Outcome)
		}
	}
	if e.Settled || m.ended {
		d.end(m)
		return
	}
	first := retryFirst
	if e.Outcome == Refused {
		first = retryFull
	}
	m.backoff = max(first, min(retryMost, time.Duration(retryGrow*float64(m.backoff))))
	m.notBefore = d.now + time.Duration(c.spread*float64(m.backoff))
	if m.spent = e.BodyConsumed; m.long {
		m.deadline = min(m.until, d.now+m.class.DeliveryTimeout)
	}
	d.hold(m)
}

// deadIdle tells a call lost to an old connection from one that speaks of the endpoint. Calls after a pause
// (within KeepAlive) are tallied beside all others; lost are those reset at once or without an answer. When
// the former are lost far more often, connections idle for longer than the shortest such pause are closed
// before the next call, and their losses count for no breaker. Covers restarts and small slices. Harm: some
// handshakes after a hang.
func (d *Decider) deadIdle(c *call, o Outcome, latency time.Duration) bool {
	quick := latency < idleQuick+time.Duration(c.class.mean*float64(time.Second))
	lost := o == TimedOut || o == Cancelled || o == Reset && quick
	if c.tallied || !lost && o != OK {
		return c.dead && o != OK
	}
	c.tallied = true
	t := &d.others
	if c.idle >= idleLeast && c.idle < d.s.KeepAlive {
		t = &d.paused
	}
	if t.add(lost, tallyMost); !lost || t != &d.paused || t.lost < idleHitsMin {
		return false
	}
	if t.lost/t.n < idleRatio*(d.others.lost+1)/(d.others.n+1) {
		return false
	}
	c.dead, d.idleHitAt = true, d.now
	if bound := time.Duration(idleMargin * float64(c.idle)); d.idleBound == 0 || bound < d.idleBound {
		d.idleBound = bound
		d.logf("connections: idle over %v are closed before use", bound.Round(time.Millisecond))
	}
	return true
}

// deadKept tells a call that was reset with the connection that it shared with earlier ones: this speaks of
// the connection, since an endpoint that is down refuses the next one. Both kinds of connection are tallied.
func (d *Decider) deadKept(e Answer) bool {
	t := &d.onFresh
	if e.ReusedConn {
		t = &d.onKept
	}
	if e.Outcome == OK || e.Outcome == Reset {
		t.add(e.Outcome == Reset, keptMost)
	}
	return e.ReusedConn && e.Outcome == Reset
}

// wantsFresh says whether a message goes on a new connection: an unsafe one, which a reset ends, where kept
// connections are reset more often than new ones by more than a handshake is worth.
func (d *Decider) wantsFresh(m *message) bool {
	share := func(t tally) float64 { return t.lost / math.Max(t.n, freshLeast) }
	return m.class.Effect == Unsafe && share(d.onKept) > share(d.onFresh)+freshGain
}

// base is the lane's rate from all couriers: as reported or hinted, else what they likely serve there, by the
// own calls served, drawn towards the mean lane's. What is served is never more than the lane can do.
func (d *Decider) base(l *lane) float64 {
	if told := cmp.Or(l.x1, l.hint); told > 0 {
		return told
	}
	sec := d.seconds(servedFor)
	mean := d.rateOf(&d.served, servedFor) / math.Max(1, float64(len(d.dests)))
	own := (l.served.at(d.now, servedFor) + servedPrior) / (sec + servedPrior/math.Max(mean, 1e-6))
	return math.Max(float64(d.s.Forwarders)*own, leastRate)
}

// part is what a paced rate is measured by: the lane's whole rate, which among many binds none of them; there
// what each is itself asked for, and the sum follows. Harm: a clump waits.
func (d *Decider) part(l *lane) float64 {
	if !d.many() {
		return d.base(l)
	}
	return math.Max(ownLeast*d.base(l)/float64(d.s.Forwarders), d.rateOf(&l.dest.asked, askedFor))
}

// paced is how paced rates move. Among many, where refused calls use a limit up, none gets through until the
// sum is under it: hence the deep cut and the low top.
func (d *Decider) paced() pacing {
	if !d.many() {
		return pacing{cut: paceCut, grow: paceGrow, top: paceTop, depth: 1, first: math.Inf(1)}
	}
	return pacing{cut: ownCut, grow: ownGrow, top: ownTop, depth: ownDepth, first: 1}
}

// tableFull tells a full connection table from an endpoint that is down: the connect fails at once, behind
// successes of late, and with no run of failures. Idle ones are then closed after use. Harm: handshakes.
func (d *Decider) tableFull(ep *endpoint, latency time.Duration) bool {
	if ep.run >= tightRun || latency > idleQuick || d.now-ep.lastOK > tightRecent {
		return false
	}
	ep.run++
	if d.now >= ep.tightUntil {
		d.logf("connections: table of %s is full, idle ones are closed", ep.id)
	}
	ep.tightUntil = d.now + tightFor
	d.do(CloseIdle{Endpoint: ep.id})
	return true
}

func (d *Decider) learnOK(k *call, latency time.Duration) {
	l, ep := k.ep.lane, k.ep
	ep.run, ep.lastOK = 0, d.now
	d.strayBad.addRun(l.badRun, d.unlikely(&d.strayBad), tallyMost)
	d.strayFull.addRun(l.fullRun, d.unlikely(&d.strayFull), tallyMost)
	l.badRun, l.fullRun, l.lastOK = 0, 0, d.now
	if !k.long {
		d.learnPace(k, latency)
	}
	l.served.add(d.now, servedFor)
	d.served.add(d.now, servedFor)
	if p, part := d.paced(), d.part(l); l.rate > 0 {
		l.rate = math.Min(l.rate+p.grow*part, p.top*part)
	}
	d.record(l, false)
	if brief := d.now < l.guardSince+briefFor && k.sentAt >= l.guardSince; l.guard && l.guardFrom < 0 {
		l.guard = !l.guardConn || !brief
		if l.guardFrom = d.now; d.many() { // it was back before; seldom long before: each calls in its gaps
			l.guardFrom -= (d.now - l.lastBad) / 4
		}
	}
	switch l.state {
	case open: // an answer from a lane taken for silent: it is slow or back
		d.setBreaker(l, halfOpen)
	case halfOpen:
		if l.trialsOK++; l.trialsOK >= trialsClose {
			d.setBreaker(l, closed)
		}
	}
}

// learnPace takes a served call's time as its endpoint's pace.
func (d *Decider) learnPace(k *call, latency time.Duration) {
	l, c := k.ep.lane, k.class
	if k.size > 1 {
		more := (latency.Seconds()/(c.mean*l.pace) - 1) / float64(k.size-1)
		d.growth = math.Max(0, d.growth+classGain*(math.Min(more, 1)-d.growth))
	}
	sec := latency.Seconds() / d.weight(k.size)
	l.pace += latencyGain * (sec/c.mean - l.pace)
	l.pace = math.Min(paceMost, math.Max(paceLeast, l.pace))
	c.mean = math.Max(1e-4, c.mean+classGain*(math.Min(sec/l.pace, 3*c.mean)-c.mean))
	if latency <= c.Target {
		l.cap = math.Min(d.capCeil(), l.cap+capStep)
	} else {
		l.cap = math.Max(1, l.cap-capStep)
	}
}

// learnFull tells a limit, which slows the pacing, from a destination that is shut. Refusals with no success,
// or a long wait, are an outage. Where none has ever told a wait, a spent limit explains them and an outage
// takes longer to show; else one that comes with the limit told as unspent is an outage's.
func (d *Decider) learnFull(l *lane, wait time.Duration) {
	d.fullAt[l.kind] = d.now
	if l.fullRun++; l.fullRun == 1 {
		l.fullSince = d.now
	}
	if d.now >= l.cutAt+paceHold {
		l.cutAt = d.now
		if l.rate == 0 { // nothing told: from what was sent of late
			l.bucketAt = d.now
			l.rate = float64(len(l.sends)) / max(d.s.TipAfter, time.Second).Seconds()
		}
		p, part := d.paced(), d.part(l)
		l.rate = math.Max(paceFloor*part, math.Min(l.rate, p.top*part)*p.cut)
	}
	l.bucket = math.Min(l.bucket, 0)
	if wait == 0 && !d.many() {
		l.bucket = math.Min(l.bucket, -float64(min(l.fullRun, debtMost)))
	}
	least, span := d.unlikely(&d.strayFull), retryFull/2
	if d.many() && l.left < 0 { // each sees few calls, and the limit refuses all alike
		least, span = max(least, fullRuns), quietFor
	}
	d.tells = d.tells || wait > 0
	explained := !d.tells && l.left >= 0 && l.left < leftHigh
	if explained { // by the limit
		span = quietFor
	}
	unspent := d.tells && l.left >= leftHigh && d.now-l.lastOK > quietFor
	quiet := d.now - max(l.lastOK, l.fullSince)
	if unspent || l.fullRun >= least && quiet > span || wait > longWait {
		d.raiseGuard(l, l.fullSince, explained && wait <= longWait && l.fullRun <= least+1)
	}
	if l.state != closed {
		d.record(l, true)
		d.trip(l, "refused on trial")
	} else if quiet > quietFor && l.fullRun >= least+runTrip+1 {
		d.trip(l, "refusals only")
	}
}

func (d *Decider) learnBad(l *lane, ep *endpoint, o Outcome) {
	if l.badRun++; l.badRun == 1 {
		l.badSince = d.now
	}
	l.runConn = ep.lostConn && (l.runConn || l.badRun == 1)
	ep.run++
	l.cap = d.capFloor()
	d.record(l, true)
	least := d.unlikely(&d.strayBad)
	// Among many, one sign of an outage counts where strays are rare and nobody else of the lane served since.
	one := d.many() && least == runLeast && ep.lastOK >= l.lastOK && o == ConnectFailed
	if l.badRun >= least || one {
		d.raiseGuard(l, l.badSince, false)
		l.guardConn = l.runConn
	}
	switch {
	case l.state != closed:
		d.trip(l, "trial failed")
	case len(l.window) >= windowLeast && l.failShare() >= tripShare:
		d.trip(l, "failure rate")
	case l.badRun >= least+runTrip:
		d.trip(l, "failures in a row")
	}
}

// unlikely is how many failures in a row are no chance: what share of a healthy lane's calls fails is told by
// the runs that a success ended. Covers lost answers and limits; harm: an outage is seen some calls later.
func (d *Decider) unlikely(t *tally) int {
	share := (t.lost + 1) / (t.n + strayPrior)
	return max(runLeast, int(math.Ceil(math.Log(flukeShare)/math.Log(share))))
}

// raiseGuard notes signs of an outage: until successes show otherwise, sends keep to the fail-back budget.
// Lost connections alone, with a success too soon after the first for an outage, take it back. A
// run of refusals that the told share explains raises a weak guard, which keeps the sum at the rate itself.
func (d *Decider) raiseGuard(l *lane, since time.Duration, weak bool) {
	if d.s.OverloadFactor <= 0 || d.s.TipAfter <= 0 {
		return // no such rule
	}
	if l.weak = weak && (l.weak || !l.guard); !l.guard {
		l.guard, l.guardSince, l.phase = true, since, d.rng.Float64()
		l.gaps = l.phase
	}
	l.guardFrom, l.lastBad, l.guardConn = -1, d.now, false
}

func (d *Decider) trip(l *lane, why string) {
	if l.state == open {
		return
	}
	if l.state == closed {
		l.openFor = openFirst
		d.logf("breaker %s: open (%s)", l.name, why)
	} else {
		l.openFor = min(openMost, time.Duration(openGrow*float64(l.openFor)))
	}
	d.raiseGuard(l, d.now, false)
	l.openUntil = d.now + time.Duration(d.vary()*float64(l.openFor))
	d.setBreaker(l, open)
}

// overdue is the age at which a call counts as stuck.
func (d *Decider) overdue(c *call) time.Duration {
	usual := c.class.mean * c.ep.lane.pace * d.weight(c.size)
	return max(silenceLeast, time.Duration(silenceScale*usual*float64(time.Second)))
}

// weight is a call's work by its number of messages, relative to a call with one.
func (d *Decider) weight(size int) float64 { return 1 + d.growth*float64(size-1) }

// watchSilence opens a breaker on calls that are out far too long with no success since the oldest was sent.
func (d *Decider) watchSilence() {
	for _, dest := range d.busy {
		for _, l := range dest.lanes {
			late := 0
			for _, c := range l.inflight {
				limit, age := d.overdue(c), d.now-c.sentAt
				if age > limit && !d.deadIdle(c, TimedOut, age) && l.lastOK < c.sentAt {
					late++
					if age > 2*limit {
						late++
					}
				}
			}
			if late >= silentCalls && l.state == closed {
				l.cap = d.capFloor()
				d.trip(l, "silence")
			}
		}
	}
}

// ---- sending ----

func (d *Decider) capFloor() float64 { return math.Max(1, math.Floor(capStart*float64(d.s.Slots))) }

func (d *Decider) capCeil() float64 { return math.Max(1, math.Ceil(capTop*float64(d.s.Slots))-1) }

// guardFrees is when the guard lets the next call go, so that this courier keeps its part of the fail-back
// budget: overload factor x present share of the capacity x span, in any span. It is divided among those that
// likely saw the outage. The warm-up counts from the first success; among many from a quarter of the way back
// to the last failure. Where less than a call is due in a span, the first gap, and that behind a told wait,
// is a part of one by chance. Harm: where rates are taken for far too low, a backlog drains slowly.
func (d *Decider) guardFrees(l *lane) time.Duration {
	if !l.guard {
		return 0
	}
	budget := d.guardBudget(l)
	switch {
	case !l.guard || budget >= 1 && d.guardRoom(l, budget) >= 1:
		return 0
	case budget >= 1:
		return d.now + 1
	}
	gap := float64(d.s.TipAfter) / budget // a call that weighed more is followed by a longer one
	return max(l.lastSend+time.Duration(gap*l.gaps), l.waitUntil+time.Duration(gap*l.phase))
}

// guardRoom is what the budget leaves after the calls of the last span, by weight.
func (d *Decider) guardRoom(l *lane, budget float64) float64 {
	for _, s := range l.sends {
		if s.at > d.now-d.s.TipAfter {
			budget -= s.weight
		}
	}
	return budget
}

// guardBudget is how many calls this courier may send in a span; a warm lane loses its guard.
func (d *Decider) guardBudget(l *lane) float64 {
	share, until := d.s.ColdFrom, d.now
	if l.weak {
		share = max(share, min(1, 1/d.s.OverloadFactor))
	}
	if l.guardFrom >= 0 {
		until = l.guardFrom
		share += (1 - share) * (d.now - until).Seconds() / math.Max(0.1, d.s.WarmWithin.Seconds())
	}
	l.guard = l.guard && share < 1
	est := d.base(l)
	if l.x1 <= 0 && d.s.RoughCapacityHints {
		est *= roughMargin
	}
	n, span := float64(d.s.Forwarders), d.s.TipAfter.Seconds()
	seen := 1 + (n-1)*(1-math.Exp(-usualLoad*d.base(l)*min(until-l.guardSince, d.longest).Seconds()/n))
	part := math.Min(1/math.Sqrt(seen), (1+unevenness/math.Sqrt(seen))/seen)
	if d.many() { // half evenly, half by what each has served, so that all together keep to the budget
		own := d.rateOf(&l.served, servedFor) / (usualLoad * d.base(l))
		part = (1/seen + math.Min(evenMost/seen, own)) / 2
	}
	return math.Max(minBudget, guardMargin*d.s.OverloadFactor*share*est*span*part)
}

// admits says whether the lane takes one more call now.
func (d *Decider) admits(l *lane) bool {
	if d.now < l.waitUntil || float64(len(l.inflight)) >= l.cap {
		return false
	}
	if l.state == open && d.now < l.openUntil || l.state != closed && l.trialsOut > l.trialsOK {
		return false
	}
	p := d.paced()
	if l.rate == 0 {
		if cmp.Or(l.x1, l.hint) <= 0 { // unknown until a refusal shows it
			return d.now >= d.guardFrees(l)
		}
		l.rate, l.bucketAt, l.bucket = math.Min(d.base(l), p.top*d.part(l)), d.now, p.first
	}
	depth := math.Max(p.depth, l.rate*paceDepth.Seconds())
	l.bucket = math.Min(l.bucket+l.rate*(d.now-l.bucketAt).Seconds(), depth)
	l.bucketAt = d.now
	return l.bucket >= 1 && d.now >= d.guardFrees(l)
}

// pickEndpoint chooses the endpoint a message may go to: with the fewest failures of its class and itself,
// since others' successes hide these, then with the fewest failures and calls out, then by each courier's
// own order.
func (d *Decider) pickEndpoint(l *lane, m *message) *endpoint {
	shy := func(ep *endpoint) (n int) {
		if k := ep.bad[m.class]; d.now < k.at+classRest {
			n = k.run
		}
		if m.avoid == ep {
			n++
		}
		return n
	}
	var best *endpoint
	for _, ep := range l.eps {
		if ep.state != Serving || !d.canRepeat(m, ep) {
			continue
		}
		if best == nil || cmp.Or(shy(ep)-shy(best), ep.run-best.run,
			ep.inflight-best.inflight, cmp.Compare(ep.rank, best.rank)) < 0 {
			best = ep
		}
	}
	return best
}

// inTurn says whether the order of its key lets the message go out.
func (d *Decider) inTurn(m *message) bool {
	t := d.turns[m.key]
	if t == nil || !m.class.InOrder {
		return true
	}
	return t.queue[0] == m && (d.now >= t.restUntil || t.restFor == m)
}

// ready says whether the message's own wait is over and its turn has come.
func (d *Decider) ready(m *message) bool { return d.now >= m.notBefore && d.inTurn(m) }

// gathered says whether a call should go: where a lane of the kind refused of late, messages that may share
// one wait for others while that costs no worth, until one has used up a part of its aim. Covers any bound
// on calls; harm: a call that fails then has less time left for another.
func (d *Decider) gathered(l *lane) bool {
	if at, ok := d.fullAt[l.kind]; l.batch <= 1 || !ok || d.now > at+limitedFor {
		return true
	}
	n := 0
	for _, m := range l.dest.held {
		if d.ready(m) {
			n++
			due := m.deadline - m.class.DeliveryTimeout + time.Duration(gatherShare*float64(m.class.Target))
			if n >= l.batch || d.now >= due {
				return true
			}
		}
	}
	return false
}

// choose finds the destination's best message to send now: most worth and cost of waiting per slot time.
func (d *Decider) choose(dest *destination) {
	dest.best, dest.bestLane, dest.score = nil, nil, 0
	if len(dest.held) == 0 || dest.inflight >= int(d.capCeil()) {
		return
	}
	for _, l := range dest.lanes {
		if !d.admits(l) || !d.gathered(l) {
			continue
		}
		for _, m := range dest.held {
			if m.long || !d.ready(m) || d.pickEndpoint(l, m) == nil {
				continue
			}
			took := d.expected(m.class, l)
			v := d.value(m, d.now+took)
			if v <= 0 || !d.fits(m, took) {
				continue
			}
			v -= urgencyShare*d.value(m, d.now+took+lookAhead) + l.fee*d.meanWorth
			score := l.score(v, took)
			if l.state != closed || l.due { // trials: where a loss hurts least, and not one message's attempts only
				score /= float64(1 + m.attempts)
				if m.class.Effect == Unsafe {
					score *= unsafeTrial
				}
			}
			if dest.best == nil || score > dest.score {
				dest.best, dest.bestLane, dest.score = m, l, score
			}
		}
	}
}

// fits says whether a call that usually takes so long will be over before this life ends; an unsafe message
// must be surer of it, since a lost answer is its end.
func (d *Decider) fits(m *message, took time.Duration) bool {
	room := closeRoom
	if m.class.Effect == Unsafe {
		room *= closeUnsafe
	}
	return d.closeAt == 0 || d.now+time.Duration(room*float64(took)) < d.closeAt
}

// dispatch fills the free slots with the best messages of all destinations.
func (d *Decider) dispatch() {
	for _, dest := range d.busy {
		d.choose(dest)
	}
	for {
		var top *destination
		for _, dest := range d.busy {
			if dest.best != nil && (top == nil || dest.score > top.score) {
				top = dest
			}
		}
		if top == nil {
			return
		}
		if d.slotsUsed >= d.s.Slots {
			d.callOff()
			return
		}
		d.send(top.best, top.bestLane)
		d.choose(top)
	}
}

// dispatchLong starts long messages, beside the slots, where a lane admits them. At a lane in doubt one at a
// time is tried: a trial that lasts must not keep others from closing the breaker.
func (d *Decider) dispatchLong() {
	for _, dest := range d.busy {
		for i := len(dest.held) - 1; i >= 0 && d.longUsed < d.s.LongSlots; i-- {
			m := dest.held[len(dest.held)-1-i] // oldest first; what is sent leaves the list
			for _, l := range dest.lanes {
				if m.long && d.ready(m) && d.pickEndpoint(l, m) != nil &&
					(l.state == closed || l.longs == 0) && d.admits(l) {
					d.sendLong(m, l)
					break
				}
			}
		}
	}
}

// sendLong calls an endpoint with a long message; only its time being up cuts it.
func (d *Decider) sendLong(m *message, l *lane) {
	ep := d.pickEndpoint(l, m)
	if l.state == open {
		d.setBreaker(l, halfOpen)
	}
	c := &call{ep: ep, class: m.class, sentAt: d.now, round: d.round, spread: d.vary(), tallied: true}
	c.long = true
	d.occupy(m, c)
	l.bucket--
	ep.usedAt = d.now
	d.note(l, 1)
	d.do(Send{ID: m.id, Endpoint: ep.id, CutAt: m.until, NewConnection: d.wantsFresh(m)})
}

// send calls the endpoint with the message and all others ready for it, as far as its kind lets them share a
// call and, under guard, the budget. They share its fate, so an unsafe message never joins a trial.
func (d *Decider) send(m *message, l *lane) {
	ep := d.pickEndpoint(l, m)
	if l.state == open {
		d.setBreaker(l, halfOpen)
	}
	c := ep.latest
	if c == nil || c.round != d.round || c.size >= l.batch { // else it joins the one of this round
		c = &call{ep: ep, class: m.class, sentAt: d.now, round: d.round, spread: d.vary()}
		c.trial = l.state == halfOpen
		if ep.latest = c; c.trial {
			l.trialsOut++
		}
		if c.idle = d.now - ep.usedAt; d.idleBound > 0 && c.idle > d.idleBound {
			c.idle = 0
			d.do(CloseIdle{Endpoint: ep.id})
		}
		l.bucket--
	}
	ep.usedAt = d.now
	with, most := []*message{m}, l.batch-c.size
	if l.guard {
		if room := d.guardRoom(l, d.guardBudget(l)); room >= 1 {
			most = min(most, 1+int((room-1)/math.Max(0.01, d.growth)))
		}
	}
	for _, o := range m.dest.held {
		if len(with) < most && o != m && !o.long && d.ready(o) && d.pickEndpoint(l, o) == ep &&
			(!c.trial || o.class.Effect != Unsafe) {
			with = append(with, o)
		}
	}
	for _, o := range with {
		d.occupy(o, c)
	}
	weight := d.weight(c.size)
	d.note(l, weight)
	usual := c.class.mean * l.pace * weight
	limit := max(timeoutLeast, time.Duration(timeoutScale*usual*float64(time.Second)))
	for _, o := range with {
		cut := min(o.deadline, cmp.Or(d.closeAt, o.deadline))
		if o.class.Effect != Unsafe {
			cut = min(cut, d.now+limit)
		}
		d.do(Send{ID: o.id, Endpoint: ep.id, CutAt: cut, NewConnection: d.wantsFresh(o)})
	}
}

// callOff frees a slot held by a call that is out far too long, when others could use it; by age, as a
// silent spell that is over leaves calls behind that are never answered. Harm: at a lane just turned slow
// some calls are lost.
func (d *Decider) callOff() {
	if !d.s.MayCancel {
		return
	}
	var worst *call
	low := 0.0
	for c := range d.calls() {
		age, least, worth := d.now-c.sentAt, timeoutLeast, 0.0
		for _, m := range c.msgs {
			if worth += m.worth; m.class.Effect == Unsafe {
				least = unsafeStuck
			}
		}
		if c.cancelled || age < max(least, d.overdue(c)) {
			continue
		}
		if worst == nil || worth < low || worth == low && c.sentAt < worst.sentAt {
			worst, low = c, worth
		}
	}
	if worst != nil {
		worst.cancelled = true
		for _, m := range worst.msgs {
			d.do(Cancel{ID: m.id, Attempt: m.attempts - 1})
		}
	}
}
