package mulleinbeam

// All decisions of the package; the interface is in mulleinbeam.go. Each circuit has a count-based circuit
// breaker and a bulkhead (a limit on concurrent calls); retries back off with jitter.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Shares and factors are relative to 1.
const (
	windowSize         = 20    // outcomes in a breaker's sliding window
	minWindow          = 10    // outcomes in the window before the failure rate counts
	tripFailureShare   = 0.5   // failure rate that opens a breaker
	tripExtraFailures  = 2     // further consecutive failures that open it: low traffic fills the window slowly
	minOutageRun       = 2     // consecutive failures or refusals for slow start; 1 is worse in large fleets
	chanceThreshold    = 0.02  // a run of failures less likely than this by chance is an outage
	strayPriorCalls    = 20.0  // prior of the loss share: calls that it starts with, one of them lost
	minIdleLosses      = 3     // calls lost after an idle pause before idle connections are closed
	idleLossRatio      = 3.0   // least ratio of their loss share to that of all other calls
	maxTallyCalls      = 60.0  // calls at which a tally is halved, so that old outcomes fade
	maxResetTallyCalls = 200.0 // the same for a tally of resets
	minResetSample     = 50.0  // least number of calls that a share of resets is computed over
	minResetReduction  = 0.03  // reduction of the reset share that is worth a handshake to an unsafe message
	idleLimitMargin    = 0.8   // the idle limit as a share of the shortest pause after which a call was lost
	maxTableFullRun    = 2     // failed connects in a row that may still mean a full connection table
	largeFleetSize     = 8     // forwarders from which on the rules for a large fleet apply
	trialsToClose      = 3     // successful trials that close a half-open breaker, fewer than the usual 5
	openGrowth         = 1.5   // growth of the open period with each failed trial
	callLimitStart     = 0.25  // share of the slots: initial call limit, also after a failure; 0.34 is worse
	callLimitTop       = 0.75  // share of the slots that a call limit stays below
	callLimitStep      = 0.5   // calls that a success within the class's target adds to the call limit
	retryGrowth        = 2.0   // growth of the retry wait with each attempt
	jitterShare        = 0.5   // waits vary by up to this share
	rateCut            = 0.75  // factor applied to the rate limit by a refusal
	rateGrow           = 0.02  // share of the rate base that a success adds to the rate limit
	rateMax            = 1.6   // highest rate limit per rate base; capacity hints may be half too low
	rateMin            = 0.1   // lowest rate limit per rate base
	fleetCut           = 0.5   // rateCut in a large fleet; 0.75 is worse
	fleetGrow          = 0.1   // rateGrow in a large fleet; 0.05 is worse
	fleetMax           = 1.5   // rateMax in a large fleet; 2 is worse
	fleetMin           = 0.25  // least rate base in a large fleet, as a share of an even part of the capacity
	fleetBurst         = 2.0   // least burst in a large fleet, in calls
	fleetRefusals      = 3     // least refusals in a row for slow start in a large fleet; 5 is no different
	maxTokenDebt       = 4     // largest token debt, in calls, after refusals without a Retry-After
	unspentShare       = 0.5   // reported remaining share of the limit from which the limit explains no refusal
	spentShare         = 0.1   // reported remaining share of the limit below which the tokens are cleared
	minCapacityPerS    = 0.5   // least capacity, calls a second, of a circuit without report or hint
	successPrior       = 0.5   // weight, in calls, of the mean circuit in the estimate of a circuit's capacity
	roughHintMargin    = 0.8   // usable share of a rough capacity hint, which may be half too high
	slowStartMargin    = 0.9   // share of the slow-start budget that is used
	meanLoad           = 0.7   // calls that destinations get on average, as a share of their capacity
	maxEvenShares      = 2.0   // a forwarder's largest assumed traffic, in even shares
	unevenness         = 1.27  // extra slow-start share of a few forwarders: their traffic is uneven
	minSlowStartCalls  = 0.01  // least slow-start budget, in calls per Settings.TipAfter
	timeoutFactor      = 8.0   // timeout of a repeatable call, in expected latencies
	stallFactor        = 6.0   // time without an answer after which a call is stalled, in expected latencies
	stalledCallsToTrip = 2     // stalled calls that open a breaker; one twice as late counts as two
	latencyFactorGain  = 0.2   // weight of a new latency in a circuit's latency factor
	classGain          = 0.05  // weight of a new latency in a class's mean
	batchWaitShare     = 0.4   // share of its target that a message waits for a batch at a limited circuit
	batchGrowthStart   = 0.25  // initial share of a call's time that each further message in it adds
	latencyGuessShare  = 0.15  // initial latency of a class, as a share of its target
	minLatencyFactor   = 0.05  // bounds of a circuit's latency factor
	maxLatencyFactor   = 200.0
	urgencyShare       = 0.8  // weight of the cost of waiting in the ranking; 0.6 is worse
	unsafeTrialWeight  = 0.02 // weight of unsafe messages when a trial is chosen
	shedAboveShare     = 0.92 // share of MostHeld above which messages of least worth are shed
	keyTTLMargin       = 0.9  // share of a key's TTL within which repeats are sent
	shutdownRoom       = 2.0  // usual latencies of a call that must be left before a shutdown
	shutdownRoomUnsafe = 2.0  // factor on that for an unsafe message

	openFirst           = 1000 * time.Millisecond // first open period of a breaker; 1.5 s is worse
	openMax             = 3 * time.Second         // longest open period; 6 s is worse
	retryFirst          = 100 * time.Millisecond  // first retry wait
	retryRefused        = 400 * time.Millisecond  // first retry wait after a refusal: limits count per interval
	retryMax            = 3 * time.Second         // longest retry wait
	minCallTimeout      = 2 * time.Second         // shortest timeout: short stalls pass; 1.2 s, 3 s are worse
	minStall            = 1500 * time.Millisecond // shortest stall; 1 s makes no difference
	unsafeStuckAfter    = 4 * time.Second         // age at which an unsafe call may be cancelled for its slot
	minOutage           = 800 * time.Millisecond  // shortest outage, from its first sign
	quietPeriod         = time.Second             // refusals without a success for this long mean an outage
	outageRetryAfter    = 2500 * time.Millisecond // a longer Retry-After means an outage, not a limit
	rateCutInterval     = 500 * time.Millisecond  // least time between two cuts of a rate limit
	rateBurst           = 600 * time.Millisecond  // burst that a rate limit allows, as time at that rate
	lookAhead           = 2 * time.Second         // wait whose cost enters the ranking; 1 s is worse
	unavailableDelay    = 3 * time.Second         // assumed delay of a circuit whose breaker is not closed
	heldCheckInterval   = 20 * time.Millisecond   // interval of checks while messages are held
	callCheckInterval   = 100 * time.Millisecond  // interval of checks while calls are out
	answerMargin        = 60 * time.Millisecond   // a held message is answered this long before its deadline
	subscribeRetryFirst = 500 * time.Millisecond  // first wait before subscribing again
	subscribeRetryMax   = 6 * time.Second         // longest wait before subscribing again
	tenantBurst         = 1500 * time.Millisecond // burst of a tenant, as time at its allowance
	submitDecay         = 8 * time.Second         // decay time of the count of submitted messages
	limitedPeriod       = 10 * time.Second        // time for which a refusal marks a kind as limited
	successDecay        = 30 * time.Second        // decay time of the count of successes
	classFailurePeriod  = 10 * time.Second        // how long an endpoint is avoided by a class it failed
	cleanupInterval     = 10 * time.Second        // interval at which stale state is removed
	staleAfter          = 60 * time.Second        // age at which a removed endpoint is forgotten
	minIdlePause        = 250 * time.Millisecond  // shortest pause that counts as idle
	quickLoss           = 100 * time.Millisecond  // a dead connection fails this soon after the usual latency
	recentSuccess       = 5 * time.Second         // a success within this makes a full table likely
	tableFullPeriod     = 10 * time.Second        // how long idle connections are closed after a full table
	checkTimerCookie    = 1                       // cookie of the timer for checks
)

