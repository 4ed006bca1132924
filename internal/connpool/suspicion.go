package connpool

import "time"

// pathThreshold is the number of endpoints with recent strays from which the path to all endpoints is suspected, since
// several servers seldom fail alike.
const pathThreshold = 2

// suspicion holds the endpoints from which strays came. An endpoint is suspected for a time that doubles with each
// return of the strays, and that starts anew after a quiet time of the same length.
type suspicion struct {
	first, longest time.Duration
	endpoints      map[string]suspect
}

// suspect is an endpoint with strays.
type suspect struct {
	until time.Time
	lasts time.Duration
}

func newSuspicion(policy Policy) suspicion {
	return suspicion{first: policy.SingleUse, longest: policy.MaxSingleUse, endpoints: map[string]suspect{}}
}

// stray records a stray of an endpoint.
func (s *suspicion) stray(now time.Time, endpoint string) {
	s.forget(now)
	known, seen := s.endpoints[endpoint]
	switch {
	case !seen:
		known.lasts = s.first
	case !now.Before(known.until): // the strays are back
		known.lasts = min(2*known.lasts, s.longest)
	}
	known.until = now.Add(known.lasts)
	s.endpoints[endpoint] = known
}

// forget removes the endpoints that have been quiet for as long as they were suspected.
func (s *suspicion) forget(now time.Time) {
	for endpoint, known := range s.endpoints {
		if now.Sub(known.until) > known.lasts {
			delete(s.endpoints, endpoint)
		}
	}
}

// count returns the number of endpoints that are suspected now.
func (s *suspicion) count(now time.Time) (n int) {
	for _, known := range s.endpoints {
		if now.Before(known.until) {
			n++
		}
	}
	return n
}

// singleUse reports whether connections to an endpoint carry one call each.
func (s *suspicion) singleUse(now time.Time, endpoint string) bool {
	if len(s.endpoints) == 0 {
		return false
	}
	return now.Before(s.endpoints[endpoint].until) || s.count(now) >= pathThreshold
}
