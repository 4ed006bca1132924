// Package connpool decides which kept connection carries the next call, when idle ones are closed, and what becomes
// doubtful when a connection receives bytes that belong to no call (a stray). HTTP/1.1 answers carry no id: on a
// connection that is used again an answer is assigned to its call by its position alone, so a stray that arrives behind
// the next request would be taken for that request's answer.
//
// Four rules follow. An answer that comes sooner than the endpoint is known to answer is held back until the call's own
// would have come. Where an endpoint answers too fast for that, a connection carries another call only after it has been
// silent for a while. A stray puts the latest answers of its connection in doubt. After a stray, connections to its
// endpoint carry one call each for some time.
//
// The package is a state machine: it reads no clock and does no input or output. Its methods are not safe for concurrent
// use.
package connpool

import (
	"slices"
	"time"
)

// Policy holds the limits and times of a Pool.
type Policy struct {
	MaxIdle     int           // idle connections at once
	IdleTimeout time.Duration // an idle connection is closed after this time; 0 keeps none

	Rest         time.Duration // silence before a connection carries another call
	ConfirmAfter time.Duration // silence that confirms the answers of a connection: no answer takes longer
	DoubtTimeout time.Duration // age from which an answer is no longer put in doubt

	InspectInterval time.Duration // between two inspections of idle connections with unconfirmed answers

	SingleUse    time.Duration // first time without reuse after a stray; it doubles if strays return
	MaxSingleUse time.Duration
}

// DefaultPolicy returns the policy for connections that their endpoint closes no earlier than after keepAlive of idle
// time.
func DefaultPolicy(keepAlive time.Duration, maxIdle int) Policy {
	const (
		idleMarginShare = 0.05 // of the keep-alive time: connections close before the endpoint closes them
		minIdleMargin   = 300 * time.Millisecond
	)
	margin := max(minIdleMargin, time.Duration(idleMarginShare*float64(keepAlive)))
	return Policy{
		MaxIdle: max(1, maxIdle), IdleTimeout: max(0, keepAlive-margin),
		Rest: 25 * time.Millisecond, ConfirmAfter: time.Second, DoubtTimeout: 2 * time.Second,
		InspectInterval: 100 * time.Millisecond,
		SingleUse:       10 * time.Second, MaxSingleUse: 10 * time.Minute,
	}
}

const (
	// maxUnconfirmed bounds the unconfirmed answers that a connection remembers.
	maxUnconfirmed = 128
	// maxLingering is the number of idle connections from which, during single use, only those with unconfirmed answers
	// are kept to notice further strays.
	maxLingering = 32
	// crowdedShare is the share of MaxIdle from which no connection is opened only because the idle ones are resting.
	crowdedShare = 0.75
)

// Reuse says on which connections a call may go.
type Reuse int

// The kinds of reuse.
const (
	AfterRest   Reuse = iota // on a new connection, or one that has rested or whose early answers are held back
	PreferRest               // the same, but on one that has rested if there is one: the call must not be repeated
	RequireRest              // on a new connection, or one that has rested: early answers cannot be held back
	Never                    // on a new connection only
)

// Answer is an answer that was assigned to a call on a reused connection.
type Answer struct {
	Call    string // the call's id
	Status  int    // the answer's status
	Refused bool   // the answer says that the call did not run
	// OnDoubt is called at most once if the answer may have been another call's.
	OnDoubt func()

	readAt time.Time
}

// Conn is the pool's record of a connection; H is the driver's handle for it.
type Conn[H any] struct {
	Handle            H
	ID                uint64
	Endpoint, Address string
	OpenedAt          time.Time
	Uses              int // calls that it has carried, with the present one

	idle        bool
	reserved    bool      // a call waits until it has rested
	kept        bool      // it has been idle
	answeredAt  time.Time // when its latest answer was read
	restUntil   time.Time // until then it carries no other call
	confirmed   bool      // all answers before the present call are known to be their calls' own
	unconfirmed []Answer  // oldest first
}

// Reused reports whether the connection was taken from the pool, and not opened for its present call.
func (c *Conn[H]) Reused() bool { return c.kept }

