package node

import (
	"sync"

	"golang.org/x/time/rate"

	"mulleinbeam/internal/cluster/entry"
)

// limits holds the configured rate limits of classes on this forwarder. A class without one is not limited. It
// implements routing.Limiter. Its methods may be called from any goroutine.
type limits struct {
	mu      sync.Mutex
	byClass map[string]*rate.Limiter
}

// apply applies changes of the configuration.
func (l *limits) apply(changes entry.Changes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range changes.Removed {
		if e.Class != nil {
			delete(l.byClass, e.Class.Name)
		}
	}
	for _, e := range changes.Set {
		if e.Class != nil {
			l.set(e.Class.Name, e.Class.Rate)
		}
	}
}

// set limits a class to perSecond messages per second, with a burst of one second's messages and at least one. A
// changed rate does not refill the burst. l.mu is held.
func (l *limits) set(class string, perSecond float64) {
	if l.byClass == nil {
		l.byClass = map[string]*rate.Limiter{}
	}
	burst := max(1, int(perSecond))
	limiter := l.byClass[class]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.byClass[class] = limiter
	}
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(burst)
}

// Allows counts a message of a class and reports whether it may be accepted.
func (l *limits) Allows(class string) bool {
	l.mu.Lock()
	limiter := l.byClass[class]
	l.mu.Unlock()
	return limiter == nil || limiter.Allow()
}