// Handle processes the events that arrived at now and returns the actions to perform, in order.
func (d *Decider) Handle(now time.Duration, events []Event) []Action {
	d.now, d.actions = now, nil
	if d.round++; d.round == 1 {
		d.startedAt = now
	}
	for _, e := range events {
		switch e := e.(type) {
		case Submit:
			d.submit(e)
		case Answer:
			d.answer(e)
		case EndpointUpdate:
			d.updateEndpoints(e)
		case AttemptMayHaveRun:
			d.recordMayHaveRun(e)
		case MessageCancelled:
			if m := d.messages[e.ID]; m != nil && !m.ended {
				d.finish(m)
			}
		case Shutdown:
			d.shutdownAt = d.now + max(e.In, 1)
		case Timer:
			if e.Cookie == checkTimerCookie && d.now >= d.timerAt {
				d.timerAt = 0
			}
		}
	}
	if d.subscribeAt > 0 && d.now >= d.subscribeAt {
		d.subscribe()
	}
	if d.now >= d.cleanupAt {
		d.cleanupAt = d.now + cleanupInterval
		d.removeStale(d.now - staleAfter)
	}
	d.expire()
	d.detectStalls()
	d.shed()
	d.dispatch()
	d.dispatchLong()
	d.dropIdleDestinations()
	d.scheduleTimer()
	return d.actions
}

// scheduleTimer sets the next check: soon while messages are held, later while only calls are out.
func (d *Decider) scheduleTimer() {
	after := callCheckInterval
	if slices.ContainsFunc(d.busy, func(dest *destination) bool { return len(dest.held) > 0 }) {
		after = heldCheckInterval
	} else if len(d.busy) == 0 && d.subscribeAt == 0 {
		return
	}
	if d.timerAt == 0 || d.now+after < d.timerAt {
		d.timerAt = d.now + after
		d.emit(SetTimer{After: after, Cookie: checkTimerCookie})
	}
}

// largeFleet reports whether there are so many forwarders that each sees few calls of a destination.
func (d *Decider) largeFleet() bool { return d.cfg.Forwarders >= largeFleetSize }

// jitter returns a random factor for a wait.
func (d *Decider) jitter() float64 { return 1 + jitterShare*(2*d.rng.Float64()-1) }

// ---- list of endpoints ----

// subscribe requests the list, and again before SubscribeWithin ends if there is no response at all.
func (d *Decider) subscribe() {
	d.emit(Subscribe{})
	d.subscribeAt = d.now + max(d.cfg.SubscribeWithin/2, subscribeRetryMax)
}

func (d *Decider) updateEndpoints(e EndpointUpdate) {
	if e.Scope == ListError {
		if d.cfg.MustSubscribe {
			d.subscribeBackoff = min(max(subscribeRetryFirst, 2*d.subscribeBackoff), subscribeRetryMax)
			d.subscribeAt = d.now + time.Duration(d.jitter()*float64(d.subscribeBackoff))
			d.logf("endpoint list: subscription failed, retrying in %v", d.subscribeAt-d.now)
		}
		return
	}
	if e.Scope != ListChanges {
		d.removeUnlisted(e.Entries)
	}
	for _, en := range e.Entries {
		d.updateEndpoint(en)
	}
	if d.cfg.MustSubscribe {
		if e.Scope == ListSaved {
			d.subscribe()
		} else {
			d.subscribeAt, d.subscribeBackoff = 0, 0
		}
	}
}

func (d *Decider) updateEndpoint(en Entry) {
	if ep := d.endpointOf(en); ep != nil {
		if d.cfg.UseCapacityHints && en.CapacityHint > 0 && !math.IsInf(en.CapacityHint, 1) {
			ep.circuit.capacityHint = en.CapacityHint
		}
		d.setReadiness(ep, en.Readiness)
	}
}

