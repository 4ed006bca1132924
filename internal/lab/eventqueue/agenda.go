// Package eventqueue is a priority queue of events in virtual time.
package eventqueue

import (
	"cmp"
	"container/heap"
	"time"
)

// Queue is what is still to happen. Moments that are equal keep the order in which they were told.
type Queue struct {
	seq   uint64
	queue eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (q eventHeap) Len() int { return len(q) }
func (q eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventHeap) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventHeap) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// Schedule has something happen at a moment.
func (a *Queue) Schedule(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.queue, event{t, a.seq, do})
}

// Next gives what happens next, and when. False says that nothing is left up to the end.
func (a *Queue) Next(end time.Duration) (at time.Duration, do func(), some bool) {
	if len(a.queue) == 0 || a.queue[0].at > end {
		return 0, nil, false
	}
	e := heap.Pop(&a.queue).(event)
	return e.at, e.do, true
}

// Scheduled is how many things it was told of.
func (a *Queue) Scheduled() uint64 { return a.seq }
