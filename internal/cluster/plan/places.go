// Package plan decides for a whole fleet which part of its traffic goes from which place to which: near while that is healthy and has
// room, elsewhere what near cannot take, never more to a place than it has to spare. Evidence goes in and plans come out; there is
// no clock, no socket and no goroutine in it, so that the program, the laboratory and the model check run the same code. Time is the
// caller's, counted from any moment, and plans carry no moment at all, only how long they hold.
package plan

import (
	"cmp"
	"slices"
	"time"
)

// Link is what it costs to go from one place to another.
type Link struct {
	Delay    time.Duration // one way and back, beside the partner's own time
	Price    float64       // of a call, in the users' money
	Capacity float64       // calls a second that the path takes, of all destinations; 0 is no bound
}

// Topology are zones in regions. A zone of no known region is a region of its own.
type Topology struct {
	Region map[string]string  // of a zone
	Within Link               // between two zones of a region
	Across Link               // between two regions
	Pairs  map[[2]string]Link // where one way between two zones is another matter; both ways are told apart
}

// Link is the one from a place to another; staying costs nothing.
func (p Topology) Link(from, to string) Link {
	switch c, told := p.Pairs[[2]string{from, to}]; {
	case from == to:
		return Link{}
	case told:
		return c
	case p.near(from, to):
		return p.Within
	}
	return p.Across
}

func (p Topology) near(a, b string) bool { r, known := p.Region[a]; return known && r == p.Region[b] }

// SortByCost sorts places by how dear it is to go there: near first, then within the region, then by price, delay and name.
func (p Topology) SortByCost(from string, to []string) []string {
	out := slices.Clone(to)
	far := func(place string) int {
		switch {
		case place == from:
			return 0
		case p.near(from, place):
			return 1
		}
		return 2
	}
	slices.SortFunc(out, func(a, b string) int {
		x, y := p.Link(from, a), p.Link(from, b)
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(x.Price, y.Price), cmp.Compare(x.Delay, y.Delay), cmp.Compare(a, b))
	})
	return out
}
