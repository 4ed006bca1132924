package plan

import (
	"cmp"
	"slices"
	"time"
)

// Shedder rejects the messages for which the plan has no capacity, the least valuable first. It belongs to one
// forwarder and is not safe for concurrent use.
type Shedder struct {
	classWorth map[string]float64 // value of a message, by class
	demand     map[int64]map[string]float64
	credit     map[int64]map[string]float64
}

// demandDecay is the factor by which recorded demand decays per window.
const demandDecay = 0.8

// NewShedder returns a shedder that knows the value of a message of each class.
func NewShedder(classWorth map[string]float64) *Shedder {
	return &Shedder{classWorth: classWorth, demand: map[int64]map[string]float64{}, credit: map[int64]map[string]float64{}}
}

// EndWindow ends a window: earlier demand decays.
func (s *Shedder) EndWindow() {
	for destination, byClass := range s.demand {
		sum := 0.0
		for class := range byClass {
			byClass[class] *= demandDecay
			sum += byClass[class]
		}
		if sum < 0.1 {
			delete(s.demand, destination)
			delete(s.credit, destination)
		}
	}
}

// Admit records a message and reports whether to admit it, where share is the part of the destination's demand that can
// be sent. Classes are admitted by value; of the class for which the capacity runs out, an evenly spaced part is
// admitted.
func (s *Shedder) Admit(destination int64, class string, share float64) bool {
	if s.demand[destination] == nil {
		s.demand[destination], s.credit[destination] = map[string]float64{}, map[string]float64{}
	}
	byClass := s.demand[destination]
	byClass[class]++
	if share >= 1 {
		return true
	}
	var classes []string
	total := 0.0
	for c, n := range byClass {
		classes = append(classes, c)
		total += n
	}
	slices.SortFunc(classes, func(a, b string) int { return cmp.Or(cmp.Compare(s.classWorth[b], s.classWorth[a]), cmp.Compare(a, b)) })
	left := share * total
	fraction := 0.0
	for _, c := range classes {
		fraction = max(0, min(1, left/byClass[c]))
		if left -= byClass[c]; c == class {
			break
		}
	}
	credit := s.credit[destination]
	if credit[class] += fraction; fraction >= 1 || credit[class] >= 1 {
		credit[class] = max(0, credit[class]-1)
		return true
	}
	return false
}

// AdmittedShare returns the share of its zone's demand for a destination that the plan in force sends to any zone; 1
// without a plan, or if the plan has no quota for the destination.
func (f *Follower) AdmittedShare(now time.Duration, destination int64) float64 {
	if f.ActiveVersion(now) == 0 {
		return 1
	}
	sum, found := 0.0, false
	for _, quota := range f.plan.QuotasFrom(destination, f.Zone) {
		found = true
		if !quota.Trial {
			sum += quota.Share
		}
	}
	if !found {
		return 1
	}
	return min(1, sum)
}
