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

// Gossip about destinations between members: connects package observation with a clock and links. The control plane
// decides who is a member; a failed push only marks a member as unresponsive in the status.

const (
	maxObservationKeys = 4096        // destinations and endpoints whose observations are kept
	maxReplyRecords    = 4096        // observations in one reply
	invalidLogInterval = time.Minute // invalid observations of one member are logged at most once in this time
)

// observations is a node's gossip state.
type observations struct {
	mu         sync.Mutex
	store      *observation.Store
	gossip     *observation.Gossip
	pushing    map[string]bool      // members to which a push is under way
	unanswered map[string]time.Time // since when a member has not answered a push
	warnedAt   map[string]time.Time // when a member's invalid observations were last logged
}

// GossipRequest carries observations to another member. If Compare is set and the other's digest differs, the reply has
// all its observations.
type GossipRequest struct {
	From    controlplane.Incarnation
	Facts   []observation.Record
	Compare bool
	Digest  uint64
}

// GossipReply holds all observations of the member that was asked to compare, if the digests differ.
type GossipReply struct{ Facts []observation.Record }

type observationRPC struct{ n *Node }

// Push receives observations.
func (o observationRPC) Push(p GossipRequest, a *GossipReply) error {
	o.n.addObservations(p.From.Name, p.Facts)
	t := &o.n.observations
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Compare && p.Digest != t.store.Digest(o.n.now()) {
		a.Facts = t.store.Records(o.n.now())
		a.Facts = a.Facts[:min(len(a.Facts), maxReplyRecords)]
	}
	return nil
}

// inFleet returns a function that reports whether an incarnation belongs to the fleet.
func inFleet(state *controlplane.State) func(origin string, incarnation uint64) bool {
	return func(origin string, incarnation uint64) bool {
		return state.Alive(controlplane.Incarnation{Name: origin, Number: incarnation})
	}
}

// addObservations stores observations that a member has sent, its own or those of others.
func (n *Node) addObservations(from string, list []observation.Record) {
	_, state := n.currentState()
	isMember := inFleet(state)
	t := &n.observations
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range list {
		if !isMember(record.Origin, record.Life) {
			continue // of a fenced incarnation, or of one not known here yet: a later comparison brings it again
		}
		isNew, problem := t.store.Add(n.now(), record)
		if isNew {
			t.gossip.Enqueue(len(state.Members), record)
		}
		if problem != observation.Valid && time.Since(t.warnedAt[record.Origin]) > invalidLogInterval {
			t.warnedAt[record.Origin] = time.Now()
			n.cfg.Logger.Warn().Str("part", "facts").Str("origin", record.Origin).Str("from", from).Stringer("kind", record.Kind).Int64("destination", record.Destination).
				Stringer("age", record.Age).Stringer("left", record.Left).Float64("rate", record.Rate).Str("why", string(problem)).Msg("invalid observation adjusted or dropped")
		}
	}
}

// gossip exchanges observations with other members until ctx ends.
func (n *Node) gossip(ctx context.Context) {
	ticker := time.NewTicker(n.cfg.GossipInterval)
	defer ticker.Stop()
	var others []string
	var listed *controlplane.State // the state from which others was computed
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		current, state := n.currentState()
		if current.Number == 0 {
			continue
		}
		if state != listed {
			others, listed = otherMembers(state, n.cfg.Name), state
		}
		n.router.ApplyObservations(func(own []mb.LearnedCircuit) []mb.LearnedCircuit {
			n.observations.mu.Lock()
			defer n.observations.mu.Unlock()
			n.observations.store.SetEpoch(current.Number)
			n.observations.store.Expire(n.now(), inFleet(state))
			n.observations.gossip.Enqueue(len(others)+1, n.observations.store.LocalUpdates(n.now(), own)...)
			return n.observations.store.Advice(n.now(), own)
		})
		n.observations.mu.Lock()
		pushes := n.observations.gossip.Tick(n.now(), others)
		gone := func(name string, _ time.Time) bool { m := state.Members[name]; return m == nil || !m.Alive }
		maps.DeleteFunc(n.observations.unanswered, gone)
		maps.DeleteFunc(n.observations.warnedAt, gone)
		for _, p := range pushes {
			if n.observations.pushing[p.To] {
				continue // the previous push is still under way; gossip through others and the comparisons reach this member
			}
			n.observations.pushing[p.To] = true
			n.tasks.Go(func() error {
				n.pushTo(ctx, current, p, state.Members[p.To].Address)
				return nil
			})
		}
		n.observations.mu.Unlock()
	}
}

// otherMembers returns the names of the alive members except one, in order.
func otherMembers(state *controlplane.State, name string) (out []string) {
	for _, other := range state.Names() {
		if other != name && state.Members[other].Alive {
			out = append(out, other)
		}
	}
	return out
}

// pushTo sends observations to one member.
func (n *Node) pushTo(ctx context.Context, current controlplane.Incarnation, p observation.Push, address string) {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var a GossipReply
	err := n.peers.At(address).Call(call, "Facts.Push", GossipRequest{From: current, Facts: p.Facts, Compare: p.Compare, Digest: p.Digest}, &a)
	n.observations.mu.Lock()
	delete(n.observations.pushing, p.To)
	if _, already := n.observations.unanswered[p.To]; err == nil {
		delete(n.observations.unanswered, p.To)
	} else if !already && ctx.Err() == nil {
		n.observations.unanswered[p.To] = time.Now()
	}
	n.observations.mu.Unlock()
	n.addObservations(p.To, a.Facts)
}

// newObservations returns the state of a member without observations.
func newObservations(cfg Config) observations {
	store := observation.NewStore(observation.Config{Name: cfg.Name, HalfLife: cfg.ObservationHalfLife, MaxRetryAfter: cfg.DedupWindow, MaxKeys: maxObservationKeys})
	return observations{
		store: store, gossip: observation.NewGossip(store, rand.Uint64()), pushing: map[string]bool{}, unanswered: map[string]time.Time{},
		warnedAt: map[string]time.Time{},
	}
}

// ObservationStatus holds a member's observations of destinations, its own and those of others.
type ObservationStatus struct {
	Facts  []observation.Record `json:"facts"`
	Heeded []mb.LearnedCircuit  `json:"heeded"` // what the decision module is given in addition to what this member observes itself
	Counts observation.Counts   `json:"counts"`
}

// Facts returns this member's observations.
func (s statusRPC) Facts(_ bool, out *ObservationStatus) error {
	s.n.router.ApplyObservations(func(own []mb.LearnedCircuit) []mb.LearnedCircuit {
		s.n.observations.mu.Lock()
		defer s.n.observations.mu.Unlock()
		now := s.n.now()
		advice := s.n.observations.store.Advice(now, own)
		*out = ObservationStatus{Facts: s.n.observations.store.Records(now), Heeded: advice, Counts: s.n.observations.store.Counts}
		return advice
	})
	return nil
}
