package cluster

import (
	"bytes"
	"container/heap"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/cluster/council"
	"mulleinbeam/internal/cluster/facts"
	"mulleinbeam/internal/cluster/node"
)

// Spreading plays how facts spread in a fleet of a size, in virtual time, with the program's own books.
type Spreading struct {
	Members int
	Seers   int           // members that a partner tells to wait, at one moment
	Delay   time.Duration // one way, from half of it to one and a half
	Loss    float64       // of pushes and answers
	Beat    time.Duration
	Length  time.Duration
	Seed    uint64
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

// delivery is one message on its way, or a member's beat.
type delivery struct {
	at   time.Duration
	to   int
	from int
	push *node.FactsPush // nil is a beat, or an answer
	answ []facts.Fact
	beat bool
}

type agenda []delivery

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(delivery)) }
func (a *agenda) Pop() any {
	old := *a
	d := old[len(old)-1]
	*a = old[:len(old)-1]
	return d
}

const toldWait = 30 * time.Second

// Run plays it.
func (s Spreading) Run() (out Spread, err error) {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	names := make([]string, s.Members)
	others := make([][]string, s.Members)
	number := map[string]int{}
	books, spreads := make([]*facts.Book, s.Members), make([]*facts.Spread, s.Members)
	var queue agenda
	for i := range s.Members {
		names[i] = fmt.Sprintf("forwarder-%04d", i)
		number[names[i]] = i
		books[i] = facts.NewBook(facts.Config{Name: names[i], Life: 1, HalfLife: 10 * time.Second, Longest: time.Minute, Keys: 4096})
		spreads[i] = facts.NewSpread(books[i], rng.Uint64())
		heap.Push(&queue, delivery{at: time.Duration(rng.Float64() * float64(s.Beat)), to: i, beat: true})
	}
	for i := range s.Members {
		for j := range s.Members {
			if i != j {
				others[i] = append(others[i], names[j])
			}
		}
	}
	var size bytes.Buffer
	enc := gob.NewEncoder(&size) // as a connection that has carried pushes before
	if err := errors.Join(enc.Encode(node.FactsPush{}), enc.Encode(node.FactsAnswer{})); err != nil {
		return out, err
	}
	perSecond := make([]float64, int(s.Length/time.Second)+1)
	sent := func(at time.Duration, v any) error {
		size.Reset()
		if err := enc.Encode(v); err != nil {
			return err
		}
		perSecond[int(at/time.Second)] += float64(size.Len()) + callHead
		return nil
	}
	delay := func() time.Duration { return time.Duration((0.5 + rng.Float64()) * float64(s.Delay)) }
	told := time.Second // when the partner speaks
	heeding := 0
	heeds := make([]bool, s.Members)
	out.Half, out.All = -1, -1
	note := func(i int, now time.Duration) {
		advice := books[i].Advice(now, nil)
		own := i < s.Seers && now >= told
		if !heeds[i] && (own || len(advice) > 0 && advice[0].Wait > 0) {
			heeds[i] = true
			if heeding++; heeding == (s.Members+1)/2 {
				out.Half = now - told
			}
			if heeding == s.Members {
				out.All = now - told
			}
		}
	}
	began := time.Now()
	for len(queue) > 0 {
		d := heap.Pop(&queue).(delivery)
		if d.at >= s.Length {
			break
		}
		i := d.to
		switch {
		case d.beat:
			heap.Push(&queue, delivery{at: d.at + s.Beat, to: i, beat: true})
			books[i].Forget(d.at, nil)
			if i < s.Seers && d.at >= told {
				seen := []mb.LearnedLane{{Destination: 7, Wait: max(0, told+toldWait-d.at), GuardFrom: -1, LastBad: -1, LastOK: -1}}
				spreads[i].Tell(s.Members, books[i].Own(d.at, seen)...)
			}
			note(i, d.at)
			for _, p := range spreads[i].Beat(d.at, others[i]) {
				push := node.FactsPush{From: council.Life{Name: names[i], Number: 1}, Facts: p.Facts, Compare: p.Compare, Digest: p.Digest}
				if err := sent(d.at, push); err != nil {
					return out, err
				}
				if rng.Float64() >= s.Loss {
					heap.Push(&queue, delivery{at: d.at + delay(), to: number[p.To], from: i, push: &push})
				}
			}
		default:
			list := d.answ
			if d.push != nil {
				list = d.push.Facts
			}
			for _, f := range list {
				if news, _ := books[i].Take(d.at, f); news {
					spreads[i].Tell(s.Members, f)
				}
			}
			out.Largest = max(out.Largest, len(books[i].All(d.at)))
			if d.push == nil {
				continue
			}
			var a node.FactsAnswer
			if d.push.Compare && d.push.Digest != books[i].Digest(d.at) {
				a.Facts = books[i].All(d.at)
			}
			if err := sent(d.at, a); err != nil {
				return out, err
			}
			if len(a.Facts) > 0 && rng.Float64() >= s.Loss {
				heap.Push(&queue, delivery{at: d.at + delay(), to: d.from, from: i, answ: a.Facts})
			}
		}
	}
	n := float64(s.Members)
	for _, b := range perSecond {
		out.Bytes += b / n / s.Length.Seconds()
		out.Burst = math.Max(out.Burst, b/n)
	}
	out.Quiet = perSecond[len(perSecond)-2] / n
	out.CPU = time.Duration(float64(time.Since(began)) / n / s.Length.Seconds())
	return out, nil
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