// clearDeparted resets the circuit state that a removed endpoint caused: its refused connects looked like an
// outage of the destination. Breaker and slow start stay if a listed endpoint failed too or this one has
// succeeded since. Drawback: an outage that starts at that moment is seen some calls later.
func (d *Decider) clearDeparted(ep *endpoint) {
	c := ep.circuit
	if !c.slowStart || ep.unavailableAt < c.outageSince || ep.lastOK > c.outageSince {
		return
	}
	for _, o := range c.endpoints {
		if o.readiness == Serving && o.unavailableAt >= c.outageSince {
			return
		}
	}
	c.slowStart, c.recoveredAt, c.consecFailures, c.consecRefusals, c.window = false, -1, 0, 0, nil
	if c.rateLimit > 0 {
		c.rateLimit = max(c.rateLimit, d.capacity(c))
	}
	if c.state != closed {
		d.setBreaker(c, closed)
	}
}

// ---- messages ----

func (d *Decider) submit(e Submit) {
	if d.messages[e.ID] != nil {
		return
	}
	cs := d.classes[e.Class]
	if cs == nil { // unknown classes get the strictest rules
		left := max(e.TimeLeft, time.Millisecond)
		cs = &classState{Class: Class{Target: left, DeliveryTimeout: left, Worth: 1, Effect: Unsafe}}
		cs.meanSec = latencyGuessShare * left.Seconds()
	}
	m := &message{
		id: e.ID, class: cs, key: e.Key, dest: d.destinationOf(e.Destination), deadline: d.now + e.TimeLeft,
		worth: cs.Worth, notBefore: d.now, attempts: e.Attempts, long: e.Long, bodyConsumed: e.BodyConsumed,
		untried: e.Resumed && e.Attempts == 0,
	}
	if m.expiresAt = m.deadline; m.long {
		m.deadline = min(m.expiresAt, d.now+cs.DeliveryTimeout)
	}
	if e.MayHaveRun != nil {
		m.mayHaveRun, m.ranAt, m.ranZone = true, d.now-e.MayHaveRun.SentAgo, e.MayHaveRun.Zone
	}
	if t := d.tenants[e.Tenant]; t != nil {
		t.tokens = math.Min(t.tokens+t.rate*(d.now-t.tokensAt).Seconds(), math.Max(1, t.rate*tenantBurst.Seconds()))
		if t.tokensAt = d.now; t.tokens < 1 {
			m.worth *= d.cfg.OverShareWorth
		} else {
			t.tokens--
		}
	}
	d.messages[m.id] = m
	m.dest.submitted.add(d.now, submitDecay)
	d.countHeld(m, 1)
	d.enqueueHeld(m)
	d.enqueueByKey(m)
}

// abandon ends a message at once: with a refusal and a Retry-After where a repeat by the client is allowed
// and would still be recognized as one at that time, otherwise with a failure.
func (d *Decider) abandon(m *message) {
	r := Refuse{ID: m.id, RetryAfter: min(max(retryRefused, d.expectedWait(m.dest)), d.cfg.MaxRetryAfter)}
	returnsAt := d.now
	if d.cfg.SendRetryAfter { // otherwise clients may come back at any time
		returnsAt += r.RetryAfter
	}
	keyed := m.class.Effect == Keyed && !m.class.SameZoneOnly && returnsAt < d.repeatUntil(m)
	if m.class.Effect == Safe || !m.mayHaveRun || keyed {
		d.emit(r)
	} else {
		d.emit(Fail{ID: m.id})
	}
	d.finish(m)
}

// repeatUntil returns when repeats of a message must stop: if keyed and possibly run, before its key expires.
func (d *Decider) repeatUntil(m *message) time.Duration {
	if !m.mayHaveRun || m.class.Effect != Keyed {
		return m.expiresAt
	}
	return m.ranAt + time.Duration(keyTTLMargin*float64(m.class.KeyTTL))
}

// worthAt returns a message's worth if it is delivered at t.
func (d *Decider) worthAt(m *message, t time.Duration) float64 {
	cs := m.class
	age := t - (m.deadline - cs.DeliveryTimeout)
	switch {
	case t >= m.deadline:
		return 0
	case age <= cs.Target:
		return m.worth
	case d.cfg.Decay == DecayExponential:
		late := (age - cs.Target).Seconds() / cs.Target.Seconds()
		return m.worth * math.Max(cs.LateWorth, math.Exp2(-late))
	}
	late := (age - cs.Target).Seconds() / max(cs.DeliveryTimeout-cs.Target, 1).Seconds()
	return m.worth * (1 - (1-cs.LateWorth)*math.Min(1, late))
}

// expectedLatency estimates a call's latency from its class, its circuit and the age of calls still out.
func (d *Decider) expectedLatency(cs *classState, c *circuit) time.Duration {
	sec := cs.meanSec * c.latencyFactor
	if len(c.inflight) > 0 {
		sec = math.Max(sec, (d.now-c.inflight[0].sentAt).Seconds()/2)
	}
	return time.Duration(sec * float64(time.Second))
}

// expectedWait estimates how long until the destination takes a new message.
func (d *Decider) expectedWait(dest *destination) time.Duration {
	least := unavailableDelay
	for _, c := range dest.circuits {
		w := max(0, c.waitUntil-d.now)
		if c.state != closed {
			w = max(w, c.openUntil-d.now, unavailableDelay)
		}
		gap := 1 / math.Max(0.1, cmp.Or(c.rateLimit, d.capacity(c)))
		if c.slowStart {
			gap = max(gap, d.cfg.TipAfter.Seconds()/d.slowStartBudget(c))
		}
		w += time.Duration(float64(len(dest.held)) * gap * float64(time.Second) / 2)
		least = min(least, w)
	}
	return least
}

