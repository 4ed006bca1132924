package capacity

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"

	"mulleinbeam/internal/cluster/changelog"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/routing/wal/fsys"
)

// Probes of the control plane: the committed state, the leader, and the changes sent to every member.

func memberName(i int) string { return fmt.Sprintf("forwarder-%05d", i) }

// fleetState returns the committed state of a fleet of members in 22 zones of 6 regions, with one replica each.
func fleetState(members int) (*controlplane.State, error) {
	s := controlplane.NewState()
	version := uint64(1)
	apply := func(c controlplane.Command) error {
		version++
		return s.Apply(version, c)
	}
	for i := range members {
		join := controlplane.Command{
			Kind: controlplane.Join, Life: controlplane.Incarnation{Name: memberName(i)}, Token: fmt.Sprintf("%016x", i), Address: fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprintf("zone-%02d", i%22), Region: fmt.Sprintf("region-%d", i%6), Version: 1, Space: 64 << 20,
		}
		if err := apply(join); err != nil {
			return nil, err
		}
	}
	for i := range members {
		replica := controlplane.Command{
			Kind: controlplane.SetReplicas, Life: controlplane.Incarnation{Name: memberName(i), Number: 1}, From: s.Members[memberName(i)].Changed,
			Set: []string{memberName((i + 1) % members)},
		}
		if err := apply(replica); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func encodeGob(v any) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	return b.Bytes(), err
}

// probeState measures the committed state that every member receives.
func probeState(_ context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	var t table
	t.column("state.bytes", "members", "B", "committed state, encoded for a link")
	t.column("state.encode", "members", "s", "to encode it")
	t.column("state.decode", "members", "s", "to decode it")
	t.column("state.clone", "members", "s", "to copy it for a response")
	t.column("state.ranking", "members", "s", "to rank the members that may hold a replica")
	t.column("state.memory", "members", "B", "memory of the committed state")
	for _, n := range sizes {
		before := liveHeapBytes()
		s, err := fleetState(n)
		if err != nil {
			return nil, err
		}
		memory := liveHeapBytes() - before
		raw, err := encodeGob(s)
		if err != nil {
			return nil, err
		}
		var failed error
		encode := medianSeconds(effort, func() { _, err := encodeGob(s); failed = errors.Join(failed, err) })
		decode := medianSeconds(effort, func() {
			failed = errors.Join(failed, gob.NewDecoder(bytes.NewReader(raw)).Decode(controlplane.NewState()))
		})
		clone := medianSeconds(effort, func() { s.Clone() })
		ranking := medianSeconds(effort, func() { s.RankReplicas(memberName(0), nil) })
		if failed != nil {
			return nil, failed
		}
		t.row(n, float64(len(raw)), encode, decode, clone, ranking, memory)
	}
	return t.series, nil
}

// probeChanges measures what a member receives of committed changes: one change, and a snapshot in pieces.
func probeChanges(ctx context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	var t table
	t.column("change.bytes", "members", "B", "one committed change, encoded for a link that has carried others")
	t.column("change.encode", "members", "s", "to read and encode it for one member")
	t.column("change.learn", "members", "s", "for a member to apply it to its view")
	t.column("snapshot.bytes", "members", "B", "of a snapshot for a member without state, all pieces")
	t.column("snapshot.encode", "members", "s", "to read and encode it")
	t.column("snapshot.learn", "members", "s", "for a member to apply it, decoding not counted")
	for _, n := range sizes {
		l, _, err := startFleet(ctx, n, shortTick)
		if err != nil {
			return nil, err
		}
		values, err := measureChanges(l, effort)
		l.stop()
		if err != nil {
			return nil, err
		}
		t.row(n, values...)
	}
	return t.series, nil
}

// measureChanges applies a snapshot to a view and has the leader commit one change, and measures both.
func measureChanges(l leader, effort time.Duration) (values []float64, err error) {
	var size bytes.Buffer
	link := gob.NewEncoder(&size)
	view := controlplane.NewView()
	read := func(w *controlplane.Watch) (controlplane.Response, error) {
		r := l.server.Handle(controlplane.Request{Watch: w})
		if r.Changes == nil {
			return r, errors.New("the leader returned no changes")
		}
		return r, link.Encode(r)
	}
	encode, learn := 0.0, 0.0
	for more := true; more; {
		began := time.Now()
		r, err := read(view.Watch())
		if err != nil {
			return nil, err
		}
		encode += time.Since(began).Seconds()
		began = time.Now()
		if _, more, err = view.Apply(r.Changes); err != nil {
			return nil, err
		}
		learn += time.Since(began).Seconds()
	}
	snapshot := float64(size.Len())
	before := view.Watch()
	r := l.server.Handle(controlplane.Request{Command: &controlplane.Command{Kind: controlplane.Drain, Life: controlplane.Incarnation{Name: memberName(0)}, On: true}})
	if r.Refused != "" {
		return nil, errors.New(r.Refused)
	}
	size.Reset()
	change, err := read(before)
	if err != nil {
		return nil, err
	}
	bytesOfOne := float64(size.Len())
	var failed error
	encodeOne := medianSeconds(effort, func() { _, err := read(before); failed = errors.Join(failed, err) })
	learnOne := medianSeconds(effort, func() {
		view.State().With(change.Version, &changelog.Change[controlplane.Item]{Records: change.Changes.Records})
	})
	return []float64{bytesOfOne, encodeOne, learnOne, snapshot, encode, learn}, failed
}

// leader is a control plane of one voter that starts from a given state.
type leader struct {
	server *controlplane.Server
	stop   func()
}

const voterName = "voter"

// Tick intervals of the leader: defaultTick as in a deployment, shortTick where only the election time depends on it.
const (
	defaultTick = 100 * time.Millisecond
	shortTick   = 10 * time.Millisecond
)

// startLeader starts a voter and waits until it leads. Its leases are long enough that none expires during a probe.
func startLeader(ctx context.Context, s *controlplane.State, tick time.Duration) (l leader, err error) {
	store, kept, err := controlplane.OpenRaftStore(fsys.NewMem(), func(string) {})
	if err != nil {
		return l, err
	}
	if s != nil {
		kept.Snapshot = raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: s.Version, Term: 1, ConfState: raftpb.ConfState{Voters: []uint64{controlplane.ID(voterName)}}}}
		if kept.Snapshot.Data, err = encodeGob(s); err != nil {
			return l, err
		}
	}
	core, err := controlplane.NewCore(voterName, []controlplane.Voter{{Name: voterName}}, kept)
	if err != nil {
		return l, err
	}
	timing := controlplane.Timing{Tick: tick, Lease: time.Hour, Margin: time.Minute}
	l.server = controlplane.NewServer(core, store, timing, zerolog.Nop())
	running, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); _ = l.server.Run(running) }()
	l.stop = func() { cancel(); <-ended; _ = store.Close() }
	for l.server.Handle(controlplane.Request{}).Leader == "" {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			l.stop()
			return l, ctx.Err()
		}
	}
	return l, nil
}

