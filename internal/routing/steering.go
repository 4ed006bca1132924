package routing

import (
	"time"

	mb "mulleinbeam"
)

// Fleet-wide restrictions on the zones that calls may go to. Without a Steering nothing here is used. The state belongs
// to the router's goroutine; exported methods may be called from any goroutine.

// Access is the access to a destination's endpoints in a zone.
type Access uint8

// Kinds of access.
const (
	Free   Access = iota // no restriction
	Barred               // no calls now
	Trial                // the next call goes there, to test the zone
)

// Steering decides which zones this forwarder's calls may go to. The router's goroutine calls its methods, which must
// not block.
type Steering interface {
	// Admit counts a new message and reports whether any zone has room for it; otherwise it is refused at once.
	Admit(destination int64, class string) bool
	// CallEnded reports the outcome of a call and its duration, without the time spent on this forwarder's journal and
	// replicas. A call that did not start reports how its connection failed.
	CallEnded(destination int64, zone string, outcome mb.Outcome, took time.Duration)
	// LimitReported reports a limit that an answer carried, in calls per second of all forwarders together.
	LimitReported(destination int64, zone string, rate float64)
	// Access returns the current access to a destination's endpoints in a zone.
	Access(destination int64, zone string) Access
	// ReserveCall counts a call before a connection is looked for, so that a failed connection counts as well. It
	// returns false if the allowance is used up.
	ReserveCall(destination int64, zone string) bool
	// Allows reports, just before a call's first byte, whether calls may still go to the zone.
	Allows(destination int64, zone string) bool
}

// RefreshAccess reads the access of all endpoints again. The module treats an endpoint without access as draining:
// calls that are out go on, and no new ones start.
func (r *Router) RefreshAccess() { r.post(r.refreshAccess) }

func (r *Router) refreshAccess() {
	var entries []mb.Entry
	for name, endpoint := range r.endpoints {
		if endpoint.State == mb.Serving && r.restrictedAccess[name] != r.cfg.Steering.Access(endpoint.Destination, endpoint.Zone) {
			entries = append(entries, r.memberEntry(endpoint))
		}
	}
	if len(entries) > 0 {
		r.decide(mb.EndpointUpdate{Scope: mb.ListChanges, Entries: entries})
	}
}

// memberEntry returns the entry of an endpoint for the module.
func (r *Router) memberEntry(endpoint Endpoint) mb.Entry {
	entry := mb.Entry{
		Endpoint: mb.EndpointID(endpoint.Name), Zone: endpoint.Zone, Kind: endpoint.Kind, Destination: mb.DestinationID(endpoint.Destination), Readiness: endpoint.State,
		CapacityHint: endpoint.Weight,
	}
	if r.cfg.Steering == nil {
		return entry
	}
	delete(r.restrictedAccess, endpoint.Name)
	if endpoint.State != mb.Serving {
		return entry
	}
	switch access := r.cfg.Steering.Access(endpoint.Destination, endpoint.Zone); access {
	case Barred:
		r.restrictedAccess[endpoint.Name], entry.Readiness = access, mb.Draining
	case Trial:
		r.restrictedAccess[endpoint.Name], entry.TryNext = access, true
	}
	return entry
}

// reserveCall reports whether a call to an endpoint may be made, and counts it.
func (r *Router) reserveCall(endpoint Endpoint) bool {
	if r.cfg.Steering == nil {
		return true
	}
	ok := r.cfg.Steering.ReserveCall(endpoint.Destination, endpoint.Zone)
	if r.cfg.Steering.Access(endpoint.Destination, endpoint.Zone) == Barred { // the allowance of the zone is used up
		r.refreshAccess()
	}
	return ok
}

// reportToSteering reports the outcome of a call. A call that the module cancelled after too long without an answer
// counts as timed out.
func (r *Router) reportToSteering(call *outgoingCall, outcome mb.Outcome, waited time.Duration) {
	if outcome == mb.Cancelled && call.timedOutByModule {
		outcome = mb.TimedOut
	}
	if r.cfg.Steering == nil || outcome == mb.NotSent || outcome == mb.Cancelled || outcome == mb.Doubtful {
		return
	}
	endpoint := r.endpoints[call.endpoint]
	r.cfg.Steering.CallEnded(call.message.Destination, endpoint.Zone, outcome, time.Since(call.sentAt)-call.permissionTime-waited)
}

// ZoneCapacities returns the listed capacity of each destination by zone, in calls per second.
func (r *Router) ZoneCapacities() map[int64]map[string]float64 {
	capacities, _ := execute(r, func() map[int64]map[string]float64 {
		byZone := map[int64]map[string]float64{}
		for _, endpoint := range r.endpoints {
			if endpoint.State != mb.Serving {
				continue
			}
			if byZone[endpoint.Destination] == nil {
				byZone[endpoint.Destination] = map[string]float64{}
			}
			byZone[endpoint.Destination][endpoint.Zone] += endpoint.Weight
		}
		return byZone
	})
	return capacities
}
