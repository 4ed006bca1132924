package simulation

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/lab/scenario"
)

// Variant is a named scenario.
type Variant struct {
	Name     string
	Scenario scenario.Scenario
}

// Sweep runs each variant with each seed, atOnce runs at a time, and returns the results by variant and seed. It calls
// progress with the number of finished runs, their total and the estimated time left; progress may be nil.
func Sweep(ctx context.Context, variants []Variant, seeds []uint64, atOnce int, progress func(done, of int, left time.Duration)) ([][]Result, error) {
	out := make([][]Result, len(variants))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, atOnce))
	var mu sync.Mutex
	done, began := 0, time.Now()
	for v := range variants {
		out[v] = make([]Result, len(seeds))
		for i, seed := range seeds {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				w, err := New(variants[v].Scenario, seed)
				if err != nil {
					return fmt.Errorf("%s: %w", variants[v].Name, err)
				}
				out[v][i] = w.Run()
				mu.Lock()
				defer mu.Unlock()
				if done++; progress != nil {
					of := len(variants) * len(seeds)
					progress(done, of, time.Since(began)/time.Duration(done)*time.Duration(of-done))
				}
				return nil
			})
		}
	}
	return out, group.Wait()
}

// Metric is a number that is computed from a result.
type Metric struct {
	Name string
	Of   func(Result) float64
}

// Values returns the metric of each result.
func (f Metric) Values(results []Result) []float64 {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = f.Of(r)
	}
	return values
}

// Mean returns the metric's mean over results.
func (f Metric) Mean(results []Result) float64 {
	sum := 0.0
	for _, v := range f.Values(results) {
		sum += v
	}
	return sum / float64(max(1, len(results)))
}

// Metrics lists the metrics that comparisons and reports show.
var Metrics = []Metric{
	{"messages lost with folders", func(r Result) float64 { return float64(r.LostWithFolder) }},
	{"messages taken over", func(r Result) float64 { return float64(r.TakenOver) }},
	{"worth delivered, share of offered", func(r Result) float64 { return r.Worth.Delivered / max(1e-9, r.Worth.Offered) }},
	{"worth in the 20 s after the first kill", func(r Result) float64 { return r.Worth.AfterKill }},
	{"calls to a cold partner in its first 14 s", func(r Result) float64 { return float64(r.EarlyColdCalls) }},
	{"refusals above limits", func(r Result) float64 { return float64(r.OverLimit) }},
	{"calls within waits told to an earlier life", func(r Result) float64 { return float64(r.CallsInRetryAfter) }},
	{"partners that fell over again", func(r Result) float64 { return float64(r.Overloads) }},
	{"calls", func(r Result) float64 { return float64(r.Calls) }},
	{"rules broken", func(r Result) float64 { return float64(len(r.Violations)) }},
}

// Interval is a mean with its 95 % bootstrap confidence interval.
type Interval struct{ Mean, Low, High float64 }

// IncludesZero reports whether the interval includes zero: a difference of that size may be chance.
func (i Interval) IncludesZero() bool { return i.Low <= 0 && i.High >= 0 }

const resamples = 2000

// Bootstrap returns the mean of values and its confidence interval; equal seeds give equal intervals.
func Bootstrap(values []float64, seed uint64) Interval {
	if len(values) == 0 {
		return Interval{math.NaN(), math.NaN(), math.NaN()}
	}
	mean := func(pick func(i int) float64) float64 {
		sum := 0.0
		for i := range values {
			sum += pick(i)
		}
		return sum / float64(len(values))
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	means := make([]float64, resamples)
	for k := range means {
		means[k] = mean(func(int) float64 { return values[rng.IntN(len(values))] })
	}
	slices.Sort(means)
	at := func(share float64) float64 { return means[int(share*(resamples-1))] }
	return Interval{mean(func(i int) float64 { return values[i] }), at(0.025), at(0.975)}
}

// Difference is the difference B - A of a metric between two variants, paired by seed.
type Difference struct {
	Metric string
	A, B   float64 // means
	Diff   Interval
}

// Compare returns the differences of all metrics between two variants, whose results it pairs by seed.
func Compare(a, b []Result) ([]Difference, error) {
	if len(a) != len(b) {
		return nil, fmt.Errorf("simulation: %d and %d results cannot be paired", len(a), len(b))
	}
	for i := range a {
		if a[i].Seed != b[i].Seed {
			return nil, fmt.Errorf("simulation: results of seeds %d and %d cannot be paired", a[i].Seed, b[i].Seed)
		}
	}
	var out []Difference
	for _, f := range Metrics {
		diffs := f.Values(b)
		for i, x := range f.Values(a) {
			diffs[i] -= x
		}
		out = append(out, Difference{f.Name, f.Mean(a), f.Mean(b), Bootstrap(diffs, 1)})
	}
	return out, nil
}
