package plan

import (
	"maps"
	"math"
	"slices"
)

// EvacuationNeed is the capacity that the evacuation of a zone requires of the other zones, for one destination.
type EvacuationNeed struct {
	Destination int64
	Demand      float64 // calls per second that go to the zone now
	Spare       float64 // calls per second that the other zones have left under the plan in force
	Shed        float64 // part of Demand that the other zones cannot take
}

// Evacuation computes what the evacuation of a zone would require of the others under the plan in force. Destinations
// without traffic to the zone are left out. Windows is the smallest number of windows that the evacuation takes.
func (p *Plan) Evacuation(cfg Config, zone string, capacity map[int64]map[string]float64) (needs []EvacuationNeed, windows int) {
	planner := NewPlanner(cfg, Topology{}, p)
	for _, destination := range slices.Sorted(maps.Keys(capacity)) {
		need := EvacuationNeed{Destination: destination}
		used := map[string]float64{}
		for _, quota := range p.Grants {
			if quota.Destination == destination && !quota.Trial {
				used[quota.To] += quota.Rate
			}
		}
		need.Demand = used[zone]
		for to, siteCapacity := range capacity[destination] {
			if to != zone {
				need.Spare += math.Max(0, planner.usableCapacity(planner.site(destination, to), siteCapacity)-cfg.Reserve*siteCapacity-used[to])
			}
		}
		if need.Demand > 0 {
			need.Shed = math.Max(0, need.Demand-need.Spare)
			needs = append(needs, need)
		}
	}
	return needs, int(math.Ceil(1 / evacuationShare))
}
