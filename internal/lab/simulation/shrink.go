package simulation

import (
	"slices"
	"time"

	"mulleinbeam/internal/lab/scenario"
)

// Shrink searches for a smaller scenario that still fails: shorter, with fewer faults, forwarders, destinations and
// endpoints, and less traffic. It calls fails at most budget times.
func Shrink(s scenario.Scenario, fails func(scenario.Scenario) bool, budget int) scenario.Scenario {
	try := func(change func(*scenario.Scenario) bool) bool {
		next := s
		next.Faults, next.Destinations = slices.Clone(s.Faults), slices.Clone(s.Destinations)
		if budget <= 0 || !change(&next) || next.Check() != nil {
			return false
		}
		budget--
		if !fails(next) {
			return false
		}
		s = next
		return true
	}
	for changed := true; changed; {
		changed = false
		for i := 0; i < len(s.Faults); {
			if try(func(n *scenario.Scenario) bool { n.Faults = slices.Delete(n.Faults, i, i+1); return true }) {
				changed = true
			} else {
				i++
			}
		}
		for _, change := range []func(*scenario.Scenario) bool{
			func(n *scenario.Scenario) bool { n.Length /= 2; return n.Length.D() >= time.Second },
			func(n *scenario.Scenario) bool { n.Length = n.Length / 4 * 3; return n.Length.D() >= time.Second },
			func(n *scenario.Scenario) bool { n.Fleet.Forwarders /= 2; return n.Fleet.Forwarders > 0 },
			func(n *scenario.Scenario) bool { n.Fleet.Forwarders--; return n.Fleet.Forwarders > 0 },
			func(n *scenario.Scenario) bool { n.Traffic.Rate /= 2; return n.Traffic.Rate > 0.1 },
		} {
			for try(change) {
				changed = true
			}
		}
		for i := range s.Destinations {
			for try(func(n *scenario.Scenario) bool { n.Destinations[i].Count /= 2; return n.Destinations[i].Count > 0 }) {
				changed = true
			}
			for try(func(n *scenario.Scenario) bool { n.Destinations[i].Endpoints--; return n.Destinations[i].Endpoints > 0 }) {
				changed = true
			}
		}
	}
	return s
}
