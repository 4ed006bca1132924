package mulleinbeam

// The state of a forwarder's decisions and its upkeep; the decisions and their constants are in decide.go.

import (
	"fmt"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// restoreWindow is how long the restored state of a circuit is kept until one of its endpoints is listed.
const restoreWindow = 10 * time.Minute

// shedLogInterval is the least time between two log lines about shedding.
const shedLogInterval = 10 * time.Second

// neverOK is a circuit's lastOK before its first success.
const neverOK = -time.Hour

type breakerState int

const (
	closed breakerState = iota
	open
	halfOpen
)

var stateNames = [...]string{"closed", "open", "half-open"}

// message is an accepted message; it stays known until it has ended and no attempt is out.
type message struct {
	id            MessageID
	class         *classState
	key           OrderKey
	dest          *destination
	deadline      time.Duration
	worth         float64
	attempts      int
	retryWait     time.Duration // the latest
	notBefore     time.Duration
	call          *call         // the attempt that is out
	avoidEndpoint *endpoint     // failed its latest attempt
	mayHaveRun    bool          // an attempt may have taken effect
	ranAt         time.Duration // when the first such attempt was sent
	ranZone       string
	ended         bool
	long          bool          // its body is streamed
	expiresAt     time.Duration // of a long message; its deadline is that of the next call's start
	bodyConsumed  bool          // its body can't be sent again
	untried       bool          // accepted by an earlier process and in no call yet
}

// readyAt returns when the message can be sent next: an untried one waits for a Retry-After alone.
func (m *message) readyAt(free, retryAt time.Duration) time.Duration {
	if m.untried {
		return retryAt
	}
	return free
}

// call is one call to an endpoint, with one message or several that were sent in one round.
type call struct {
	endpoint  *endpoint
	class     *classState // the slowest of its messages
	messages  []*message  // those without an answer
	size      int         // messages sent with it
	sentAt    time.Duration
	round     uint64  // the call of Handle that sent it
	jitter    float64 // factor of its messages' next retry wait
	cancelled bool
	trial     bool
	counted   bool          // its outcome has been counted
	succeeded bool          // counted as a success
	idleFor   time.Duration // how long the endpoint's connections were idle; 0 if the connection is new
	tallied   bool          // it is in a loss tally
	staleConn bool          // lost to a connection that died while idle
	long      bool          // it carries a long message
}

type classState struct {
	Class
	meanSec float64 // seconds that a call takes at a circuit with latency factor 1
}

type endpoint struct {
	id             EndpointID
	zone           string
	circuit        *circuit
	tableFullUntil time.Duration // a connection table was full: close idle connections until then
	readiness      Readiness
	removedAt      time.Duration
	rank           uint64 // random order of this forwarder
	inflight       int
	consecFailures int
	lastOK         time.Duration
	unavailableAt  time.Duration // the latest refusal, failed connect or reset
	lostConn       bool          // the latest outcome is a failed connect or a reset
	usedAt         time.Duration // start or end of the latest call
	lastCall       *call         // the latest
	classFailures  map[*classState]classFailures
}

// classFailures counts consecutive failures of one class at an endpoint.
type classFailures struct {
	consecutive int
	lastAt      time.Duration
}

// sentCall is the time and weight of a call.
type sentCall struct {
	at     time.Duration
	weight float64
}

// circuit is what has one breaker, call limit, Retry-After and rate limit: a destination, its endpoints in one zone, or
// a single endpoint, see Settings.SeparateZones and Settings.SeparateRoutes.
type circuit struct {
	name             string
	dest             *destination
	endpoints        []*endpoint // those listed
	knownEndpoints   int         // listed ones and removed ones not yet forgotten
	batch            int         // messages that may share a call
	kind             string
	capacityHint     float64
	zoneFee          float64
	tryNext          bool   // the next call goes here; see Entry
	separateRoute    bool   // it is a single endpoint
	zone             string // of its endpoints, with SeparateZones
	state            breakerState
	window           []bool // true is a failure
	openUntil        time.Duration
	openFor          time.Duration
	trialsOut        int
	trialsOK         int
	callLimit        float64
	inflight         []*call // calls without long messages
	longCalls        int     // number of calls with long messages
	waitUntil        time.Duration
	consecRefusals   int
	refusedSince     time.Duration // first of the consecutive refusals
	failedSince      time.Duration // first of the consecutive failures
	consecFailures   int
	lastOK           time.Duration
	rateLimit        float64 // calls a second; 0 is none
	tokens           float64
	tokensAt         time.Duration
	rateCutAt        time.Duration
	limitRemaining   float64 // reported remaining share of the limit; negative if the latest answer reported none
	peerLimit        float64 // value of reportedLimit if others reported it; see ApplyObservations
	reportedLimit    float64
	latencyFactor    float64 // latency relative to the classes' means
	slowStart        bool
	weakSlowStart    bool          // started by refusals that may be due to a limit
	outageSeenAt     time.Duration // latest sign of an outage
	gapPhase         float64       // random part of a slow-start gap to wait after a Retry-After
	onlyLostConns    bool          // the consecutive failures are all lost connections
	slowStartByConns bool          // only lost connections started slow start
	outageSince      time.Duration // first failure or refusal
	recoveredAt      time.Duration // first success since; negative while there is none
	successes        decayingCount
	recentCalls      []sentCall
	gapsDue          float64 // slow-start gaps to wait after the latest call: its weight, or a random part at the start
	lastSend         time.Duration
}

type destination struct {
	id          DestinationID
	circuits    []*circuit
	held        []*message
	submitted   decayingCount // messages submitted for it
	inflight    int
	busy        bool     // it is in Decider.busy
	bestMessage *message // selected by chooseBest
	bestCircuit *circuit
	bestScore   float64
}

// rateControl is how a rate limit changes, in shares of the limit or of the rate base.
type rateControl struct {
	cut   float64 // share of the limit left by a refusal
	grow  float64 // share of the base added by a success
	max   float64 // highest limit as a share of the base
	burst float64 // least burst, in calls
	start float64 // most tokens at the start, in calls: a release restarts most of a fleet at once
}

// lossTally counts calls and how many of them were lost.
type lossTally struct{ calls, lost float64 }

// add counts a call; beyond that many calls the tally is halved.
func (t *lossTally) add(lost bool, most float64) {
	if t.calls++; lost {
		t.lost++
	}
	if t.calls > most {
		t.calls, t.lost = t.calls/2, t.lost/2
	}
}

// addRun counts a success and the consecutive failures before it, up to few of them.
func (t *lossTally) addRun(run, few int, most float64) {
	for range min(run, few) {
		t.add(true, most)
	}
	t.add(false, most)
}

// decayingCount is a count that decays exponentially.
type decayingCount struct {
	count     float64
	updatedAt time.Duration
}

func (c *decayingCount) at(now, over time.Duration) float64 {
	return c.count * math.Exp(-(now-c.updatedAt).Seconds()/over.Seconds())
}

func (c *decayingCount) add(now, over time.Duration) { c.count, c.updatedAt = c.at(now, over)+1, now }

// decaySeconds returns the time that a count with this decay time covers: less soon after the start.
func (d *Decider) decaySeconds(over time.Duration) float64 {
	return over.Seconds() * (1 - math.Exp(-(d.now-d.startedAt).Seconds()/over.Seconds()))
}

// rateOf returns the rate of a decaying count, per second.
func (d *Decider) rateOf(c *decayingCount, over time.Duration) float64 {
	return c.at(d.now, over) / math.Max(1, d.decaySeconds(over))
}

// keyQueue holds the messages of one order key.
type keyQueue struct {
	queue    []*message
	gapUntil time.Duration
	gapFor   *message
}

type tenantState struct {
	rate, tokens float64
	tokensAt     time.Duration
}

// Decider makes the decisions of one forwarder. It is not safe for concurrent use.
type Decider struct {
	cfg              Settings
	rng              *rand.Rand
	now              time.Duration
	round            uint64 // number of calls of Handle
	actions          []Action
	classes          map[string]*classState
	meanWorth        float64
	batchGrowth      float64       // share of a call's time that each further message adds
	maxTimeout       time.Duration // longest delivery timeout of any class
	messages         map[MessageID]*message
	heldCount        int
	slotsUsed        int
	longSlotsUsed    int
	destinations     map[DestinationID]*destination
	busy             []*destination // those with messages held or calls out, oldest first
	cleanupAt        time.Duration
	endpoints        map[EndpointID]*endpoint
	keyQueues        map[OrderKey]*keyQueue
	tenants          map[string]*tenantState
	timerAt          time.Duration // when the next timer is due; 0 is none
	idleLimit        time.Duration // connections idle for longer are taken for dead; 0 is no limit
	afterIdle        lossTally     // calls after an idle pause
	others           lossTally     // all other calls
	idleLossAt       time.Duration
	reusedConnection lossTally                // calls on reused connections, and resets among them
	newConnection    lossTally                // the same on new connections
	refusedAt        map[string]time.Duration // by kind: the latest refusal
	startedAt        time.Duration
	successes        decayingCount // of all circuits
	strayFailures    lossTally     // successes, and failures in runs that a success ended
	strayRefusals    lossTally     // the same of refusals
	retryAfterSeen   bool          // a refusal has carried a Retry-After
	subscribeAt      time.Duration // when to subscribe next; 0 is never
	subscribeBackoff time.Duration
	shedLoggedAt     time.Duration
	shutdownAt       time.Duration                 // 0 if no shutdown is announced
	restored         map[circuitKey]LearnedCircuit // state of an earlier process whose circuits are not listed yet
}

// enqueueByKey appends a message of an ordered class to the queue of its key.
func (d *Decider) enqueueByKey(m *message) {
	if !m.class.InOrder || m.key == 0 {
		return
	}
	q := d.keyQueues[m.key]
	if q == nil {
		q = &keyQueue{}
		d.keyQueues[m.key] = q
	}
	q.queue = append(q.queue, m)
}

func (d *Decider) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Decider) logf(format string, args ...any) { d.emit(Log{Text: fmt.Sprintf(format, args...)}) }

