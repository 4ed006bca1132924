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

// Trial runs a fleet under load and injects faults that are drawn from a seed.
type Trial struct {
	Seed    uint64
	Members int
	Length  time.Duration // of load and faults; then all faults are healed, and pending messages still have to complete
	Rate    float64       // messages per second, over all members
	Copies  int
	Alone   []string
	Program []string
	Env     []string
	Dir     string
	Places  bool  // four zones with a site each, faults of sites in addition to the others, and a common traffic plan
	Only    []int // indexes of the drawn faults to inject, used to shrink a failing trial; nil means all
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

// Outcome is the result of a trial.
type Outcome struct {
	Seed      uint64         `json:"seed"`
	Handed    int64          `json:"handed"`
	Taken     int64          `json:"taken"` // answered 202
	Refused   int64          `json:"refused"`
	NoAnswer  int64          `json:"no_answer"`
	Delivered int            `json:"delivered"` // messages whose call the endpoint answered 200
	Notices   int            `json:"notices"`
	Faults    []string       `json:"faults"`
	Kinds     map[string]int `json:"kinds"`
	TakenOver int64          `json:"taken_over"`
	Asked     int            `json:"asked"` // operations of the linearizability check of the control plane
	Broken    []string       `json:"broken"`
	Events    []string       `json:"-"`
}

// fault is one drawn fault: it is injected, lasts for a while, and is healed before the next one.
type fault struct {
	kind     string
	member   int
	peer     int
	after    time.Duration // since the previous fault was healed
	duration time.Duration
}

var kinds = []string{"kill", "kill", "lose", "pause", "split", "one-way", "slow", "cut", "reset", "founders"}

// diskKinds are the faults of a trial with Disk.
var diskKinds = []string{"disk", "disk", "disk", "disk everywhere", "disk and kill", "disk and kill", "disk and kill"}

// draw returns the faults of a trial. Equal seeds give equal faults.
func (t Trial) draw() (out []fault) {
	rng := rand.New(rand.NewPCG(t.Seed, 4))
	kinds := kinds
	if t.Places { // about as many faults of sites as of processes and links
		kinds = append(slices.Clone(kinds), append(append(slices.Clone(localityFaultKinds), localityFaultKinds...), localityFaultKinds[:2]...)...)
	}
	if t.Disk != nil {
		kinds = append(slices.Clone(kinds), diskKinds...)
	}
	for at := time.Duration(0); at < t.Length; {
		f := fault{
			kind: kinds[rng.IntN(len(kinds))], member: rng.IntN(t.Members), after: time.Duration(200+rng.IntN(1300)) * time.Millisecond,
			duration: time.Duration(100+rng.IntN(3000)) * time.Millisecond,
		}
		f.peer = (f.member + 1 + rng.IntN(t.Members-1)) % t.Members
		at += f.after + f.duration
		out = append(out, f)
	}
	return out
}

func (f fault) String() string {
	return fmt.Sprintf("%s n%d n%d after %v for %v", f.kind, f.member, f.peer, f.after, f.duration)
}

// messageTimeout is the deadline of a message: an accepted message has completed by then.
const messageTimeout = 8 * time.Second

// Run runs the trial.
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
		time.Sleep(took) // the service time of the endpoint
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
	reg := &register{fleet: f, member: f.Members[t.Members-1].Name, began: time.Now()}
	var checking sync.WaitGroup
	checking.Go(func() { reg.run(load, t.Seed) })
	err = t.faults(ctx, f, &out)
	if !t.Places {
		stop()
		checking.Wait()
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
	if t.Places { // a site has recovered only after calls to it have been answered, so the load goes on until then
		if err == nil {
			err = f.AwaitOnePlan(ctx)
		}
		stop()
		checking.Wait()
		out.Broken = append(out.Broken, places.overloads()...)
	}
	clients.Wait()
	if err == nil {
		// clears the drain that the register check may have left
		err = f.Order(ctx, controlplane.Command{Kind: controlplane.Drain, Life: controlplane.Incarnation{Name: reg.member}})
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

// AwaitJobs waits until the state that a member knows is as new as any member's and all its takeovers are complete.
func (f *Fleet) AwaitJobs(ctx context.Context, at int) error {
	newest := uint64(0) // newest state version that any member knows
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

// client submits messages to one member until ctx ends.
func (t Trial) client(ctx context.Context, f *Fleet, i int, out *Outcome) {
	rng := rand.New(rand.NewPCG(t.Seed, uint64(100+i)))
	for lab.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(t.Members)/t.Rate*float64(time.Second))) {
		class := []string{"safe", "keyed", "unsafe"}[rng.IntN(3)]
		atomic.AddInt64(&out.Handed, 1)
		done := make(chan lab.Answer, 1)
		go func() { _, a := f.Hand(i, class, messageTimeout); done <- a }()
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
		case <-time.After(messageTimeout): // the member is paused: the client disconnects
			atomic.AddInt64(&out.NoAnswer, 1)
		}
	}
}

// faults injects the drawn faults one after another.
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
		if err := f.Kill(x.member); err != nil {
			return err
		}
		lab.Sleep(ctx, x.duration)
		return f.Start(x.member)
	case "lose": // only while all pending messages are replicated: a message whose last copy is lost is no violation
		if err := f.AwaitCopied(ctx, f.All()...); err != nil {
			return err
		}
		if err := f.AwaitJobs(ctx, 0); err != nil {
			return err
		}
		incarnation, err := f.Life(x.member)
		if err != nil {
			return err
		}
		if err := f.Kill(x.member); err != nil {
			return err
		}
		if err := f.LoseFolder(x.member); err != nil {
			return err
		}
		if err := f.AwaitDone(ctx, x.peer, f.Members[x.member].Name, incarnation); err != nil {
			return err
		}
		if err := f.Start(x.member); err != nil {
			return err
		}
		return f.AwaitCopied(ctx, f.All()...)
	case "pause":
		if err := f.Pause(x.member); err != nil {
			return err
		}
		lab.Sleep(ctx, x.duration)
		return f.Wake(x.member)
	case "split":
		f.Split(x.member, x.peer)
	case "one-way":
		f.Stall(x.member, x.peer, true)
	case "slow":
		f.Event("link n%d to n%d: slow", x.member, x.peer)
		f.Proxy(x.member, x.peer).Set(There, Way{Delay: 20 * time.Millisecond, Jitter: 60 * time.Millisecond, Rate: 200_000})
	case "cut":
		f.Event("link n%d to n%d: cut in a record", x.member, x.peer)
		f.Proxy(x.member, x.peer).Set(There, Way{Cut: 1000})
		f.Proxy(x.peer, x.member).Set(Back, Way{Cut: 300})
	case "reset":
		f.Event("link n%d to n%d: reset", x.member, x.peer)
		f.Proxy(x.member, x.peer).Refuse(true, true)
	case "founders":
		f.changeVoters(ctx, x.member, x.peer)
	case "disk", "disk everywhere", "disk and kill":
		return t.diskFault(ctx, f, x)
	default:
		back := f.injectLocalityFault(x.kind, x.member, rand.New(rand.NewPCG(t.Seed, uint64(x.after))))
		lab.Sleep(ctx, x.duration)
		return back()
	}
	lab.Sleep(ctx, x.duration)
	f.Heal()
	return nil
}

