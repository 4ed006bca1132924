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

// Spreading plays how facts spread in a fleet of a size, in virtual time, with the program's own books.
type Spreading struct {
	Members int
	Seers   int // members that a partner tells to wait, at one moment
	// Destinations is how many tell them to wait; 0 is one.
	Destinations int
	Delay        time.Duration // one way, from half of it to one and a half
	Loss         float64       // of pushes and answers
	Beat         time.Duration
	Length       time.Duration
	Seed         uint64
}

// Spread is what came of it.
type Spread struct {
	Half, All time.Duration // until so many members heeded the wait; below zero is not within the length
	Bytes     float64       // sent a second by a member, on average over the length, as the links encode them
	Burst     float64       // and in the busiest second
	Quiet     float64       // and in the last second
	Largest   int           // facts in one book, at the most
	CPU       time.Duration // of this machine, a member and virtual second
}

const toldWait = 30 * time.Second

// spreading is one play.
type spreading struct {
	Spreading
	Spread
	agenda  eventqueue.Queue
	rng     *rand.Rand
	names   []string
	number  map[string]int
	books   []*observation.Store
	spreads []*observation.Gossip
	size    bytes.Buffer
	enc     *gob.Encoder // as a connection that has carried pushes before
	sent    []float64    // bytes, by second
	heeds   []bool
	heeding int
	err     error
}

const toldAt = time.Second // when the partner speaks

// Run plays it.
func (s Spreading) Run() (Spread, error) {
	p := &spreading{
		Spreading: s, Spread: Spread{Half: -1, All: -1}, rng: rand.New(rand.NewPCG(s.Seed, 1)), number: map[string]int{},
		sent: make([]float64, int(s.Length/time.Second)+1), heeds: make([]bool, s.Members),
	}
	p.enc = gob.NewEncoder(&p.size)
	if err := errors.Join(p.enc.Encode(node.GossipRequest{}), p.enc.Encode(node.GossipReply{})); err != nil {
		return Spread{}, err
	}
	for i := range s.Members {
		name := fmt.Sprintf("forwarder-%04d", i)
		book := observation.NewStore(observation.Config{Name: name, Epoch: 1, HalfLife: 10 * time.Second, MaxRetryAfter: time.Minute, MaxKeys: 4096})
		p.names, p.number[name] = append(p.names, name), i
		p.books, p.spreads = append(p.books, book), append(p.spreads, observation.NewGossip(book, p.rng.Uint64()))
	}
	for i := range s.Members {
		others := slices.DeleteFunc(slices.Clone(p.names), func(name string) bool { return name == p.names[i] })
		p.beatAt(time.Duration(p.rng.Float64()*float64(s.Beat)), i, others)
	}
	began := time.Now()
	for p.err == nil {
		_, do, some := p.agenda.Next(s.Length - 1)
		if !some {
			break
		}
		do()
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

// beatAt has a member tell at a moment, and then beat for beat.
func (p *spreading) beatAt(now time.Duration, i int, others []string) {
	p.agenda.Schedule(now, func() {
		p.beatAt(now+p.Beat, i, others)
		p.books[i].Expire(now, nil)
		if i < p.Seers && now >= toldAt {
			p.spreads[i].Enqueue(p.Members, p.books[i].LocalUpdates(now, p.seen(now))...)
		}
		p.note(i, now)
		for _, push := range p.spreads[i].Tick(now, others) {
			what := node.GossipRequest{From: controlplane.Incarnation{Name: p.names[i], Number: 1}, Facts: push.Facts, Compare: push.Compare, Digest: push.Digest}
			p.send(now, what, func(at time.Duration) { p.pushed(at, p.number[push.To], i, what) })
		}
	})
}

// seen is what a member that was told to wait shows of it.
func (p *spreading) seen(now time.Duration) (out []mb.LearnedCircuit) {
	for d := range mb.DestinationID(max(1, p.Destinations)) {
		out = append(out, mb.LearnedCircuit{Destination: 7 + d, Wait: max(0, toldAt+toldWait-now), GuardFrom: -1, LastBad: -1, LastOK: -1})
	}
	return out
}

// pushed is a push that has come; its answer goes back.
func (p *spreading) pushed(now time.Duration, to, from int, push node.GossipRequest) {
	p.take(now, to, push.Facts)
	var a node.GossipReply
	if push.Compare && push.Digest != p.books[to].Digest(now) {
		a.Facts = p.books[to].Records(now)
	}
	p.send(now, a, func(at time.Duration) { p.take(at, from, a.Facts) })
}

// take has a member hear facts.
func (p *spreading) take(now time.Duration, i int, list []observation.Record) {
	for _, f := range list {
		if news, _ := p.books[i].Add(now, f); news {
			p.spreads[i].Enqueue(p.Members, f)
		}
	}
	p.Largest = max(p.Largest, len(p.books[i].Records(now)))
}

// send counts what goes out, and has it come a little later, if it is not lost.
func (p *spreading) send(now time.Duration, what any, come func(at time.Duration)) {
	p.size.Reset()
	if err := p.enc.Encode(what); err != nil {
		p.err = err
		return
	}
	p.sent[int(now/time.Second)] += float64(p.size.Len()) + callHead
	if p.rng.Float64() >= p.Loss {
		at := now + time.Duration((0.5+p.rng.Float64())*float64(p.Delay))
		p.agenda.Schedule(at, func() { come(at) })
	}
}

// note books when a member heeds the wait for the first time.
func (p *spreading) note(i int, now time.Duration) {
	advice := p.books[i].Advice(now, nil)
	if own := i < p.Seers && now >= toldAt; p.heeds[i] || !own && (len(advice) == 0 || advice[0].Wait <= 0) {
		return
	}
	p.heeds[i] = true
	if p.heeding++; p.heeding == (p.Members+1)/2 {
		p.Half = now - toldAt
	}
	if p.heeding == p.Members {
		p.All = now - toldAt
	}
}

// callHead is what a call's or an answer's head takes beside its content, in bytes.
const callHead = 24

// MeasureSpread plays sizes of fleets, over seeds, and prints the middle of each figure.
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
			fmt.Fprintf(out, "%5d members, %4d told to wait: known by half after %3d ms, by all after %4d ms at the most (%d of %d not within the play); a member sends %5.0f B/s, in the busiest second %6.0f, before and after %4.0f; %d facts kept; %v of processor a member and second\n",
				n, seers, int(half.Milliseconds())/seeds, all.Milliseconds(), missed, seeds, total/k, burst, quiet/k, largest, (cpu / time.Duration(seeds)).Round(time.Microsecond))
		}
	}
	return nil
}