// New returns the decider of one forwarder, without learned state.
func New(s Settings, seed uint64) (*Decider, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	d := newDecider(s, seed)
	d.batchGrowth = batchGrowthStart
	for _, class := range s.Classes {
		d.classes[class.Name] = &classState{Class: class, meanSec: latencyGuessShare * class.Target.Seconds()}
		d.maxTimeout = max(d.maxTimeout, class.DeliveryTimeout)
		d.meanWorth += class.Worth / float64(len(s.Classes))
	}
	for _, t := range s.Tenants {
		rate := t.AllowancePerS / float64(s.Forwarders)
		d.tenants[t.Name] = &tenantState{rate: rate, tokens: math.Max(1, rate*tenantBurst.Seconds())}
	}
	return d, nil
}

// newDecider returns a decider without classes and tenants.
func newDecider(s Settings, seed uint64) *Decider {
	return &Decider{
		cfg: s, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		classes: map[string]*classState{}, messages: map[MessageID]*message{},
		destinations: map[DestinationID]*destination{}, endpoints: map[EndpointID]*endpoint{},
		keyQueues: map[OrderKey]*keyQueue{}, tenants: map[string]*tenantState{}, refusedAt: map[string]time.Duration{},
	}
}

// endpointOf returns the endpoint of an entry and adds it if needed; nil for a removed one that was never known.
func (d *Decider) endpointOf(en Entry) *endpoint {
	ep := d.endpoints[en.Endpoint]
	if ep != nil && ep.circuit.dest.id != en.Destination { // moved: what was learned does not apply there
		d.setReadiness(ep, Deleted)
		ep.circuit.knownEndpoints--
		delete(d.endpoints, en.Endpoint)
		ep = nil
	}
	if ep == nil && en.Readiness != Deleted {
		ep = d.addEndpoint(en)
	}
	if ep != nil && en.Readiness == Serving {
		ep.circuit.tryNext = en.TryNext
	}
	return ep
}

