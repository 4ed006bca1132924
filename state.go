package mulleinbeam

// The memory of a courier and its bookkeeping; decisions and figures are in decide.go.

import (
	"fmt"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// recallFor is how long what an earlier life knew of a lane waits for it to be listed.
const recallFor = 10 * time.Minute

// shedLogEvery is how often a full hold is logged, at most.
const shedLogEvery = 10 * time.Second

// neverOK is a lane's lastOK before its first success.
const neverOK = -time.Hour

type breakerState int

const (
	closed breakerState = iota
	open
	halfOpen
)

var stateNames = [...]string{"closed", "open", "half-open"}

// message is one that was taken; it stays known until it has ended and no attempt is out.
type message struct {
	id        MessageID
	class     *classState
	key       OrderKey
	dest      *destination
	deadline  time.Duration
	worth     float64
	attempts  int
	backoff   time.Duration // the last retry wait
	notBefore time.Duration
	call      *call         // the attempt that is out
	avoid     *endpoint     // the endpoint that failed it last
	mayRun    bool          // an attempt may have taken effect
	ranAt     time.Duration // when the first such attempt was sent
	ranZone   string
	ended     bool
	long      bool          // its body is passed on as it comes
	until     time.Duration // of a long one: when its time is up; its deadline is that for the next call to begin
	spent     bool          // its body is gone
	owed      bool          // an earlier life took it on, and no call of it has been made
}

// waits is the moment that the message waits for: one that is owed goes by what was told alone.
func (m *message) waits(free, told time.Duration) time.Duration {
	if m.owed {
		return told
	}
	return free
}

// call is what goes to an endpoint as one: a message, or several that were sent there in one round.
type call struct {
	ep        *endpoint
	class     *classState // the slowest of its messages'
	msgs      []*message  // those not yet answered for
	size      int         // messages sent with it
	sentAt    time.Duration
	round     uint64  // the Handle that sent it
	spread    float64 // how its messages' next wait varies, the same for all
	cancelled bool
	trial     bool
	heard     bool          // its outcome was learned
	served    bool          // as a success
	idle      time.Duration // how long the endpoint's connections had idled; 0 if the connection is known to be new
	tallied   bool          // it is in a tally
	dead      bool          // it was lost to an old connection
	long      bool          // it carries a long message
}

type classState struct {
	Class
	mean float64 // seconds a call takes at a lane of pace 1
}

type endpoint struct {
	id         EndpointID
	zone       string
	lane       *lane
	tightUntil time.Duration // its connection table was full: idle connections are closed until then
	state      Readiness
	goneAt     time.Duration
	rank       uint64 // its place in this courier's own order
	inflight   int
	run        int // failures in a row
	lastOK     time.Duration
	failedAt   time.Duration // the latest refusal, failed connect or reset
	lostConn   bool          // the latest outcome is a failed connect or a reset
	usedAt     time.Duration // when a call to it last began or ended
	latest     *call         // the last one sent there
	bad        map[*classState]mark
}

// mark counts the failures in a row of one class at an endpoint.
type mark struct {
	run int
	at  time.Duration
}

// sent is a call by its time and weight.
type sent struct {
	at     time.Duration
	weight float64
}

// lane is the scope of breaker, cap, waits and pacing: a destination, or one route where routes are apart.
type lane struct {
	name       string
	dest       *destination
	eps        []*endpoint // those listed
	known      int         // those remembered
	batch      int         // messages that may share a call
	kind       string
	hint       float64
	fee        float64
	due        bool   // the next call goes here; see Entry
	apart      bool   // it is one route
	place      string // whose endpoints it has, where places are separate
	state      breakerState
	window     []bool // true is a failure
	openUntil  time.Duration
	openFor    time.Duration
	trialsOut  int
	trialsOK   int
	cap        float64
	inflight   []*call // but for those with long messages,
	longs      int     // whose number this is
	waitUntil  time.Duration
	fullRun    int
	fullSince  time.Duration // first refusal of the run
	badSince   time.Duration // first failure of the run
	badRun     int
	lastOK     time.Duration
	rate       float64 // paced calls a second
	bucket     float64
	bucketAt   time.Duration
	cutAt      time.Duration
	left       float64 // share of the limit told last; negative if none was told with the latest answer
	heard      float64 // the limit in x1, where others told it; see Hear
	x1         float64
	pace       float64 // latency relative to the classes' means
	guard      bool
	weak       bool          // raised by refusals that may be a limit's
	lastBad    time.Duration // latest sign of an outage
	phase      float64       // of the gap between guarded calls: when the first goes after a told wait
	runConn    bool          // the failures of the run are lost connections
	guardConn  bool          // and raised the guard
	guardSince time.Duration // first failure
	guardFrom  time.Duration // first success since; negative while there is none
	served     fading        // calls
	sends      []sent
	gaps       float64 // under guard, that are to pass behind the latest call: its weight; as the guard is raised a part, by chance
	lastSend   time.Duration
}

type destination struct {
	id       DestinationID
	lanes    []*lane
	held     []*message
	asked    fading // messages handed in for it
	inflight int
	listed   bool     // among the busy ones
	best     *message // dispatch's choice
	bestLane *lane
	score    float64
}

// pacing is how a paced rate moves: shares of the rate or of the part that it is measured by, and calls in one go.
type pacing struct {
	cut   float64 // what a refusal leaves of the rate
	grow  float64 // what a success adds, of the part
	top   float64 // of the part: the most
	depth float64 // calls that may be sent in one go, at least
	first float64 // the same when a life begins, at most: a release begins the lives of most of a fleet at once
}

// tally counts calls and how many were lost.
type tally struct{ n, lost float64 }

// add counts a call; beyond most calls the tally is halved.
func (t *tally) add(lost bool, most float64) {
	if t.n++; lost {
		t.lost++
	}
	if t.n > most {
		t.n, t.lost = t.n/2, t.lost/2
	}
}

// addRun counts a success and the failures in a row before it, a few at most.
func (t *tally) addRun(run, few int, most float64) {
	for range min(run, few) {
		t.add(true, most)
	}
	t.add(false, most)
}

// fading is a count whose old entries fade.
type fading struct {
	n    float64
	last time.Duration
}

func (f *fading) at(now, over time.Duration) float64 {
	return f.n * math.Exp(-(now-f.last).Seconds()/over.Seconds())
}

func (f *fading) add(now, over time.Duration) { f.n, f.last = f.at(now, over)+1, now }

// seconds is over how long a count that fades over a time has gone on: less soon after the start.
func (d *Decider) seconds(over time.Duration) float64 {
	return over.Seconds() * (1 - math.Exp(-(d.now-d.startAt).Seconds()/over.Seconds()))
}

// rateOf is a fading count's rate a second.
func (d *Decider) rateOf(f *fading, over time.Duration) float64 {
	return f.at(d.now, over) / math.Max(1, d.seconds(over))
}

// turn is the queue of one order key.
type turn struct {
	queue     []*message
	restUntil time.Duration
	restFor   *message
}

type tenantState struct {
	rate, bucket float64
	at           time.Duration
}

// Decider makes the decisions of one courier. It is not safe for concurrent use.
type Decider struct {
	s         Settings
	rng       *rand.Rand
	now       time.Duration
	round     uint64 // counts the calls of Handle
	out       []Action
	classes   map[string]*classState
	meanWorth float64
	growth    float64       // of a call's time, by each further message
	longest   time.Duration // deadline of any class
	msgs      map[MessageID]*message
	heldCount int
	slotsUsed int
	longUsed  int
	dests     map[DestinationID]*destination
	busy      []*destination // those with messages held or calls out, longest first
	forgetAt  time.Duration
	eps       map[EndpointID]*endpoint
	turns     map[OrderKey]*turn
	tenants   map[string]*tenantState
	wakeAt    time.Duration // when the next look is due; 0 is none asked for
	idleBound time.Duration // connections that idled longer are taken for dead; 0 is none known
	paused    tally         // calls after a pause
	others    tally         // all other calls
	idleHitAt time.Duration
	onKept    tally                    // calls on connections that had carried others, and those reset
	onFresh   tally                    // the same on new ones
	fullAt    map[string]time.Duration // by kind: the latest refusal
	startAt   time.Duration
	served    fading        // calls, anywhere
	strayBad  tally         // calls served, and failures in runs that a success ended
	strayFull tally         // the same of refusals
	tells     bool          // a refusal has told a wait
	askAt     time.Duration // when to ask for the list next; 0 is never
	askWait   time.Duration
	shedLogAt time.Duration
	closeAt   time.Duration               // when this life ends; 0 is not known
	recalled  map[laneName]LearnedCircuit // of an earlier life, not taken up yet
}

// enqueue gives a message of an ordered class its turn.
func (d *Decider) enqueue(m *message) {
	if !m.class.InOrder || m.key == 0 {
		return
	}
	t := d.turns[m.key]
	if t == nil {
		t = &turn{}
		d.turns[m.key] = t
	}
	t.queue = append(t.queue, m)
}

func (d *Decider) do(a Action) { d.out = append(d.out, a) }

func (d *Decider) logf(format string, args ...any) { d.do(Log{Text: fmt.Sprintf(format, args...)}) }

// New starts a courier's decisions with an empty memory.
func New(s Settings, seed uint64) (*Decider, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	d := blank(s, seed)
	d.growth = growthFirst
	for _, c := range s.Classes {
		d.classes[c.Name] = &classState{Class: c, mean: firstGuess * c.Target.Seconds()}
		d.longest = max(d.longest, c.DeliveryTimeout)
		d.meanWorth += c.Worth / float64(len(s.Classes))
	}
	for _, t := range s.Tenants {
		rate := t.AllowancePerS / float64(s.Forwarders)
		d.tenants[t.Name] = &tenantState{rate: rate, bucket: math.Max(1, rate*tenantDepth.Seconds())}
	}
	return d, nil
}

// blank is a courier with an empty memory.
func blank(s Settings, seed uint64) *Decider {
	return &Decider{
		s: s, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		classes: map[string]*classState{}, msgs: map[MessageID]*message{},
		dests: map[DestinationID]*destination{}, eps: map[EndpointID]*endpoint{},
		turns: map[OrderKey]*turn{}, tenants: map[string]*tenantState{}, fullAt: map[string]time.Duration{},
	}
}

// find gives the endpoint of an entry, new ones included; nil is one that is gone without having been known.
func (d *Decider) find(en Entry) *endpoint {
	ep := d.eps[en.Endpoint]
	if ep != nil && ep.lane.dest.id != en.Destination { // moved: what was seen tells nothing there
		d.setState(ep, Deleted)
		ep.lane.known--
		delete(d.eps, en.Endpoint)
		ep = nil
	}
	if ep == nil && en.Readiness != Deleted {
		ep = d.remember(en)
	}
	if ep != nil && en.Readiness == Serving {
		ep.lane.due = en.TryNext
	}
	return ep
}

// dueFirst is how many times its score a call counts that has to find out how a lane stands: more than any other's.
const dueFirst = 1e6

// score ranks a call of some value that is expected to take so long: worth per slot time.
func (l *lane) score(value float64, took time.Duration) float64 {
	score := math.Max(value, 1e-6) / math.Max(0.005, took.Seconds())
	if l.due {
		score *= dueFirst
	}
	return score
}

// remember makes room for a listed endpoint, and for its lane where that is new: nothing is known of either.
func (d *Decider) remember(en Entry) *endpoint {
	dest := d.dest(en.Destination)
	var l *lane
	place := ""
	if d.s.SeparateZones {
		place = en.Zone
	}
	i := slices.IndexFunc(dest.lanes, func(l *lane) bool { return l.place == place })
	if apart := d.s.SeparateRoutes[en.Kind]; !apart && i >= 0 {
		l = dest.lanes[i]
	} else {
		l = &lane{
			name: fmt.Sprintf("destination %d", dest.id), dest: dest, kind: en.Kind, pace: 1, cap: d.capFloor(),
			batch: max(1, d.s.BatchByKind[en.Kind]), guardFrom: -1, lastOK: neverOK, lastSend: -time.Hour, place: place,
		}
		if place != "" {
			l.name += " in " + place
		}
		if apart {
			l.name, l.fee, l.apart = string(en.Endpoint), d.s.ZoneFee[en.Zone], true
		}
		dest.lanes = append(dest.lanes, l)
	}
	ep := &endpoint{
		id: en.Endpoint, zone: en.Zone, lane: l, state: Deleted, rank: d.rng.Uint64(),
		lastOK: -time.Hour, usedAt: -time.Hour, bad: map[*classState]mark{},
	}
	d.eps[en.Endpoint] = ep
	l.known++
	return ep
}

// setState books what the list says of an endpoint; one that is gone leaves its lane.
func (d *Decider) setState(ep *endpoint, r Readiness) {
	if ep.state == Deleted && r != Deleted && !slices.Contains(ep.lane.eps, ep) {
		ep.lane.eps = append(ep.lane.eps, ep)
		d.recall(ep)
	}
	if r == Deleted {
		ep.lane.eps = slices.DeleteFunc(ep.lane.eps, func(o *endpoint) bool { return o == ep })
		ep.goneAt = d.now
	}
	served := ep.state == Serving
	if ep.state = r; served && r != Serving {
		d.departs(ep)
	}
}

// unlist books that a whole list leaves an endpoint out.
func (d *Decider) unlist(entries []Entry) {
	listed := map[EndpointID]bool{}
	for _, en := range entries {
		listed[en.Endpoint] = true
	}
	for id, ep := range d.eps { // the order makes no difference
		if !listed[id] && ep.state != Deleted {
			d.setState(ep, Deleted)
		}
	}
}

// logHold logs that the hold is full.
func (d *Decider) logHold() {
	if d.now >= d.shedLogAt {
		d.shedLogAt = d.now + shedLogEvery
		d.logf("hold: %d of %d, giving up the least worth", d.heldCount, d.s.MostHeld)
	}
}

func (d *Decider) dest(id DestinationID) *destination {
	dest := d.dests[id]
	if dest == nil {
		dest = &destination{id: id}
		d.dests[id] = dest
	}
	return dest
}

func (dest *destination) inUse() bool { return len(dest.held) > 0 || dest.inflight > 0 }

// hold puts a message into its destination's queue.
func (d *Decider) hold(m *message) {
	m.dest.held = append(m.dest.held, m)
	if !m.dest.listed {
		m.dest.listed = true
		d.busy = append(d.busy, m.dest)
	}
}

// calls goes through all calls that are out.
func (d *Decider) calls() iter.Seq[*call] {
	return func(yield func(*call) bool) {
		for _, dest := range d.busy {
			for _, l := range dest.lanes {
				for _, c := range l.inflight {
					if !yield(c) {
						return
					}
				}
			}
		}
	}
}

// setBreaker books a breaker's state; closing it forgets the outcomes that opened it.
func (d *Decider) setBreaker(l *lane, s breakerState) {
	if l.trialsOK = 0; s != open {
		l.openUntil = 0
	}
	if s == closed {
		l.window = nil
		d.logf("breaker %s: %s", l.name, stateNames[s])
	}
	l.state = s
}

// settle drops the destinations that have nothing left from the busy ones.
func (d *Decider) settle() {
	d.busy = slices.DeleteFunc(d.busy, func(dest *destination) bool {
		dest.listed = dest.inUse()
		return !dest.listed
	})
}

// forget drops what nothing needs any more: endpoints gone before a time, lanes without endpoints, destinations
// without lanes, turns that are over. Memory stays bounded by what is listed and held.
func (d *Decider) forget(before time.Duration) {
	if d.idleHitAt < before {
		d.idleBound = 0
	}
	maps.DeleteFunc(d.eps, func(_ EndpointID, ep *endpoint) bool {
		old := ep.state == Deleted && ep.inflight == 0 && ep.goneAt < before && ep.lane.waitUntil < d.now
		if old {
			ep.lane.known--
		}
		return old
	})
	if before > d.startAt+recallFor { // whoever is not listed by now will not be
		d.recalled = nil
	}
	maps.DeleteFunc(d.turns, func(_ OrderKey, t *turn) bool { return len(t.queue) == 0 && d.now >= t.restUntil })
	maps.DeleteFunc(d.dests, func(_ DestinationID, dest *destination) bool {
		dest.lanes = slices.DeleteFunc(dest.lanes, func(l *lane) bool { return l.known == 0 })
		return len(dest.lanes) == 0 && !dest.inUse()
	})
}

// end marks a message as answered; it is forgotten once no attempt is out.
func (d *Decider) end(m *message) {
	if !m.ended {
		m.ended = true
		d.count(m, -1)
	}
	if m.call != nil {
		return
	}
	m.dest.held = slices.DeleteFunc(m.dest.held, func(o *message) bool { return o == m })
	delete(d.msgs, m.id)
	if t := d.turns[m.key]; t != nil && m.class.InOrder {
		t.queue = slices.DeleteFunc(t.queue, func(o *message) bool { return o == m })
		if len(t.queue) == 0 && d.now >= t.restUntil {
			delete(d.turns, m.key)
		}
	}
}

func (d *Decider) record(l *lane, bad bool) {
	if l.window = append(l.window, bad); len(l.window) > windowSize {
		l.window = l.window[1:]
	}
}

// failShare is the share of failures among the outcomes remembered.
func (l *lane) failShare() float64 {
	fails := 0.0
	for _, bad := range l.window {
		if bad {
			fails++
		}
	}
	return fails / float64(max(1, len(l.window)))
}

// count books a message as one of those held; long ones have a bound of their own.
func (d *Decider) count(m *message, n int) {
	if !m.long {
		d.heldCount += n
	}
}

// note books a call that goes out now, by its weight.
func (d *Decider) note(l *lane, weight float64) {
	l.lastSend, l.gaps = d.now, weight
	old := func(s sent) bool { return s.at <= d.now-d.s.TipAfter }
	l.sends = slices.DeleteFunc(append(l.sends, sent{d.now, weight}), old)
}

// occupy books a message into a call that is about to go out, or goes out in this round.
func (d *Decider) occupy(m *message, c *call) {
	switch {
	case c.long:
		d.longUsed++
		c.ep.inflight++
		c.ep.lane.longs++
	case len(c.msgs) == 0:
		d.slotsUsed++
		c.ep.inflight++
		m.dest.inflight++
		c.ep.lane.inflight = append(c.ep.lane.inflight, c)
	}
	m.call, m.owed = c, false
	m.attempts++
	c.msgs = append(c.msgs, m)
	if c.size++; m.class.mean > c.class.mean {
		c.class = m.class
	}
	m.dest.held = slices.DeleteFunc(m.dest.held, func(o *message) bool { return o == m })
}

// release books the end of a message's attempt; its call holds the slot until all its messages are answered for.
func (d *Decider) release(m *message) {
	c, l := m.call, m.call.ep.lane
	m.call = nil
	if c.msgs = slices.DeleteFunc(c.msgs, func(o *message) bool { return o == m }); len(c.msgs) > 0 {
		return
	}
	c.ep.inflight--
	if c.long {
		d.longUsed--
		l.longs--
		return
	}
	d.slotsUsed--
	m.dest.inflight--
	l.inflight = slices.DeleteFunc(l.inflight, func(o *call) bool { return o == c })
	if c.trial {
		l.trialsOut--
	}
}
