// Package eventqueue is a priority queue of events in virtual time.
package eventqueue

import (
	"cmp"
	"container/heap"
	"time"
)

// Queue holds the events that are still due. Events that are due at the same time run in the order in which they were
// scheduled.
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
func (q *Queue) Schedule(t time.Duration, do func()) {
	q.seq++
	heap.Push(&q.queue, event{t, q.seq, do})
}

// Next removes the earliest event and returns its time and its function. It returns false if no event is due up to end.
func (q *Queue) Next(end time.Duration) (at time.Duration, do func(), ok bool) {
	if len(q.queue) == 0 || q.queue[0].at > end {
		return 0, nil, false
	}
	e := heap.Pop(&q.queue).(event)
	return e.at, e.do, true
}

// Scheduled returns the number of events scheduled so far, including those that Next has removed.
func (q *Queue) Scheduled() uint64 { return q.seq }