// MayBegin reports whether a call may start now that its connection is up: a wait or prior run may forbid it.
func (d *Decider) MayBegin(now time.Duration, id MessageID) bool {
	m := d.messages[id]
	return m != nil && m.call != nil && !m.mustNotRun() && now >= m.call.endpoint.circuit.waitUntil &&
		now < min(m.deadline-answerMargin, d.repeatUntil(m))
}

// expire abandons what no allowed attempt can deliver: attempts used up, an unsafe message that may have run,
// a long one whose body is consumed or lost at shutdown, or no time left for a call before the deadline or
// the key's expiry. An untried message of an earlier process ends only if a Retry-After blocks it until then.
func (d *Decider) expire() {
	for _, dest := range d.busy {
		var free, retryAt time.Duration // earliest time a circuit is free, and free of Retry-After
		for i, c := range dest.circuits {
			at := max(c.waitUntil, c.openUntil)
			if c.slowStart && c.recoveredAt < 0 && len(c.inflight) == 0 { // otherwise a success may end slow start
				at = max(at, d.nextSlowStartCall(c))
			}
			if i == 0 {
				free, retryAt = at, c.waitUntil
			}
			free, retryAt = min(free, at), min(retryAt, c.waitUntil)
		}
		for _, m := range slices.Clone(dest.held) {
			if m.attempts >= d.cfg.MaxAttempts || m.mustNotRun() ||
				m.long && (m.bodyConsumed || d.shutdownAt > 0) || max(d.now, m.notBefore, m.readyAt(free, retryAt)) >=
				min(m.deadline-answerMargin, d.repeatUntil(m)) {
				d.abandon(m)
			}
		}
	}
}

// shed limits the held messages by abandoning the least worth, except untried ones of an earlier process.
func (d *Decider) shed() {
	most := max(1, int(shedAboveShare*float64(d.cfg.MostHeld)))
	for d.heldCount > most {
		d.logShedding()
		var worst *message
		low := math.Inf(1)
		for _, dest := range d.busy {
			wait := d.expectedWait(dest)
			for _, m := range dest.held {
				if v := d.worthAt(m, d.now+wait); !m.long && !m.untried && v < low {
					worst, low = m, v
				}
			}
		}
		if worst == nil {
			return
		}
		d.abandon(worst)
	}
}

// ---- outcomes ----

func (d *Decider) answer(e Answer) {
	m := d.messages[e.ID]
	if m == nil || m.call == nil || m.call.endpoint.id != e.Endpoint || e.Attempt != m.attempts-1 {
		return // not for the current attempt
	}
	k := m.call
	ep, c := k.endpoint, k.endpoint.circuit
	d.endAttempt(m)
	switch e.Outcome {
	case Failed, TimedOut, Reset, Cancelled, Doubtful:
		if !m.mayHaveRun {
			m.mayHaveRun, m.ranAt, m.ranZone = true, k.sentAt, ep.zone
		}
		if q := d.keyQueues[m.key]; q != nil && m.class.InOrder && e.Outcome != Failed {
			q.gapUntil, q.gapFor = d.now+d.cfg.TurnGap, m
		}
		if e.Outcome == Doubtful {
			break
		}
		if m.avoidEndpoint = ep; m.class.Name != "" && !(m.long && e.Outcome == Cancelled) {
			ep.classFailures[m.class] = classFailures{ep.classFailures[m.class].consecutive + 1, d.now}
		}
	case ConnectFailed:
		m.avoidEndpoint = ep
	case Refused:
		c.waitUntil = max(c.waitUntil, d.now+e.RetryAfter)
	case OK:
		delete(ep.classFailures, m.class)
	}
	if c.limitRemaining = -1; e.Limit != nil && e.Limit.Rate > 0 && !math.IsInf(e.Limit.Rate, 1) {
		if c.reportedLimit, c.limitRemaining = e.Limit.Rate, e.Limit.Remaining; c.limitRemaining < spentShare {
			c.tokens = math.Min(c.tokens, 0)
		}
	}
	ep.lostConn = e.Outcome == ConnectFailed || e.Outcome == Reset
	if ep.usedAt = d.now; ep.lostConn || e.Outcome == Refused {
		ep.unavailableAt = d.now
	}
	if d.now < ep.tableFullUntil && len(m.dest.held) == 0 && len(k.messages) == 0 {
		d.emit(CloseIdle{Endpoint: ep.id})
	}
	if !k.counted || e.Outcome == OK && !k.succeeded { // a call counts once; a success corrects a timeout
		k.counted, k.succeeded = e.Outcome != NotSent, e.Outcome == OK
		switch dead := d.lostToIdleConn(k, e.Outcome, e.Latency) || d.lostToReusedConn(e); {
		case dead || !e.Outcome.isEvidence():
		case e.Outcome == OK:
			d.onSuccess(k, e.Latency)
		case e.Outcome == Refused:
			d.onRefusal(c, e.RetryAfter)
		case e.Outcome == ConnectFailed && d.connTableFull(ep, e.Latency): // none here either
		default:
			d.onFailure(c, ep, e.Outcome)
		}
	}
	if e.Settled || m.ended {
		d.finish(m)
		return
	}
	first := retryFirst
	if e.Outcome == Refused {
		first = retryRefused
	}
	m.retryWait = max(first, min(retryMax, time.Duration(retryGrowth*float64(m.retryWait))))
	m.notBefore = d.now + time.Duration(k.jitter*float64(m.retryWait))
	if m.bodyConsumed = e.BodyConsumed; m.long {
		m.deadline = min(m.expiresAt, d.now+m.class.DeliveryTimeout)
	}
	d.enqueueHeld(m)
}