// Quiet returns how long ago the connection's latest answer was read; zero if there was none.
func (c *Conn[H]) Quiet(now time.Time) time.Duration {
	if c.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(c.answeredAt)
}

// Pool holds the idle connections to all endpoints.
type Pool[H any] struct {
	policy    Policy
	nextID    uint64
	idle      map[string][]*Conn[H] // by endpoint, the latest to be answered last
	idleCount int
	suspicion suspicion
	waits     waits
	latencies latencies
}

// New returns an empty pool.
func New[H any](policy Policy) *Pool[H] {
	return &Pool[H]{policy: policy, idle: map[string][]*Conn[H]{}, suspicion: newSuspicion(policy), waits: waits{},
		latencies: latencies{endpoints: map[string]*endpointLatencies{}}}
}

// IdleCount returns the number of idle connections.
func (p *Pool[H]) IdleCount() int { return p.idleCount }

// SingleUseEndpoints returns the number of endpoints whose connections carry one call each because of a stray.
func (p *Pool[H]) SingleUseEndpoints(now time.Time) int { return p.suspicion.count(now) }

// Open registers a new connection, which carries its first call.
func (p *Pool[H]) Open(now time.Time, endpoint, address string) *Conn[H] {
	p.nextID++
	return &Conn[H]{ID: p.nextID, Endpoint: endpoint, Address: address, OpenedAt: now, Uses: 1, confirmed: true}
}

// Choice says which connection carries a call: Conn, or if that is nil a new one. If Wait is positive, Conn is reserved
// and still resting: after that time Claim takes it.
type Choice[H any] struct {
	Conn *Conn[H]
	Wait time.Duration
	// Moved are idle connections to an earlier address of the endpoint. They have left the pool and have to be closed.
	Moved []*Conn[H]
}

// Take chooses the connection for a call. Unless it has to wait, it leaves the pool.
func (p *Pool[H]) Take(now time.Time, endpoint, address string, reuse Reuse) (choice Choice[H]) {
	choice.Moved = p.removeMoved(endpoint, address)
	if reuse == Never || p.suspicion.singleUse(now, endpoint) {
		return choice
	}
	rest := p.policy.Rest
	choice.Conn = p.rested(now, endpoint, rest)
	if (reuse == AfterRest || choice.Conn == nil && reuse == PreferRest) && p.latencies.implausible(now, endpoint) >= rest {
		choice.Conn = p.rested(now, endpoint, 0) // a stray within the rest would be held back
	}
	if choice.Conn != nil {
		p.use(now, choice.Conn)
		return choice
	}
	resting := p.resting(now, endpoint)
	switch {
	case resting == nil:
	case p.crowded() && reuse == AfterRest:
		choice.Conn = resting
		p.use(now, resting)
	case p.crowded() || !p.waits.grow(now, endpoint):
		resting.reserved = true
		choice.Conn, choice.Wait = resting, p.policy.Rest-resting.Quiet(now)
	}
	return choice
}

// removeMoved removes and returns the idle connections to other addresses of an endpoint.
func (p *Pool[H]) removeMoved(endpoint, address string) (moved []*Conn[H]) {
	for _, c := range p.idle[endpoint] {
		if c.Address != address {
			moved = append(moved, c)
		}
	}
	for _, c := range moved {
		p.Remove(c)
	}
	return moved
}

// Claim takes a connection for which a call has waited. It returns false if the connection has been closed or used
// otherwise.
func (p *Pool[H]) Claim(now time.Time, c *Conn[H]) bool {
	reserved := c.reserved
	if c.reserved = false; !reserved || !c.idle || p.suspicion.singleUse(now, c.Endpoint) {
		return false
	}
	p.use(now, c)
	return true
}

// use takes an idle connection out of the pool for a call.
func (p *Pool[H]) use(now time.Time, c *Conn[H]) {
	p.Remove(c)
	c.Uses++
	if c.confirmed = c.Quiet(now) >= p.policy.ConfirmAfter; c.confirmed {
		c.unconfirmed = nil
	}
}

