package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinbeam/internal/cluster/council"
	"mulleinbeam/internal/lab"
)

// Scale measures a control plane of real voters with hollow members over loopback sockets: what a member and the leader spend while changes
// are decided, and how long it takes until a change is known to every member.
type Scale struct {
	Program []string
	Env     []string
	Sizes   []int
	Rate    float64 // changes a second
	Length  time.Duration
	Out     io.Writer
}

// ScaleResult is what one size has shown.
type ScaleResult struct {
	Members      int
	Joined       time.Duration // until all held a lease
	MemberBytes  float64       // a second, both ways, without the network's own heads
	MemberCores  float64
	MemberMemory float64 // bytes
	LeaderCores  float64
	LeaderMemory float64 // bytes
	Changes      int
	P50, P99     time.Duration // from a change's sending until a member knows it, over all members and changes
	Longest      time.Duration
	Lost         int // members that held no lease at the end
}

const (
	scaleVoters   = 3
	joinAtOnce    = 128
	scalePatience = 2 * time.Minute
	scaleZones    = 22
)

var errNotJoined = errors.New("not all members hold a lease")

// Run measures each size with a control plane of its own, each within a bounded time.
func (s Scale) Run(ctx context.Context) error {
	for _, n := range s.Sizes {
		r, err := s.one(ctx, n)
		if err != nil {
			return fmt.Errorf("%d members: %w", n, err)
		}
		fmt.Fprintf(s.Out, "%6d members: all joined after %v; a member %.0f B/s, %.5f cores, %.2f MB; the leader %.3f cores, %.1f MB; %d changes known to a member after p50 %v, p99 %v, longest %v; %d without a lease\n",
			r.Members, r.Joined.Round(time.Millisecond), r.MemberBytes, r.MemberCores, r.MemberMemory/1e6, r.LeaderCores, r.LeaderMemory/1e6, r.Changes,
			r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.Longest.Round(time.Millisecond), r.Lost)
	}
	return nil
}

func (s Scale) one(ctx context.Context, n int) (r ScaleResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, scalePatience+2*s.Length)
	defer cancel()
	dir, err := os.MkdirTemp("", "larklab-scale-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	f, err := Open(Setup{Members: scaleVoters, Program: s.Program, Env: s.Env, Dir: dir, Seed: 1, Direct: true}, &lab.Endpoint{Name: "p"})
	if err != nil {
		return r, err
	}
	defer f.Close()
	if err := f.Start(f.All()...); err != nil {
		return r, err
	}
	if err := f.AwaitCopied(ctx, f.All()...); err != nil {
		return r, err
	}
	var voters []council.Founder
	for _, m := range f.Members {
		voters = append(voters, council.Founder{Name: m.Name, Address: m.Links})
	}
	fleet := newHollowFleet(n, voters)
	defer fleet.stop()
	r.Members = n
	if r.Joined, err = fleet.start(ctx); err != nil {
		return r, err
	}
	return r, s.measure(ctx, f, fleet, &r)
}

// measure has changes decided for the length, and books what all spend meanwhile.
func (s Scale) measure(ctx context.Context, f *Fleet, fleet *hollowFleet, r *ScaleResult) error {
	leader, err := f.leader()
	if err != nil {
		return err
	}
	own, its := usageOf(os.Getpid()), usageOf(leader)
	began := time.Now()
	for i := 0; time.Since(began) < s.Length; i++ {
		due := began.Add(time.Duration(float64(i) / s.Rate * float64(time.Second)))
		if !lab.Sleep(ctx, time.Until(due)) {
			return ctx.Err()
		}
		if err := fleet.change(ctx, i); err != nil {
			return err
		}
		r.Changes++
	}
	took := time.Since(began).Seconds()
	now, itsNow := usageOf(os.Getpid()), usageOf(leader)
	if err := fleet.await(ctx); err != nil {
		return err
	}
	n := float64(r.Members)
	r.MemberBytes, r.MemberCores, r.MemberMemory = (now.bytes-own.bytes)/took/n, (now.cpu-own.cpu)/took/n, now.memory/n
	r.LeaderCores, r.LeaderMemory = (itsNow.cpu-its.cpu)/took, itsNow.memory
	r.P50, r.P99, r.Longest = fleet.latency(50), fleet.latency(99), fleet.latency(100)
	for _, h := range fleet.members {
		if !h.holds() {
			r.Lost++
		}
	}
	return nil
}