// lostToIdleConn reports whether a call was lost because its connection died while idle. Calls after a pause
// (within KeepAlive) are tallied apart; lost are those reset at once or without answer. If far more of these
// are lost, connections idle longer than the shortest such pause are closed before the next call, and no
// breaker counts the losses. Covers restarts and low traffic. Drawback: handshakes after a stall.
func (d *Decider) lostToIdleConn(k *call, o Outcome, latency time.Duration) bool {
	quick := latency < quickLoss+time.Duration(k.class.meanSec*float64(time.Second))
	lost := o == TimedOut || o == Cancelled || o == Reset && quick
	if k.tallied || !lost && o != OK {
		return k.staleConn && o != OK
	}
	k.tallied = true
	t := &d.others
	if k.idleFor >= minIdlePause && k.idleFor < d.cfg.KeepAlive {
		t = &d.afterIdle
	}
	if t.add(lost, maxTallyCalls); !lost || t != &d.afterIdle || t.lost < minIdleLosses {
		return false
	}
	if t.lost/t.calls < idleLossRatio*(d.others.lost+1)/(d.others.calls+1) {
		return false
	}
	k.staleConn, d.idleLossAt = true, d.now
	if bound := time.Duration(idleLimitMargin * float64(k.idleFor)); d.idleLimit == 0 || bound < d.idleLimit {
		d.idleLimit = bound
		d.logf("connections: those idle for over %v are closed before use", bound.Round(time.Millisecond))
	}
	return true
}

// lostToReusedConn reports whether a call was reset with a connection that carried earlier calls, which says
// nothing of the endpoint: one that is down refuses the next connection. Resets are tallied for both kinds.
func (d *Decider) lostToReusedConn(e Answer) bool {
	t := &d.newConnection
	if e.ReusedConnection {
		t = &d.reusedConnection
	}
	if e.Outcome == OK || e.Outcome == Reset {
		t.add(e.Outcome == Reset, maxResetTallyCalls)
	}
	return e.ReusedConnection && e.Outcome == Reset
}

// wantsNewConn reports whether a message needs a new connection: an unsafe one, which a reset ends, if reused
// connections are reset more often than new ones by more than a handshake is worth.
func (d *Decider) wantsNewConn(m *message) bool {
	share := func(t lossTally) float64 { return t.lost / math.Max(t.calls, minResetSample) }
	return m.class.Effect == Unsafe && share(d.reusedConnection) > share(d.newConnection)+minResetReduction
}

// capacity returns a circuit's rate for all forwarders: as reported or hinted, otherwise estimated from this
// one's successes, weighted with the mean circuit's. A circuit never serves more than it can.
func (d *Decider) capacity(c *circuit) float64 {
	if known := cmp.Or(c.reportedLimit, c.capacityHint); known > 0 {
		return known
	}
	sec := d.decaySeconds(successDecay)
	mean := d.rateOf(&d.successes, successDecay) / math.Max(1, float64(len(d.destinations)))
	own := (c.successes.at(d.now, successDecay) + successPrior) / (sec + successPrior/math.Max(mean, 1e-6))
	return math.Max(float64(d.cfg.Forwarders)*own, minCapacityPerS)
}

// rateBase returns what a rate limit is relative to: the circuit's capacity, or in a large fleet, where that
// limits no single forwarder, the rate of messages submitted, which the sum follows. Drawback: bursts wait.
func (d *Decider) rateBase(c *circuit) float64 {
	if !d.largeFleet() {
		return d.capacity(c)
	}
	return math.Max(fleetMin*d.capacity(c)/float64(d.cfg.Forwarders), d.rateOf(&c.dest.submitted, submitDecay))
}

// rateControl returns how a rate limit changes. If refused calls use up the limit of a destination, a large
// fleet gets no call through until its sum is below the limit: hence the deep cut and the low maximum.
func (d *Decider) rateControl() rateControl {
	if !d.largeFleet() {
		return rateControl{cut: rateCut, grow: rateGrow, max: rateMax, burst: 1, start: math.Inf(1)}
	}
	return rateControl{cut: fleetCut, grow: fleetGrow, max: fleetMax, burst: fleetBurst, start: 1}
}

// connTableFull reports whether a connect failed at a full connection table, not at an endpoint that is down:
// at once, soon after a success, with few failures. Idle ones then close after use. Drawback: handshakes.
func (d *Decider) connTableFull(ep *endpoint, latency time.Duration) bool {
	if ep.consecFailures >= maxTableFullRun || latency > quickLoss || d.now-ep.lastOK > recentSuccess {
		return false
	}
	ep.consecFailures++
	if d.now >= ep.tableFullUntil {
		d.logf("connections: connection table of %s is full, closing idle connections", ep.id)
	}
	ep.tableFullUntil = d.now + tableFullPeriod
	d.emit(CloseIdle{Endpoint: ep.id})
	return true
}

func (d *Decider) onSuccess(k *call, latency time.Duration) {
	c, ep := k.endpoint.circuit, k.endpoint
	ep.consecFailures, ep.lastOK = 0, d.now
	d.strayFailures.addRun(c.consecFailures, d.outageThreshold(&d.strayFailures), maxTallyCalls)
	d.strayRefusals.addRun(c.consecRefusals, d.outageThreshold(&d.strayRefusals), maxTallyCalls)
	c.consecFailures, c.consecRefusals, c.lastOK = 0, 0, d.now
	if !k.long {
		d.onLatency(k, latency)
	}
	c.successes.add(d.now, successDecay)
	d.successes.add(d.now, successDecay)
	if p, base := d.rateControl(), d.rateBase(c); c.rateLimit > 0 {
		c.rateLimit = math.Min(c.rateLimit+p.grow*base, p.max*base)
	}
	d.recordOutcome(c, false)
	if brief := d.now < c.outageSince+minOutage && k.sentAt >= c.outageSince; c.slowStart && c.recoveredAt < 0 {
		c.slowStart = !c.slowStartByConns || !brief
		if c.recoveredAt = d.now; d.largeFleet() { // it recovered earlier: each forwarder calls rarely
			c.recoveredAt -= (d.now - c.outageSeenAt) / 4
		}
	}
	switch c.state {
	case open: // an answer from a stalled circuit: it is slow or back
		d.setBreaker(c, halfOpen)
	case halfOpen:
		if c.trialsOK++; c.trialsOK >= trialsToClose {
			d.setBreaker(c, closed)
		}
	}
}

