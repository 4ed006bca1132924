package simulation

import (
	"cmp"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/scenario"
)

const (
	clockStart     = 24 * time.Hour // initial time of an incarnation's clock; leaves room for times before its start
	fullRetryAfter = time.Second    // for clients whose message is refused because too many are held
)

// message is one submission of a client's request.
type message struct {
	id          mb.MessageID
	request     *request
	deadline    time.Duration
	call        *call
	attempts    int
	mayHaveRun  bool // a call of it may have run, whether or not the forwarder knows
	ranAt       time.Duration
	journaled   callRecord
	effects     int
	ended       bool
	takenOverAt time.Duration // when its present forwarder took it over; 0 if none did
}

// callRecord is the journal's record of a message's calls, as the next incarnation reads it.
type callRecord struct {
	mayHaveRun bool
	at         time.Duration
	atKill     bool // only because a call was in progress at a kill
}

// recordMayHaveRun records a call that may have run, in the journal too.
func (m *message) recordMayHaveRun(at time.Duration, atKill bool) {
	if !m.mayHaveRun {
		m.mayHaveRun, m.ranAt = true, at
	}
	if !m.journaled.mayHaveRun {
		m.journaled = callRecord{true, at, atKill}
	}
}

// call is an attempt in progress.
type call struct {
	message     *message
	endpoint    *endpoint
	destination *destination
	number      int
	sentAt      time.Duration
	started     bool // its first byte was written
	startedAt   time.Duration
	ended       bool // answered, timed out or cancelled
	cancelled   bool
}

// retryAfter is a retry-after that an incarnation of a forwarder received.
type retryAfter struct {
	until       time.Duration
	incarnation uint64
}

// forwarder is a simulated forwarder: the decision module, its environment, and the state that survives a kill. held is
// the content of its journal.
type forwarder struct {
	sim          *Simulation
	name         int
	seed         uint64
	incarnation  uint64
	up           bool
	startedAt    time.Duration
	decider      *mb.Decider
	held         map[mb.MessageID]*message
	heldOrder    []mb.MessageID // keys of held, oldest first; may contain ended messages
	callsOut     int
	readiness    map[mb.EndpointID]mb.Readiness
	retryAfters  map[mb.DestinationID]retryAfter    // over all incarnations
	knownOutages map[mb.DestinationID]time.Duration // latest outage that this incarnation has noticed, by its recovery time
	saved        mb.LearnedState
	savedAt      time.Duration
}

func (fwd *forwarder) clock() time.Duration { return clockStart + fwd.sim.now - fwd.startedAt }

func (fwd *forwarder) settings() mb.Settings {
	s := fwd.sim.scenario
	settings := mb.Settings{
		Forwarders: cmp.Or(s.Fleet.ConfiguredForwarders, s.Fleet.Forwarders), Slots: s.Fleet.Slots, MostHeld: s.Fleet.MostHeld, MaxAttempts: 6, MayCancel: true,
		SendRetryAfter: true, MaxRetryAfter: 3 * time.Second, ConnectTimeout: time.Second, KeepAlive: 10 * time.Second,
		AnswerSlack: 20 * time.Millisecond, OverloadFactor: s.Rules.OverloadFactor, TipAfter: s.Rules.OverloadWindow.D(),
		ColdFrom: s.Rules.ColdFrom, WarmWithin: s.Rules.WarmWithin.D(),
	}
	for _, dest := range s.Destinations {
		settings.UseCapacityHints = settings.UseCapacityHints || dest.CapacityHint > 0
	}
	effects := map[string]mb.Effect{"safe": mb.Safe, "keyed": mb.Keyed, "unsafe": mb.Unsafe}
	for _, c := range s.Classes {
		settings.Classes = append(settings.Classes, mb.Class{
			Name: c.Name, Target: c.Target.D(), DeliveryTimeout: c.DeliveryTimeout.D(), Worth: c.Worth, LateWorth: scenario.LateWorth, Effect: effects[c.Effect],
			KeyTTL: c.KeyTTL.D(),
		})
	}
	return settings
}

