package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Path is where calls go to: a destination's endpoints in one place.
type Path struct {
	Destination int64
	To          string
}

// buckets are those of latencies: the nth holds calls of up to 1.5^n milliseconds, the last all above (some 11 s). HdrHistogram's
// own form would be some hundred times as long for each path, of each forwarder, each second.
const buckets = 24

// Tally is what became of calls. Tallies add up.
type Tally struct {
	OK        float64
	Failed    float64 // answered with an error: the partner is there
	Refused   float64 // for want of room
	NoConnect float64
	Reset     float64
	Late      float64 // no answer in time
	Took      [buckets]float32
}

// Add adds another's.
func (t *Tally) Add(o Tally) {
	t.OK += o.OK
	t.Failed += o.Failed
	t.Refused += o.Refused
	t.NoConnect += o.NoConnect
	t.Reset += o.Reset
	t.Late += o.Late
	for i, n := range o.Took {
		t.Took[i] += n
	}
}

// RecordLatency books the time of a call that was answered.
func (t *Tally) RecordLatency(took time.Duration) {
	ms := math.Max(1, took.Seconds()*1000)
	t.Took[min(buckets-1, int(math.Ceil(math.Log(ms)/math.Log(1.5))))]++
}

// Calls are all but those that were refused: refusals tell of room, not of health.
func (t Tally) Calls() float64 { return t.OK + t.Failed + t.NoConnect + t.Reset + t.Late }

// Lost are calls that had no answer.
func (t Tally) Lost() float64 { return t.NoConnect + t.Reset + t.Late }

// LossRate is the share of calls that had no answer; one that failed with an answer was not lost to the way or the place.
func (t Tally) LossRate() float64 { return t.Lost() / math.Max(1, t.Calls()) }

// refusesMuch says whether so many were refused that nothing more should come.
func (t Tally) refusesMuch() bool { return t.Refused > refusedMuch*math.Max(1, t.Refused+t.Calls()) }

// timed are the answered calls whose times are known.
func (t Tally) timed() (sum float64) {
	for _, n := range t.Took {
		sum += float64(n)
	}
	return sum
}

// Median is the time within which half of the answered calls were answered, up to its bucket's upper end; 0 is none known.
func (t Tally) Median() time.Duration {
	total, sum := t.timed(), 0.0
	for i, n := range t.Took {
		if sum += float64(n); total > 0 && sum >= total/2 {
			return time.Duration(math.Pow(1.5, float64(i)) * float64(time.Millisecond))
		}
	}
	return 0
}

// Report is what one forwarder has seen in a window.
type Report struct {
	Observer string // with its life, so that a later one is another
	Place    string
	Span     time.Duration
	Obeys    uint64            // the plan that it goes by; 0 is none
	Demand   map[int64]float64 // messages handed in, by destination
	Paths    map[Path]Tally
	Limits   map[Path]float64 // that answers carried, the latest
	Lost     []Path           // on which the latest calls had no answer, over windows; see Runs
}

// LossStreaks count the calls in a row that had no answer, by path and over windows: a forwarder whose breakers let little through sees too
// little in one to say anything. It is one forwarder's, and not safe for several goroutines at once.
type LossStreaks map[Path]LossStreak

// LossStreak is one of them.
type LossStreak struct {
	lost  float64
	quiet int // windows without a call
}

// runQuiet is how many windows without a call a run is remembered for.
const runQuiet = 20

// EndWindow takes what a window has seen, and names the paths on which so many calls in a row had no answer that it says as much as a window
// of them.
func (r LossStreaks) EndWindow(paths map[Path]Tally) (lost []Path) {
	for p, t := range paths {
		switch x := r[p]; {
		case t.OK+t.Failed > 0:
			delete(r, p)
		case t.Lost() > 0:
			r[p] = LossStreak{lost: math.Min(runMost, x.lost+t.Lost()), quiet: -1}
		}
	}
	for p, x := range r {
		if x.quiet++; x.quiet > runQuiet {
			delete(r, p)
			continue
		}
		if r[p] = x; x.lost >= runLeast {
			lost = append(lost, p)
		}
	}
	return lost
}