// tryNextFactor multiplies the score of calls to a circuit with tryNext: such a call comes before any other.
const tryNextFactor = 1e6

// callScore ranks a call by its value per slot time.
func (c *circuit) callScore(value float64, took time.Duration) float64 {
	score := math.Max(value, 1e-6) / math.Max(0.005, took.Seconds())
	if c.tryNext {
		score *= tryNextFactor
	}
	return score
}

// addEndpoint adds a listed endpoint, and its circuit if that is new, without learned state.
func (d *Decider) addEndpoint(en Entry) *endpoint {
	dest := d.destinationOf(en.Destination)
	var c *circuit
	zone := ""
	if d.cfg.SeparateZones {
		zone = en.Zone
	}
	i := slices.IndexFunc(dest.circuits, func(c *circuit) bool { return c.zone == zone })
	if separate := d.cfg.SeparateRoutes[en.Kind]; !separate && i >= 0 {
		c = dest.circuits[i]
	} else {
		c = &circuit{
			name: fmt.Sprintf("destination %d", dest.id), dest: dest, kind: en.Kind, latencyFactor: 1, callLimit: d.callLimitFloor(),
			batch: max(1, d.cfg.BatchByKind[en.Kind]), recoveredAt: -1, lastOK: neverOK, lastSend: -time.Hour, zone: zone,
		}
		if zone != "" {
			c.name += " in " + zone
		}
		if separate {
			c.name, c.zoneFee, c.separateRoute = string(en.Endpoint), d.cfg.ZoneFee[en.Zone], true
		}
		dest.circuits = append(dest.circuits, c)
	}
	ep := &endpoint{
		id: en.Endpoint, zone: en.Zone, circuit: c, readiness: Deleted, rank: d.rng.Uint64(),
		lastOK: -time.Hour, usedAt: -time.Hour, classFailures: map[*classState]classFailures{},
	}
	d.endpoints[en.Endpoint] = ep
	c.knownEndpoints++
	return ep
}

