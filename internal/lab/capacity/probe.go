package capacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Probe measures one part of the program at several sizes.
type Probe struct {
	Name  string
	Quick []int // sizes of a short run
	Full  []int
	Run   func(ctx context.Context, sizes []int, effort time.Duration) ([]Series, error)
}

// Probes returns all probes in the order in which they run.
func Probes() []Probe {
	return []Probe{
		{"state", []int{300, 600, 1500, 3000}, []int{300, 1000, 3000, 10_000, 19_000}, probeState},
		{"changes", []int{300, 600, 1500, 3000}, []int{300, 1000, 3000, 10_000, 19_000}, probeChanges},
		{"control plane", []int{100, 300, 600, 1000}, []int{100, 300, 1000, 3000, 10_000}, probeControlPlane},
		{"configuration", []int{30, 100, 300, 1000}, []int{100, 1000, 10_000, 60_000}, probeConfiguration},
		{"joins", []int{50, 100, 200, 500}, []int{100, 300, 1000, 3000, 6000}, probeJoins},
		{"links", []int{10, 30, 60, 100}, []int{10, 30, 100, 300, 1000}, probeLinks},
		{"relays", []int{10, 30, 60, 100}, []int{10, 30, 100, 300, 1000}, probeRelays},
		{"endpoint list", []int{1000, 3000, 10_000, 30_000}, []int{1000, 10_000, 100_000, 1_000_000}, probeList},
		{"backlog", []int{1000, 2000, 5000, 10_000}, []int{1000, 3000, 10_000, 30_000, 50_000}, probeBacklog},
		{"replica", []int{1000, 2000, 5000, 10_000}, []int{1000, 10_000, 30_000, 100_000}, probeReplica},
		{"planner", []int{10, 30, 60, 100}, []int{10, 100, 300, 1000}, probePlanner},
		{"observations", []int{3, 10, 20, 30}, []int{10, 30, 100, 300}, probeObservations},
	}
}

// Time spent on measuring one quantity at one size.
const (
	quickEffort = 20 * time.Millisecond
	fullEffort  = 200 * time.Millisecond
)

// Measure runs the probes in sequence and calls progress after each.
func Measure(ctx context.Context, probes []Probe, quick bool, progress func(name string, took time.Duration)) (m Measurement, err error) {
	m = Measurement{Date: time.Now().Format(time.DateOnly), Quick: quick, Cores: runtime.NumCPU(), Go: runtime.Version()}
	for _, p := range probes {
		sizes, effort := p.Full, fullEffort
		if quick {
			sizes, effort = p.Quick, quickEffort
		}
		began := time.Now()
		series, err := p.Run(ctx, sizes, effort)
		if err != nil {
			return m, fmt.Errorf("capacity: %s: %w", p.Name, err)
		}
		m.Series = append(m.Series, series...)
		progress(p.Name, time.Since(began))
	}
	return m, nil
}

// table collects the points of several series that are measured together.
type table struct{ series []Series }

// column adds a series without points.
func (t *table) column(name, variable, unit, what string) {
	t.series = append(t.series, Series{Name: name, Variable: variable, Unit: unit, What: what})
}

// row adds a point to each series, in the order of the columns.
func (t *table) row(size int, values ...float64) {
	for i, v := range values {
		t.series[i].Points = append(t.series[i].Points, Point{float64(size), v})
	}
}

// medianSeconds returns the median time of one call of do. Each sample averages the calls that fit into an equal share
// of the effort.
func medianSeconds(effort time.Duration, do func()) float64 {
	const rounds = 5
	do() // exclude one-time initialization
	var each []float64
	for range rounds {
		began, n := time.Now(), 0
		for n == 0 || time.Since(began) < effort/rounds {
			do()
			n++
		}
		each = append(each, time.Since(began).Seconds()/float64(n))
	}
	slices.Sort(each)
	return each[rounds/2]
}

// liveHeapBytes returns the number of bytes of live heap objects.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC() // frees the objects that finalizers kept alive
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorTime returns the user and system time of this process in seconds.
func processorTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}