// start starts an incarnation: it restores the learned state if enabled, applies the discovery list and resumes the
// held messages.
func (fwd *forwarder) start() {
	fwd.incarnation++
	fwd.up, fwd.startedAt, fwd.callsOut = true, fwd.sim.now, 0
	d, err := mb.New(fwd.settings(), fwd.seed+fwd.incarnation)
	if err != nil {
		panic(err) // cannot happen: the scenario was checked
	}
	fwd.decider, fwd.readiness, fwd.knownOutages = d, map[mb.EndpointID]mb.Readiness{}, map[mb.DestinationID]time.Duration{}
	if fwd.retryAfters == nil {
		fwd.retryAfters = map[mb.DestinationID]retryAfter{}
	}
	if fwd.sim.scenario.Learned.Enabled {
		if fwd.incarnation > 1 {
			fwd.decider.Restore(fwd.clock(), fwd.sim.figures.Weigh(fwd.saved, fwd.sim.now-fwd.savedAt, false))
		}
		fwd.save(fwd.incarnation)
	}
	fwd.updateEndpoints(mb.EndpointUpdate{Scope: mb.ListWhole, Entries: append([]mb.Entry(nil), fwd.sim.discoveryList...)})
	remaining := fwd.heldOrder[:0]
	for _, id := range fwd.heldOrder {
		m := fwd.held[id]
		if m == nil {
			continue
		}
		remaining = append(remaining, id)
		m.call = nil
		fwd.resume(m)
	}
	fwd.heldOrder = remaining
}

// resume submits a message that was accepted earlier to the decision module, with its record of earlier calls.
func (fwd *forwarder) resume(m *message) {
	e := mb.Submit{ID: m.id, Class: m.request.class.Name, TimeLeft: m.deadline - fwd.sim.now, Destination: m.request.destination.id, Attempts: m.attempts, Resumed: true}
	if m.journaled.mayHaveRun {
		e.MayHaveRun = &mb.PriorAttempt{SentAgo: fwd.sim.now - m.journaled.at, Zone: "z"}
	}
	fwd.handle(e)
}

// save saves the learned state at intervals while this incarnation lasts.
func (fwd *forwarder) save(incarnation uint64) {
	if !fwd.up || fwd.incarnation != incarnation {
		return
	}
	if fwd.sim.now > fwd.startedAt {
		fwd.saved, fwd.savedAt = fwd.decider.Snapshot(fwd.clock()), fwd.sim.now
	}
	fwd.sim.schedule(fwd.sim.now+fwd.sim.scenario.Learned.SaveInterval.D(), func() { fwd.save(incarnation) })
}

// kill ends an incarnation at once. Its calls in progress continue at their endpoints and may run, so the next
// incarnation or the forwarder that takes over from copies treats them as such. If the folder is lost, messages without
// copies are lost too.
func (fwd *forwarder) kill(lost bool) {
	sim := fwd.sim
	fwd.up = false
	var messages []*message
	for _, id := range fwd.heldOrder {
		m := fwd.held[id]
		if m == nil {
			continue
		}
		messages = append(messages, m)
		if c := m.call; c != nil && !c.ended {
			if c.ended = true; c.started {
				m.recordMayHaveRun(c.startedAt, true)
			}
		}
	}
	sim.result.Kills++
	sim.result.KillTimes = append(sim.result.KillTimes, sim.now)
	if lost {
		sim.result.FoldersLost++
		clear(fwd.held)
		fwd.heldOrder, fwd.saved = nil, mb.LearnedState{}
	}
	incarnation := fwd.incarnation
	switch {
	case sim.scenario.Copies.Enabled:
		sim.schedule(sim.now+sim.scenario.Copies.TakeoverDelay.D(), func() {
			// A forwarder that restarts after the takeover no longer has these messages.
			if !lost && !fwd.up && fwd.incarnation == incarnation {
				clear(fwd.held)
				fwd.heldOrder = nil
				fwd.reassign(messages)
			} else if lost {
				fwd.reassign(messages)
			}
		})
	case lost:
		for _, m := range messages {
			sim.checker.lost(m)
		}
	}
}

// reassign gives the messages of an ended incarnation to another forwarder.
func (fwd *forwarder) reassign(messages []*message) {
	sim := fwd.sim
	var up []*forwarder
	for _, o := range sim.forwarders {
		if o.up && o != fwd {
			up = append(up, o)
		}
	}
	if len(up) == 0 { // tries again later, until a forwarder is up
		sim.schedule(sim.now+sim.scenario.Copies.TakeoverDelay.D(), func() { fwd.reassign(messages) })
		return
	}
	successor := up[sim.rng.IntN(len(up))]
	for _, m := range messages {
		m.call, m.takenOverAt = nil, sim.now
		successor.held[m.id] = m
		successor.heldOrder = append(successor.heldOrder, m.id)
		sim.result.TakenOver++
	}
	for _, m := range messages {
		successor.resume(m)
	}
}

