// Package eventqueue is a priority queue of events in virtual time.
package eventqueue

import (
	"cmp"
	"container/heap"
	"time"
)

// Agenda is what is still to happen. Moments that are equal keep the order in which they were told.
type Agenda struct {
	seq   uint64
	queue queue
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// At has something happen at a moment.
func (a *Agenda) At(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.queue, event{t, a.seq, do})
}

// Next gives what happens next, and when. False says that nothing is left up to the end.
func (a *Agenda) Next(end time.Duration) (at time.Duration, do func(), some bool) {
	if len(a.queue) == 0 || a.queue[0].at > end {
		return 0, nil, false
	}
	e := heap.Pop(&a.queue).(event)
	return e.at, e.do, true
}

// Told is how many things it was told of.
func (a *Agenda) Told() uint64 { return a.seq }
