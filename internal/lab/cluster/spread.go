package cluster

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/cluster/observation"
	"mulleinbeam/internal/lab/eventqueue"
)

// Spreading simulates gossip of observations in a fleet in virtual time, with the program's observation store.
type Spreading struct {
	Members int
	Seers   int // members that receive a Retry-After from a partner at the same time
	// Destinations is the number of destinations that send a Retry-After; 0 means one.
	Destinations int
	Delay        time.Duration // mean one-way delay; uniform from 0.5 to 1.5 times it
	Loss         float64       // loss probability of pushes and replies
	Beat         time.Duration
	Length       time.Duration
	Seed         uint64
}

// Spread is the result of a simulation.
type Spread struct {
	Half, All time.Duration // until half and all of the members heeded the Retry-After; negative if not within the length
	Bytes     float64       // mean bytes per second sent by a member, in the encoding of the links
	Burst     float64       // bytes per member in the busiest second
	Quiet     float64       // bytes per member in the last second
	Largest   int           // most observations in one store
	CPU       time.Duration // of this machine, per member and virtual second
}

const retryAfter = 30 * time.Second

// gossipRun is the state of one simulation.
type gossipRun struct {
	Spreading
	Spread
	queue           eventqueue.Queue
	rng             *rand.Rand
	names           []string
	number          map[string]int
	stores          []*observation.Store
	gossips         []*observation.Gossip
	size            bytes.Buffer
	enc             *gob.Encoder // with type information already sent, as on a used connection
	sent            []float64    // bytes per virtual second
	informed        []bool
	informedMembers int
	err             error
}

const retryAfterAt = time.Second // when the partner sends the Retry-After

// Run runs the simulation.
func (s Spreading) Run() (Spread, error) {
	p := &gossipRun{
		Spreading: s, Spread: Spread{Half: -1, All: -1}, rng: rand.New(rand.NewPCG(s.Seed, 1)), number: map[string]int{},
		sent: make([]float64, int(s.Length/time.Second)+1), informed: make([]bool, s.Members),
	}
	p.enc = gob.NewEncoder(&p.size)
	if err := errors.Join(p.enc.Encode(node.GossipRequest{}), p.enc.Encode(node.GossipReply{})); err != nil {
		return Spread{}, err
	}
	for i := range s.Members {
		name := fmt.Sprintf("forwarder-%04d", i)
		store := observation.NewStore(observation.Config{Name: name, Epoch: 1, HalfLife: 10 * time.Second, MaxRetryAfter: time.Minute, MaxKeys: 4096})
		p.names, p.number[name] = append(p.names, name), i
		p.stores, p.gossips = append(p.stores, store), append(p.gossips, observation.NewGossip(store, p.rng.Uint64()))
	}
	for i := range s.Members {
		others := slices.DeleteFunc(slices.Clone(p.names), func(name string) bool { return name == p.names[i] })
		p.scheduleTick(time.Duration(p.rng.Float64()*float64(s.Beat)), i, others)
	}
	began := time.Now()
	for p.err == nil {
		_, run, ok := p.queue.Next(s.Length - 1)
		if !ok {
			break
		}
		run()
	}
	n := float64(s.Members)
	for _, b := range p.sent {
		p.Bytes += b / n / s.Length.Seconds()
		p.Burst = math.Max(p.Burst, b/n)
	}
	p.Quiet = p.sent[len(p.sent)-2] / n
	p.CPU = time.Duration(float64(time.Since(began)) / n / s.Length.Seconds())
	return p.Spread, p.err
}

// scheduleTick schedules the next gossip round of a member, which schedules the one after it.
func (p *gossipRun) scheduleTick(now time.Duration, i int, others []string) {
	p.queue.Schedule(now, func() {
		p.scheduleTick(now+p.Beat, i, others)
		p.stores[i].Expire(now, nil)
		if i < p.Seers && now >= retryAfterAt {
			p.gossips[i].Enqueue(p.Members, p.stores[i].LocalUpdates(now, p.localCircuits(now))...)
		}
		p.recordInformed(i, now)
		for _, push := range p.gossips[i].Tick(now, others) {
			request := node.GossipRequest{From: controlplane.Incarnation{Name: p.names[i], Number: 1}, Facts: push.Facts, Compare: push.Compare, Digest: push.Digest}
			p.send(now, request, func(at time.Duration) { p.receivePush(at, p.number[push.To], i, request) })
		}
	})
}