// setReadiness records an endpoint's state on the list; a removed endpoint leaves its circuit.
func (d *Decider) setReadiness(ep *endpoint, r Readiness) {
	if ep.readiness == Deleted && r != Deleted && !slices.Contains(ep.circuit.endpoints, ep) {
		ep.circuit.endpoints = append(ep.circuit.endpoints, ep)
		d.restoreCircuit(ep)
	}
	if r == Deleted {
		ep.circuit.endpoints = slices.DeleteFunc(ep.circuit.endpoints, func(o *endpoint) bool { return o == ep })
		ep.removedAt = d.now
	}
	served := ep.readiness == Serving
	if ep.readiness = r; served && r != Serving {
		d.clearDeparted(ep)
	}
}

// removeUnlisted removes the endpoints that are missing from a whole list.
func (d *Decider) removeUnlisted(entries []Entry) {
	listed := map[EndpointID]bool{}
	for _, en := range entries {
		listed[en.Endpoint] = true
	}
	for id, ep := range d.endpoints { // any order will do
		if !listed[id] && ep.readiness != Deleted {
			d.setReadiness(ep, Deleted)
		}
	}
}

// logShedding logs that too many messages are held.
func (d *Decider) logShedding() {
	if d.now >= d.shedLoggedAt {
		d.shedLoggedAt = d.now + shedLogInterval
		d.logf("held messages: %d of %d, abandoning the least worth", d.heldCount, d.cfg.MostHeld)
	}
}

func (d *Decider) destinationOf(id DestinationID) *destination {
	dest := d.destinations[id]
	if dest == nil {
		dest = &destination{id: id}
		d.destinations[id] = dest
	}
	return dest
}

func (dest *destination) inUse() bool { return len(dest.held) > 0 || dest.inflight > 0 }

// enqueueHeld appends a message to its destination's queue.
func (d *Decider) enqueueHeld(m *message) {
	m.dest.held = append(m.dest.held, m)
	if !m.dest.busy {
		m.dest.busy = true
		d.busy = append(d.busy, m.dest)
	}
}

// calls iterates over all calls that are out, except those with long messages.
func (d *Decider) calls() iter.Seq[*call] {
	return func(yield func(*call) bool) {
		for _, dest := range d.busy {
			for _, c := range dest.circuits {
				for _, k := range c.inflight {
					if !yield(k) {
						return
					}
				}
			}
		}
	}
}

// setBreaker changes a breaker's state; closing it clears its window.
func (d *Decider) setBreaker(c *circuit, s breakerState) {
	if c.trialsOK = 0; s != open {
		c.openUntil = 0
	}
	if s == closed {
		c.window = nil
		d.logf("breaker %s: %s", c.name, stateNames[s])
	}
	c.state = s
}

// dropIdleDestinations removes destinations without messages and calls from the busy ones.
func (d *Decider) dropIdleDestinations() {
	d.busy = slices.DeleteFunc(d.busy, func(dest *destination) bool {
		dest.busy = dest.inUse()
		return !dest.busy
	})
}

// removeStale drops endpoints removed before a time, circuits without endpoints, destinations without circuits and
// finished key queues. This bounds memory by what is listed and held.
func (d *Decider) removeStale(before time.Duration) {
	if d.idleLossAt < before {
		d.idleLimit = 0
	}
	maps.DeleteFunc(d.endpoints, func(_ EndpointID, ep *endpoint) bool {
		old := ep.readiness == Deleted && ep.inflight == 0 && ep.removedAt < before && ep.circuit.waitUntil < d.now
		if old {
			ep.circuit.knownEndpoints--
		}
		return old
	})
	if before > d.startedAt+restoreWindow { // no longer expected to be listed
		d.restored = nil
	}
	maps.DeleteFunc(d.keyQueues, func(_ OrderKey, q *keyQueue) bool { return len(q.queue) == 0 && d.now >= q.gapUntil })
	maps.DeleteFunc(d.destinations, func(_ DestinationID, dest *destination) bool {
		dest.circuits = slices.DeleteFunc(dest.circuits, func(c *circuit) bool { return c.knownEndpoints == 0 })
		return len(dest.circuits) == 0 && !dest.inUse()
	})
}

