package simulation

import (
	"cmp"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/scenario"
)

const (
	clockStart = 24 * time.Hour // of a life's module clock: what lies before that life has room
	pushBack   = time.Second
)

// message is one handing in of a wish.
type message struct {
	id       mb.MessageID
	wish     *wish
	deadline time.Duration
	call     *call
	attempts int
	mayRun   bool // a call of it may have run, whatever the forwarder knows
	ranAt    time.Duration
	booked   booking
	effects  int
	ended    bool
	since    time.Duration // when its present forwarder took it over; 0 is not
}

// booking is what a forwarder's journal says of a message's calls to its next life.
type booking struct {
	mayRun bool
	at     time.Duration
	atKill bool // only because a call was out at a kill
}

// mayHaveRun books a call that may have run, in the journal too.
func (m *message) mayHaveRun(at time.Duration, kill bool) {
	if !m.mayRun {
		m.mayRun, m.ranAt = true, at
	}
	if !m.booked.mayRun {
		m.booked = booking{true, at, kill}
	}
}

// call is an attempt that is out.
type call struct {
	m         *message
	endpoint  *endpoint
	partner   *partner
	number    int
	sentAt    time.Duration
	begun     bool // its first byte was written,
	begunAt   time.Duration
	over      bool // answered, cut or cancelled
	cancelled bool
}

// told is a wait that a partner has told, to a life of a forwarder.
type told struct {
	until time.Duration
	life  uint64
}

// host is one forwarder: the decision module and what stands round it, with what outlasts a kill. held is its journal.
type host struct {
	w       *Simulation
	name    int
	seed    uint64
	life    uint64
	up      bool
	startAt time.Duration
	d       *mb.Decider
	held    map[mb.MessageID]*message
	order   []mb.MessageID // of held, oldest first; ended ones are passed over
	out     int
	known   map[mb.EndpointID]mb.Readiness
	waits   map[mb.DestinationID]told          // over its lives
	saw     map[mb.DestinationID]time.Duration // the latest outage that this life has learned of, by when the partner was back
	saved   mb.LearnedState
	savedAt time.Duration
}

func (h *host) clock() time.Duration { return clockStart + h.w.now - h.startAt }

