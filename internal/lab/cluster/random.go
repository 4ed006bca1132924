package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
)

// Trial is a fleet under load and faults that are drawn from a seed.
type Trial struct {
	Seed    uint64
	Members int
	Length  time.Duration // of load and faults; then all is healed, and what is owed still ends
	Rate    float64       // messages a second, over all members
	Copies  int
	Alone   []string
	Program []string
	Env     []string
	Dir     string
	Places  bool  // four zones with a site each, faults of these beside the others, and traffic planned in common
	Only    []int // of the drawn faults, by their place: to find the few that matter; nil is all
	Log     func(format string, args ...any)
	// Disk makes members' system calls on their folders fail; nil leaves them alone.
	Disk DiskFaults
}

// DiskFaults makes system calls on the state folders of members' processes fail.
type DiskFaults interface {
	// Attach prepares a member whose process has not started yet.
	Attach(m *Member)
	// Fail sets whether the calls of a member fail from now on.
	Fail(m *Member, on bool)
}

// Outcome is what a trial has shown.
type Outcome struct {
	Seed      uint64         `json:"seed"`
	Handed    int64          `json:"handed"`
	Taken     int64          `json:"taken"` // answered 202
	Refused   int64          `json:"refused"`
	NoAnswer  int64          `json:"no_answer"`
	Delivered int            `json:"delivered"` // messages whose call the partner answered 200
	Notices   int            `json:"notices"`
	Faults    []string       `json:"faults"`
	Kinds     map[string]int `json:"kinds"`
	TakenOver int64          `json:"taken_over"`
	Asked     int            `json:"asked"` // operations on one of the council's decisions, all of which fit one order
	Broken    []string       `json:"broken"`
	Events    []string       `json:"-"`
}

// fault is one drawn: it is done, stands for a while, and is taken back before the next of its kind.
type fault struct {
	kind  string
	who   int
	other int
	after time.Duration // since the one before was taken back
	lasts time.Duration
}

var kinds = []string{"kill", "kill", "lose", "pause", "split", "one-way", "slow", "cut", "reset", "founders"}

// diskKinds are the faults of a trial with Disk.
var diskKinds = []string{"disk", "disk", "disk", "disk everywhere", "disk and kill", "disk and kill", "disk and kill"}

// draw gives a trial's faults. Equal seeds give equal ones.
func (t Trial) draw() (out []fault) {
	rng := rand.New(rand.NewPCG(t.Seed, 4))
	kinds := kinds
	if t.Places { // half and half
		kinds = append(slices.Clone(kinds), append(append(slices.Clone(localityFaultKinds), localityFaultKinds...), localityFaultKinds[:2]...)...)
	}
	if t.Disk != nil {
		kinds = append(slices.Clone(kinds), diskKinds...)
	}
	for at := time.Duration(0); at < t.Length; {
		f := fault{
			kind: kinds[rng.IntN(len(kinds))], who: rng.IntN(t.Members), after: time.Duration(200+rng.IntN(1300)) * time.Millisecond,
			lasts: time.Duration(100+rng.IntN(3000)) * time.Millisecond,
		}
		f.other = (f.who + 1 + rng.IntN(t.Members-1)) % t.Members
		at += f.after + f.lasts
		out = append(out, f)
	}
	return out
}

func (f fault) String() string {
	return fmt.Sprintf("%s n%d n%d after %v for %v", f.kind, f.who, f.other, f.after, f.lasts)
}

// longest is a message's time: what was taken on has ended by then.
const longest = 8 * time.Second

