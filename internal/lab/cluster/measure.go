package cluster

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/explore"
)

// Takeovers measures the time from the kill of a member, whose folder is lost too, to the first call for its message by
// another member.
type Takeovers struct {
	Program []string
	Env     []string
	Kills   int
	Out     io.Writer
}

// Run performs the kills and prints percentiles of the time.
func (t Takeovers) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "larklab-takeover-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var mu sync.Mutex
	seen := map[string]int{}
	arrived := make(chan string, 1024)
	open := &atomic.Bool{}
	closed := make(chan struct{})
	partner := &lab.Endpoint{Name: "p", Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		mu.Lock()
		seen[c.ID]++
		mu.Unlock()
		arrived <- c.ID
		if !open.Load() {
			<-closed // held until the calling member is dead
			return false
		}
		return c.Answer(200, "") == nil
	}}
	f, err := Open(Setup{Members: 5, Program: t.Program, Env: t.Env, Dir: dir, Seed: 1}, partner)
	if err != nil {
		return err
	}
	defer f.Close()
	defer func() {
		select {
		case <-closed:
		default:
			close(closed)
		}
	}()
	if err := f.Start(f.All()...); err != nil {
		return err
	}
	h := hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
	defer func() { // printed also if the run was cut short
		fmt.Fprintf(t.Out, "%d kills, from the kill to the first call elsewhere: p50 %d ms, p99 %d ms, longest %d ms\n", h.TotalCount(),
			h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max())
	}()
	for k := range t.Kills {
		if err := f.AwaitCopied(ctx, f.All()...); err != nil {
			return err
		}
		if err := f.AwaitJobs(ctx, 0); err != nil {
			return err
		}
		victim := k % 5
		incarnation, err := f.Life(victim)
		if err != nil {
			return err
		}
		open.Store(false)
		closed = make(chan struct{})
		id, a := f.Hand(victim, "safe", 20*time.Second)
		if a.Status != 202 {
			return fmt.Errorf("kill %d: answered %d", k, a.Status)
		}
		for got := ""; got != id; {
			got = <-arrived
		}
		if err := f.AwaitCopied(ctx, victim); err != nil {
			return err
		}
		open.Store(true)
		at := time.Now()
		if err := f.Kill(victim); err != nil {
			return err
		}
		close(closed)
		for got := ""; got != id; {
			select {
			case got = <-arrived:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		_ = h.RecordValue(time.Since(at).Milliseconds())
		if err := f.AwaitDone(ctx, (victim+1)%5, f.Members[victim].Name, incarnation); err != nil {
			return err
		}
		if err := f.LoseFolder(victim); err != nil {
			return err
		}
		if err := f.Start(victim); err != nil {
			return err
		}
	}
	return nil
}

// Cost measures the cost of replication for one forwarder under closed-loop load, relative to the program without it.
type Cost struct {
	Program []string
	Plain   []string
	Env     []string
	Length  time.Duration
	Rounds  int
	Out     io.Writer
}

// load is the result of one run.
type load struct {
	perSecond float64
	cpu       float64 // microseconds per message, of the process that accepts them
	others    float64 // microseconds per message, of all other members together
	p50, p99  float64 // milliseconds until the 202
}

const (
	clients    = 24
	costWeight = 50000 // capacity of the partner in discovery, in calls per second
)

// Run measures each number of copies and prints the results.
func (c Cost) Run(ctx context.Context) error {
	for range max(1, c.Rounds) {
		var base load
		for _, v := range []struct {
			name   string
			copies int
			delay  time.Duration
		}{{"without [cluster]", 0, 0}, {"1 copy", 1, 0}, {"2 copies", 2, 0}, {"3 copies", 3, 0}, {"2 copies, 1 ms apart", 2, time.Millisecond}, {"3 copies, 1 ms apart", 3, time.Millisecond}} {
			l, err := c.one(ctx, v.copies, v.delay)
			if err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
			if v.copies == 0 {
				base = l
			}
			fmt.Fprintf(c.Out, "%-22s %7.0f messages/s (%.2f)  %6.0f us of CPU per message (%.2f), all others %6.0f  202 after p50 %.2f ms, p99 %.2f ms (%.2f)\n",
				v.name, l.perSecond, l.perSecond/base.perSecond, l.cpu, l.cpu/base.cpu, l.others, l.p50, l.p99, l.p99/base.p99)
		}
	}
	return nil
}

func (c Cost) one(ctx context.Context, copies int, delay time.Duration) (l load, err error) {
	dir, err := os.MkdirTemp("", "larklab-cost-")
	if err != nil {
		return l, err
	}
	defer os.RemoveAll(dir)
	s := Setup{
		Members: 3, Copies: copies, Program: c.Program, Env: c.Env, Dir: filepath.Join(dir, "f"), Seed: 1, Direct: delay == 0, Off: copies == 0,
		Amend: highLoadSettings,
	}
	if copies == 0 {
		s.Members, s.Program = 1, c.Plain
	}
	f, err := Open(s, &lab.Endpoint{Name: "p", Weight: costWeight}) // the partner must not be the bottleneck
	if err != nil {
		return l, err
	}
	defer f.Close()
	if err := f.Start(f.All()...); err != nil {
		return l, err
	}
	for _, r := range f.proxies {
		r.Set(There, Way{Delay: delay / 2})
		r.Set(Back, Way{Delay: delay / 2})
	}
	if copies > 0 {
		if err := f.AwaitCopied(ctx, f.All()...); err != nil {
			return l, err
		}
	}
	load, cancel := context.WithTimeout(ctx, c.Length)
	defer cancel()
	cpu := func() (own, others float64) {
		for i, m := range f.Members {
			s, _ := m.CPUSeconds()
			if i == 0 {
				own = s
			} else {
				others += s
			}
		}
		return own, others
	}
	ownBefore, othersBefore := cpu()
	began := time.Now()
	closed := newLoad(f, 0)
	closed.run(load)
	if err := f.Members[0].AwaitCounter("in", "held", 0); err != nil {
		return l, err
	}
	took := time.Since(began).Seconds()
	own, others := cpu()
	n := float64(closed.all.TotalCount())
	l.perSecond, l.cpu, l.others = n/took, 1e6*(own-ownBefore)/n, 1e6*(others-othersBefore)/n
	l.p50, l.p99 = float64(closed.all.ValueAtQuantile(50))/1000, float64(closed.all.ValueAtQuantile(99))/1000
	return l, nil
}

// highLoadSettings raises the limits on concurrent calls and held messages.
func highLoadSettings(conf map[string]any) {
	settings := conf["settings"].(map[string]any)
	settings["family-info"].(map[string]any)["calls-out"] = 64
	settings["limits"].(map[string]any)["most-held"] = 2000
}

// closedLoad runs clients of one member; each sends a message after the answer to the one before (closed loop).
type closedLoad struct {
	f  *Fleet
	to int

	mu    sync.Mutex
	all   *hdrhistogram.Histogram // microseconds until a 202
	fresh *hdrhistogram.Histogram // since the last call of since
}

func newLoad(f *Fleet, to int) *closedLoad {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) }
	return &closedLoad{f: f, to: to, all: h(), fresh: h()}
}