// onLatency updates latency factor, class mean and call limit with a successful call's latency.
func (d *Decider) onLatency(k *call, latency time.Duration) {
	c, cs := k.endpoint.circuit, k.class
	if k.size > 1 {
		more := (latency.Seconds()/(cs.meanSec*c.latencyFactor) - 1) / float64(k.size-1)
		d.batchGrowth = math.Max(0, d.batchGrowth+classGain*(math.Min(more, 1)-d.batchGrowth))
	}
	sec := latency.Seconds() / d.callWeight(k.size)
	c.latencyFactor += latencyFactorGain * (sec/cs.meanSec - c.latencyFactor)
	c.latencyFactor = math.Min(maxLatencyFactor, math.Max(minLatencyFactor, c.latencyFactor))
	cs.meanSec = math.Max(1e-4, cs.meanSec+classGain*(math.Min(sec/c.latencyFactor, 3*cs.meanSec)-cs.meanSec))
	if latency <= cs.Target {
		c.callLimit = math.Min(d.callLimitCeil(), c.callLimit+callLimitStep)
	} else {
		c.callLimit = math.Max(1, c.callLimit-callLimitStep)
	}
}

// onRefusal tells a rate limit, which lowers the allowed rate, from an outage. Refusals without a success, or
// a long Retry-After, are an outage. If no refusal has carried a Retry-After, a spent limit explains them and
// an outage takes longer to detect; otherwise a refusal with the limit reported as unspent is an outage's.
func (d *Decider) onRefusal(c *circuit, wait time.Duration) {
	d.refusedAt[c.kind] = d.now
	if c.consecRefusals++; c.consecRefusals == 1 {
		c.refusedSince = d.now
	}
	if d.now >= c.rateCutAt+rateCutInterval {
		c.rateCutAt = d.now
		if c.rateLimit == 0 { // no limit known: start from the recent rate
			c.tokensAt = d.now
			c.rateLimit = float64(len(c.recentCalls)) / max(d.cfg.TipAfter, time.Second).Seconds()
		}
		p, base := d.rateControl(), d.rateBase(c)
		c.rateLimit = math.Max(rateMin*base, math.Min(c.rateLimit, p.max*base)*p.cut)
	}
	c.tokens = math.Min(c.tokens, 0)
	if wait == 0 && !d.largeFleet() {
		c.tokens = math.Min(c.tokens, -float64(min(c.consecRefusals, maxTokenDebt)))
	}
	least, span := d.outageThreshold(&d.strayRefusals), retryRefused/2
	if d.largeFleet() && c.limitRemaining < 0 { // each sees few calls, and the limit refuses all
		least, span = max(least, fleetRefusals), quietPeriod
	}
	d.retryAfterSeen = d.retryAfterSeen || wait > 0
	explained := !d.retryAfterSeen && c.limitRemaining >= 0 && c.limitRemaining < unspentShare
	if explained { // by the limit
		span = quietPeriod
	}
	unspent := d.retryAfterSeen && c.limitRemaining >= unspentShare && d.now-c.lastOK > quietPeriod
	quiet := d.now - max(c.lastOK, c.refusedSince)
	if unspent || c.consecRefusals >= least && quiet > span || wait > outageRetryAfter {
		d.beginSlowStart(c, c.refusedSince, explained && wait <= outageRetryAfter && c.consecRefusals <= least+1)
	}
	if c.state != closed {
		d.recordOutcome(c, true)
		d.trip(c, "trial refused")
	} else if quiet > quietPeriod && c.consecRefusals >= least+tripExtraFailures+1 {
		d.trip(c, "refusals only")
	}
}

func (d *Decider) onFailure(c *circuit, ep *endpoint, o Outcome) {
	if c.consecFailures++; c.consecFailures == 1 {
		c.failedSince = d.now
	}
	c.onlyLostConns = ep.lostConn && (c.onlyLostConns || c.consecFailures == 1)
	ep.consecFailures++
	c.callLimit = d.callLimitFloor()
	d.recordOutcome(c, true)
	least := d.outageThreshold(&d.strayFailures)
	// In a large fleet one failure is enough if stray ones are rare and no other endpoint has succeeded since.
	single := d.largeFleet() && least == minOutageRun && ep.lastOK >= c.lastOK && o == ConnectFailed
	if c.consecFailures >= least || single {
		d.beginSlowStart(c, c.failedSince, false)
		c.slowStartByConns = c.onlyLostConns
	}
	switch {
	case c.state != closed:
		d.trip(c, "trial failed")
	case len(c.window) >= minWindow && c.failureShare() >= tripFailureShare:
		d.trip(c, "failure rate")
	case c.consecFailures >= least+tripExtraFailures:
		d.trip(c, "consecutive failures")
	}
}

// outageThreshold returns how many consecutive failures are unlikely by chance: the loss share of a healthy
// circuit is that in runs that a success ended. Drawback: at high shares an outage is seen some calls later.
func (d *Decider) outageThreshold(t *lossTally) int {
	share := (t.lost + 1) / (t.calls + strayPriorCalls)
	return max(minOutageRun, int(math.Ceil(math.Log(chanceThreshold)/math.Log(share))))
}

func (d *Decider) trip(c *circuit, why string) {
	if c.state == open {
		return
	}
	if c.state == closed {
		c.openFor = openFirst
		d.logf("breaker %s: open (%s)", c.name, why)
	} else {
		c.openFor = min(openMax, time.Duration(openGrowth*float64(c.openFor)))
	}
	d.beginSlowStart(c, d.now, false)
	c.openUntil = d.now + time.Duration(d.jitter()*float64(c.openFor))
	d.setBreaker(c, open)
}