// maxDiskFault bounds how long the disk fails: a starting process gives up after 20 s.
const maxDiskFault = time.Second

// diskFault makes the system calls on the folder of one member, or of all members, fail for a while. With a kill, the member is
// restarted while they still fail.
func (t Trial) diskFault(ctx context.Context, f *Fleet, x fault) error {
	members := []*Member{f.Members[x.member]}
	if x.kind == "disk everywhere" {
		members = f.Members
	}
	fail := func(on bool) {
		f.Event("disk of n%d, %s: failing %v", x.member, x.kind, on)
		for _, m := range members {
			t.Disk.Fail(m, on)
		}
	}
	lasts := min(x.duration, maxDiskFault)
	fail(true)
	lab.Sleep(ctx, lasts)
	if x.kind == "disk and kill" {
		if err := f.Kill(x.member); err != nil {
			return err
		}
		over := time.AfterFunc(lasts/2, func() { fail(false) })
		defer over.Stop()
		if err := f.Start(x.member); err != nil {
			return err
		}
	}
	fail(false)
	lab.Sleep(ctx, exitDelay)
	return f.restartExited()
}

// exitDelay is the time that a process takes to log a failed sync and exit.
const exitDelay = 200 * time.Millisecond

// restartExited acts as a supervisor: it restarts the members that exited because a sync failed.
func (f *Fleet) restartExited() error {
	for i, m := range f.Members {
		if !m.running || m.paused || !strings.Contains(m.Log(), "this process ends, and the next goes on") {
			continue
		}
		f.Event("n%d: exited by itself, %v", i, m.Wait())
		if err := f.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// changeVoters adds a member to the voters of the control plane or removes it; at least three voters stay. The control
// plane may refuse the command, and its response may get lost.
func (f *Fleet) changeVoters(ctx context.Context, member, via int) {
	s, err := f.Look(via)
	if err != nil {
		return
	}
	isVoter := slices.ContainsFunc(s.Founders, func(x controlplane.Voter) bool { return x.Name == f.Members[member].Name })
	if isVoter && len(s.Founders) <= 3 {
		return
	}
	call, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := node.SendCommand(call, f.Members[via].Links, controlplane.Command{Kind: controlplane.ChangeVoters, Life: controlplane.Incarnation{Name: f.Members[member].Name}, On: !isVoter})
	f.Event("n%d: voter %v, %q %v", member, !isVoter, r.Refused, err)
}

// Shrink searches for a shorter list of faults that still breaks a rule, in at most budget runs.
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

// Summary returns the outcome as one line.
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
	return fmt.Sprintf("seed %d: %d submitted, %d accepted, %d refused, %d without an answer, %d delivered, %d delivery reports, %d taken over, %d lease renewals; %s; %d rules broken",
		o.Seed, o.Handed, o.Taken, o.Refused, o.NoAnswer, o.Delivered, o.Notices, o.TakenOver, o.Asked, strings.Join(parts, ", "), len(o.Broken))
}