func (fwd *forwarder) updateEndpoints(e mb.EndpointUpdate) {
	for _, entry := range e.Entries {
		fwd.readiness[entry.Endpoint] = entry.Readiness
	}
	fwd.handle(e)
}

// submit accepts a request as a new message, or refuses it if too many are held.
func (fwd *forwarder) submit(r *request) {
	sim := fwd.sim
	if len(fwd.held) >= sim.scenario.Fleet.MostHeld {
		r.retryLater(fullRetryAfter)
		return
	}
	sim.nextID++
	m := &message{id: sim.nextID, request: r, deadline: r.deadline}
	fwd.held[m.id] = m
	fwd.heldOrder = append(fwd.heldOrder, m.id)
	sim.checker.accepted(m)
	fwd.handle(mb.Submit{ID: m.id, Class: r.class.Name, TimeLeft: r.deadline - sim.now, Destination: r.destination.id})
}

// handle passes an event to the decision module and carries out its actions.
func (fwd *forwarder) handle(e mb.Event) {
	for _, a := range fwd.decider.Handle(fwd.clock(), []mb.Event{e}) {
		switch a := a.(type) {
		case mb.Send:
			fwd.send(a)
		case mb.Refuse:
			if m := fwd.held[a.ID]; m != nil {
				fwd.endMessage(m, Refused)
				m.request.retryLater(max(a.RetryAfter, time.Millisecond))
			}
		case mb.Fail:
			if m := fwd.held[a.ID]; m != nil {
				fwd.endMessage(m, Failed)
				fwd.sim.result.Classes[m.request.class.Name].Failed++
			}
		case mb.Cancel:
			if m := fwd.held[a.ID]; m != nil && m.call != nil && m.call.number == a.Attempt {
				c, incarnation := m.call, fwd.incarnation
				c.cancelled = true
				fwd.sim.schedule(fwd.sim.now, func() {
					if fwd.incarnation == incarnation {
						fwd.endCall(c, mb.Cancelled, 0)
					}
				})
			}
		case mb.SetTimer:
			incarnation := fwd.incarnation
			fwd.sim.schedule(fwd.sim.now+a.After, func() {
				if fwd.up && fwd.incarnation == incarnation {
					fwd.handle(mb.Timer{Cookie: a.Cookie})
				}
			})
		}
	}
}

// endMessage ends a message; a call of it in progress still has to end.
func (fwd *forwarder) endMessage(m *message, outcome MessageOutcome) {
	fwd.sim.checker.ended(m, outcome)
	m.ended = true
	delete(fwd.held, m.id)
}

// send starts a call and schedules its timeout and, once its connection is up, its first byte.
func (fwd *forwarder) send(a mb.Send) {
	m := fwd.held[a.ID]
	sim := fwd.sim
	if m == nil {
		return
	}
	dest := sim.byEndpoint[a.Endpoint]
	var e *endpoint
	for _, x := range dest.endpoints {
		if x.name == a.Endpoint {
			e = x
		}
	}
	if e == nil {
		e = &endpoint{name: a.Endpoint, gone: true}
	}
	c := &call{message: m, endpoint: e, destination: dest, number: m.attempts, sentAt: sim.now}
	m.call = c
	m.attempts++
	fwd.callsOut++
	sim.checker.sent(fwd, c)
	incarnation := fwd.incarnation
	cutAt := m.deadline
	if a.CutAt > 0 {
		cutAt = min(cutAt, sim.now+a.CutAt-fwd.clock())
	}
	sim.schedule(cutAt, func() {
		if fwd.incarnation == incarnation {
			fwd.endCall(c, mb.TimedOut, 0)
		}
	})
	if dest.connectTime == 0 {
		fwd.startCall(c)
		return
	}
	sim.schedule(sim.now+dest.connectTime, func() {
		if fwd.up && fwd.incarnation == incarnation && !c.ended {
			fwd.startCall(c)
		}
	})
}