// stuckAfter returns the age at which a call counts as stuck.
func (d *Decider) stuckAfter(k *call) time.Duration {
	usual := k.class.meanSec * k.endpoint.circuit.latencyFactor * d.callWeight(k.size)
	return max(minStall, time.Duration(stallFactor*usual*float64(time.Second)))
}

// callWeight returns the work of a call with that many messages, relative to a call with one.
func (d *Decider) callWeight(size int) float64 { return 1 + d.batchGrowth*float64(size-1) }

// detectStalls opens a breaker if calls are out far too long with no success since the oldest was sent.
func (d *Decider) detectStalls() {
	for _, dest := range d.busy {
		for _, c := range dest.circuits {
			late := 0
			for _, k := range c.inflight {
				limit, age := d.stuckAfter(k), d.now-k.sentAt
				if age > limit && !d.lostToIdleConn(k, TimedOut, age) && c.lastOK < k.sentAt {
					late++
					if age > 2*limit {
						late++
					}
				}
			}
			if late >= stalledCallsToTrip && c.state == closed {
				c.callLimit = d.callLimitFloor()
				d.trip(c, "stalled calls")
			}
		}
	}
}

// ---- sending ----

func (d *Decider) callLimitFloor() float64 {
	return math.Max(1, math.Floor(callLimitStart*float64(d.cfg.Slots)))
}

func (d *Decider) callLimitCeil() float64 {
	return math.Max(1, math.Ceil(callLimitTop*float64(d.cfg.Slots))-1)
}

// admits reports whether the circuit takes one more call now.
func (d *Decider) admits(c *circuit) bool {
	if d.now < c.waitUntil || float64(len(c.inflight)) >= c.callLimit {
		return false
	}
	if c.state == open && d.now < c.openUntil || c.state != closed && c.trialsOut > c.trialsOK {
		return false
	}
	p := d.rateControl()
	if c.rateLimit == 0 {
		if cmp.Or(c.reportedLimit, c.capacityHint) <= 0 { // unknown until a refusal shows it
			return d.now >= d.nextSlowStartCall(c)
		}
		c.rateLimit, c.tokensAt, c.tokens = math.Min(d.capacity(c), p.max*d.rateBase(c)), d.now, p.start
	}
	depth := math.Max(p.burst, c.rateLimit*rateBurst.Seconds())
	c.tokens = math.Min(c.tokens+c.rateLimit*(d.now-c.tokensAt).Seconds(), depth)
	c.tokensAt = d.now
	return c.tokens >= 1 && d.now >= d.nextSlowStartCall(c)
}

// pickEndpoint chooses a message's endpoint: with the fewest failures of its class and itself, since others'
// successes hide these, then with fewest failures, fewest calls out, and by this forwarder's random order.
func (d *Decider) pickEndpoint(c *circuit, m *message) *endpoint {
	failures := func(ep *endpoint) (n int) {
		if k := ep.classFailures[m.class]; d.now < k.lastAt+classFailurePeriod {
			n = k.consecutive
		}
		if m.avoidEndpoint == ep {
			n++
		}
		return n
	}
	var best *endpoint
	for _, ep := range c.endpoints {
		if ep.readiness != Serving || !d.maySend(m, ep) {
			continue
		}
		if best == nil || cmp.Or(failures(ep)-failures(best), ep.consecFailures-best.consecFailures,
			ep.inflight-best.inflight, cmp.Compare(ep.rank, best.rank)) < 0 {
			best = ep
		}
	}
	return best
}

// inTurn reports whether the order of its key allows the message to be sent.
func (d *Decider) inTurn(m *message) bool {
	q := d.keyQueues[m.key]
	if q == nil || !m.class.InOrder {
		return true
	}
	return q.queue[0] == m && (d.now >= q.gapUntil || q.gapFor == m)
}

// ready reports whether the message's retry wait is over and its turn has come.
func (d *Decider) ready(m *message) bool { return d.now >= m.notBefore && d.inTurn(m) }

// batchReady reports whether a call should be sent now. At a kind with recent refusals, messages that can
// share a call wait for others until one has used part of its target, which costs no worth. This saves calls
// under any limit. Drawback: less time for a retry.
func (d *Decider) batchReady(c *circuit) bool {
	if at, ok := d.refusedAt[c.kind]; c.batch <= 1 || !ok || d.now > at+limitedPeriod {
		return true
	}
	n := 0
	for _, m := range c.dest.held {
		if d.ready(m) {
			n++
			due := m.deadline - m.class.DeliveryTimeout + time.Duration(batchWaitShare*float64(m.class.Target))
			if n >= c.batch || d.now >= due {
				return true
			}
		}
	}
	return false
}

// chooseBest selects the destination's best message to send: most worth and cost of waiting per slot time.
func (d *Decider) chooseBest(dest *destination) {
	dest.bestMessage, dest.bestCircuit, dest.bestScore = nil, nil, 0
	if len(dest.held) == 0 || dest.inflight >= int(d.callLimitCeil()) {
		return
	}
	for _, c := range dest.circuits {
		if !d.admits(c) || !d.batchReady(c) {
			continue
		}
		for _, m := range dest.held {
			if m.long || !d.ready(m) || d.pickEndpoint(c, m) == nil {
				continue
			}
			took := d.expectedLatency(m.class, c)
			v := d.worthAt(m, d.now+took)
			if v <= 0 || !d.fitsBeforeShutdown(m, took) {
				continue
			}
			v -= urgencyShare*d.worthAt(m, d.now+took+lookAhead) + c.zoneFee*d.meanWorth
			score := c.callScore(v, took)
			if c.state != closed || c.tryNext { // trials: least loss, not always the same message
				score /= float64(1 + m.attempts)
				if m.class.Effect == Unsafe {
					score *= unsafeTrialWeight
				}
			}
			if dest.bestMessage == nil || score > dest.bestScore {
				dest.bestMessage, dest.bestCircuit, dest.bestScore = m, c, score
			}
		}
	}
}

