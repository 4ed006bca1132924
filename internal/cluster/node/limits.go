package node

import (
	"sync"

	"golang.org/x/time/rate"
)

// limits are the configured rates of classes at this forwarder. A class without one is not limited. It stands before the router as its
// Limiter; its methods may be called from any goroutine.
type limits struct {
	mu      sync.Mutex
	byClass map[string]*rate.Limiter
}

// set replaces the rates, in messages a second. A class may take on at once what its rate gives in a second, and one message at the least.
func (l *limits) set(rates map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*rate.Limiter, len(rates))
	for class, r := range rates {
		burst := max(1, int(r))
		limiter := l.byClass[class]
		if limiter == nil {
			limiter = rate.NewLimiter(rate.Limit(r), burst)
		}
		limiter.SetLimit(rate.Limit(r))
		limiter.SetBurst(burst)
		next[class] = limiter
	}
	l.byClass = next
}

// Allows counts a message of a class and says whether it may be taken on.
func (l *limits) Allows(class string) bool {
	l.mu.Lock()
	limiter := l.byClass[class]
	l.mu.Unlock()
	return limiter == nil || limiter.Allow()
}