// since returns the number of messages accepted since its last call and p99 of the time until their 202 in
// milliseconds.
func (l *closedLoad) since() (n int64, p99 float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.fresh.Reset()
	return l.fresh.TotalCount(), float64(l.fresh.ValueAtQuantile(99)) / 1000
}

// run sends messages until ctx ends.
func (l *closedLoad) run(ctx context.Context) {
	var wg sync.WaitGroup
	for k := range clients {
		wg.Go(func() { l.client(ctx, k) })
	}
	wg.Wait()
}

func (l *closedLoad) client(ctx context.Context, k int) {
	address := l.f.Members[l.to].Address()
	client, err := lab.Dial(address)
	for i := 0; ctx.Err() == nil && err == nil; i++ {
		class := []string{"safe", "keyed", "unsafe"}[i%3]
		hand := lab.Handover{
			ID: fmt.Sprintf("%s-%d-%d", class, k, i), Key: fmt.Sprint("k", k, i), Class: class, Destination: Group, Left: 20 * time.Second,
			Body: lab.Content{Seed: 1, Size: 300},
		}
		at := time.Now()
		a := client.Hand(hand, nil)
		took := time.Since(at).Microseconds()
		if a.Status == 202 {
			l.mu.Lock()
			_, _ = l.all.RecordValue(took), l.fresh.RecordValue(took)
			l.mu.Unlock()
		}
		if a.Status == 0 || a.Close {
			client.Close()
			if client, err = lab.Dial(address); err != nil {
				return
			}
		}
		if a.Status == 503 {
			lab.Sleep(ctx, time.Millisecond) // temporarily full
		}
	}
	client.Close()
}