// fitsBeforeShutdown reports whether a call of this usual latency ends before the shutdown; an unsafe message
// needs a wider margin, since a lost answer ends it.
func (d *Decider) fitsBeforeShutdown(m *message, took time.Duration) bool {
	room := shutdownRoom
	if m.class.Effect == Unsafe {
		room *= shutdownRoomUnsafe
	}
	return d.shutdownAt == 0 || d.now+time.Duration(room*float64(took)) < d.shutdownAt
}

// dispatch fills the free slots with the best messages of all destinations.
func (d *Decider) dispatch() {
	for _, dest := range d.busy {
		d.chooseBest(dest)
	}
	for {
		var top *destination
		for _, dest := range d.busy {
			if dest.bestMessage != nil && (top == nil || dest.bestScore > top.bestScore) {
				top = dest
			}
		}
		if top == nil {
			return
		}
		if d.slotsUsed >= d.cfg.Slots {
			d.cancelStuck()
			return
		}
		d.send(top.bestMessage, top.bestCircuit)
		d.chooseBest(top)
	}
}

// dispatchLong starts long messages, in slots of their own, where a circuit admits them. If its breaker is
// not closed, one at a time: a trial that takes long must not keep others from closing the breaker.
func (d *Decider) dispatchLong() {
	for _, dest := range d.busy {
		for i := len(dest.held) - 1; i >= 0 && d.longSlotsUsed < d.cfg.LongSlots; i-- {
			m := dest.held[len(dest.held)-1-i] // oldest first; a sent message leaves the list
			for _, c := range dest.circuits {
				if m.long && d.ready(m) && d.pickEndpoint(c, m) != nil &&
					(c.state == closed || c.longCalls == 0) && d.admits(c) {
					d.sendLong(m, c)
					break
				}
			}
		}
	}
}

// sendLong sends a long message; only its expiry cuts the call.
func (d *Decider) sendLong(m *message, c *circuit) {
	ep := d.pickEndpoint(c, m)
	if c.state == open {
		d.setBreaker(c, halfOpen)
	}
	k := &call{endpoint: ep, class: m.class, sentAt: d.now, round: d.round, jitter: d.jitter(), tallied: true}
	k.long = true
	d.beginAttempt(m, k)
	c.tokens--
	ep.usedAt = d.now
	d.recordCall(c, 1)
	d.emit(Send{ID: m.id, Endpoint: ep.id, CutAt: m.expiresAt, NewConnection: d.wantsNewConn(m)})
}

// send sends the message in one call with all others ready for the endpoint, up to the batch limit of its
// kind and the slow-start budget. They share one outcome, so an unsafe message never joins a trial.
func (d *Decider) send(m *message, c *circuit) {
	ep := d.pickEndpoint(c, m)
	if c.state == open {
		d.setBreaker(c, halfOpen)
	}
	k := ep.lastCall
	if k == nil || k.round != d.round || k.size >= c.batch { // otherwise it joins the call of this round
		k = &call{endpoint: ep, class: m.class, sentAt: d.now, round: d.round, jitter: d.jitter()}
		k.trial = c.state == halfOpen
		if ep.lastCall = k; k.trial {
			c.trialsOut++
		}
		if k.idleFor = d.now - ep.usedAt; d.idleLimit > 0 && k.idleFor > d.idleLimit {
			k.idleFor = 0
			d.emit(CloseIdle{Endpoint: ep.id})
		}
		c.tokens--
	}
	ep.usedAt = d.now
	with, most := []*message{m}, c.batch-k.size
	if c.slowStart {
		if room := d.slowStartRoom(c, d.slowStartBudget(c)); room >= 1 {
			most = min(most, 1+int((room-1)/math.Max(0.01, d.batchGrowth)))
		}
	}
	for _, o := range m.dest.held {
		if len(with) < most && o != m && !o.long && d.ready(o) && d.pickEndpoint(c, o) == ep &&
			(!k.trial || o.class.Effect != Unsafe) {
			with = append(with, o)
		}
	}
	for _, o := range with {
		d.beginAttempt(o, k)
	}
	weight := d.callWeight(k.size)
	d.recordCall(c, weight)
	usual := k.class.meanSec * c.latencyFactor * weight
	limit := max(minCallTimeout, time.Duration(timeoutFactor*usual*float64(time.Second)))
	for _, o := range with {
		cut := min(o.deadline, cmp.Or(d.shutdownAt, o.deadline))
		if o.class.Effect != Unsafe {
			cut = min(cut, d.now+limit)
		}
		d.emit(Send{ID: o.id, Endpoint: ep.id, CutAt: cut, NewConnection: d.wantsNewConn(o)})
	}
}

// cancelStuck frees a slot for waiting messages by cancelling a stuck call. The age decides: a stall that is
// over leaves calls without an answer. Drawback: at a circuit that just became slow some calls are lost.
func (d *Decider) cancelStuck() {
	if !d.cfg.MayCancel {
		return
	}
	var worst *call
	low := 0.0
	for k := range d.calls() {
		age, least, worth := d.now-k.sentAt, minCallTimeout, 0.0
		for _, m := range k.messages {
			if worth += m.worth; m.class.Effect == Unsafe {
				least = unsafeStuckAfter
			}
		}
		if k.cancelled || age < max(least, d.stuckAfter(k)) {
			continue
		}
		if worst == nil || worth < low || worth == low && k.sentAt < worst.sentAt {
			worst, low = k, worth
		}
	}
	if worst != nil {
		worst.cancelled = true
		for _, m := range worst.messages {
			d.emit(Cancel{ID: m.id, Attempt: m.attempts - 1})
		}
	}
}
