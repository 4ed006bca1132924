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

// Scale measures a control plane of real voters and, optionally, real relays with simulated members over loopback
// sockets: the resource usage of a member, the leader and a relay under a stream of changes, and the time until every
// member knows a change, also while processes fail.
type Scale struct {
	Program   []string // command of a voter
	Env       []string
	Relays    int
	Narrow    bool // members watch only themselves, the plan and the voters, which the program does not do yet
	Configure bool // change the configuration instead of members
	Faults    bool // inject faults after the calm phase
	Sizes     []int
	Joins     float64       // members that join per second; 0 is unlimited
	Rate      float64       // changes per second
	Length    time.Duration // of the calm phase; every other phase lasts half of it
	Out       io.Writer
}

const (
	scaleVoters        = 3
	voterCores         = 2
	voterMemoryMB      = 2048
	maxConcurrentJoins = 128
	scaleTimeout       = 2 * time.Minute
	scaleZones         = 22
	pauseDuration      = 3 * time.Second // how long a paused process is suspended
)

var errNotJoined = errors.New("not all members hold a lease")

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i%scaleZones) }

// Run measures each size with a separate control plane and a time limit.
func (s Scale) Run(ctx context.Context) error {
	for _, n := range s.Sizes {
		if err := s.one(ctx, n); err != nil {
			return fmt.Errorf("%d members: %w", n, err)
		}
	}
	return nil
}

// scaleRun holds the processes and members for one size.
type scaleRun struct {
	voters *Fleet
	fleet  *simulatedFleet
}

func (s Scale) one(ctx context.Context, n int) error {
	phases := s.phases()
	ctx, cancel := context.WithTimeout(ctx, 2*scaleTimeout+time.Duration(len(phases)+2)*(s.Length+pauseDuration))
	defer cancel()
	dir, err := os.MkdirTemp("", "larklab-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	w := &scaleRun{}
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

// open starts voters and relays and creates the members.
func (s Scale) open(ctx context.Context, w *scaleRun, dir string, n int) (err error) {
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
	w.fleet = newSimulatedFleet(n, w.voters.voters(), relays, s.Narrow, s.Configure)
	return nil
}

func (w *scaleRun) close() {
	if w.fleet != nil {
		w.fleet.stop()
	}
	if w.voters != nil {
		w.voters.Close()
	}
}

// play submits changes during a phase and prints the measurements.
func (s Scale) play(ctx context.Context, w *scaleRun, p phase) error {
	w.fleet.resetLatencies()
	lapses, incarnations := w.fleet.lapses()
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
		fmt.Fprintf(s.Out, "  %-28s all members have reported the latest change %v after it\n", p.name+":", reported.Round(time.Millisecond))
	}
	healing := time.Now()
	if err := w.fleet.awaitLeases(ctx); err != nil {
		return err
	}
	nowLapses, nowIncarnations := w.fleet.lapses()
	fmt.Fprintf(s.Out, "  %-28s %3d changes known after p50 %v, p99 %v, longest %v; %d leases lapsed, %d incarnations begun; all leases held %v after it\n",
		p.name+":", changes, w.fleet.latency(50), w.fleet.latency(99), w.fleet.latency(100), nowLapses-lapses, nowIncarnations-incarnations,
		time.Since(healing).Round(time.Millisecond))
	if p.fault == nil {
		s.print(before, after, took, len(w.fleet.members))
	}
	return nil
}

// spent is the cumulative resource usage of members, leader and relays.
type spent struct{ members, leader, relays usage }

func (w *scaleRun) spent() (out spent, err error) {
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
	fmt.Fprintf(s.Out, "    per member: %.0f B/s, %.5f cores, %.2f MB; the leader: %.3f cores, %.0f kB/s, %.1f MB",
		(after.members.bytes-before.members.bytes)/seconds/n, (after.members.cpu-before.members.cpu)/seconds/n, after.members.memory/n/1e6,
		(after.leader.cpu-before.leader.cpu)/seconds, (after.leader.bytes-before.leader.bytes)/seconds/1e3, after.leader.memory/1e6)
	if s.Relays > 0 {
		fmt.Fprintf(s.Out, "; a relay: %.3f cores, %.1f MB", (after.relays.cpu-before.relays.cpu)/seconds/float64(s.Relays), after.relays.memory/1e6)
	}
	fmt.Fprintln(s.Out)
}

// leader returns the process id of the leader.
func (f *Fleet) leader() (pid int, err error) {
	i, err := f.leaderNumber()
	if err != nil {
		return 0, err
	}
	return f.Members[i].Pid(), nil
}

// leaderNumber returns the index of the leader.
func (f *Fleet) leaderNumber() (int, error) {
	for i := range f.Members {
		s, err := f.Look(i)
		if err != nil {
			continue // the member may be down
		}
		for k, m := range f.Members {
			if m.Name == s.Leader {
				return k, nil
			}
		}
	}
	return 0, controlplane.ErrNoLeader
}
