package node

import (
	"sync"

	"golang.org/x/time/rate"

	"mulleinbeam/internal/cluster/entry"
)

// limits are the configured rates of classes at this forwarder. A class without one is not limited. It stands before the router as its
// Limiter; its methods may be called from any goroutine.
type limits struct {
	mu      sync.Mutex
	byClass map[string]*rate.Limiter
}

// change takes changes of the configuration.
func (l *limits) change(changes entry.Changes) {
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

// set has a class take on so many messages a second, and at once what that gives in a second, one at the least. What was used of an earlier rate
// stays used. l.mu is held.
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

// Allows counts a message of a class and says whether it may be taken on.
func (l *limits) Allows(class string) bool {
	l.mu.Lock()
	limiter := l.byClass[class]
	l.mu.Unlock()
	return limiter == nil || limiter.Allow()
}
