package plan

import (
	"cmp"
	"slices"
	"time"
)

// Shedder turns away at once what a plan has no room for, the least worth first. It is one forwarder's, and not safe for several
// goroutines at once.
type Shedder struct {
	worth  map[string]float64 // of a message, by class
	asked  map[int64]map[string]float64
	credit map[int64]map[string]float64
}

// askedFade is what is left, a window later, of what was asked for.
const askedFade = 0.8

// NewShedder is one that knows what a message of each class is worth.
func NewShedder(worth map[string]float64) *Shedder {
	return &Shedder{worth: worth, asked: map[int64]map[string]float64{}, credit: map[int64]map[string]float64{}}
}

// EndWindow ends one: what was asked for before counts for less.
func (s *Shedder) EndWindow() {
	for d, by := range s.asked {
		sum := 0.0
		for class := range by {
			by[class] *= askedFade
			sum += by[class]
		}
		if sum < 0.1 {
			delete(s.asked, d)
			delete(s.credit, d)
		}
	}
}

// Admit books a message that is handed in, and says whether there is room for it where a share of what is asked for has any. Of the class
// in which the room ends so many are admitted, evenly, as it is enough for.
func (s *Shedder) Admit(destination int64, class string, room float64) bool {
	if s.asked[destination] == nil {
		s.asked[destination], s.credit[destination] = map[string]float64{}, map[string]float64{}
	}
	by := s.asked[destination]
	by[class]++
	if room >= 1 {
		return true
	}
	var classes []string
	total := 0.0
	for c, n := range by {
		classes = append(classes, c)
		total += n
	}
	slices.SortFunc(classes, func(a, b string) int { return cmp.Or(cmp.Compare(s.worth[b], s.worth[a]), cmp.Compare(a, b)) })
	left := room * total
	share := 0.0
	for _, c := range classes {
		share = max(0, min(1, left/by[c]))
		if left -= by[c]; c == class {
			break
		}
	}
	credit := s.credit[destination]
	if credit[class] += share; share >= 1 || credit[class] >= 1 {
		credit[class] = max(0, credit[class]-1)
		return true
	}
	return false
}

// AdmittedShare is the share of what is asked for at a place that the plan in force sends somewhere; 1 where none is, or it says nothing of the
// destination.
func (f *Follower) AdmittedShare(now time.Duration, destination int64) float64 {
	if f.ActiveVersion(now) == 0 {
		return 1
	}
	sum, some := 0.0, false
	for _, g := range f.plan.QuotasFrom(destination, f.Zone) {
		some = true
		if !g.Trial {
			sum += g.Share
		}
	}
	if !some {
		return 1
	}
	return min(1, sum)
}