// localCircuits returns the circuits of a member that received the Retry-After.
func (p *gossipRun) localCircuits(now time.Duration) (out []mb.LearnedCircuit) {
	for d := range mb.DestinationID(max(1, p.Destinations)) {
		out = append(out, mb.LearnedCircuit{Destination: 7 + d, Wait: max(0, retryAfterAt+retryAfter-now), GuardFrom: -1, LastBad: -1, LastOK: -1})
	}
	return out
}

// receivePush handles a push and sends the reply.
func (p *gossipRun) receivePush(now time.Duration, to, from int, push node.GossipRequest) {
	p.receive(now, to, push.Facts)
	var a node.GossipReply
	if push.Compare && push.Digest != p.stores[to].Digest(now) {
		a.Facts = p.stores[to].Records(now)
	}
	p.send(now, a, func(at time.Duration) { p.receive(at, from, a.Facts) })
}

// receive adds observations to the store of a member.
func (p *gossipRun) receive(now time.Duration, i int, list []observation.Record) {
	for _, f := range list {
		if isNew, _ := p.stores[i].Add(now, f); isNew {
			p.gossips[i].Enqueue(p.Members, f)
		}
	}
	p.Largest = max(p.Largest, len(p.stores[i].Records(now)))
}

// send counts the bytes of a message and schedules its arrival unless it is lost.
func (p *gossipRun) send(now time.Duration, payload any, deliver func(at time.Duration)) {
	p.size.Reset()
	if err := p.enc.Encode(payload); err != nil {
		p.err = err
		return
	}
	p.sent[int(now/time.Second)] += float64(p.size.Len()) + callHeaderBytes
	if p.rng.Float64() >= p.Loss {
		at := now + time.Duration((0.5+p.rng.Float64())*float64(p.Delay))
		p.queue.Schedule(at, func() { deliver(at) })
	}
}

// recordInformed records the time at which a member first heeds the Retry-After.
func (p *gossipRun) recordInformed(i int, now time.Duration) {
	advice := p.stores[i].Advice(now, nil)
	if own := i < p.Seers && now >= retryAfterAt; p.informed[i] || !own && (len(advice) == 0 || advice[0].Wait <= 0) {
		return
	}
	p.informed[i] = true
	if p.informedMembers++; p.informedMembers == (p.Members+1)/2 {
		p.Half = now - retryAfterAt
	}
	if p.informedMembers == p.Members {
		p.All = now - retryAfterAt
	}
}

// callHeaderBytes is the size of the header of a call or reply.
const callHeaderBytes = 24

// MeasureSpread runs simulations for fleet sizes and seeds and prints means, or maxima where the label says so.
func MeasureSpread(sizes []int, seeds int, loss float64, out io.Writer) error {
	for _, n := range sizes {
		for _, seers := range []int{2, max(2, n/4)} {
			var half, all, cpu time.Duration
			var total, burst, quiet float64
			largest, missed := 0, 0
			for seed := range seeds {
				r, err := Spreading{Members: n, Seers: seers, Delay: time.Millisecond, Loss: loss, Beat: 100 * time.Millisecond, Length: 15 * time.Second, Seed: uint64(seed + 1)}.Run()
				if err != nil {
					return err
				}
				if r.All < 0 {
					missed++
				}
				half, all, cpu = half+max(0, r.Half), max(all, r.All), cpu+r.CPU
				total, burst, quiet, largest = total+r.Bytes, max(burst, r.Burst), quiet+r.Quiet, max(largest, r.Largest)
			}
			k := float64(seeds)
			fmt.Fprintf(out, "%5d members, %4d with a Retry-After: known by half after %3d ms, by all after %4d ms at most (%d of %d not within the simulated time); a member sends %5.0f B/s, in the busiest second %6.0f, before and after %4.0f; %d observations per store; %v of CPU per member and second\n",
				n, seers, int(half.Milliseconds())/seeds, all.Milliseconds(), missed, seeds, total/k, burst, quiet/k, largest, (cpu / time.Duration(seeds)).Round(time.Microsecond))
		}
	}
	return nil
}
