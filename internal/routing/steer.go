package routing

import (
	"time"

	mb "mulleinbeam"
)

// Where calls may go, where a fleet decides that in common. Without a Steering they may go everywhere, and nothing here is used. The
// router's goroutine owns it all; what is exported may be called from any goroutine.

// Access is how calls may go to a destination's endpoints in a zone.
type Access uint8

// The kinds of access.
const (
	Free   Access = iota // as the decisions want
	Barred               // not now
	Trial                // the next call goes there, to find out how the zone stands
)

// Steering says to which zones this forwarder's calls may go. All come from the router's
// goroutine and must not wait.
type Steering interface {
	// Admit is told of each new message that is handed in, and says whether there is room for it anywhere; without, it is refused at
	// once.
	Admit(destination int64, class string) bool
	// CallEnded is told how a call ended, and how long it took but for what this forwarder's journal and replicas took of that. One that did
	// not begin says how its connection failed.
	CallEnded(destination int64, zone string, out mb.Outcome, took time.Duration)
	// LimitReported is told of a limit that an answer carried, calls a second from all forwarders together.
	LimitReported(destination int64, zone string, rate float64)
	// Access says how calls may go to a destination's endpoints in a zone now.
	Access(destination int64, zone string) Access
	// ReserveCall books a call that is to be made, before its connection is looked for: one that can't be connected is a call all the same.
	// False says that what was allowed is used up.
	ReserveCall(destination int64, zone string) bool
	// Allows says, just before a call's first byte, whether calls may still go there at all.
	Allows(destination int64, zone string) bool
}

// RefreshAccess looks again at where calls may go. The module takes an endpoint that they may not go to for one that drains: calls that are
// out go on, and no new ones are made.
func (r *Router) RefreshAccess() { r.post(r.steer) }

func (r *Router) steer() {
	var entries []mb.Entry
	for name, p := range r.endpoints {
		if p.State == mb.Serving && r.access[name] != r.cfg.Steering.Access(p.Destination, p.Zone) {
			entries = append(entries, r.entry(p))
		}
	}
	if len(entries) > 0 {
		r.decide(mb.EndpointUpdate{Scope: mb.ListChanges, Entries: entries})
	}
}

// entry is what the module is told of an endpoint.
func (r *Router) entry(p Endpoint) mb.Entry {
	entry := mb.Entry{
		Endpoint: mb.EndpointID(p.Name), Zone: p.Zone, Kind: p.Kind, Destination: mb.DestinationID(p.Destination), Readiness: p.State,
		CapacityHint: p.Weight,
	}
	if r.cfg.Steering == nil {
		return entry
	}
	delete(r.access, p.Name)
	if p.State != mb.Serving {
		return entry
	}
	switch access := r.cfg.Steering.Access(p.Destination, p.Zone); access {
	case Barred:
		r.access[p.Name], entry.Readiness = access, mb.Draining
	case Trial:
		r.access[p.Name], entry.TryNext = access, true
	}
	return entry
}

// mayGo says whether a call may be made where it goes, and books it.
func (r *Router) mayGo(p Endpoint) bool {
	if r.cfg.Steering == nil {
		return true
	}
	ok := r.cfg.Steering.ReserveCall(p.Destination, p.Zone)
	if r.cfg.Steering.Access(p.Destination, p.Zone) == Barred { // what is allowed there is used up
		r.steer()
	}
	return ok
}

// steered tells how a call ended. One that the module called off because it had no answer for far too long is one without an answer.
func (r *Router) steered(c *attempt, out mb.Outcome) {
	if out == mb.Cancelled && c.stuck {
		out = mb.TimedOut
	}
	if r.cfg.Steering == nil || out == mb.NotSent || out == mb.Cancelled {
		return
	}
	p := r.endpoints[c.endpoint]
	r.cfg.Steering.CallEnded(c.msg.Destination, p.Zone, out, time.Since(c.sentAt)-c.cleared)
}

// ZoneCapacities is what the list says of the capacity that destinations have in each zone, calls a second.
func (r *Router) ZoneCapacities() map[int64]map[string]float64 {
	sites, _ := ask(r, func() map[int64]map[string]float64 {
		out := map[int64]map[string]float64{}
		for _, p := range r.endpoints {
			if p.State != mb.Serving {
				continue
			}
			if out[p.Destination] == nil {
				out[p.Destination] = map[string]float64{}
			}
			out[p.Destination][p.Zone] += p.Weight
		}
		return out
	})
	return sites
}
