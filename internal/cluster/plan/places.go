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

// Crossing is what it costs to go from one place to another.
type Crossing struct {
	Delay    time.Duration // one way and back, beside the partner's own time
	Price    float64       // of a call, in the users' money
	Capacity float64       // calls a second that the path takes, of all destinations; 0 is no bound
}

// Places are zones in regions. A zone of no known region is a region of its own.
type Places struct {
	Region map[string]string      // of a zone
	Within Crossing               // between two zones of a region
	Across Crossing               // between two regions
	Pairs  map[[2]string]Crossing // where one way between two zones is another matter; both ways are told apart
}

// Crossing is the one from a place to another; staying costs nothing.
func (p Places) Crossing(from, to string) Crossing {
	switch c, told := p.Pairs[[2]string{from, to}]; {
	case from == to:
		return Crossing{}
	case told:
		return c
	case p.near(from, to):
		return p.Within
	}
	return p.Across
}

func (p Places) near(a, b string) bool { r, known := p.Region[a]; return known && r == p.Region[b] }

// Order sorts places by how dear it is to go there: near first, then within the region, then by price, delay and name.
func (p Places) Order(from string, to []string) []string {
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
		x, y := p.Crossing(from, a), p.Crossing(from, b)
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(x.Price, y.Price), cmp.Compare(x.Delay, y.Delay), cmp.Compare(a, b))
	})
	return out
}