// Summary is what a place's forwarders have seen together.
type Summary struct {
	Place     string
	Observers int
	Sick      []string          // those who alone saw everything fail; what they saw is left out
	Obeys     uint64            // the oldest plan that any of them goes by
	Who       uint64            // changes where others are heard
	Demand    map[int64]float64 // messages a second
	Paths     map[Path]Tally
	Limits    map[Path]float64 // the middle of what its forwarders were told
	Lost      []Path           // on which nobody had an answer in this window, and somebody's latest calls had none
}

const (
	lossBad    = 0.5 // share of calls lost at which a path is bad,
	lossGood   = 0.2 // and up to which it is good
	callsLeast = 5   // calls of one observer that say something
	// refusedMuch is the share of refusals at which nothing more is sent to a place.
	refusedMuch = 0.1
)

// Merge makes a place's summary of its forwarders' reports, in any order. An observer that loses most of its calls on most of its paths,
// where the others together lose few on the same, is itself the patient. Of two or more like it in a place of few, nobody can
// tell who is: they are believed if they are more than the others.
func Merge(place string, reports []Report) Summary {
	out := Summary{Place: place, Observers: len(reports), Obeys: math.MaxUint64, Demand: map[int64]float64{}, Paths: map[Path]Tally{}}
	suspects := map[string]bool{}
	for _, r := range reports {
		if bad, all := r.verdict(); all > 0 && 2*bad > all {
			suspects[r.Observer] = true
		}
	}
	others := map[Path]Tally{}
	for _, r := range reports {
		if !suspects[r.Observer] {
			add(others, r.Paths)
		}
	}
	for _, r := range reports {
		span := math.Max(0.001, r.Span.Seconds())
		for d, n := range r.Demand {
			out.Demand[d] += n / span
		}
		out.Obeys = min(out.Obeys, r.Obeys)
		out.Who ^= xxh3.HashString(r.Observer)
		if suspects[r.Observer] && 2*len(suspects) < len(reports) && r.contradicted(others) {
			out.Sick = append(out.Sick, r.Observer)
			continue
		}
		add(out.Paths, r.Paths)
	}
	if len(reports) == 0 {
		out.Obeys = 0
	}
	slices.Sort(out.Sick)
	told := map[Path][]float64{}
	lost := map[Path]bool{}
	for _, r := range reports {
		for p, rate := range r.Limits {
			told[p] = append(told[p], rate)
		}
		for _, p := range r.Lost {
			if t := out.Paths[p]; !lost[p] && t.OK+t.Failed == 0 && !slices.Contains(out.Sick, r.Observer) {
				out.Lost, lost[p] = append(out.Lost, p), true
			}
		}
	}
	slices.SortFunc(out.Lost, comparePaths)
	for p, rates := range told {
		if out.Limits == nil {
			out.Limits = map[Path]float64{}
		}
		slices.Sort(rates)
		out.Limits[p] = rates[(len(rates)-1)/2]
	}
	return out
}

func comparePaths(a, b Path) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.To, b.To))
}

// verdict says how many of an observer's paths are bad, of those of which it says something.
func (r Report) verdict() (bad, all int) {
	for _, isBad := range r.judged() {
		if all++; isBad {
			bad++
		}
	}
	return bad, all
}

// judged says of each path of which it says something whether that is bad.
func (r Report) judged() map[Path]bool {
	out := map[Path]bool{}
	for p, t := range r.Paths {
		if t.Calls() >= callsLeast {
			out[p] = t.LossRate() >= lossBad
		}
	}
	for _, p := range r.Lost {
		out[p] = true
	}
	return out
}

// contradicted says whether others did well on most of the paths that are bad for this one.
func (r Report) contradicted(others map[Path]Tally) bool {
	bad, well := 0, 0
	for p, isBad := range r.judged() {
		if !isBad {
			continue
		}
		bad++
		if o := others[p]; o.Calls() >= callsLeast && o.LossRate() <= lossGood {
			well++
		}
	}
	return 2*well > bad
}

func add(to, from map[Path]Tally) {
	for p, t := range from {
		sum := to[p]
		sum.Add(t)
		to[p] = sum
	}
}
