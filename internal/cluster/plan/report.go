package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Path identifies the calls to the endpoints of a destination in one zone.
type Path struct {
	Destination int64
	To          string
}

// latencyBuckets is the number of latency buckets: bucket n holds calls of up to 1.5^n milliseconds, the last one every
// longer call (above about 11 s). The encoding of HdrHistogram would be some hundred times larger for each path of each
// forwarder in each second.
const latencyBuckets = 24

// Tally counts the outcomes of calls. Tallies can be added up.
type Tally struct {
	OK        float64
	Failed    float64 // answered with an error: the endpoint is reachable
	Refused   float64 // refused for lack of capacity
	NoConnect float64
	Reset     float64
	Late      float64 // no answer within the timeout
	Took      [latencyBuckets]float32
}

// Add adds the counts of another tally.
func (t *Tally) Add(other Tally) {
	t.OK += other.OK
	t.Failed += other.Failed
	t.Refused += other.Refused
	t.NoConnect += other.NoConnect
	t.Reset += other.Reset
	t.Late += other.Late
	for i, n := range other.Took {
		t.Took[i] += n
	}
}

// RecordLatency records the latency of an answered call.
func (t *Tally) RecordLatency(took time.Duration) {
	ms := math.Max(1, took.Seconds()*1000)
	t.Took[min(latencyBuckets-1, int(math.Ceil(math.Log(ms)/math.Log(1.5))))]++
}

// Calls returns the number of calls without the refused ones: refusals indicate a lack of capacity, not poor health.
func (t Tally) Calls() float64 { return t.OK + t.Failed + t.NoConnect + t.Reset + t.Late }

// Lost returns the number of calls that had no answer.
func (t Tally) Lost() float64 { return t.NoConnect + t.Reset + t.Late }

// LossRate returns the share of calls that had no answer. A call answered with an error was not lost to the network or
// the zone.
func (t Tally) LossRate() float64 { return t.Lost() / math.Max(1, t.Calls()) }

// refusesHeavily reports whether the share of refused calls is so high that no more traffic should be sent.
func (t Tally) refusesHeavily() bool {
	return t.Refused > highRefusalShare*math.Max(1, t.Refused+t.Calls())
}

// timedCalls returns the number of answered calls whose latency is known.
func (t Tally) timedCalls() (sum float64) {
	for _, n := range t.Took {
		sum += float64(n)
	}
	return sum
}

// Median returns the median latency of the answered calls, rounded up to the end of its bucket; 0 if no latency is
// known.
func (t Tally) Median() time.Duration {
	total, sum := t.timedCalls(), 0.0
	for i, n := range t.Took {
		if sum += float64(n); total > 0 && sum >= total/2 {
			return time.Duration(math.Pow(1.5, float64(i)) * float64(time.Millisecond))
		}
	}
	return 0
}

// Report is the health report of one forwarder for one window.
type Report struct {
	Observer string // includes the epoch, so that a restarted forwarder is another observer
	Place    string
	Span     time.Duration
	Obeys    uint64            // version of the plan in use; 0 is none
	Demand   map[int64]float64 // messages received, by destination
	Paths    map[Path]Tally
	Limits   map[Path]float64 // the latest rate limits reported in answers
	Lost     []Path           // paths whose latest calls, over windows, had no answer; see LossStreaks
}

// LossStreaks count the consecutive calls without an answer, by path and across windows: a forwarder whose circuit
// breakers let few calls through sees too few in one window to judge a path. They belong to one forwarder and are not
// safe for concurrent use.
type LossStreaks map[Path]LossStreak

// LossStreak is the state of one path.
type LossStreak struct {
	lostCalls   float64
	idleWindows int // consecutive windows without a call
}

// maxIdleWindows is the number of windows without a call after which a streak is dropped.
const maxIdleWindows = 20

// EndWindow records the calls of a window and returns the paths on which enough consecutive calls had no answer to
// count as much as a whole window of calls.
func (streaks LossStreaks) EndWindow(paths map[Path]Tally) (lost []Path) {
	for path, tally := range paths {
		switch streak := streaks[path]; {
		case tally.OK+tally.Failed > 0:
			delete(streaks, path)
		case tally.Lost() > 0:
			streaks[path] = LossStreak{lostCalls: math.Min(maxStreakCalls, streak.lostCalls+tally.Lost()), idleWindows: -1}
		}
	}
	for path, streak := range streaks {
		if streak.idleWindows++; streak.idleWindows > maxIdleWindows {
			delete(streaks, path)
			continue
		}
		if streaks[path] = streak; streak.lostCalls >= minStreakCalls {
			lost = append(lost, path)
		}
	}
	return lost
}

