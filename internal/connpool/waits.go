package connpool

import "time"

const (
	// waitsPerGrowth is how many calls to an endpoint wait for a resting connection within waitWindow before the next one
	// gets a new connection instead: where calls are frequent, waiting would limit their rate.
	waitsPerGrowth = 10
	waitWindow     = time.Second
)

// waits counts the calls that waited for a resting connection, by endpoint.
type waits map[string]waitCount

type waitCount struct {
	since time.Time
	calls int
}

// grow counts a call that would have to wait, and reports whether it should get a new connection instead.
func (w waits) grow(now time.Time, endpoint string) bool {
	count := w[endpoint]
	if now.Sub(count.since) > waitWindow {
		count = waitCount{since: now}
	}
	if count.calls++; count.calls > waitsPerGrowth {
		delete(w, endpoint)
		return true
	}
	w[endpoint] = count
	return false
}
