// Package eventqueue is a priority queue of events in virtual time.
package eventqueue

import (
	"cmp"
	"container/heap"
	"time"
)

// Queue holds the events that are still due. Events that are due at the same time run in the order in which they were scheduled.
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

// Schedule adds an event: do is due at time t.
func (a *Queue) Schedule(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.queue, event{t, a.seq, do})
}

// Next removes the earliest event and returns its time and its function. It returns false if no event is due up to end.
func (a *Queue) Next(end time.Duration) (at time.Duration, do func(), some bool) {
	if len(a.queue) == 0 || a.queue[0].at > end {
		return 0, nil, false
	}
	e := heap.Pop(&a.queue).(event)
	return e.at, e.do, true
}

// Scheduled returns the number of events scheduled so far, including those that Next has removed.
func (a *Queue) Scheduled() uint64 { return a.seq }
