package connpool

import "time"

const (
	latencyPeriod = 5 * time.Second // the latencies of the present and of the previous period count
	// minLatencySamples is the number of answers from which an endpoint's latencies are known.
	minLatencySamples = 8
	// implausibleShare of the shortest latency of late is taken by no answer: what comes sooner is held back.
	implausibleShare = 0.5
	// holdFactor of the longest latency of late is how long the answer of a call may still come behind a held one.
	holdFactor = 2
	// purgeAbove is the number of endpoints from which those without recent answers are forgotten.
	purgeAbove = 256
)

// latencyRange summarizes the times from requests to their answers in one period.
type latencyRange struct {
	shortest, longest time.Duration
	samples           int
}

func (r *latencyRange) add(latency time.Duration) {
	if r.samples == 0 || latency < r.shortest {
		r.shortest = latency
	}
	r.longest = max(r.longest, latency)
	r.samples++
}

// latencies holds the recent latencies of each endpoint.
type latencies struct {
	endpoints map[string]*endpointLatencies
	purgeAt   int
}

type endpointLatencies struct {
	since             time.Time // start of the present period
	present, previous latencyRange
}

// roll begins a new period if the present one is over.
func (l *endpointLatencies) roll(now time.Time) {
	age := now.Sub(l.since)
	switch {
	case age < latencyPeriod:
		return
	case age < 2*latencyPeriod:
		l.previous = l.present
	default:
		l.previous = latencyRange{}
	}
	l.present, l.since = latencyRange{}, now
}

// add records the latency of an answer.
func (l *latencies) add(now time.Time, endpoint string, latency time.Duration) {
	known := l.endpoints[endpoint]
	if known == nil {
		l.purge(now)
		known = &endpointLatencies{since: now}
		l.endpoints[endpoint] = known
	}
	known.roll(now)
	known.present.add(latency)
}

// purge forgets endpoints without recent answers once there are many.
func (l *latencies) purge(now time.Time) {
	if len(l.endpoints) < max(l.purgeAt, purgeAbove) {
		return
	}
	for endpoint, known := range l.endpoints {
		if now.Sub(known.since) >= 2*latencyPeriod {
			delete(l.endpoints, endpoint)
		}
	}
	l.purgeAt = 2 * len(l.endpoints)
}

// recent returns the range of the recent latencies of an endpoint; false if there are too few.
func (l *latencies) recent(now time.Time, endpoint string) (latencyRange, bool) {
	known := l.endpoints[endpoint]
	if known == nil {
		return latencyRange{}, false
	}
	known.roll(now)
	sum := known.present
	if known.previous.samples > 0 {
		if sum.samples == 0 || known.previous.shortest < sum.shortest {
			sum.shortest = known.previous.shortest
		}
		sum.longest = max(sum.longest, known.previous.longest)
		sum.samples += known.previous.samples
	}
	return sum, sum.samples >= minLatencySamples
}

// implausible returns the time from a request within which its answer does not come; zero if that is not known.
func (l *latencies) implausible(now time.Time, endpoint string) time.Duration {
	recent, known := l.recent(now, endpoint)
	if !known {
		return 0
	}
	return time.Duration(implausibleShare * float64(recent.shortest))
}