// leader is the process that leads.
func (f *Fleet) leader() (pid int, err error) {
	for i := range f.Members {
		s, err := f.Look(i)
		if err != nil {
			return 0, err
		}
		for _, m := range f.Members {
			if m.Name == s.Leader {
				return m.Pid(), nil
			}
		}
	}
	return 0, council.ErrNoLeader
}

// usage is what a process has used so far.
type usage struct{ cpu, bytes, memory float64 }

// usageOf reads it: processor time in seconds, bytes that went through its reads and writes, and its resident memory now.
func usageOf(pid int) (u usage) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	if raw, err := os.ReadFile(filepath.Join(dir, "stat")); err == nil {
		const user, system, ticks = 11, 12, 100 // fields behind the name, and the kernel's ticks a second
		_, rest, _ := strings.Cut(string(raw), ") ")
		if fields := strings.Fields(rest); len(fields) > system {
			a, _ := strconv.ParseFloat(fields[user], 64)
			b, _ := strconv.ParseFloat(fields[system], 64)
			u.cpu = (a + b) / ticks
		}
	}
	if raw, err := os.ReadFile(filepath.Join(dir, "io")); err == nil {
		for _, line := range strings.Split(string(raw), "\n") {
			if key, value, _ := strings.Cut(line, ": "); key == "rchar" || key == "wchar" {
				v, _ := strconv.ParseFloat(value, 64)
				u.bytes += v
			}
		}
	}
	if raw, err := os.ReadFile(filepath.Join(dir, "statm")); err == nil {
		if fields := strings.Fields(string(raw)); len(fields) > 1 {
			pages, _ := strconv.ParseFloat(fields[1], 64)
			u.memory = pages * float64(syscall.Getpagesize())
		}
	}
	return u
}

// hollowFleet is hollow members in this process, and an operator who changes them.
type hollowFleet struct {
	members []*hollow
	voters  []council.Founder
	timing  council.Timing
	cancel  context.CancelFunc
	all     sync.WaitGroup

	mu     sync.Mutex
	sent   map[uint64]time.Time // when the change of a version was sent
	latest uint64
	took   *hdrhistogram.Histogram // milliseconds
}

func newHollowFleet(n int, voters []council.Founder) *hollowFleet {
	f := &hollowFleet{
		voters: voters, timing: council.Timing{Lease: time.Second}, sent: map[uint64]time.Time{}, cancel: func() {},
		took: hdrhistogram.New(1, time.Hour.Milliseconds(), 3),
	}
	for i := range n {
		h := newHollow(fmt.Sprintf("hollow-%05d", i), fmt.Sprintf("zone-%02d", i%scaleZones), voters, f.timing)
		h.learned = func(version uint64) { f.known(h, version) }
		f.members = append(f.members, h)
	}
	return f
}

// start has all join, some at a time, and waits until each holds a lease.
func (f *hollowFleet) start(ctx context.Context) (time.Duration, error) {
	running, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	began := time.Now()
	turn := make(chan struct{}, joinAtOnce)
	for _, h := range f.members {
		select {
		case turn <- struct{}{}:
		case <-ctx.Done():
			return 0, errNotJoined
		}
		f.all.Go(func() { h.run(running) })
		f.all.Go(func() {
			defer func() { <-turn }()
			for !h.holds() && lab.Sleep(running, hollowRetry) {
			}
		})
	}
	for _, h := range f.members {
		for !h.holds() {
			if time.Since(began) > scalePatience || !lab.Sleep(ctx, hollowRetry) {
				return 0, errNotJoined
			}
		}
	}
	return time.Since(began), nil
}

func (f *hollowFleet) stop() {
	f.cancel()
	f.all.Wait()
}

// change has one member drained, or taken back.
func (f *hollowFleet) change(ctx context.Context, i int) error {
	h := f.members[i%len(f.members)]
	cmd := council.Command{Kind: council.Leave, Life: council.Life{Name: h.name}, On: i/len(f.members)%2 == 0}
	sent := time.Now()
	r, err := h.client.Do(ctx, council.Request{Command: &cmd})
	if err == nil && r.Refused != "" {
		err = errors.New(r.Refused)
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
	if h.booked == 0 { // all that was decided before it came
		h.booked = version
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