// Run plays a trial.
func (t Trial) Run(ctx context.Context) (Outcome, error) {
	out := Outcome{Seed: t.Seed, Kinds: map[string]int{}}
	if t.Log == nil {
		t.Log = func(string, ...any) {}
	}
	places := &siteMeters{meters: map[string]*Meter{}}
	var served sync.Map
	rng := rand.New(rand.NewPCG(t.Seed, 5))
	var rmu sync.Mutex
	partner := &lab.Endpoint{Name: "p", Handle: func(c *lab.Call) bool {
		if places.count(c); c.ReadAll(0) != nil {
			return false
		}
		rmu.Lock()
		took, bad := time.Duration(1+rng.IntN(40))*time.Millisecond, rng.IntN(40)
		rmu.Unlock()
		time.Sleep(took) // the partner's own time
		switch bad {
		case 0:
			return c.Answer(500, "") == nil
		case 1:
			return c.Answer(503, "") == nil
		}
		served.Store(c.ID, true)
		return c.Answer(200, "") == nil
	}}
	setup := Setup{Members: t.Members, Copies: t.Copies, Alone: t.Alone, Program: t.Program, Env: t.Env, Dir: t.Dir, Seed: t.Seed}
	if t.Places {
		setup.Zones, setup.Sites, setup.Paths, setup.Settings = 4, 4, true, PlacesSettings(t.Members)
		setup.Amend, partner.Weight = withRecoveryRules(t.Members), siteRate
	}
	f, err := Open(setup, partner)
	if err != nil {
		return out, err
	}
	defer f.Close()
	if t.Disk != nil {
		for _, m := range f.Members {
			t.Disk.Attach(m)
		}
	}
	if err := f.Start(f.All()...); err != nil {
		return out, err
	}
	if err := f.AwaitCopied(ctx, f.All()...); err != nil {
		return out, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for i := range t.Members {
		clients.Go(func() { t.client(load, f, i, &out) })
	}
	reg := &register{f: f, who: f.Members[t.Members-1].Name, began: time.Now()}
	var asking sync.WaitGroup
	asking.Go(func() { reg.run(load, t.Seed) })
	err = t.faults(ctx, f, &out)
	if !t.Places {
		stop()
		asking.Wait()
	}
	f.Heal()
	for i, m := range f.Members {
		if m.paused {
			_ = f.Wake(i)
		}
		if !m.running && err == nil {
			err = f.Start(i)
		}
	}
	if t.Places { // a place is back when calls to it have been answered
		if err == nil {
			err = f.AwaitOnePlan(ctx)
		}
		stop()
		asking.Wait()
		out.Broken = append(out.Broken, places.overloads()...)
	}
	clients.Wait()
	if err == nil {
		err = f.Order(ctx, controlplane.Command{Kind: controlplane.Drain, Life: controlplane.Incarnation{Name: reg.who}}) // whatever it was left at
	}
	if err == nil {
		err = f.AwaitCopied(ctx, f.All()...)
	}
	if err == nil {
		err = f.AwaitJobs(ctx, 0)
	}
	if err == nil {
		err = f.AwaitSettled(f.All()...)
	}
	for i := range f.Members {
		if s, bad := f.Look(i); bad == nil {
			out.TakenOver += s.Figures.Messages
		}
	}
	out.Broken, out.Notices = append(out.Broken, f.Broken()...), len(f.Agent.Notices())
	bad := ""
	if out.Asked, bad = reg.check(); bad != "" {
		out.Broken = append(out.Broken, bad)
	}
	served.Range(func(any, any) bool { out.Delivered++; return true })
	out.Events = f.Events()
	return out, err
}

// AwaitJobs waits until a member knows that whatever ended lives owed belongs to somebody, and that those who may act do.
func (f *Fleet) AwaitJobs(ctx context.Context, at int) error {
	newest := uint64(0) // that any of them knows
	for i, m := range f.Members {
		if m.running && !m.paused {
			if s, err := f.Look(i); err == nil && s.State != nil {
				newest = max(newest, s.State.Version)
			}
		}
	}
	return f.Await(ctx, at, "end of all takeovers", func(s node.Status) bool {
		return s.State.Version >= newest && !slices.ContainsFunc(s.State.Jobs, func(j *controlplane.TakeoverTask) bool { return !j.Done })
	})
}

// client hands messages in at one member until ctx ends.
func (t Trial) client(ctx context.Context, f *Fleet, i int, out *Outcome) {
	rng := rand.New(rand.NewPCG(t.Seed, uint64(100+i)))
	for lab.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(t.Members)/t.Rate*float64(time.Second))) {
		class := []string{"safe", "keyed", "unsafe"}[rng.IntN(3)]
		atomic.AddInt64(&out.Handed, 1)
		done := make(chan lab.Answer, 1)
		go func() { _, a := f.Hand(i, class, longest); done <- a }()
		select {
		case a := <-done:
			switch {
			case a.Status == 202:
				atomic.AddInt64(&out.Taken, 1)
			case a.Status == 0:
				atomic.AddInt64(&out.NoAnswer, 1)
			default:
				atomic.AddInt64(&out.Refused, 1)
			}
		case <-time.After(longest): // a member that is paused: its client goes away
			atomic.AddInt64(&out.NoAnswer, 1)
		}
	}
}

