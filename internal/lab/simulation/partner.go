package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab/scenario"
)

// partner is a partner system with its endpoints: what it can do, its limit, its outages, and how it comes back. It is a state
// machine on the world's time; a call's fate is settled when it arrives.
type partner struct {
	id        mb.DestinationID
	group     scenario.DestinationGroup
	rules     scenario.Rules
	sample    func() float64 // milliseconds
	rng       *rand.Rand
	endpoints []*endpoint
	servers   []time.Duration // of the whole partner: when each is free
	slow      float64         // factor of its service times
	lowered   float64         // factor of its limit
	connect   time.Duration   // that a connection needs to come up, beside the network's
	down      time.Duration   // until then it is
	silent    bool            // and takes calls without an answer
	backAt    time.Duration   // when it was back from its latest outage; negative is never
	taken     []time.Duration // calls of the limit's last second
	arrived   []arrival       // calls of the last TipAfter, while it is cold
	tips      int
	pushed    int     // of these, those that forwarders brought about which had seen the outage
	crowd     float64 // calls in TipAfter while it was cold, over what it bears with what is put down to chance: the most
}

// arrival is a call that reached a cold partner.
type arrival struct {
	at   time.Duration
	seen bool // by a forwarder that has seen the outage
}

// endpoint is one of a partner's.
type endpoint struct {
	name  mb.EndpointID
	state mb.Readiness
	gone  bool
}

const limitSpan = time.Second // over which a limit counts

// Destination is a partner system for who plays it against a real forwarder, on a clock of their own that begins at 0. Its methods
// are not safe for concurrent use.
type Destination struct{ p *partner }

// Endpoints are its endpoints' names.
func (p Destination) Endpoints() (names []string) {
	for _, e := range p.p.endpoints {
		names = append(names, string(e.name))
	}
	return names
}

// ID is its destination.
func (p Destination) ID() int { return int(p.p.id) }

// CapacityHint is what the list says of its capacity, in calls a second; 0 says nothing.
func (p Destination) CapacityHint() float64 { return p.p.group.CapacityHint * p.p.group.Capacity }

// CallResult is what becomes of a call.
type CallResult struct {
	Outcome    mb.Outcome
	Latency    time.Duration // from its arrival to its answer; negative is never
	RetryAfter time.Duration // told with Full
	Cold       bool          // it reached a partner that was still cold,
	Early      bool          // in its first 14 s
	Overloaded bool          // and pushed it over
}

// HandleCall settles a call that arrives now.
func (p Destination) HandleCall(now time.Duration) CallResult {
	tips := p.p.tips
	f := p.p.take(now, p.p.endpoints[0], false)
	return CallResult{f.outcome, f.after, f.wait, f.cold, f.cold && now-p.p.backAt < early, p.p.tips > tips}
}

// StartOutage takes it down until a moment.
func (p Destination) StartOutage(now, until time.Duration, silent bool) { p.p.fall(now, until, silent) }

// ScaleServiceTime has its calls take by times as long as so far.
func (p Destination) ScaleServiceTime(by float64) { p.p.slow *= by }

// Destinations gives a scenario's partners, as a world of that seed has them.
func Destinations(s scenario.Scenario, seed uint64) ([]Destination, error) {
	w, err := New(s, seed)
	if err != nil {
		return nil, err
	}
	var list []Destination
	for _, p := range w.partners {
		list = append(list, Destination{p})
	}
	return list, nil
}

const early = 14 * time.Second // of a cold partner

// fate is what becomes of a call.
type fate struct {
	outcome mb.Outcome
	after   time.Duration // from its arrival to its answer; negative is never
	wait    time.Duration
	runs    bool // it takes effect
	cold    bool // it reached a partner that was still cold
}

// share is how much of its capacity a partner has now.
func (p *partner) share(now time.Duration) float64 {
	if p.backAt < 0 || p.rules.WarmWithin <= 0 {
		return 1
	}
	warm := float64(now-p.backAt) / float64(p.rules.WarmWithin)
	return min(1, p.rules.ColdFrom+(1-p.rules.ColdFrom)*warm)
}

// recent drops what lies before a moment and gives the rest.
func recent(list []time.Duration, since time.Duration) []time.Duration {
	for len(list) > 0 && list[0] <= since {
		list = list[1:]
	}
	return list
}

// bears is how many calls within TipAfter a cold partner stands, what is put down to chance among them.
func (p *partner) bears(share float64) float64 {
	n := p.rules.OverloadFactor * share * p.group.Capacity * p.rules.OverloadWindow.D().Seconds()
	if p.rules.ChanceFactor == 0 {
		return n + 1
	}
	return n + p.rules.ChanceFactor*(math.Sqrt(n)+1)
}

// take settles a call that arrives now, from a forwarder that has seen the outage or has not.
func (p *partner) take(now time.Duration, e *endpoint, seen bool) fate {
	switch {
	case e.gone:
		return fate{outcome: mb.ConnectFailed, after: time.Millisecond}
	case now < p.down && p.silent:
		return fate{outcome: mb.TimedOut, after: -1}
	case now < p.down:
		return fate{outcome: mb.ConnectFailed, after: time.Millisecond}
	}
	share := p.share(now)
	f := fate{cold: share < 1}
	if f.cold {
		for len(p.arrived) > 0 && p.arrived[0].at <= now-p.rules.OverloadWindow.D() {
			p.arrived = p.arrived[1:]
		}
		p.arrived = append(p.arrived, arrival{now, seen})
		n, bears := float64(len(p.arrived)), p.bears(share)
		if p.crowd = max(p.crowd, n/bears); n > bears {
			knew := 0
			for _, a := range p.arrived {
				if a.seen {
					knew++
				}
			}
			if 3*knew > 2*len(p.arrived) {
				p.pushed++
			}
			p.fall(now, now+p.rules.OverloadDowntime.D(), false)
			p.tips++
			f.outcome, f.after, f.runs = mb.Reset, time.Millisecond, true // what was under way may have run
			return f
		}
	}
	if p.group.Limit > 0 {
		p.taken = recent(p.taken, now-limitSpan)
		if float64(len(p.taken)) >= p.lowered*p.group.Limit*limitSpan.Seconds() {
			if p.group.RefusalsCount {
				p.taken = append(p.taken, now)
			}
			f.outcome, f.after, f.wait = mb.Refused, time.Millisecond, p.group.RetryAfter.D()
			return f
		}
		p.taken = append(p.taken, now)
	}
	took := time.Duration(p.sample() * p.slow / share * float64(time.Millisecond))
	free := 0
	for i, at := range p.servers {
		if at < p.servers[free] {
			free = i
		}
	}
	begin := max(now, p.servers[free])
	p.servers[free] = begin + took
	f.after, f.runs = begin+took-now, true
	if p.group.ResetShare > 0 && p.rng.Float64() < p.group.ResetShare {
		f.outcome = mb.Reset
	}
	return f
}

// fall takes a partner down until a moment; it is cold when it is back.
func (p *partner) fall(now, until time.Duration, silent bool) {
	if until > p.down {
		p.down, p.backAt = until, until
	}
	p.silent = silent
	p.arrived = nil
	for i := range p.servers {
		p.servers[i] = min(p.servers[i], now)
	}
}

// alive says whether calls that are under way get an answer.
func (p *partner) alive(now time.Duration) bool { return now >= p.down }
