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

	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/explore"
)

// Takeovers measures the time from a member's kill, with its folder, until the first of its messages goes on elsewhere.
type Takeovers struct {
	Program []string
	Env     []string
	Kills   int
	Out     io.Writer
}

// Run measures.
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
	partner := &lab.Provider{Name: "p", Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		mu.Lock()
		seen[c.ID]++
		mu.Unlock()
		arrived <- c.ID
		if !open.Load() {
			<-closed // held until the member that called is dead
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
	for k := range t.Kills {
		if err := f.AwaitCopied(ctx, f.All()...); err != nil {
			return err
		}
		if err := f.AwaitJobs(ctx, 0); err != nil {
			return err
		}
		who := k % 5
		life, err := f.Life(who)
		if err != nil {
			return err
		}
		open.Store(false)
		closed = make(chan struct{})
		id, a := f.Hand(who, "safe", 20*time.Second)
		if a.Status != 202 {
			return fmt.Errorf("kill %d: answered %d", k, a.Status)
		}
		for got := ""; got != id; {
			got = <-arrived
		}
		if err := f.AwaitCopied(ctx, who); err != nil {
			return err
		}
		open.Store(true)
		at := time.Now()
		if err := f.Kill(who); err != nil {
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
		if err := f.AwaitDone(ctx, (who+1)%5, f.Members[who].Name, life); err != nil {
			return err
		}
		if err := f.LoseFolder(who); err != nil {
			return err
		}
		if err := f.Start(who); err != nil {
			return err
		}
	}
	fmt.Fprintf(t.Out, "%d kills, from the kill to the first call elsewhere: p50 %d ms, p99 %d ms, longest %d ms\n", t.Kills,
		h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max())
	return nil
}

// Cost measures what copies cost one forwarder under closed-loop load, against the program without them.
type Cost struct {
	Program []string
	Plain   []string
	Env     []string
	Length  time.Duration
	Rounds  int
	Out     io.Writer
}

// load is what one run has shown.
type load struct {
	name      string
	perSecond float64
	cpu       float64 // microseconds a message, of the process that takes them
	others    float64 // and of all others together
	p50, p99  float64 // ms until the 202
}

const (
	clients    = 24
	costWeight = 50000 // calls a second that the partner is listed with
)

// Run measures.
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
			fmt.Fprintf(c.Out, "%-22s %7.0f messages/s (%.2f)  %6.0f us of processor a message (%.2f), all others %6.0f  202 after p50 %.2f ms, p99 %.2f ms (%.2f)\n",
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
		Amend: func(conf map[string]any) {
			settings := conf["settings"].(map[string]any)
			settings["family-info"].(map[string]any)["calls-out"] = 64
			settings["limits"].(map[string]any)["most-held"] = 2000
		},
	}
	if copies == 0 {
		s.Members, s.Program = 1, c.Plain
	}
	f, err := Open(s, &lab.Provider{Name: "p", Weight: costWeight}) // it is not what holds them up
	if err != nil {
		return l, err
	}
	defer f.Close()
	if err := f.Start(f.All()...); err != nil {
		return l, err
	}
	for _, r := range f.relays {
		r.Set(There, Way{Delay: delay / 2})
		r.Set(Back, Way{Delay: delay / 2})
	}
	if copies > 0 {
		if err := f.AwaitCopied(ctx, f.All()...); err != nil {
			return l, err
		}
	}
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
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
	for k := range clients {
		wg.Go(func() {
			client, err := lab.Dial(f.Members[0].Address())
			if err != nil {
				return
			}
			defer func() { client.Close() }()
			for i := 0; load.Err() == nil; i++ {
				class := []string{"safe", "keyed", "unsafe"}[i%3]
				hand := lab.Handover{
					ID: fmt.Sprintf("%s-%d-%d", class, k, i), Key: fmt.Sprint("k", k, i), Class: class, Destination: Group, Left: 20 * time.Second,
					Body: lab.Content{Seed: 1, Size: 300},
				}
				at := time.Now()
				a := client.Hand(hand, nil)
				took := time.Since(at)
				if a.Status == 202 {
					mu.Lock()
					_ = h.RecordValue(took.Microseconds())
					mu.Unlock()
				}
				if a.Status == 0 || a.Close {
					client.Close()
					if client, err = lab.Dial(f.Members[0].Address()); err != nil {
						return
					}
				}
				if a.Status == 503 {
					time.Sleep(time.Millisecond) // it is full for a moment
				}
			}
		})
	}
	wg.Wait()
	if err := f.Members[0].AwaitCounter("in", "held", 0); err != nil {
		return l, err
	}
	took := time.Since(began).Seconds()
	own, others := cpu()
	n := float64(h.TotalCount())
	l.perSecond, l.cpu, l.others = n/took, 1e6*(own-ownBefore)/n, 1e6*(others-othersBefore)/n
	l.p50, l.p99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
	return l, nil
}

// Worlds are the small ones that are walked. Each bound is one that its faults need.
func Worlds() map[string]ModelSetup {
	return map[string]ModelSetup{
		"an owner dies with its folder": {Messages: []string{"unsafe"}, Copies: 2, Kills: 2, Lost: 1, Owned: true},
		"a lease runs out":              {Messages: []string{"unsafe", "safe"}, Copies: 2, Expired: 1, Kills: 1, Owned: true},
		"batches get lost":              {Messages: []string{"unsafe"}, Copies: 2, Kills: 1, Drops: 2, Owned: true},
		"an id comes again":             {Messages: []string{"unsafe"}, Copies: 2, Kills: 2, Lost: 1, Repeats: 1},
		"copies are rolled back":        {Messages: []string{"unsafe"}, Copies: 3, Kills: 3, Lost: 1, Rolled: 1},
	}
}

// WalkModels walks each of them, up to so many states.
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
