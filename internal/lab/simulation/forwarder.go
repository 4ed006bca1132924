package simulation

import (
	"cmp"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/scenario"
)

const (
	clockStart     = 24 * time.Hour // initial time of an incarnation's clock; leaves room for times before its start
	fullRetryAfter = time.Second
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
func (m *message) recordMayHaveRun(at time.Duration, kill bool) {
	if !m.mayHaveRun {
		m.mayHaveRun, m.ranAt = true, at
	}
	if !m.journaled.mayHaveRun {
		m.journaled = callRecord{true, at, kill}
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

// forwarder is a simulated forwarder: the decision module, its environment, and the state that survives a kill. held is the
// content of its journal.
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

func (h *forwarder) clock() time.Duration { return clockStart + h.sim.now - h.startedAt }

func (h *forwarder) settings() mb.Settings {
	s := h.sim.scenario
	out := mb.Settings{
		Forwarders: cmp.Or(s.Fleet.ConfiguredForwarders, s.Fleet.Forwarders), Slots: s.Fleet.Slots, MostHeld: s.Fleet.MostHeld, MaxAttempts: 6, MayCancel: true,
		SendRetryAfter: true, MaxRetryAfter: 3 * time.Second, ConnectTimeout: time.Second, KeepAlive: 10 * time.Second,
		AnswerSlack: 20 * time.Millisecond, OverloadFactor: s.Rules.OverloadFactor, TipAfter: s.Rules.OverloadWindow.D(),
		ColdFrom: s.Rules.ColdFrom, WarmWithin: s.Rules.WarmWithin.D(),
	}
	for _, p := range s.Destinations {
		out.UseCapacityHints = out.UseCapacityHints || p.CapacityHint > 0
	}
	effects := map[string]mb.Effect{"safe": mb.Safe, "keyed": mb.Keyed, "unsafe": mb.Unsafe}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, mb.Class{
			Name: c.Name, Target: c.Target.D(), DeliveryTimeout: c.DeliveryTimeout.D(), Worth: c.Worth, LateWorth: scenario.LateWorth, Effect: effects[c.Effect],
			KeyTTL: c.KeyTTL.D(),
		})
	}
	return out
}

// start starts an incarnation: it restores the learned state if enabled, applies the discovery list and resumes the held messages.
func (h *forwarder) start() {
	h.incarnation++
	h.up, h.startedAt, h.callsOut = true, h.sim.now, 0
	d, err := mb.New(h.settings(), h.seed+h.incarnation)
	if err != nil {
		panic(err) // cannot happen: the scenario was checked
	}
	h.decider, h.readiness, h.knownOutages = d, map[mb.EndpointID]mb.Readiness{}, map[mb.DestinationID]time.Duration{}
	if h.retryAfters == nil {
		h.retryAfters = map[mb.DestinationID]retryAfter{}
	}
	if h.sim.scenario.Learned.Enabled {
		if h.incarnation > 1 {
			h.decider.Restore(h.clock(), h.sim.figures.Weigh(h.saved, h.sim.now-h.savedAt, false))
		}
		h.save(h.incarnation)
	}
	h.updateEndpoints(mb.EndpointUpdate{Scope: mb.ListWhole, Entries: append([]mb.Entry(nil), h.sim.discoveryList...)})
	rest := h.heldOrder[:0]
	for _, id := range h.heldOrder {
		m := h.held[id]
		if m == nil {
			continue
		}
		rest = append(rest, id)
		m.call = nil
		h.resume(m)
	}
	h.heldOrder = rest
}

// resume submits a message that was accepted earlier to the decision module, with its record of earlier calls.
func (h *forwarder) resume(m *message) {
	e := mb.Submit{ID: m.id, Class: m.request.class.Name, TimeLeft: m.deadline - h.sim.now, Destination: m.request.destination.id, Attempts: m.attempts, Resumed: true}
	if m.journaled.mayHaveRun {
		e.MayHaveRun = &mb.PriorAttempt{SentAgo: h.sim.now - m.journaled.at, Zone: "z"}
	}
	h.handle(e)
}

// save saves the learned state at intervals while this incarnation lasts.
func (h *forwarder) save(incarnation uint64) {
	if !h.up || h.incarnation != incarnation {
		return
	}
	if h.sim.now > h.startedAt {
		h.saved, h.savedAt = h.decider.Snapshot(h.clock()), h.sim.now
	}
	h.sim.at(h.sim.now+h.sim.scenario.Learned.SaveInterval.D(), func() { h.save(incarnation) })
}

// kill ends an incarnation at once. Its calls in progress continue at their endpoints and may run, so the next incarnation or the
// forwarder that takes over from copies treats them as such. If the folder is lost, messages without copies are lost too.
func (h *forwarder) kill(lost bool) {
	w := h.sim
	h.up = false
	var owed []*message
	for _, id := range h.heldOrder {
		m := h.held[id]
		if m == nil {
			continue
		}
		owed = append(owed, m)
		if c := m.call; c != nil && !c.ended {
			if c.ended = true; c.started {
				m.recordMayHaveRun(c.startedAt, true)
			}
		}
	}
	w.result.Kills++
	w.result.KillTimes = append(w.result.KillTimes, w.now)
	if lost {
		w.result.FoldersLost++
		clear(h.held)
		h.heldOrder, h.saved = nil, mb.LearnedState{}
	}
	incarnation := h.incarnation
	switch {
	case w.scenario.Copies.Enabled:
		w.at(w.now+w.scenario.Copies.TakeoverDelay.D(), func() {
			if !lost && !h.up && h.incarnation == incarnation { // after a later restart the messages belong to another forwarder
				clear(h.held)
				h.heldOrder = nil
				h.reassign(owed)
			} else if lost {
				h.reassign(owed)
			}
		})
	case lost:
		for _, m := range owed {
			w.checker.lost(m)
		}
	}
}

// reassign gives the messages of an ended incarnation to another forwarder.
func (h *forwarder) reassign(owed []*message) {
	w := h.sim
	var up []*forwarder
	for _, o := range w.forwarders {
		if o.up && o != h {
			up = append(up, o)
		}
	}
	if len(up) == 0 { // tries again later, until a forwarder is up
		w.at(w.now+w.scenario.Copies.TakeoverDelay.D(), func() { h.reassign(owed) })
		return
	}
	taker := up[w.rng.IntN(len(up))]
	for _, m := range owed {
		m.call, m.takenOverAt = nil, w.now
		taker.held[m.id] = m
		taker.heldOrder = append(taker.heldOrder, m.id)
		w.result.TakenOver++
	}
	for _, m := range owed {
		taker.resume(m)
	}
}

func (h *forwarder) updateEndpoints(e mb.EndpointUpdate) {
	for _, en := range e.Entries {
		h.readiness[en.Endpoint] = en.Readiness
	}
	h.handle(e)
}

// submit accepts a request as a new message, or refuses it if too many are held.
func (h *forwarder) submit(x *request) {
	w := h.sim
	if len(h.held) >= w.scenario.Fleet.MostHeld {
		x.retryLater(fullRetryAfter)
		return
	}
	w.nextID++
	m := &message{id: w.nextID, request: x, deadline: x.deadline}
	h.held[m.id] = m
	h.heldOrder = append(h.heldOrder, m.id)
	w.checker.accepted(m)
	h.handle(mb.Submit{ID: m.id, Class: x.class.Name, TimeLeft: x.deadline - w.now, Destination: x.destination.id})
}

// handle passes an event to the decision module and carries out its actions.
func (h *forwarder) handle(e mb.Event) {
	for _, a := range h.decider.Handle(h.clock(), []mb.Event{e}) {
		switch a := a.(type) {
		case mb.Send:
			h.send(a)
		case mb.Refuse:
			if m := h.held[a.ID]; m != nil {
				h.endMessage(m, Refused)
				m.request.retryLater(max(a.RetryAfter, time.Millisecond))
			}
		case mb.Fail:
			if m := h.held[a.ID]; m != nil {
				h.endMessage(m, Failed)
				h.sim.result.Classes[m.request.class.Name].Failed++
			}
		case mb.Cancel:
			if m := h.held[a.ID]; m != nil && m.call != nil && m.call.number == a.Attempt {
				c, incarnation := m.call, h.incarnation
				c.cancelled = true
				h.sim.at(h.sim.now, func() {
					if h.incarnation == incarnation {
						h.endCall(c, mb.Cancelled, 0)
					}
				})
			}
		case mb.SetTimer:
			incarnation := h.incarnation
			h.sim.at(h.sim.now+a.After, func() {
				if h.up && h.incarnation == incarnation {
					h.handle(mb.Timer{Cookie: a.Cookie})
				}
			})
		}
	}
}

// endMessage ends a message; a call of it in progress still has to end.
func (h *forwarder) endMessage(m *message, how MessageOutcome) {
	h.sim.checker.ended(m, how)
	m.ended = true
	delete(h.held, m.id)
}

// send makes a call: it reaches its endpoint a little later, and what comes back does so a little after that.
func (h *forwarder) send(a mb.Send) {
	m := h.held[a.ID]
	w := h.sim
	if m == nil {
		return
	}
	p := w.byEndpoint[a.Endpoint]
	var e *endpoint
	for _, x := range p.endpoints {
		if x.name == a.Endpoint {
			e = x
		}
	}
	if e == nil {
		e = &endpoint{name: a.Endpoint, gone: true}
	}
	c := &call{message: m, endpoint: e, destination: p, number: m.attempts, sentAt: w.now}
	m.call = c
	m.attempts++
	h.callsOut++
	w.checker.sent(h, c)
	incarnation := h.incarnation
	cut := m.deadline
	if a.CutAt > 0 {
		cut = min(cut, w.now+a.CutAt-h.clock())
	}
	w.at(cut, func() {
		if h.incarnation == incarnation {
			h.endCall(c, mb.TimedOut, 0)
		}
	})
	if p.connectTime == 0 {
		h.startCall(c)
		return
	}
	w.at(w.now+p.connectTime, func() {
		if h.up && h.incarnation == incarnation && !c.ended {
			h.startCall(c)
		}
	})
}

// startCall writes a call's first byte once its connection is up, if the call is still permitted.
func (h *forwarder) startCall(c *call) {
	w, m, p, incarnation := h.sim, c.message, c.destination, h.incarnation
	if c.sentAt < w.now && (h.readiness[c.endpoint.name] != mb.Serving || !h.decider.MayBegin(h.clock(), m.id) && !w.disabled[w.safeguardAgainst(c)]) {
		w.result.NotSent++
		h.endCall(c, mb.NotSent, 0)
		return
	}
	if c.started, c.startedAt = true, w.now; w.disabled[scenario.SafeguardOutAtKill] && m.journaled.atKill {
		m.journaled = callRecord{} // the record of this call replaces that one
	}
	w.checker.started(h, c)
	w.at(w.now+networkDelay, func() {
		f := p.handleCall(w.now, c.endpoint, h.incarnation == incarnation && h.knownOutages[p.id] == p.recoveredAt && p.recoveredAt >= 0)
		if f.cold {
			w.result.ColdCalls++
			if at := w.now - p.recoveredAt; at < earlyWindow {
				w.result.EarlyColdCalls++
			}
		}
		if f.outcome == mb.Refused {
			w.result.OverLimit++
		}
		if f.latency < 0 {
			return
		}
		done := w.now + f.latency
		if f.takesEffect {
			w.at(done, func() {
				if f.outcome == mb.Reset || p.isUp(w.now) || p.silent { // an outage during the call prevents the effect
					w.checker.executed(m)
				}
			})
		}
		w.at(done+networkDelay, func() {
			if !h.up || h.incarnation != incarnation {
				return
			}
			out := f.outcome
			if out == mb.OK && !p.isUp(done) {
				out = mb.Reset
			}
			h.endCall(c, out, f.retryAfter)
		})
	})
}

// safeguardAgainst returns the safeguard that forbids starting a call now.
func (w *Simulation) safeguardAgainst(c *call) scenario.Safeguard {
	if c.message.mayHaveRun && w.now >= c.message.ranAt+c.message.request.class.KeyTTL.D() {
		return scenario.SafeguardKeyTTL
	}
	return scenario.SafeguardRetryAfter
}

var outcomes = map[mb.Outcome]string{
	mb.OK: "answered 200", mb.Failed: "failed", mb.Refused: "refused", mb.TimedOut: "timed out", mb.ConnectFailed: "no connection",
	mb.Reset: "reset", mb.Cancelled: "cancelled", mb.NotSent: "not sent",
}

// endCall records the end of a call and reports it to the decision module.
func (h *forwarder) endCall(c *call, out mb.Outcome, wait time.Duration) {
	m := c.message
	if c.ended || !h.up {
		return
	}
	c.ended = true
	m.call = nil
	h.callsOut--
	if out == mb.TimedOut && c.cancelled {
		out = mb.Cancelled
	}
	if !c.started && (out == mb.TimedOut || out == mb.Cancelled) {
		out = mb.ConnectFailed
	}
	switch out {
	case mb.Failed, mb.TimedOut, mb.Reset, mb.Cancelled:
		m.recordMayHaveRun(c.startedAt, false)
	case mb.Refused:
		if until := h.sim.now + wait; until > h.retryAfters[c.destination.id].until {
			h.retryAfters[c.destination.id] = retryAfter{until, h.incarnation}
		}
	case mb.OK:
		if !m.ended {
			h.endMessage(m, Delivered)
			h.sim.recordDelivery(m)
		}
	}
	if p := c.destination; out != mb.OK && out != mb.NotSent && h.sim.now < p.downUntil+networkDelay {
		h.knownOutages[p.id] = p.recoveredAt
	}
	h.sim.trace(m, "attempt %d: %s", c.number, outcomes[out])
	h.handle(mb.Answer{
		ID: m.id, Attempt: c.number, Endpoint: c.endpoint.name, Outcome: out, Latency: h.sim.now - c.sentAt, Settled: m.ended, RetryAfter: wait,
	})
}
