package cluster

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"mulleinbeam/internal/cluster/changelog"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/links"
	"mulleinbeam/internal/lab"
)

// register checks that the control plane is linearizable. The register is one value of its state, whether a member is being drained,
// which clients read and write at all members while faults are injected. The observed results have to fit one order of operations in
// which each takes effect between its call and its return.
type register struct {
	fleet  *Fleet
	member string
	began  time.Time

	mu  sync.Mutex
	ops []porcupine.Operation
}

// registerOp is a read, or a write of on.
type registerOp struct {
	write, on bool
}

const (
	registerClients      = 3
	registerOpsPerWrite  = 12 // one of this many operations is a write; writes are rare because a drain moves copies
	registerInterval     = 200 * time.Millisecond
	registerCallTimeout  = time.Second
	registerCheckTimeout = 30 * time.Second
)

// registerModel is the sequential specification of the register.
var registerModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		op := input.(registerOp)
		if op.write {
			return true, op.on
		}
		return output.(bool) == state.(bool), state
	},
}

// run has clients read and write the register until ctx ends.
func (r *register) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for c := range registerClients {
		wg.Go(func() { r.client(ctx, c, rand.New(rand.NewPCG(seed, uint64(700+c)))) })
	}
	wg.Wait()
}

func (r *register) client(ctx context.Context, c int, rng *rand.Rand) {
	peers := make([]*links.Peer, len(r.fleet.Members)) // all members, as the set of voters changes during the run
	for i := range peers {
		peers[i] = links.NewPeer(r.fleet.Members[i].Links)
		defer peers[i].Close()
	}
	for to := c; lab.Sleep(ctx, time.Duration(rng.Int64N(int64(2*registerInterval)))); {
		op := registerOp{write: rng.IntN(registerOpsPerWrite) == 0, on: rng.IntN(2) == 0}
		// a renewal is answered only after a quorum has confirmed the leader
		req := controlplane.Request{Renew: &controlplane.Incarnation{Name: "who asks for nothing"}, Watch: &controlplane.Watch{Selector: changelog.Selector{Keys: []string{controlplane.MemberKey(r.member)}}}}
		if op.write {
			req = controlplane.Request{Command: &controlplane.Command{Kind: controlplane.Drain, Life: controlplane.Incarnation{Name: r.member}, On: op.on}}
		}
		call, cancel := context.WithTimeout(ctx, registerCallTimeout)
		var a controlplane.Response
		from := time.Since(r.began)
		err := peers[to%len(peers)].Call(call, "Council.Ask", req, &a)
		cancel()
		until := time.Since(r.began)
		refused := a.Refused == controlplane.ErrNotLeader.Error()
		member := memberIn(a.Changes)
		known := err == nil && member != nil
		switch {
		case err == nil && refused, err != nil && !op.write, !op.write && !known:
			to++ // the request had no effect, or its result is unknown
			continue
		case op.write && (err != nil || a.Refused != ""):
			to++
			until = math.MaxInt64 // whether and when the write was committed is unknown
		}
		out := known && member.Leaving
		r.mu.Lock()
		r.ops = append(r.ops, porcupine.Operation{ClientId: len(r.ops), Input: op, Call: int64(from), Output: out, Return: int64(until)})
		r.mu.Unlock()
	}
}

// memberIn returns the member in the changes of a response, or nil if there is none.
func memberIn(c *controlplane.Changes) *controlplane.Member {
	if c == nil || len(c.Records) == 0 {
		return nil
	}
	return c.Records[0].Value.Member
}

// check reports whether the observed operations are linearizable; bad is "" if they are.
func (r *register) check() (ops int, bad string) {
	switch porcupine.CheckOperationsTimeout(registerModel, r.ops, registerCheckTimeout) {
	case porcupine.Illegal:
		return len(r.ops), "the answers of the control plane are not linearizable"
	case porcupine.Unknown:
		return len(r.ops), "the linearizability check of the control plane timed out"
	}
	return len(r.ops), ""
}