// faults plays what was drawn, one behind the other.
func (t Trial) faults(ctx context.Context, f *Fleet, out *Outcome) error {
	for n, x := range t.draw() {
		if t.Only != nil && !slices.Contains(t.Only, n) {
			continue
		}
		out.Faults = append(out.Faults, x.String())
		out.Kinds[x.kind]++
		if !lab.Sleep(ctx, x.after) {
			return ctx.Err()
		}
		if err := t.fault(ctx, f, x); err != nil {
			return fmt.Errorf("%s: %w", x, err)
		}
	}
	return nil
}

func (t Trial) fault(ctx context.Context, f *Fleet, x fault) error {
	switch x.kind {
	case "kill":
		if err := f.Kill(x.who); err != nil {
			return err
		}
		lab.Sleep(ctx, x.lasts)
		return f.Start(x.who)
	case "lose": // only while all that is owed is copied: with the last copy a message is gone by right
		if err := f.AwaitCopied(ctx, f.All()...); err != nil {
			return err
		}
		if err := f.AwaitJobs(ctx, 0); err != nil {
			return err
		}
		life, err := f.Life(x.who)
		if err != nil {
			return err
		}
		if err := f.Kill(x.who); err != nil {
			return err
		}
		if err := f.LoseFolder(x.who); err != nil {
			return err
		}
		if err := f.AwaitDone(ctx, x.other, f.Members[x.who].Name, life); err != nil {
			return err
		}
		if err := f.Start(x.who); err != nil {
			return err
		}
		return f.AwaitCopied(ctx, f.All()...)
	case "pause":
		if err := f.Pause(x.who); err != nil {
			return err
		}
		lab.Sleep(ctx, x.lasts)
		return f.Wake(x.who)
	case "split":
		f.Split(x.who, x.other)
	case "one-way":
		f.Stall(x.who, x.other, true)
	case "slow":
		f.Event("link n%d to n%d: slow", x.who, x.other)
		f.Proxy(x.who, x.other).Set(There, Way{Delay: 20 * time.Millisecond, Jitter: 60 * time.Millisecond, Rate: 200_000})
	case "cut":
		f.Event("link n%d to n%d: cut in a record", x.who, x.other)
		f.Proxy(x.who, x.other).Set(There, Way{Cut: 1000})
		f.Proxy(x.other, x.who).Set(Back, Way{Cut: 300})
	case "reset":
		f.Event("link n%d to n%d: reset", x.who, x.other)
		f.Proxy(x.who, x.other).Refuse(true, true)
	case "founders":
		f.changeFounders(ctx, x.who, x.other)
	case "disk", "disk everywhere", "disk and kill":
		return t.diskFault(ctx, f, x)
	default:
		back := f.injectLocalityFault(x.kind, x.who, rand.New(rand.NewPCG(t.Seed, uint64(x.after))))
		lab.Sleep(ctx, x.lasts)
		return back()
	}
	lab.Sleep(ctx, x.lasts)
	f.Heal()
	return nil
}