// mustNotRun reports whether a message may have run and must not run again.
func (m *message) mustNotRun() bool { return m.mayHaveRun && m.class.Effect == Unsafe }

// recordMayHaveRun records that an attempt which was answered as never run may have run.
func (d *Decider) recordMayHaveRun(e AttemptMayHaveRun) {
	if m := d.messages[e.ID]; m != nil && !m.mayHaveRun {
		m.mayHaveRun, m.ranAt, m.ranZone = true, d.now-e.SentAgo, e.Zone
	}
}

// maySend reports whether the rules allow sending the message to the endpoint now.
func (d *Decider) maySend(m *message, ep *endpoint) bool {
	return !m.mayHaveRun || m.class.Effect == Safe || m.class.Effect == Keyed &&
		d.now < d.repeatUntil(m) && (!m.class.SameZoneOnly || ep.zone == m.ranZone)
}

// finish marks a message as answered; it is forgotten once no attempt is out.
func (d *Decider) finish(m *message) {
	if !m.ended {
		m.ended = true
		d.countHeld(m, -1)
	}
	if m.call != nil {
		return
	}
	m.dest.held = slices.DeleteFunc(m.dest.held, func(o *message) bool { return o == m })
	delete(d.messages, m.id)
	if q := d.keyQueues[m.key]; q != nil && m.class.InOrder {
		q.queue = slices.DeleteFunc(q.queue, func(o *message) bool { return o == m })
		if len(q.queue) == 0 && d.now >= q.gapUntil {
			delete(d.keyQueues, m.key)
		}
	}
}

func (d *Decider) recordOutcome(c *circuit, bad bool) {
	if c.window = append(c.window, bad); len(c.window) > windowSize {
		c.window = c.window[1:]
	}
}

// failureShare returns the share of failures in the breaker's window.
func (c *circuit) failureShare() float64 {
	fails := 0.0
	for _, bad := range c.window {
		if bad {
			fails++
		}
	}
	return fails / float64(max(1, len(c.window)))
}

// countHeld adds n to the number of held messages; long ones have a limit of their own.
func (d *Decider) countHeld(m *message, n int) {
	if !m.long {
		d.heldCount += n
	}
}

// recordCall records the time and weight of a call that is sent now.
func (d *Decider) recordCall(c *circuit, weight float64) {
	c.lastSend, c.gapsDue = d.now, weight
	old := func(s sentCall) bool { return s.at <= d.now-d.cfg.TipAfter }
	c.recentCalls = slices.DeleteFunc(append(c.recentCalls, sentCall{d.now, weight}), old)
}

// beginAttempt adds a message to a call that is sent in this round.
func (d *Decider) beginAttempt(m *message, k *call) {
	switch {
	case k.long:
		d.longSlotsUsed++
		k.endpoint.inflight++
		k.endpoint.circuit.longCalls++
	case len(k.messages) == 0:
		d.slotsUsed++
		k.endpoint.inflight++
		m.dest.inflight++
		k.endpoint.circuit.inflight = append(k.endpoint.circuit.inflight, k)
	}
	m.call, m.untried = k, false
	m.attempts++
	k.messages = append(k.messages, m)
	if k.size++; m.class.meanSec > k.class.meanSec {
		k.class = m.class
	}
	m.dest.held = slices.DeleteFunc(m.dest.held, func(o *message) bool { return o == m })
}

// endAttempt ends a message's attempt; the call keeps its slot until all its messages have an answer.
func (d *Decider) endAttempt(m *message) {
	k, c := m.call, m.call.endpoint.circuit
	m.call = nil
	if k.messages = slices.DeleteFunc(k.messages, func(o *message) bool { return o == m }); len(k.messages) > 0 {
		return
	}
	k.endpoint.inflight--
	if k.long {
		d.longSlotsUsed--
		c.longCalls--
		return
	}
	d.slotsUsed--
	m.dest.inflight--
	c.inflight = slices.DeleteFunc(c.inflight, func(o *call) bool { return o == k })
	if k.trial {
		c.trialsOut--
	}
}
