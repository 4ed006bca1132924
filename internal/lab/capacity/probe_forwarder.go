package capacity

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	mb "mulleinbeam"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/replication"
	"mulleinbeam/internal/routing"
	"mulleinbeam/internal/routing/wal"
)

// Probes of one forwarder: the endpoint list, accepted and held messages, and the replica of another forwarder's
// journal.

const (
	messageBytes    = 300
	deliveryTimeout = 2 * time.Hour
	submitInterval  = 1200 * time.Microsecond // in the module's time; about 830 messages a second
)

func forwarderSettings(held int) mb.Settings {
	return mb.Settings{
		Forwarders: 1, Slots: 64, MostHeld: held, MaxAttempts: 6, MaxRetryAfter: time.Second,
		Classes: []mb.Class{{Name: "safe", Target: time.Second, DeliveryTimeout: deliveryTimeout, Worth: 1, Effect: mb.Safe}},
	}
}

// endpointList returns n endpoints, two for each destination.
func endpointList(n int) []mb.Entry {
	out := make([]mb.Entry, n)
	for i := range out {
		out[i] = mb.Entry{Endpoint: mb.EndpointID(fmt.Sprintf("s-%08x", i)), Zone: fmt.Sprint(i % 22), Destination: mb.DestinationID(i / 2), CapacityHint: 5}
	}
	return out
}

// probeList measures the decision module with endpoint lists.
func probeList(_ context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	var t table
	t.column("list.memory", "endpoints", "B", "memory of the module with a list of endpoints, the list included")
	t.column("list.learn", "endpoints", "s", "to apply a complete list again, in the router's goroutine")
	t.column("submit", "endpoints", "s", "for the module to process one message: submitted, sent, answered")
	for _, n := range sizes {
		before := liveHeapBytes()
		list := endpointList(n)
		d, err := mb.New(forwarderSettings(100), 1)
		if err != nil {
			return nil, err
		}
		now := time.Second
		d.Handle(now, []mb.Event{mb.EndpointUpdate{Scope: mb.ListWhole, Entries: list}})
		memory := liveHeapBytes() - before
		learn := medianSeconds(effort, func() { d.Handle(now, []mb.Event{mb.EndpointUpdate{Scope: mb.ListWhole, Entries: list}}) })
		id, rng := mb.MessageID(0), rand.New(rand.NewPCG(1, 1))
		submit := medianSeconds(effort, func() {
			now += submitInterval
			id++
			message := mb.Submit{ID: id, Class: "safe", TimeLeft: time.Minute, Destination: mb.DestinationID(rng.IntN(n / 2))}
			for _, a := range d.Handle(now, []mb.Event{message}) {
				if s, ok := a.(mb.Send); ok {
					d.Handle(now, []mb.Event{mb.Answer{ID: s.ID, Endpoint: s.Endpoint, Outcome: mb.OK, Latency: time.Millisecond, Settled: true}})
				}
			}
		})
		t.row(n, memory, learn, submit)
	}
	return t.series, nil
}

// noEndpoints is a caller without endpoints: every call fails to connect. As a notifier it discards reports.
type noEndpoints struct{}

func (noEndpoints) Call(context.Context, routing.Attempt) routing.Result {
	return routing.Result{Outcome: mb.ConnectFailed}
}
func (noEndpoints) CloseIdle(string)              {}
func (noEndpoints) Notify(routing.DeliveryReport) {}

// startRouter runs a router on the journal in a folder, waits until it is ready and returns the time that took.
func startRouter(ctx context.Context, dir string, held int) (r *routing.Router, ready time.Duration, end func() error, err error) {
	began := time.Now()
	journal, err := wal.Open(dir, wal.Options{MaxBytes: 64 << 30, BodyMemory: 1}, func(string) {})
	if err != nil {
		return nil, 0, nil, err
	}
	r, err = routing.New(routing.Config{Settings: forwarderSettings(held), Seed: 1, Log: journal, Caller: noEndpoints{}, Notifier: noEndpoints{}, Logger: zerolog.Nop()})
	if err != nil {
		return nil, 0, nil, err
	}
	running, cancel := context.WithCancel(ctx)
	isReady, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- r.Run(running, func() { close(isReady) }) }()
	<-isReady
	end = func() error {
		cancel()
		err := <-ended
		if bad := journal.Close(); err == nil {
			err = bad
		}
		return err
	}
	return r, time.Since(began), end, nil
}

