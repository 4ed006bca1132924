package cluster

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/lab"
)

// simulatedFleet runs simulated members in this process and submits changes of an operator.
type simulatedFleet struct {
	members   []*simulatedMember
	voters    []controlplane.Voter
	relays    []controlplane.Relay
	timing    controlplane.Timing
	configure bool // change the configuration instead of members
	narrow    bool // members watch only themselves, the plan and the voters
	running   context.Context
	cancel    context.CancelFunc
	all       sync.WaitGroup

	mu        sync.Mutex
	sent      map[uint64]time.Time // time at which the change of each version was sent
	latest    uint64
	latencies *hdrhistogram.Histogram // milliseconds until a member knew a change
}

// newSimulatedFleet returns a fleet of n members, which use relays if there are any.
func newSimulatedFleet(n int, voters []controlplane.Voter, relays []controlplane.Relay, narrow, configure bool) *simulatedFleet {
	f := &simulatedFleet{
		voters: voters, relays: relays, narrow: narrow, configure: configure, timing: controlplane.Timing{Lease: time.Second}, sent: map[uint64]time.Time{}, cancel: func() {},
		latencies: hdrhistogram.New(1, time.Hour.Milliseconds(), 3),
	}
	for i := range n {
		f.members = append(f.members, f.member(fmt.Sprintf("hollow-%05d", i), zoneName(i)))
	}
	return f
}

// member returns a new simulated member.
func (f *simulatedFleet) member(name, zone string) *simulatedMember {
	h := newSimulatedMember(name, zone, f.voters, f.relays, f.timing)
	if f.narrow {
		h.view = controlplane.NewViewOf(controlplane.SelectMember(name))
	}
	h.onChange = func(version uint64) { f.recordKnown(h, version) }
	return h
}

// start joins all members with bounded concurrency, at perSecond members per second (0: unlimited), and waits until
// each holds a lease.
func (f *simulatedFleet) start(ctx context.Context, perSecond float64) (time.Duration, error) {
	f.running, f.cancel = context.WithCancel(ctx)
	began := time.Now()
	joining := make(chan struct{}, maxConcurrentJoins)
	for i, h := range f.members {
		if perSecond > 0 && !lab.Sleep(ctx, time.Until(began.Add(time.Duration(float64(i)/perSecond*float64(time.Second))))) {
			return 0, errNotJoined
		}
		select {
		case joining <- struct{}{}:
		case <-ctx.Done():
			return 0, errNotJoined
		}
		f.launch(h)
		f.all.Go(func() {
			defer func() { <-joining }()
			for !h.holds() && lab.Sleep(f.running, simulatedRetryInterval) {
			}
		})
	}
	err := f.awaitLeases(ctx)
	return time.Since(began), err
}

// launch runs a member until it or the fleet is stopped.
func (f *simulatedFleet) launch(h *simulatedMember) {
	ctx, cancel := context.WithCancel(f.running)
	ended := make(chan struct{})
	h.end = func() { cancel(); <-ended }
	f.all.Go(func() { defer close(ended); h.run(ctx) })
}

// awaitLeases waits until each member holds a lease.
func (f *simulatedFleet) awaitLeases(ctx context.Context) error {
	began := time.Now()
	for _, h := range f.members {
		for !h.holds() {
			if time.Since(began) > scaleTimeout || !lab.Sleep(ctx, simulatedRetryInterval) {
				return f.notJoined()
			}
		}
	}
	return nil
}

// notJoined returns an error with the number of members that hold no lease and of leases that have lapsed.
func (f *simulatedFleet) notJoined() error {
	without := 0
	for _, h := range f.members {
		if !h.holds() {
			without++
		}
	}
	lapses, incarnations := f.lapses()
	return fmt.Errorf("%w: %d of %d hold none, %d leases have lapsed, %d incarnations were begun", errNotJoined, without, len(f.members), lapses, incarnations)
}

// restartZone restarts the members of a zone at once, as new processes with the existing state folders.
func (f *simulatedFleet) restartZone(zone string) {
	var all sync.WaitGroup
	for _, h := range f.members {
		if h.zone == zone {
			all.Go(h.end)
		}
	}
	all.Wait()
	for i, h := range f.members {
		if h.zone == zone {
			again := f.member(h.name, h.zone)
			again.previous, again.previousToken = h.incarnation, h.token
			again.lapses, again.incarnations = h.lapses, h.incarnations // counted per name, across restarts
			f.mu.Lock()
			f.members[i] = again
			f.mu.Unlock()
			f.launch(again)
		}
	}
}

// lapses returns the number of leases that expired before their renewal and of incarnations begun, over all members.
func (f *simulatedFleet) lapses() (lapses, incarnations int) {
	for _, h := range f.members {
		h.mu.Lock()
		lapses += h.lapses
		incarnations += h.incarnations
		h.mu.Unlock()
	}
	return lapses, incarnations
}

// resetLatencies discards the latencies recorded so far.
func (f *simulatedFleet) resetLatencies() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latencies.Reset()
}

func (f *simulatedFleet) stop() {
	f.cancel()
	f.all.Wait()
}

// change drains a member or ends its draining, or sets a configuration entry.
func (f *simulatedFleet) change(ctx context.Context, i int) error {
	h := f.members[i%len(f.members)]
	sent := time.Now()
	var r controlplane.Response
	var err error
	if f.configure {
		r, err = f.configureOne(ctx, h, i)
	} else {
		r, err = h.decide(ctx, controlplane.Command{Kind: controlplane.Drain, Life: controlplane.Incarnation{Name: h.name}, On: i/len(f.members)%2 == 0})
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[r.Version], f.latest = sent, r.Version
	for _, h := range f.members { // members that knew the change before this call returned
		if h.recordedVersion >= r.Version {
			_ = f.latencies.RecordValue(max(1, time.Since(sent).Milliseconds()))
		}
	}
	return nil
}

// recordKnown records the latencies of the changes that a member knows up to a version.
func (f *simulatedFleet) recordKnown(h *simulatedMember, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.recordedVersion == 0 || f.latest == 0 { // versions before the member joined or before the first change
		h.recordedVersion = max(h.recordedVersion, version)
		return
	}
	for v := h.recordedVersion + 1; v <= version; v++ {
		if sent, ok := f.sent[v]; ok {
			_ = f.latencies.RecordValue(max(1, time.Since(sent).Milliseconds()))
		}
	}
	h.recordedVersion = max(h.recordedVersion, version)
}

// await waits until all members know the latest change.
func (f *simulatedFleet) await(ctx context.Context) error {
	for _, h := range f.members {
		for h.version() < f.latest {
			if !lab.Sleep(ctx, time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// latency returns a percentile of the time until a member knew a change.
func (f *simulatedFleet) latency(percent float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.latencies.ValueAtQuantile(percent)) * time.Millisecond
}
