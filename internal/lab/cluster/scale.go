package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/lab"
)

// Scale measures a control plane of real voters, and of real relays if there are any, with hollow members over loopback sockets: what a
// member, the leader and a relay spend while changes are decided, and how long it takes until a change is known to every member, also while
// processes fail.
type Scale struct {
	Program   []string // a voter's command
	Env       []string
	Relays    int
	Narrow    bool // members watch themselves, the plan and the voters alone, which the program's own do not yet
	Configure bool // changes are of the configuration, not of members
	Faults    bool // play the faults behind the calm phase
	Sizes     []int
	Joins     float64       // members that join in a second; 0 is as fast as they can
	Rate      float64       // changes a second
	Length    time.Duration // of the calm phase; of each other half
	Out       io.Writer
}

const (
	scaleVoters   = 3
	voterCores    = 2
	voterMemoryMB = 2048
	joinAtOnce    = 128
	scalePatience = 2 * time.Minute
	scaleZones    = 22
	pauseFor      = 3 * time.Second // of a process that is stopped and goes on
)

var errNotJoined = errors.New("not all members hold a lease")

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i%scaleZones) }

// Run measures each size with a control plane of its own, each within a bounded time.
func (s Scale) Run(ctx context.Context) error {
	for _, n := range s.Sizes {
		if err := s.one(ctx, n); err != nil {
			return fmt.Errorf("%d members: %w", n, err)
		}
	}
	return nil
}

// scaleWorld is what one size is played with.
type scaleWorld struct {
	voters *Fleet
	fleet  *hollowFleet
}

func (s Scale) one(ctx context.Context, n int) error {
	phases := s.phases()
	ctx, cancel := context.WithTimeout(ctx, 2*scalePatience+time.Duration(len(phases)+2)*(s.Length+pauseFor))
	defer cancel()
	dir, err := os.MkdirTemp("", "larklab-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	w := &scaleWorld{}
	defer w.close()
	if err := s.open(ctx, w, dir, n); err != nil {
		return err
	}
	joined, err := w.fleet.start(ctx, s.Joins)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "%d members, %d relays: all hold a lease after %v\n", n, s.Relays, joined.Round(time.Millisecond))
	for _, p := range phases {
		if err := s.play(ctx, w, p); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

// open starts voters and relays, and lays the members out.
func (s Scale) open(ctx context.Context, w *scaleWorld, dir string, n int) (err error) {
	setup := Setup{
		Members: scaleVoters, Program: s.Program, Env: s.Env, Dir: dir, Seed: 1, Direct: true, Relays: s.Relays, Cores: voterCores, MemoryMB: voterMemoryMB,
	}
	if w.voters, err = Open(setup, &lab.Endpoint{Name: "p"}); err != nil {
		return err
	}
	if err := w.voters.Start(w.voters.All()...); err != nil {
		return err
	}
	if err := w.voters.AwaitCopied(ctx, w.voters.All()...); err != nil {
		return err
	}
	var relays []controlplane.Relay
	for i, r := range w.voters.relays {
		relays = append(relays, controlplane.Relay{Zone: zoneName(i), Address: r.address})
	}
	w.fleet = newHollowFleet(n, w.voters.voters(), relays, s.Narrow, s.Configure)
	return nil
}

func (w *scaleWorld) close() {
	if w.fleet != nil {
		w.fleet.stop()
	}
	if w.voters != nil {
		w.voters.Close()
	}
}

// play has changes decided while a phase lasts, and prints what it took.
func (s Scale) play(ctx context.Context, w *scaleWorld, p phase) error {
	w.fleet.forget()
	lapses, lives := w.fleet.lapses()
	before, err := w.spent()
	if err != nil {
		return err
	}
	fault := make(chan error, 1)
	if p.fault != nil {
		go func() { fault <- p.fault(ctx, w) }()
	} else {
		fault <- nil
	}
	began := time.Now()
	changes := 0
	for ; time.Since(began) < p.length; changes++ {
		due := began.Add(time.Duration(float64(changes) / s.Rate * float64(time.Second)))
		if !lab.Sleep(ctx, time.Until(due)) {
			return ctx.Err()
		}
		if err := w.fleet.change(ctx, changes); err != nil {
			return err
		}
	}
	took := time.Since(began)
	if err := <-fault; err != nil {
		return err
	}
	after, err := w.spent()
	if err != nil {
		return err
	}
	if err := w.fleet.await(ctx); err != nil {
		return err
	}
	if s.Configure {
		reported, err := w.fleet.awaitRollout(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.Out, "  %-28s all members have reported the latest change %v behind it\n", p.name+":", reported.Round(time.Millisecond))
	}
	healing := time.Now()
	if err := w.fleet.awaitLeases(ctx); err != nil {
		return err
	}
	nowLapses, nowLives := w.fleet.lapses()
	fmt.Fprintf(s.Out, "  %-28s %3d changes known after p50 %v, p99 %v, longest %v; %d leases lapsed, %d lives begun; all leases %v behind it\n",
		p.name+":", changes, w.fleet.latency(50), w.fleet.latency(99), w.fleet.latency(100), nowLapses-lapses, nowLives-lives,
		time.Since(healing).Round(time.Millisecond))
	if p.fault == nil {
		s.print(before, after, took, len(w.fleet.members))
	}
	return nil
}

// spent is what all have used so far.
type spent struct{ members, leader, relays usage }

func (w *scaleWorld) spent() (out spent, err error) {
	leader, err := w.voters.leader()
	if err != nil {
		return out, err
	}
	out.members, out.leader = usageOf(os.Getpid()), usageOf(leader)
	for _, r := range w.voters.relays {
		u := usageOf(r.pid())
		out.relays.cpu += u.cpu
		out.relays.bytes += u.bytes
		out.relays.memory = max(out.relays.memory, u.memory)
	}
	return out, nil
}

func (s Scale) print(before, after spent, took time.Duration, members int) {
	seconds, n := took.Seconds(), float64(members)
	fmt.Fprintf(s.Out, "    a member: %.0f B/s, %.5f cores, %.2f MB; the leader: %.3f cores, %.0f kB/s, %.1f MB",
		(after.members.bytes-before.members.bytes)/seconds/n, (after.members.cpu-before.members.cpu)/seconds/n, after.members.memory/n/1e6,
		(after.leader.cpu-before.leader.cpu)/seconds, (after.leader.bytes-before.leader.bytes)/seconds/1e3, after.leader.memory/1e6)
	if s.Relays > 0 {
		fmt.Fprintf(s.Out, "; a relay: %.3f cores, %.1f MB", (after.relays.cpu-before.relays.cpu)/seconds/float64(s.Relays), after.relays.memory/1e6)
	}
	fmt.Fprintln(s.Out)
}

// leader is the process that leads.
func (f *Fleet) leader() (pid int, err error) {
	i, err := f.leaderNumber()
	if err != nil {
		return 0, err
	}
	return f.Members[i].Pid(), nil
}

// leaderNumber is that of the member that leads.
func (f *Fleet) leaderNumber() (int, error) {
	for i := range f.Members {
		s, err := f.Look(i)
		if err != nil {
			continue // it may be down
		}
		for k, m := range f.Members {
			if m.Name == s.Leader {
				return k, nil
			}
		}
	}
	return 0, controlplane.ErrNoLeader
}