// diskLasts bounds how long the disk fails: a start gives up behind 20 s.
const diskLasts = time.Second

// diskFault has the calls on a member's folder fail for a while, or on all members' folders; with a kill the member is started again
// while they still fail.
func (t Trial) diskFault(ctx context.Context, f *Fleet, x fault) error {
	members := []*Member{f.Members[x.who]}
	if x.kind == "disk everywhere" {
		members = f.Members
	}
	fail := func(on bool) {
		f.Event("disk of n%d, %s: failing %v", x.who, x.kind, on)
		for _, m := range members {
			t.Disk.Fail(m, on)
		}
	}
	lasts := min(x.lasts, diskLasts)
	fail(true)
	lab.Sleep(ctx, lasts)
	if x.kind == "disk and kill" {
		if err := f.Kill(x.who); err != nil {
			return err
		}
		over := time.AfterFunc(lasts/2, func() { fail(false) })
		defer over.Stop()
		if err := f.Start(x.who); err != nil {
			return err
		}
	}
	fail(false)
	lab.Sleep(ctx, endsWithin)
	return f.startEnded()
}

// endsWithin is how soon a process whose sync has failed says so.
const endsWithin = 200 * time.Millisecond

// startEnded does what a supervisor does: members that have ended because a sync failed are started again.
func (f *Fleet) startEnded() error {
	for i, m := range f.Members {
		if !m.running || m.paused || !strings.Contains(m.Log(), "this process ends, and the next goes on") {
			continue
		}
		f.Event("n%d: ended by itself, %v", i, m.Wait())
		if err := f.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// changeFounders has a member belong to the council's founders, or not any more; three of them stay. The council may refuse, and its
// answer may get lost.
func (f *Fleet) changeFounders(ctx context.Context, who, asking int) {
	s, err := f.Look(asking)
	if err != nil {
		return
	}
	is := slices.ContainsFunc(s.Founders, func(x controlplane.Voter) bool { return x.Name == f.Members[who].Name })
	if is && len(s.Founders) <= 3 {
		return
	}
	call, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := node.SendCommand(call, f.Members[asking].Links, controlplane.Command{Kind: controlplane.ChangeVoters, Life: controlplane.Incarnation{Name: f.Members[who].Name}, On: !is})
	f.Event("n%d: founder %v, %q %v", who, !is, r.Refused, err)
}

// Shrink finds a shorter list of faults that still breaks a rule, asking so many times at the most.
func (t Trial) Shrink(ctx context.Context, budget int) (only []int, out Outcome) {
	for i := range t.draw() {
		only = append(only, i)
	}
	for size := len(only) / 2; size > 0 && budget > 0; size /= 2 {
		for at := 0; at+size <= len(only) && budget > 0; {
			budget--
			try := t
			try.Only = append(slices.Clone(only[:at]), only[at+size:]...)
			try.Dir = filepath.Join(t.Dir, fmt.Sprintf("shrink%d", budget))
			o, err := try.Run(ctx)
			if err == nil && len(o.Broken) > 0 {
				only, out = try.Only, o
			} else {
				at += size
			}
		}
	}
	return only, out
}

// Summary is an outcome on one line.
func (o Outcome) Summary() string {
	var parts []string
	for _, k := range slices.Sorted(func(yield func(string) bool) {
		for k := range o.Kinds {
			if !yield(k) {
				return
			}
		}
	}) {
		parts = append(parts, fmt.Sprintf("%d %s", o.Kinds[k], k))
	}
	return fmt.Sprintf("seed %d: %d handed in, %d taken on, %d refused, %d without an answer, %d delivered, %d notices, %d taken over, %d askings of the council; %s; %d rules broken",
		o.Seed, o.Handed, o.Taken, o.Refused, o.NoAnswer, o.Delivered, o.Notices, o.TakenOver, o.Asked, strings.Join(parts, ", "), len(o.Broken))
}
