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

// hollowFleet is hollow members in this process, and an operator who changes them.
type hollowFleet struct {
	members   []*hollow
	voters    []controlplane.Voter
	relays    []controlplane.Relay
	timing    controlplane.Timing
	configure bool // changes are of the configuration
	narrow    bool // members watch themselves, the plan and the voters alone
	running   context.Context
	cancel    context.CancelFunc
	all       sync.WaitGroup

	mu     sync.Mutex
	sent   map[uint64]time.Time // when the change of a version was sent
	latest uint64
	took   *hdrhistogram.Histogram // milliseconds
}

// newHollowFleet is so many members, which ask relays if there are any.
func newHollowFleet(n int, voters []controlplane.Voter, relays []controlplane.Relay, narrow, configure bool) *hollowFleet {
	f := &hollowFleet{
		voters: voters, relays: relays, narrow: narrow, configure: configure, timing: controlplane.Timing{Lease: time.Second}, sent: map[uint64]time.Time{}, cancel: func() {},
		took: hdrhistogram.New(1, time.Hour.Milliseconds(), 3),
	}
	for i := range n {
		f.members = append(f.members, f.member(fmt.Sprintf("hollow-%05d", i), zoneName(i)))
	}
	return f
}

// member is one of them.
func (f *hollowFleet) member(name, zone string) *hollow {
	h := newHollow(name, zone, f.voters, f.relays, f.timing)
	if f.narrow {
		h.view = controlplane.NewViewOf(controlplane.SelectMember(name))
	}
	h.learned = func(version uint64) { f.known(h, version) }
	return h
}

// start has all join, some at a time and so many a second (0: as fast as they can), and waits until each holds a lease.
func (f *hollowFleet) start(ctx context.Context, aSecond float64) (time.Duration, error) {
	f.running, f.cancel = context.WithCancel(ctx)
	began := time.Now()
	turn := make(chan struct{}, joinAtOnce)
	for i, h := range f.members {
		if aSecond > 0 && !lab.Sleep(ctx, time.Until(began.Add(time.Duration(float64(i)/aSecond*float64(time.Second))))) {
			return 0, errNotJoined
		}
		select {
		case turn <- struct{}{}:
		case <-ctx.Done():
			return 0, errNotJoined
		}
		f.launch(h)
		f.all.Go(func() {
			defer func() { <-turn }()
			for !h.holds() && lab.Sleep(f.running, hollowRetry) {
			}
		})
	}
	err := f.awaitLeases(ctx)
	return time.Since(began), err
}

// launch has a member live until the fleet stops, or the member itself.
func (f *hollowFleet) launch(h *hollow) {
	ctx, cancel := context.WithCancel(f.running)
	ended := make(chan struct{})
	h.end = func() { cancel(); <-ended }
	f.all.Go(func() { defer close(ended); h.run(ctx) })
}

// awaitLeases waits until each member holds a lease.
func (f *hollowFleet) awaitLeases(ctx context.Context) error {
	began := time.Now()
	for _, h := range f.members {
		for !h.holds() {
			if time.Since(began) > scalePatience || !lab.Sleep(ctx, hollowRetry) {
				return f.notJoined()
			}
		}
	}
	return nil
}

// notJoined says how many hold no lease at this moment, and how often leases have lapsed.
func (f *hollowFleet) notJoined() error {
	without := 0
	for _, h := range f.members {
		if !h.holds() {
			without++
		}
	}
	lapses, lives := f.lapses()
	return fmt.Errorf("%w: %d of %d hold none, %d leases have lapsed, %d lives were begun", errNotJoined, without, len(f.members), lapses, lives)
}

// restartZone has the members of a zone end and begin again at once, as new processes with their folders.
func (f *hollowFleet) restartZone(zone string) {
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
			again.had, again.past = h.life, h.token
			again.lapses, again.lives = h.lapses, h.lives // counted for the name, over its processes
			f.mu.Lock()
			f.members[i] = again
			f.mu.Unlock()
			f.launch(again)
		}
	}
}

// lapses is how often a member's lease had ended before the next came, and lives how many lives members have begun.
func (f *hollowFleet) lapses() (lapses, lives int) {
	for _, h := range f.members {
		h.mu.Lock()
		lapses += h.lapses
		lives += h.lives
		h.mu.Unlock()
	}
	return lapses, lives
}

// forget drops what was measured so far.
func (f *hollowFleet) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.took.Reset()
}

func (f *hollowFleet) stop() {
	f.cancel()
	f.all.Wait()
}

// change has one member drained, or taken back, or a configuration entry set.
func (f *hollowFleet) change(ctx context.Context, i int) error {
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
	for _, h := range f.members { // those that knew before this goroutine did
		if h.booked >= r.Version {
			_ = f.took.RecordValue(max(1, time.Since(sent).Milliseconds()))
		}
	}
	return nil
}

// known books that a member knows what was decided up to a version.
func (f *hollowFleet) known(h *hollow, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.booked == 0 || f.latest == 0 { // all that was decided before it came, or before any change
		h.booked = max(h.booked, version)
		return
	}
	for v := h.booked + 1; v <= version; v++ {
		if sent, some := f.sent[v]; some {
			_ = f.took.RecordValue(max(1, time.Since(sent).Milliseconds()))
		}
	}
	h.booked = max(h.booked, version)
}

// await waits until all know the latest change.
func (f *hollowFleet) await(ctx context.Context) error {
	for _, h := range f.members {
		for h.version() < f.latest {
			if !lab.Sleep(ctx, time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// latency is the time within which so many of hundred members and changes were known.
func (f *hollowFleet) latency(percent float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.took.ValueAtQuantile(percent)) * time.Millisecond
}
