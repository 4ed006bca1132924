package plan

import (
	"maps"
	"math"
	"slices"
)

// EvacuationNeed is what an evacuation of a place would ask of the others, for one destination.
type EvacuationNeed struct {
	Destination int64
	Demand      float64 // calls a second that go to the place now
	Spare       float64 // that others have left, by the plan in force
	Shed        float64 // of Asked, that fits nowhere
}

// Evacuation says beforehand what emptying a place would ask of the others, as the plan in force has them; destinations that nobody calls
// there are left out. Windows is how many windows it takes at the least.
func (p *Plan) Evacuation(cfg Config, place string, capacity map[int64]map[string]float64) (needs []EvacuationNeed, windows int) {
	planner := NewPlanner(cfg, Topology{}, p)
	for _, d := range slices.Sorted(maps.Keys(capacity)) {
		n := EvacuationNeed{Destination: d}
		used := map[string]float64{}
		for _, g := range p.Grants {
			if g.Destination == d && !g.Trial {
				used[g.To] += g.Rate
			}
		}
		n.Demand = used[place]
		for to, c := range capacity[d] {
			if to != place {
				n.Spare += math.Max(0, planner.usable(planner.site(d, to), c)-cfg.Reserve*c-used[to])
			}
		}
		if n.Demand > 0 {
			n.Shed = math.Max(0, n.Demand-n.Spare)
			needs = append(needs, n)
		}
	}
	return needs, int(math.Ceil(1 / evacuation))
}