func (h *host) settings() mb.Settings {
	s := h.w.s
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

// start begins a life: it recalls what an earlier one has saved, if that is to be, takes the list and resumes what is held.
func (h *host) start() {
	h.life++
	h.up, h.startAt, h.out = true, h.w.now, 0
	d, err := mb.New(h.settings(), h.seed+h.life)
	if err != nil {
		panic(err) // the scenario was checked; these are its figures
	}
	h.d, h.known, h.saw = d, map[mb.EndpointID]mb.Readiness{}, map[mb.DestinationID]time.Duration{}
	if h.waits == nil {
		h.waits = map[mb.DestinationID]told{}
	}
	if h.w.s.Learned.Enabled {
		if h.life > 1 {
			h.d.Restore(h.clock(), h.w.figures.Weigh(h.saved, h.w.now-h.savedAt, false))
		}
		h.save(h.life)
	}
	h.learn(mb.EndpointUpdate{Scope: mb.ListWhole, Entries: append([]mb.Entry(nil), h.w.list...)})
	rest := h.order[:0]
	for _, id := range h.order {
		m := h.held[id]
		if m == nil {
			continue
		}
		rest = append(rest, id)
		m.call = nil
		h.resume(m)
	}
	h.order = rest
}

// resume hands what an earlier life had taken on to the module, with its past.
func (h *host) resume(m *message) {
	e := mb.Submit{ID: m.id, Class: m.wish.class.Name, TimeLeft: m.deadline - h.w.now, Destination: m.wish.partner.id, Attempts: m.attempts, Resumed: true}
	if m.booked.mayRun {
		e.MayHaveRun = &mb.PriorAttempt{SentAgo: h.w.now - m.booked.at, Zone: "z"}
	}
	h.handle(e)
}

// save keeps what was learned, at intervals as long as this life lasts.
func (h *host) save(life uint64) {
	if !h.up || h.life != life {
		return
	}
	if h.w.now > h.startAt {
		h.saved, h.savedAt = h.d.Snapshot(h.clock()), h.w.now
	}
	h.w.at(h.w.now+h.w.s.Learned.SaveInterval.D(), func() { h.save(life) })
}

// kill ends a life at once. Calls that are out go on at their endpoints, and may run; the next life takes them for that, and so
// does whoever takes over from copies. With the folder goes what nobody has a copy of.
func (h *host) kill(lost bool) {
	w := h.w
	h.up = false
	var owed []*message
	for _, id := range h.order {
		m := h.held[id]
		if m == nil {
			continue
		}
		owed = append(owed, m)
		if c := m.call; c != nil && !c.over {
			if c.over = true; c.begun {
				m.mayHaveRun(c.begunAt, true)
			}
		}
	}
	w.result.Kills++
	w.result.KillTimes = append(w.result.KillTimes, w.now)
	if lost {
		w.result.FoldersLost++
		clear(h.held)
		h.order, h.saved = nil, mb.LearnedState{}
	}
	life := h.life
	switch {
	case w.s.Copies.Enabled:
		w.at(w.now+w.s.Copies.TakeoverDelay.D(), func() {
			if !lost && !h.up && h.life == life { // whoever comes back later finds that it is somebody else's
				clear(h.held)
				h.order = nil
				h.takenOver(owed)
			} else if lost {
				h.takenOver(owed)
			}
		})
	case lost:
		for _, m := range owed {
			w.checks.gone(m)
		}
	}
}

// takenOver has another forwarder go on with what an ended life owed.
func (h *host) takenOver(owed []*message) {
	w := h.w
	var up []*host
	for _, o := range w.hosts {
		if o.up && o != h {
			up = append(up, o)
		}
	}
	if len(up) == 0 { // until one of them is back
		w.at(w.now+w.s.Copies.TakeoverDelay.D(), func() { h.takenOver(owed) })
		return
	}
	taker := up[w.rng.IntN(len(up))]
	for _, m := range owed {
		m.call, m.since = nil, w.now
		taker.held[m.id] = m
		taker.order = append(taker.order, m.id)
		w.result.TakenOver++
	}
	for _, m := range owed {
		taker.resume(m)
	}
}

func (h *host) learn(e mb.EndpointUpdate) {
	for _, en := range e.Entries {
		h.known[en.Endpoint] = en.Readiness
	}
	h.handle(e)
}

// submit takes a wish as a new message.
func (h *host) submit(x *wish) {
	w := h.w
	if len(h.held) >= w.s.Fleet.MostHeld {
		x.refused(pushBack)
		return
	}
	w.nextID++
	m := &message{id: w.nextID, wish: x, deadline: x.until}
	h.held[m.id] = m
	h.order = append(h.order, m.id)
	w.checks.taken(m)
	h.handle(mb.Submit{ID: m.id, Class: x.class.Name, TimeLeft: x.until - w.now, Destination: x.partner.id})
}

// handle feeds the module and does what it says.
func (h *host) handle(e mb.Event) {
	for _, a := range h.d.Handle(h.clock(), []mb.Event{e}) {
		switch a := a.(type) {
		case mb.Send:
			h.send(a)
		case mb.Refuse:
			if m := h.held[a.ID]; m != nil {
				h.end(m, Refused)
				m.wish.refused(max(a.RetryAfter, time.Millisecond))
			}
		case mb.Fail:
			if m := h.held[a.ID]; m != nil {
				h.end(m, Failed)
				h.w.result.Classes[m.wish.class.Name].Failed++
			}
		case mb.Cancel:
			if m := h.held[a.ID]; m != nil && m.call != nil && m.call.number == a.Attempt {
				c, life := m.call, h.life
				c.cancelled = true
				h.w.at(h.w.now, func() {
					if h.life == life {
						h.answer(c, mb.Cancelled, 0)
					}
				})
			}
		case mb.SetTimer:
			life := h.life
			h.w.at(h.w.now+a.After, func() {
				if h.up && h.life == life {
					h.handle(mb.Timer{Cookie: a.Cookie})
				}
			})
		}
	}
}

// end ends a message; its call, if one is out, still has to come back.
func (h *host) end(m *message, how MessageOutcome) {
	h.w.checks.ended(m, how)
	m.ended = true
	delete(h.held, m.id)
}

// send makes a call: it reaches its endpoint a little later, and what comes back does so a little after that.
func (h *host) send(a mb.Send) {
	m := h.held[a.ID]
	w := h.w
	if m == nil {
		return
	}
	p := w.byName[a.Endpoint]
	var e *endpoint
	for _, x := range p.endpoints {
		if x.name == a.Endpoint {
			e = x
		}
	}
	if e == nil {
		e = &endpoint{name: a.Endpoint, gone: true}
	}
	c := &call{m: m, endpoint: e, partner: p, number: m.attempts, sentAt: w.now}
	m.call = c
	m.attempts++
	h.out++
	w.checks.sent(h, c)
	life := h.life
	cut := m.deadline
	if a.CutAt > 0 {
		cut = min(cut, w.now+a.CutAt-h.clock())
	}
	w.at(cut, func() {
		if h.life == life {
			h.answer(c, mb.TimedOut, 0)
		}
	})
	if p.connect == 0 {
		h.begin(c)
		return
	}
	w.at(w.now+p.connect, func() {
		if h.up && h.life == life && !c.over {
			h.begin(c)
		}
	})
}

// begin writes a call's first byte once its connection is up, if that may still go.
func (h *host) begin(c *call) {
	w, m, p, life := h.w, c.m, c.partner, h.life
	if c.sentAt < w.now && (h.known[c.endpoint.name] != mb.Serving || !h.d.MayBegin(h.clock(), m.id) && !w.without[w.forbids(c)]) {
		w.result.NotSent++
		h.answer(c, mb.NotSent, 0)
		return
	}
	if c.begun, c.begunAt = true, w.now; w.without[scenario.SafeguardOutAtKill] && m.booked.atKill {
		m.booked = booking{} // the record of this call stands in that one's place
	}
	w.checks.begun(h, c)
	w.at(w.now+network, func() {
		f := p.take(w.now, c.endpoint, h.life == life && h.saw[p.id] == p.backAt && p.backAt >= 0)
		if f.cold {
			w.result.ColdCalls++
			if at := w.now - p.backAt; at < early {
				w.result.EarlyColdCalls++
			}
		}
		if f.outcome == mb.Refused {
			w.result.OverLimit++
		}
		if f.after < 0 {
			return
		}
		done := w.now + f.after
		if f.runs {
			w.at(done, func() {
				if f.outcome == mb.Reset || p.alive(w.now) || p.silent { // an outage on the way takes it along
					w.checks.ran(m)
				}
			})
		}
		w.at(done+network, func() {
			if !h.up || h.life != life {
				return
			}
			out := f.outcome
			if out == mb.OK && !p.alive(done) {
				out = mb.Reset
			}
			h.answer(c, out, f.wait)
		})
	})
}

// forbids names the safeguard that forbids a call to begin now.
func (w *Simulation) forbids(c *call) scenario.Safeguard {
	if c.m.mayRun && w.now >= c.m.ranAt+c.m.wish.class.KeyTTL.D() {
		return scenario.SafeguardKeyTTL
	}
	return scenario.SafeguardRetryAfter
}

var outcomes = map[mb.Outcome]string{
	mb.OK: "answered 200", mb.Failed: "failed", mb.Refused: "refused", mb.TimedOut: "timed out", mb.ConnectFailed: "no connection",
	mb.Reset: "reset", mb.Cancelled: "cancelled", mb.NotSent: "not sent",
}

// answer books the end of a call.
func (h *host) answer(c *call, out mb.Outcome, wait time.Duration) {
	m := c.m
	if c.over || !h.up {
		return
	}
	c.over = true
	m.call = nil
	h.out--
	if out == mb.TimedOut && c.cancelled {
		out = mb.Cancelled
	}
	if !c.begun && (out == mb.TimedOut || out == mb.Cancelled) {
		out = mb.ConnectFailed
	}
	switch out {
	case mb.Failed, mb.TimedOut, mb.Reset, mb.Cancelled:
		m.mayHaveRun(c.begunAt, false)
	case mb.Refused:
		if until := h.w.now + wait; until > h.waits[c.partner.id].until {
			h.waits[c.partner.id] = told{until, h.life}
		}
	case mb.OK:
		if !m.ended {
			h.end(m, Delivered)
			h.w.deliver(m)
		}
	}
	if p := c.partner; out != mb.OK && out != mb.NotSent && h.w.now < p.down+network {
		h.saw[p.id] = p.backAt
	}
	h.w.trace(m, "attempt %d: %s", c.number, outcomes[out])
	h.handle(mb.Answer{
		ID: m.id, Attempt: c.number, Endpoint: c.endpoint.name, Outcome: out, Latency: h.w.now - c.sentAt, Settled: m.ended, RetryAfter: wait,
	})
}