// Worlds returns the small models to explore. Each bound is as large as its faults need.
func Worlds() map[string]ModelSetup {
	return map[string]ModelSetup{
		"an owner dies with its folder": {Messages: []string{"unsafe"}, Copies: 2, Kills: 2, Lost: 1, Owned: true},
		"a lease runs out":              {Messages: []string{"unsafe", "safe"}, Copies: 2, Expired: 1, Kills: 1, Owned: true},
		"batches get lost":              {Messages: []string{"unsafe"}, Copies: 2, Kills: 1, Drops: 2, Owned: true},
		"an id comes again":             {Messages: []string{"unsafe"}, Copies: 2, Kills: 2, Lost: 1, Repeats: 1},
		"copies are rolled back":        {Messages: []string{"unsafe"}, Copies: 3, Kills: 3, Lost: 1, Rolled: 1},
	}
}

// WalkModels explores each model up to a number of states.
func WalkModels(most int, out io.Writer) error {
	for name, s := range Worlds() {
		began := time.Now()
		r := explore.Walk(NewModel(s), most, nil)
		fmt.Fprintf(out, "%-30s %8d states, %2d moves deep, cut off %v, %v\n", name, r.States, r.Depth, r.Cut, time.Since(began).Round(time.Millisecond))
		if r.Broken != "" {
			return fmt.Errorf("%s: %s after %q", name, r.Broken, r.Trace)
		}
	}
	return nil
}

// Catchup measures the catch-up of a new replica under load and its effect on the latency of clients.
type Catchup struct {
	Program []string
	Env     []string
	Extra   string        // lines of [cluster]
	Length  time.Duration // of load before and after the catch-up
	Out     io.Writer
}

// Run drains the in-sync replica of a member under closed-loop load, so that another replica receives all records.
func (c Catchup) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "larklab-catchup-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := Open(Setup{Members: 3, Program: c.Program, Env: c.Env, Dir: dir, Seed: 1, Direct: true, Amend: highLoadSettings, Extra: c.Extra}, &lab.Endpoint{Name: "p", Weight: costWeight})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(f.All()...); err != nil {
		return err
	}
	if err := f.AwaitCopied(ctx, f.All()...); err != nil {
		return err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	l := newLoad(f, 0)
	var wg sync.WaitGroup
	wg.Go(func() { l.run(load) })
	defer wg.Wait()
	defer stop()
	lab.Sleep(ctx, c.Length)
	_, before := l.since()
	s, err := f.Look(0)
	if err != nil {
		return err
	}
	old := s.Keepers[0].Name
	memory, err := f.Members[0].Memory()
	if err != nil {
		return err
	}
	began := time.Now()
	if err := f.Order(ctx, controlplane.Command{Kind: controlplane.Drain, Life: controlplane.Incarnation{Name: old}, On: true}); err != nil {
		return err
	}
	var fresh node.ReplicaStatus
	most := memory
	err = f.Await(ctx, 0, "another in-sync replica", func(s node.Status) bool {
		if now, err := f.Members[0].Memory(); err == nil {
			most = max(most, now)
		}
		for _, k := range s.Keepers {
			if k.Counts && k.Name != old {
				fresh = k
			}
		}
		return fresh.Name != ""
	})
	if err != nil {
		return err
	}
	took := time.Since(began)
	n, meanwhile := l.since()
	lab.Sleep(ctx, c.Length)
	_, after := l.since()
	content := 0
	for i, m := range f.Members {
		if m.Name != fresh.Name {
			continue
		}
		at, err := f.Look(i)
		if err != nil {
			return err
		}
		for _, k := range at.Copies {
			if k.Life == s.Life {
				content = k.Messages + k.Past
			}
		}
	}
	fmt.Fprintf(c.Out, "%d messages and ended ids, in sync after %d ms (%.0f per second), %d messages answered meanwhile; p99 until the 202 %.2f ms before, %.2f meanwhile (%.2f), %.2f after; memory %.1f MiB before, %.1f at most\n",
		content, took.Milliseconds(), float64(content)/took.Seconds(), n, before, meanwhile, meanwhile/before, after, float64(memory)/(1<<20), float64(most)/(1<<20))
	return nil
}