// startCall writes a call's first byte once its connection is up, if the call is still permitted.
func (fwd *forwarder) startCall(c *call) {
	sim, m, dest, incarnation := fwd.sim, c.message, c.destination, fwd.incarnation
	if c.sentAt < sim.now && (fwd.readiness[c.endpoint.name] != mb.Serving || !fwd.decider.MayBegin(fwd.clock(), m.id) && !sim.disabled[sim.safeguardAgainst(c)]) {
		sim.result.NotSent++
		fwd.endCall(c, mb.NotSent, 0)
		return
	}
	if c.started, c.startedAt = true, sim.now; sim.disabled[scenario.SafeguardOutAtKill] && m.journaled.atKill {
		m.journaled = callRecord{} // the record of this call replaces that one
	}
	sim.checker.started(fwd, c)
	sim.schedule(sim.now+networkDelay, func() {
		f := dest.handleCall(sim.now, c.endpoint, fwd.incarnation == incarnation && fwd.knownOutages[dest.id] == dest.recoveredAt && dest.recoveredAt >= 0)
		if f.cold {
			sim.result.ColdCalls++
			if at := sim.now - dest.recoveredAt; at < earlyWindow {
				sim.result.EarlyColdCalls++
			}
		}
		if f.outcome == mb.Refused {
			sim.result.OverLimit++
		}
		if f.latency < 0 {
			return
		}
		done := sim.now + f.latency
		if f.takesEffect {
			sim.schedule(done, func() {
				if f.outcome == mb.Reset || dest.isUp(sim.now) || dest.silent { // an outage during the call prevents the effect
					sim.checker.executed(m)
				}
			})
		}
		sim.schedule(done+networkDelay, func() {
			if !fwd.up || fwd.incarnation != incarnation {
				return
			}
			outcome := f.outcome
			if outcome == mb.OK && !dest.isUp(done) {
				outcome = mb.Reset
			}
			fwd.endCall(c, outcome, f.retryAfter)
		})
	})
}

// safeguardAgainst returns the safeguard that forbids starting a call now.
func (sim *Simulation) safeguardAgainst(c *call) scenario.Safeguard {
	if c.message.mayHaveRun && sim.now >= c.message.ranAt+c.message.request.class.KeyTTL.D() {
		return scenario.SafeguardKeyTTL
	}
	return scenario.SafeguardRetryAfter
}

var outcomes = map[mb.Outcome]string{
	mb.OK: "answered 200", mb.Failed: "failed", mb.Refused: "refused", mb.TimedOut: "timed out", mb.ConnectFailed: "no connection",
	mb.Reset: "reset", mb.Cancelled: "cancelled", mb.NotSent: "not sent",
}

// endCall records the end of a call and reports it to the decision module.
func (fwd *forwarder) endCall(c *call, outcome mb.Outcome, delay time.Duration) {
	m := c.message
	if c.ended || !fwd.up {
		return
	}
	c.ended = true
	m.call = nil
	fwd.callsOut--
	if outcome == mb.TimedOut && c.cancelled {
		outcome = mb.Cancelled
	}
	if !c.started && (outcome == mb.TimedOut || outcome == mb.Cancelled) {
		outcome = mb.ConnectFailed
	}
	switch outcome {
	case mb.Failed, mb.TimedOut, mb.Reset, mb.Cancelled:
		m.recordMayHaveRun(c.startedAt, false)
	case mb.Refused:
		if until := fwd.sim.now + delay; until > fwd.retryAfters[c.destination.id].until {
			fwd.retryAfters[c.destination.id] = retryAfter{until, fwd.incarnation}
		}
	case mb.OK:
		if !m.ended {
			fwd.endMessage(m, Delivered)
			fwd.sim.recordDelivery(m)
		}
	}
	if dest := c.destination; outcome != mb.OK && outcome != mb.NotSent && fwd.sim.now < dest.downUntil+networkDelay {
		fwd.knownOutages[dest.id] = dest.recoveredAt
	}
	fwd.sim.trace(m, "attempt %d: %s", c.number, outcomes[outcome])
	fwd.handle(mb.Answer{
		ID: m.id, Attempt: c.number, Endpoint: c.endpoint.name, Outcome: outcome, Latency: fwd.sim.now - c.sentAt, Settled: m.ended, RetryAfter: delay,
	})
}
