package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/observation"
)

// What members tell each other of partners: package observation with a clock and links. The council's word says who the members are; a
// push that fails is all that suspects one.

const (
	factKeys    = 4096 // destinations and routes of which facts are kept
	mostAnswer  = 4096 // facts in one answer
	complainFor = time.Minute
)

// talk is a node's part in it.
type talk struct {
	mu       sync.Mutex
	book     *observation.Store
	spread   *observation.Gossip
	out      map[string]bool      // a push is on its way
	unheard  map[string]time.Time // since when a member has not answered one
	complain map[string]time.Time // when a member's absurd facts were last logged
}

// GossipRequest is what one member tells another.
type GossipRequest struct {
	From    controlplane.Incarnation
	Facts   []observation.Record
	Compare bool
	Digest  uint64
}

// GossipReply holds what the other should know as well, where the two were to compare.
type GossipReply struct{ Facts []observation.Record }

type factsRPC struct{ n *Node }

// Push hears facts.
func (f factsRPC) Push(p GossipRequest, a *GossipReply) error {
	f.n.hear(p.From.Name, p.Facts)
	t := &f.n.talk
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Compare && p.Digest != t.book.Digest(f.n.now()) {
		a.Facts = t.book.Records(f.n.now())
		a.Facts = a.Facts[:min(len(a.Facts), mostAnswer)]
	}
	return nil
}

// known says whether a life is one of the fleet's.
func known(state *controlplane.State) func(origin string, life uint64) bool {
	return func(origin string, life uint64) bool {
		return state.Alive(controlplane.Incarnation{Name: origin, Number: life})
	}
}

// hear takes facts that a member has told, its own or others'.
func (n *Node) hear(from string, list []observation.Record) {
	_, state := n.latest()
	belongs := known(state)
	t := &n.talk
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range list {
		if !belongs(f.Origin, f.Life) {
			continue // an ended life's, or of one that is not known here yet: comparing brings it again
		}
		news, why := t.book.Add(n.now(), f)
		if news {
			t.spread.Enqueue(len(state.Members), f)
		}
		if why != observation.Valid && time.Since(t.complain[f.Origin]) > complainFor {
			t.complain[f.Origin] = time.Now()
			n.cfg.Logger.Warn().Str("part", "facts").Str("origin", f.Origin).Str("from", from).Stringer("kind", f.Kind).Int64("destination", f.Destination).
				Stringer("age", f.Age).Stringer("left", f.Left).Float64("rate", f.Rate).Str("why", string(why)).Msg("an absurd fact is bounded or dropped")
		}
	}
}

// gossip tells and hears until ctx ends.
func (n *Node) gossip(ctx context.Context) {
	beat := time.NewTicker(n.cfg.GossipInterval)
	defer beat.Stop()
	var others []string
	var listed *controlplane.State // from which others was made
	for {
		select {
		case <-beat.C:
		case <-ctx.Done():
			return
		}
		mine, state := n.latest()
		if mine.Number == 0 {
			continue
		}
		if state != listed {
			others, listed = othersOf(state, n.cfg.Name), state
		}
		n.router.ApplyObservations(func(own []mb.LearnedCircuit) []mb.LearnedCircuit {
			n.talk.mu.Lock()
			defer n.talk.mu.Unlock()
			n.talk.book.SetEpoch(mine.Number)
			n.talk.book.Expire(n.now(), known(state))
			n.talk.spread.Enqueue(len(others)+1, n.talk.book.LocalUpdates(n.now(), own)...)
			return n.talk.book.Advice(n.now(), own)
		})
		n.talk.mu.Lock()
		pushes := n.talk.spread.Tick(n.now(), others)
		gone := func(name string, _ time.Time) bool { m := state.Members[name]; return m == nil || !m.Alive }
		maps.DeleteFunc(n.talk.unheard, gone)
		maps.DeleteFunc(n.talk.complain, gone)
		for _, p := range pushes {
			if n.talk.out[p.To] {
				continue // it is slow; others hear, and books are compared
			}
			n.talk.out[p.To] = true
			n.tasks.Go(func() error {
				n.push(ctx, mine, p, state.Members[p.To].Address)
				return nil
			})
		}
		n.talk.mu.Unlock()
	}
}

// othersOf are the members that live, but for one, in their order.
func othersOf(state *controlplane.State, name string) (out []string) {
	for _, other := range state.Names() {
		if other != name && state.Members[other].Alive {
			out = append(out, other)
		}
	}
	return out
}

// push tells one member.
func (n *Node) push(ctx context.Context, mine controlplane.Incarnation, p observation.Push, address string) {
	call, cancel := context.WithTimeout(ctx, appendFor)
	defer cancel()
	var a GossipReply
	err := n.peers.At(address).Call(call, "Facts.Push", GossipRequest{From: mine, Facts: p.Facts, Compare: p.Compare, Digest: p.Digest}, &a)
	n.talk.mu.Lock()
	delete(n.talk.out, p.To)
	if _, already := n.talk.unheard[p.To]; err == nil {
		delete(n.talk.unheard, p.To)
	} else if !already && ctx.Err() == nil {
		n.talk.unheard[p.To] = time.Now()
	}
	n.talk.mu.Unlock()
	n.hear(p.To, a.Facts)
}

// newTalk is the talk of a member that knows nothing yet.
func newTalk(cfg Config) talk {
	book := observation.NewStore(observation.Config{Name: cfg.Name, HalfLife: cfg.ObservationHalfLife, MaxRetryAfter: cfg.DedupWindow, MaxKeys: factKeys})
	return talk{
		book: book, spread: observation.NewGossip(book, rand.Uint64()), out: map[string]bool{}, unheard: map[string]time.Time{},
		complain: map[string]time.Time{},
	}
}

// ObservationStatus is what a member knows of partners by others' words and its own.
type ObservationStatus struct {
	Facts  []observation.Record `json:"facts"`
	Heeded []mb.LearnedCircuit  `json:"heeded"` // what its module is told, beside what it sees itself
	Counts observation.Counts   `json:"counts"`
}

// Facts tells it.
func (s statusRPC) Facts(_ bool, out *ObservationStatus) error {
	s.n.router.ApplyObservations(func(own []mb.LearnedCircuit) []mb.LearnedCircuit {
		s.n.talk.mu.Lock()
		defer s.n.talk.mu.Unlock()
		now := s.n.now()
		advice := s.n.talk.book.Advice(now, own)
		*out = ObservationStatus{Facts: s.n.talk.book.Records(now), Heeded: advice, Counts: s.n.talk.book.Counts}
		return advice
	})
	return nil
}