// probeControlPlane measures the processor time of the leader for a lease renewal, for one committed change, and when
// idle.
func probeControlPlane(ctx context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	var t table
	t.column("leader.idle", "members", "cores", "processor time of an idle leader")
	t.column("leader.renewal", "members", "s", "processor time of one lease renewal at the leader, links not counted")
	t.column("leader.change", "members", "s", "processor time of one committed change, with its response, links not counted")
	for _, n := range sizes {
		l, s, err := startFleet(ctx, n, defaultTick)
		if err != nil {
			return nil, err
		}
		idle := idleLoad(effort)
		watch := caughtUpWatch(s)
		renewal := processorTimePerCall(effort, func(i int) {
			l.server.Handle(controlplane.Request{Renew: &controlplane.Incarnation{Name: memberName(i % n), Number: 1}, Watch: watch})
		})
		change := processorTimePerCall(effort, func(i int) {
			l.server.Handle(controlplane.Request{Command: &controlplane.Command{Kind: controlplane.Drain, Life: controlplane.Incarnation{Name: memberName(i % n)}, On: i%2 == 0}})
		})
		l.stop()
		t.row(n, idle, renewal, change)
	}
	return t.series, nil
}

// startFleet starts a leader whose state has the given number of members.
func startFleet(ctx context.Context, members int, tick time.Duration) (leader, *controlplane.State, error) {
	s, err := fleetState(members)
	if err != nil {
		return leader{}, nil, err
	}
	l, err := startLeader(ctx, s, tick)
	return l, s, err
}

// caughtUpWatch returns the watch of a member that is caught up with the state.
func caughtUpWatch(s *controlplane.State) *controlplane.Watch {
	return &controlplane.Watch{Cursor: changelog.Cursor{ViewRevision: s.Version, Revision: s.Version}, Selector: controlplane.SelectAll}
}

// idleLoad returns the processor time per second of this process without requests, in cores.
func idleLoad(effort time.Duration) float64 {
	const least = 400 * time.Millisecond // covers several ticks of the leader
	length := max(least, 5*effort)
	before, began := processorTime(), time.Now()
	time.Sleep(length)
	return max(1e-6, (processorTime()-before)/time.Since(began).Seconds())
}

// processorTimePerCall returns the mean processor time of a call when concurrent goroutines repeat it for twice the
// effort.
func processorTimePerCall(effort time.Duration, call func(i int)) float64 {
	const callers = 64
	var calls atomic.Int64
	var all sync.WaitGroup
	before, began := processorTime(), time.Now()
	for range callers {
		all.Go(func() {
			for time.Since(began) < 2*effort {
				call(int(calls.Add(1)))
			}
		})
	}
	all.Wait()
	return (processorTime() - before) / float64(calls.Load())
}

// probeJoins measures the time until all members of a fleet have joined, with a limited number of joins at once.
func probeJoins(ctx context.Context, sizes []int, _ time.Duration) ([]Series, error) {
	const atOnce = 64
	var t table
	t.column("joins", "members", "s", "until all members have joined, 64 at a time, memory for a disk, no links")
	for _, n := range sizes {
		l, err := startLeader(ctx, nil, shortTick)
		if err != nil {
			return nil, err
		}
		var next atomic.Int64
		var all sync.WaitGroup
		began := time.Now()
		for range atOnce {
			all.Go(func() {
				for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
					join := controlplane.Command{Kind: controlplane.Join, Life: controlplane.Incarnation{Name: memberName(i)}, Token: memberName(i), Zone: "z", Region: "r", Address: "10.0.0.1:7100"}
					l.server.Handle(controlplane.Request{Command: &join})
				}
			})
		}
		all.Wait()
		took := time.Since(began).Seconds()
		l.stop()
		t.row(n, took)
	}
	return t.series, nil
}
