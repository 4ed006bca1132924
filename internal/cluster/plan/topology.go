// Package plan decides for a whole fleet how much of its traffic goes from which zone to which: to the local zone while
// that is healthy and has capacity, the rest to other zones, never more than their spare capacity. Health reports go in
// and plans come out. The package uses no clock, socket or goroutine, so that the program, the laboratory and the model
// check run the same code. The caller provides the time, counted from any origin; plans hold no timestamps, only how
// long they are valid.
package plan

import (
	"cmp"
	"slices"
	"time"
)

// Link describes the traffic from one zone to another.
type Link struct {
	Delay    time.Duration // round-trip time, without the endpoint's own time
	Price    float64       // of a call, in the operator's currency
	Capacity float64       // calls per second over the link, of all destinations together; 0 is unlimited
}

// Topology assigns zones to regions and describes the links between them. A zone without a known region is a region of
// its own.
type Topology struct {
	Region map[string]string  // of a zone
	Within Link               // between two zones of a region
	Across Link               // between two regions
	Pairs  map[[2]string]Link // overrides for single links, by origin and target zone
}

// Link returns the link from one zone to another; it is the zero Link within a zone.
func (t Topology) Link(from, to string) Link {
	switch link, overridden := t.Pairs[[2]string{from, to}]; {
	case from == to:
		return Link{}
	case overridden:
		return link
	case t.sameRegion(from, to):
		return t.Within
	}
	return t.Across
}

func (t Topology) sameRegion(a, b string) bool {
	r, known := t.Region[a]
	return known && r == t.Region[b]
}

// SortByCost returns the target zones in the order of preference: the zone itself first, then zones of the same region,
// then by price, delay and name.
func (t Topology) SortByCost(from string, to []string) []string {
	sorted := slices.Clone(to)
	distance := func(zone string) int {
		switch {
		case zone == from:
			return 0
		case t.sameRegion(from, zone):
			return 1
		}
		return 2
	}
	slices.SortFunc(sorted, func(a, b string) int {
		x, y := t.Link(from, a), t.Link(from, b)
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(x.Price, y.Price), cmp.Compare(x.Delay, y.Delay), cmp.Compare(a, b))
	})
	return sorted
}