// rested returns the most recently used idle connection that has been silent for long enough, so that few connections
// stay open; nil if there is none.
func (p *Pool[H]) rested(now time.Time, endpoint string, rest time.Duration) *Conn[H] {
	for _, c := range slices.Backward(p.idle[endpoint]) {
		if quiet := c.Quiet(now); !c.reserved && quiet >= rest && quiet < p.policy.IdleTimeout && !now.Before(c.restUntil) {
			return c
		}
	}
	return nil
}

// resting returns the idle connection to an endpoint that will have rested first, or nil.
func (p *Pool[H]) resting(now time.Time, endpoint string) *Conn[H] {
	for _, c := range p.idle[endpoint] {
		if !c.reserved && c.Quiet(now) < p.policy.IdleTimeout && !now.Before(c.restUntil) {
			return c
		}
	}
	return nil
}

// crowded reports whether further connections would only displace each other.
func (p *Pool[H]) crowded() bool {
	return float64(p.idleCount) >= crowdedShare*float64(p.policy.MaxIdle)
}

// Answered records that the connection's call has got an answer at now.
func (p *Pool[H]) Answered(now time.Time, c *Conn[H], answer Answer) {
	if c.answeredAt = now; c.Uses <= 1 { // no earlier call's answer can have come in its place
		return
	}
	answer.readAt = now
	c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(old Answer) bool { return now.Sub(old.readAt) > p.policy.DoubtTimeout })
	if len(c.unconfirmed) >= maxUnconfirmed {
		c.unconfirmed = slices.Delete(c.unconfirmed, 0, 1)
	}
	c.unconfirmed = append(c.unconfirmed, answer)
}

// Hold says how an early answer is treated: one that comes before PlausibleAfter, counted from the request, is held back
// until Until. If another answer follows, one of the two was a stray.
type Hold struct{ PlausibleAfter, Until time.Duration }

// Hold returns how an early answer on the connection is treated. The zero value accepts any.
func (p *Pool[H]) Hold(now time.Time, c *Conn[H]) Hold {
	if c.Uses <= 1 || c.confirmed {
		return Hold{}
	}
	recent, known := p.latencies.recent(now, c.Endpoint)
	if !known {
		return Hold{}
	}
	return Hold{p.latencies.implausible(now, c.Endpoint), min(holdFactor*recent.longest, p.policy.ConfirmAfter)}
}

// Observe records the time from a request to its answer.
func (p *Pool[H]) Observe(now time.Time, c *Conn[H], latency time.Duration) {
	p.latencies.add(now, c.Endpoint, latency)
}

// Unused returns a connection to the pool whose call was not written. The result is that of Keep.
func (p *Pool[H]) Unused(now time.Time, c *Conn[H]) (kept bool, displaced *Conn[H]) {
	c.Uses--
	return p.Keep(now, c)
}

// Keep returns a connection to the pool after its call. It reports whether the connection was kept; otherwise it has to
// be closed. displaced is an idle connection that has to be closed in its place, or nil.
func (p *Pool[H]) Keep(now time.Time, c *Conn[H]) (kept bool, displaced *Conn[H]) {
	if p.policy.IdleTimeout == 0 || len(c.unconfirmed) == 0 && p.idleCount >= maxLingering && p.suspicion.singleUse(now, c.Endpoint) {
		return false, nil
	}
	if p.idleCount >= p.policy.MaxIdle {
		displaced = p.longestIdle()
		p.Remove(displaced)
	}
	if c.answeredAt.IsZero() {
		c.answeredAt = now
	}
	c.idle, c.kept = true, true
	conns := p.idle[c.Endpoint]
	position := len(conns)
	for position > 0 && conns[position-1].answeredAt.After(c.answeredAt) {
		position--
	}
	p.idle[c.Endpoint] = slices.Insert(conns, position, c)
	p.idleCount++
	return true, displaced
}

// longestIdle returns the idle connection that was answered the longest time ago.
func (p *Pool[H]) longestIdle() (oldest *Conn[H]) {
	for _, conns := range p.idle {
		if oldest == nil || conns[0].answeredAt.Before(oldest.answeredAt) {
			oldest = conns[0]
		}
	}
	return oldest
}