// probeBacklog measures a forwarder that holds messages for a destination without endpoints.
func probeBacklog(ctx context.Context, sizes []int, _ time.Duration) ([]Series, error) {
	var t table
	t.column("held.memory", "held messages", "B", "memory of the router, the module and the journal's index")
	t.column("held.disk", "held messages", "B", "of the journal on the disk")
	t.column("held.accept", "held messages", "s", "processor time to accept one more message: decision and journal")
	t.column("held.start", "held messages", "s", "from the start until the journal is read and the module holds all messages")
	for _, n := range sizes {
		if err := measureBacklog(ctx, &t, n); err != nil {
			return nil, err
		}
	}
	return t.series, nil
}

func measureBacklog(ctx context.Context, t *table, n int) error {
	dir, err := os.MkdirTemp("", "larklab-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	before := liveHeapBytes()
	r, _, end, err := startRouter(ctx, dir, 2*n)
	if err != nil {
		return err
	}
	body := make([]byte, messageBytes)
	accept := func(i int) error {
		v := r.Accept(routing.Message{ID: fmt.Sprintf("%016x", i), Class: "safe", Destination: int64(i % 1000), TimeLeft: deliveryTimeout, Body: body})
		if v.Kind != routing.Accepted {
			return fmt.Errorf("message %d of %d was not accepted", i, n)
		}
		return nil
	}
	for i := range n {
		if err := accept(i); err != nil {
			return err
		}
	}
	memory, disk := liveHeapBytes()-before, folderSize(dir)
	more := max(100, n/10)
	cpu := processorTime()
	for i := n; i < n+more; i++ {
		if err := accept(i); err != nil {
			return err
		}
	}
	acceptSeconds := (processorTime() - cpu) / float64(more)
	if err := end(); err != nil {
		return err
	}
	_, ready, end, err := startRouter(ctx, dir, 2*n)
	if err != nil {
		return err
	}
	t.row(n, memory, disk, acceptSeconds, ready.Seconds()*float64(n)/float64(n+more))
	return end()
}

func folderSize(dir string) (size float64) {
	_ = filepath.WalkDir(dir, func(_ string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return nil
		}
		if info, err := e.Info(); err == nil {
			size += float64(info.Size())
		}
		return nil
	})
	return math.Max(1, size)
}

// probeReplica measures the replica of a journal: bytes of a snapshot on the link, and memory and processor time at the
// replica.
func probeReplica(_ context.Context, sizes []int, _ time.Duration) ([]Series, error) {
	var t table
	t.column("replica.memory", "held messages", "B", "memory of a replica of a journal")
	t.column("replica.bytes", "held messages", "B", "of a snapshot of it on a link")
	t.column("replica.take", "held messages", "s", "processor time to apply the snapshot")
	for _, n := range sizes {
		incarnation := controlplane.Incarnation{Name: "owner", Number: 1}
		owner := replication.NewOwner(incarnation)
		owner.SetReplicas([]string{"replica"}, nil)
		var records [][]byte
		for i := range n {
			m := &wal.Message{
				Seq: uint64(i + 1), Deadline: time.Now().Add(deliveryTimeout), Destination: int64(i % 1000), ID: fmt.Sprintf("%016x", i), Class: "safe",
				Body: make([]byte, messageBytes),
			}
			records = append(records, wal.MessageRecords(m)...)
		}
		before := liveHeapBytes()
		replica := replication.NewStore(1)
		size, took := 0.0, 0.0
		for first := true; ; first = false {
			if !first && owner.NeedsSnapshot("replica") {
				owner.Snapshot("replica", records)
			}
			b, some := owner.Next("replica", 0)
			if !some {
				if !first {
					break
				}
				continue
			}
			raw, err := encodeGob(b)
			if err != nil {
				return nil, err
			}
			size += float64(len(raw))
			began := time.Now()
			_, ack := replica.Append(b, 0)
			took += time.Since(began).Seconds()
			owner.HandleAck("replica", ack)
		}
		if c := replica.Replica(incarnation); c == nil || len(c.Content.Messages()) != n {
			return nil, fmt.Errorf("the replica of %d messages is incomplete", n)
		}
		t.row(n, liveHeapBytes()-before, size, took)
		if replica.ID() != 1 { // keeps the replica reachable until its memory is measured
			return nil, nil
		}
	}
	return t.series, nil
}
