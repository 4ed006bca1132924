package plan

import (
	"math"
	"time"
)

// Follower holds the newest plan that one forwarder has received until it expires, and falls back to fixed shares
// without a plan.
type Follower struct {
	Zone     string
	MinState uint64 // the control plane's version at which the forwarder's current epoch began
	plan     *Plan
	expires  time.Duration
	// Tests set these to disable safeguards: acceptStale applies older versions too, neverExpires keeps a plan for
	// ever.
	acceptStale, neverExpires bool
}

// NewFollower returns a follower in a zone that has received no plan.
func NewFollower(zone string) *Follower { return &Follower{Zone: zone} }

// Apply applies a plan that was requested at the given time. The plan holds from the time of the request, so that the
// sender assumes a later expiry than the follower. An older version is ignored; the version already in force is
// renewed.
func (f *Follower) Apply(requested time.Duration, p *Plan) {
	if p == nil || p.State < f.MinState || f.plan != nil && p.Version < f.plan.Version && !f.acceptStale {
		return
	}
	if f.plan != nil && p.Version == f.plan.Version {
		f.Renew(requested)
		return
	}
	f.plan, f.expires = p, requested+p.Hold
}

// Renew extends the plan in force: a request sent at the given time was answered that this version is still current.
func (f *Follower) Renew(requested time.Duration) {
	if f.plan != nil {
		f.expires = max(f.expires, requested+f.plan.Hold)
	}
}

// ActiveVersion returns the version of the plan in force; 0 means that the fallback applies. It never returns a lower
// version than before, except 0.
func (f *Follower) ActiveVersion(now time.Duration) uint64 {
	if f.plan == nil || now >= f.expires && !f.neverExpires {
		return 0
	}
	return f.plan.Version
}

// LatestVersion returns the newest version received, expired or not.
func (f *Follower) LatestVersion() uint64 {
	if f.plan == nil {
		return 0
	}
	return f.plan.Version
}

// Target is a zone to which a forwarder may send, and at which rate.
type Target struct {
	Zone  string
	Rate  float64 // calls per second of this forwarder alone
	Trial bool
}

// FallbackConfig bounds what a forwarder sends without a plan.
type FallbackConfig struct {
	MaxForwarders int     // the largest number of forwarders in the fleet
	Reserve       float64 // Config.Reserve
}

// Targets returns the zones to which this forwarder may send calls for a destination whose sites have the given
// capacities. With a plan in force, the forwarders of a zone share its quotas equally. Without one, a forwarder sends
// to its own zone alone. If the destination has no site there, it sends to the first zone of order with capacity, at
// its fixed share of the reserve that every zone keeps: however the fleet is partitioned, and whichever plans are in
// use, these shares add up to no more than the reserve.
func (f *Follower) Targets(now time.Duration, destination int64, capacity map[string]float64, order []string, fallback FallbackConfig) (targets []Target) {
	if f.ActiveVersion(now) > 0 {
		quotas := f.plan.QuotasFrom(destination, f.Zone)
		for _, quota := range quotas {
			rate := quota.Each
			if quota.To == f.Zone && !quota.Trial && quota.Share >= 1 && quota.Bound == 0 {
				rate = math.Inf(1) // the local zone is bounded by the endpoints alone
			}
			targets = append(targets, Target{quota.To, rate, quota.Trial})
		}
		if len(quotas) > 0 {
			return targets
		}
	}
	if _, hasLocalSite := capacity[f.Zone]; hasLocalSite {
		return append(targets, Target{Zone: f.Zone, Rate: math.Inf(1)})
	}
	for _, zone := range order {
		if siteCapacity := capacity[zone]; siteCapacity > 0 {
			return append(targets, Target{Zone: zone, Rate: fallback.Reserve * siteCapacity / float64(max(1, fallback.MaxForwarders))})
		}
	}
	return targets
}