// Remove takes a connection out of the pool and reports whether it was idle.
func (p *Pool[H]) Remove(c *Conn[H]) bool {
	if !c.idle {
		return false
	}
	c.idle, c.reserved = false, false
	conns := p.idle[c.Endpoint]
	i := slices.Index(conns, c)
	if conns = slices.Delete(conns, i, i+1); len(conns) == 0 {
		delete(p.idle, c.Endpoint)
	} else {
		p.idle[c.Endpoint] = conns
	}
	p.idleCount--
	return true
}

// Idle returns the idle connections to an endpoint.
func (p *Pool[H]) Idle(endpoint string) []*Conn[H] { return slices.Clone(p.idle[endpoint]) }

// All returns all idle connections.
func (p *Pool[H]) All() (all []*Conn[H]) {
	for _, conns := range p.idle {
		all = append(all, conns...)
	}
	return all
}

// RefusedOn returns the idle connection whose latest answer refused the given call, if that answer is not confirmed: the
// call may still be running there. It has to be closed before the call is sent again.
func (p *Pool[H]) RefusedOn(now time.Time, call string) *Conn[H] {
	for _, conns := range p.idle {
		for _, c := range conns {
			if n := len(c.unconfirmed); n > 0 && !c.confirmed && c.unconfirmed[n-1].Call == call && c.unconfirmed[n-1].Refused &&
				c.Quiet(now) < p.policy.ConfirmAfter {
				return c
			}
		}
	}
	return nil
}

// Stray records that an idle connection received bytes that belong to no call, and removes it. From then on connections
// to its endpoint carry one call each for a while. It returns the answers that may have been those of other calls.
func (p *Pool[H]) Stray(now time.Time, c *Conn[H]) (inDoubt []Answer) {
	p.Remove(c)
	p.suspicion.stray(now, c.Endpoint)
	return p.doubt(now, c)
}

// doubt removes and returns the unconfirmed answers of a connection.
func (p *Pool[H]) doubt(now time.Time, c *Conn[H]) (inDoubt []Answer) {
	for _, answer := range c.unconfirmed {
		if now.Sub(answer.readAt) <= p.policy.DoubtTimeout {
			inDoubt = append(inDoubt, answer)
		}
	}
	c.unconfirmed = nil
	return inDoubt
}

// Due returns the idle connections that have to be inspected for strays and those whose time is over, which have to be
// closed, and removes the latter.
func (p *Pool[H]) Due(now time.Time) (inspect, expired []*Conn[H]) {
	for endpoint, conns := range p.idle {
		timeout := p.policy.IdleTimeout
		if p.suspicion.singleUse(now, endpoint) {
			timeout = min(timeout, p.policy.ConfirmAfter)
		}
		for _, c := range conns {
			switch quiet := c.Quiet(now); {
			case quiet >= timeout:
				expired = append(expired, c)
			case quiet < p.policy.ConfirmAfter+p.policy.InspectInterval:
				inspect = append(inspect, c)
			case quiet > p.policy.DoubtTimeout:
				c.unconfirmed = nil // no longer put in doubt
			}
		}
	}
	for _, c := range expired {
		p.Remove(c)
	}
	return inspect, expired
}

// InspectInterval returns the time until a connection that becomes idle now has to be inspected.
func (p *Pool[H]) InspectInterval() time.Duration {
	return min(p.policy.InspectInterval, p.policy.IdleTimeout)
}

// NextDue returns the time until Due has something to return; false if no connection is idle.
func (p *Pool[H]) NextDue(now time.Time) (time.Duration, bool) {
	next, needed := time.Duration(0), false
	for _, conns := range p.idle {
		if conns[len(conns)-1].Quiet(now) < p.policy.ConfirmAfter {
			return p.policy.InspectInterval, true
		}
		if left := p.policy.IdleTimeout - conns[0].Quiet(now); !needed || left < next {
			next, needed = left, true
		}
	}
	return max(0, next), needed
}