// Summary combines the reports of the forwarders in a zone.
type Summary struct {
	Place     string
	Observers int
	Sick      []string          // outlier observers: they alone saw most calls fail; their tallies are left out
	Obeys     uint64            // the oldest plan version in use by any of them
	Who       uint64            // a hash of the observers: it changes when other forwarders report
	Demand    map[int64]float64 // messages per second
	Paths     map[Path]Tally
	Limits    map[Path]float64 // the median of the rate limits that its forwarders reported
	Lost      []Path           // paths in the Lost of any observer, without an answer in this window
}

const (
	unhealthyLossShare = 0.5 // share of lost calls from which a path is unhealthy
	healthyLossShare   = 0.2 // share of lost calls up to which a path is healthy
	minObserverCalls   = 5   // calls that one observer must have made on a path to judge it
	// highRefusalShare is the share of refused calls above which a zone gets no additional traffic.
	highRefusalShare = 0.1
)

// Merge combines the reports of the forwarders in a zone, in any order, into a summary. An observer that loses most of
// its calls on most of its paths, while the others together lose few calls on the same paths, is an outlier and its
// tallies are left out. Where the suspects are half of the observers or more, outliers cannot be told apart and every
// report counts.
func Merge(zone string, reports []Report) Summary {
	summary := Summary{Place: zone, Observers: len(reports), Obeys: math.MaxUint64, Demand: map[int64]float64{}, Paths: map[Path]Tally{}}
	suspects := map[string]bool{}
	for _, report := range reports {
		if unhealthy, total := report.countUnhealthy(); total > 0 && 2*unhealthy > total {
			suspects[report.Observer] = true
		}
	}
	others := map[Path]Tally{}
	for _, report := range reports {
		if !suspects[report.Observer] {
			addTallies(others, report.Paths)
		}
	}
	for _, report := range reports {
		span := math.Max(0.001, report.Span.Seconds())
		for destination, count := range report.Demand {
			summary.Demand[destination] += count / span
		}
		summary.Obeys = min(summary.Obeys, report.Obeys)
		summary.Who ^= xxh3.HashString(report.Observer)
		if suspects[report.Observer] && 2*len(suspects) < len(reports) && report.contradictedBy(others) {
			summary.Sick = append(summary.Sick, report.Observer)
			continue
		}
		addTallies(summary.Paths, report.Paths)
	}
	if len(reports) == 0 {
		summary.Obeys = 0
	}
	slices.Sort(summary.Sick)
	limits := map[Path][]float64{}
	lost := map[Path]bool{}
	for _, report := range reports {
		for path, rate := range report.Limits {
			limits[path] = append(limits[path], rate)
		}
		for _, path := range report.Lost {
			if t := summary.Paths[path]; !lost[path] && t.OK+t.Failed == 0 && !slices.Contains(summary.Sick, report.Observer) {
				summary.Lost, lost[path] = append(summary.Lost, path), true
			}
		}
	}
	slices.SortFunc(summary.Lost, comparePaths)
	for path, rates := range limits {
		if summary.Limits == nil {
			summary.Limits = map[Path]float64{}
		}
		slices.Sort(rates)
		summary.Limits[path] = rates[(len(rates)-1)/2]
	}
	return summary
}

func comparePaths(a, b Path) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.To, b.To))
}

// countUnhealthy returns how many of the paths that the observer can judge are unhealthy, and how many it can judge.
func (r Report) countUnhealthy() (unhealthy, total int) {
	for _, isBad := range r.classifyPaths() {
		if total++; isBad {
			unhealthy++
		}
	}
	return unhealthy, total
}

// classifyPaths reports, for each path that the observer can judge, whether the path is unhealthy.
func (r Report) classifyPaths() map[Path]bool {
	out := map[Path]bool{}
	for path, tally := range r.Paths {
		if tally.Calls() >= minObserverCalls {
			out[path] = tally.LossRate() >= unhealthyLossShare
		}
	}
	for _, path := range r.Lost {
		out[path] = true
	}
	return out
}

// contradictedBy reports whether most paths that are unhealthy for this observer are healthy for the others.
func (r Report) contradictedBy(others map[Path]Tally) bool {
	unhealthy, healthy := 0, 0
	for path, isBad := range r.classifyPaths() {
		if !isBad {
			continue
		}
		unhealthy++
		if o := others[path]; o.Calls() >= minObserverCalls && o.LossRate() <= healthyLossShare {
			healthy++
		}
	}
	return 2*healthy > unhealthy
}

func addTallies(to, from map[Path]Tally) {
	for path, tally := range from {
		sum := to[path]
		sum.Add(tally)
		to[path] = sum
	}
}
