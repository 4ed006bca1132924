package capacity

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/links"
	"mulleinbeam/internal/cluster/relay"
)

// countedListener counts the bytes that its connections transfer in both directions.
type countedListener struct {
	net.Listener
	moved *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.moved}, nil
}

type countedConn struct {
	net.Conn
	moved *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.moved.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.moved.Add(int64(n))
	return n, err
}

// callAll calls ask once for each member, all concurrently.
func callAll(n int, ask func(i int) error) error {
	var group errgroup.Group
	for i := range n {
		group.Go(func() error { return ask(i) })
	}
	return group.Wait()
}

// probeLinks measures lease renewals over loopback sockets for growing numbers of connections.
func probeLinks(ctx context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	var t table
	t.column("link.renewal", "connections", "s", "processor time of one lease renewal over a loopback socket, both ends and the leader")
	t.column("link.renewal.bytes", "connections", "B", "of one lease renewal and its answer, without network headers")
	for _, n := range sizes {
		l, s, err := startFleet(ctx, n, shortTick)
		if err != nil {
			return nil, err
		}
		moved := &atomic.Int64{}
		address, stop, err := l.serve(moved)
		if err != nil {
			return nil, err
		}
		cpu, size, err := renewOverSockets(ctx, address, moved, n, caughtUpWatch(s), effort)
		stop()
		l.stop()
		if err != nil {
			return nil, err
		}
		t.row(n, cpu, size)
	}
	return t.series, nil
}

// probeRelays measures lease renewals through relays: at the leader, which receives them in batches, and at a relay.
func probeRelays(ctx context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	var t table
	t.column("batch.renewal", "incarnations in a batch", "s", "processor time of one lease renewal in a batch at the leader, links not counted")
	t.column("relay.renewal", "incarnations in a batch", "s", "processor time of one lease renewal through a relay: the member's and the relay's sockets, and the leader")
	for _, n := range sizes {
		l, s, err := startFleet(ctx, n, shortTick)
		if err != nil {
			return nil, err
		}
		batch := controlplane.Request{Watch: caughtUpWatch(s)}
		for i := range n {
			batch.Batch = append(batch.Batch, controlplane.Incarnation{Name: memberName(i), Number: 1})
		}
		direct := processorTimePerCall(effort, func(int) { l.server.Handle(batch) }) / float64(n)
		relayed, err := renewThroughRelay(ctx, l, n, caughtUpWatch(s), effort)
		l.stop()
		if err != nil {
			return nil, err
		}
		t.row(n, direct, relayed)
	}
	return t.series, nil
}

// renewThroughRelay returns the processor time of one renewal by members behind a relay. Each renews again as soon as
// it has a response, so every batch contains all members.
func renewThroughRelay(ctx context.Context, l leader, n int, watch *controlplane.Watch, effort time.Duration) (float64, error) {
	address, stop, err := l.serve(&atomic.Int64{})
	if err != nil {
		return 0, err
	}
	defer stop()
	r, err := relay.Open(relay.Config{Listen: "127.0.0.1:0", Voters: []controlplane.Voter{{Name: voterName, Address: address}}, Logger: zerolog.Nop()})
	if err != nil {
		return 0, err
	}
	running, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- r.Run(running) }()
	cpu, _, err := renewOverSockets(ctx, r.Address(), &atomic.Int64{}, n, watch, effort)
	cancel()
	return cpu, errors.Join(err, <-ended)
}

// serve serves the leader's RPCs on a loopback address until stop is called, and adds the bytes transferred to moved.
func (l leader) serve(moved *atomic.Int64) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = links.Serve(countedListener{listener, moved}, map[string]any{"Council": l.server.RPC()})
	}()
	return listener.Addr().String(), func() { _ = listener.Close(); <-served }, nil
}

// renewOverSockets has n members renew their leases at an address, each over its own connection and again as soon as it
// has a response. It returns processor time and bytes per renewal.
func renewOverSockets(ctx context.Context, address string, moved *atomic.Int64, n int, watch *controlplane.Watch, effort time.Duration) (cpu, size float64, err error) {
	peers := make([]*links.Peer, n)
	ask := func(i int) error {
		var r controlplane.Response
		req := controlplane.Request{Renew: &controlplane.Incarnation{Name: memberName(i), Number: 1}, Watch: watch}
		for !r.Granted { // a relay refuses renewals until it is ready
			r = controlplane.Response{}
			if err := peers[i].Call(ctx, "Council.Ask", req, &r); err != nil {
				return err
			}
		}
		return nil
	}
	for i := range peers {
		peers[i] = links.NewPeer(address)
		defer peers[i].Close()
	}
	if err := callAll(n, ask); err != nil { // opens the connections and sends the gob type descriptions, which are sent once
		return 0, 0, err
	}
	var calls atomic.Int64
	var failed atomic.Pointer[error]
	before, bytesBefore, began := processorTime(), moved.Load(), time.Now()
	var all sync.WaitGroup
	for i := range peers {
		all.Go(func() {
			for round := 0; round == 0 || time.Since(began) < 2*effort; round++ {
				if err := ask(i); err != nil {
					failed.Store(&err)
					return
				}
				calls.Add(1)
			}
		})
	}
	all.Wait()
	if e := failed.Load(); e != nil {
		return 0, 0, *e
	}
	k := float64(calls.Load())
	return (processorTime() - before) / k, float64(moved.Load()-bytesBefore) / k, nil
}
