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

// register is one thing that the council decides, whether a member is drained, asked and changed at all founders while faults last.
// What each asker saw has to fit one order of all decisions in which each took hold between its asking and its answer.
type register struct {
	f     *Fleet
	who   string
	began time.Time

	mu  sync.Mutex
	ops []porcupine.Operation
}

// registerOp is an asking, or a change.
type registerOp struct {
	write, on bool
}

const (
	registerClients = 3
	registerWrites  = 12 // one in so many operations is a change: a drain has copies moved
	registerEvery   = 200 * time.Millisecond
	registerFor     = time.Second
	registerCheck   = 30 * time.Second
)

// registerModel is what holds of it.
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

// run has clients ask and change until ctx ends.
func (r *register) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for c := range registerClients {
		wg.Go(func() { r.client(ctx, c, rand.New(rand.NewPCG(seed, uint64(700+c)))) })
	}
	wg.Wait()
}

func (r *register) client(ctx context.Context, c int, rng *rand.Rand) {
	peers := make([]*links.Peer, len(r.f.Members)) // whoever holds the council by then
	for i := range peers {
		peers[i] = links.NewPeer(r.f.Members[i].Links)
		defer peers[i].Close()
	}
	for to := c; lab.Sleep(ctx, time.Duration(rng.Int64N(int64(2*registerEvery)))); {
		op := registerOp{write: rng.IntN(registerWrites) == 0, on: rng.IntN(2) == 0}
		// answered once a majority has confirmed who leads
		req := controlplane.Request{Renew: &controlplane.Incarnation{Name: "who asks for nothing"}, Watch: &controlplane.Watch{Selector: changelog.Selector{Keys: []string{controlplane.MemberKey(r.who)}}}}
		if op.write {
			req = controlplane.Request{Command: &controlplane.Command{Kind: controlplane.Drain, Life: controlplane.Incarnation{Name: r.who}, On: op.on}}
		}
		call, cancel := context.WithTimeout(ctx, registerFor)
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
			to++ // nothing was asked, or nothing heard
			continue
		case op.write && (err != nil || a.Refused != ""):
			to++
			until = math.MaxInt64 // whether it was decided, and when, nobody has said
		}
		out := known && member.Leaving
		r.mu.Lock()
		r.ops = append(r.ops, porcupine.Operation{ClientId: len(r.ops), Input: op, Call: int64(from), Output: out, Return: int64(until)})
		r.mu.Unlock()
	}
}

// memberIn is the member that an answer tells of; nil is none.
func memberIn(c *controlplane.Changes) *controlplane.Member {
	if c == nil || len(c.Records) == 0 {
		return nil
	}
	return c.Records[0].Value.Member
}

// check says whether all that was seen fits one order of decisions; bad is "" then.
func (r *register) check() (ops int, bad string) {
	switch porcupine.CheckOperationsTimeout(registerModel, r.ops, registerCheck) {
	case porcupine.Illegal:
		return len(r.ops), "the council's answers fit no order of its decisions"
	case porcupine.Unknown:
		return len(r.ops), "the council's answers could not be checked in time"
	}
	return len(r.ops), ""
}
