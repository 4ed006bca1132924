package controlplane

import (
	"container/heap"
	"time"
)

// Leases is a leader's record of the leases it has granted. An incarnation counts its lease, on its own clock, from the
// moment it sent the renewal request. The leader counts from the arrival of the request, which is later, and adds a
// margin for clocks that run at different speeds. So an incarnation that the leader may fence has already stopped
// acting.
//
// A leader grants a lease only after a majority has confirmed, after the request arrived, that it still leads, and only
// once it has applied everything committed before its term. The last grants of an earlier leader therefore belong to
// requests that arrived before this leader was elected, and have expired one lease duration after that.
type Leases struct {
	Lease  time.Duration
	Margin time.Duration

	elected   time.Duration
	leads     bool
	renewed   map[Incarnation]time.Duration // time of the latest renewal request
	fencing   map[Incarnation]bool          // a command to fence it was proposed during this leadership
	deadlines deadlines
}

// deadline is when to check the lease of an incarnation.
type deadline struct {
	incarnation Incarnation
	at          time.Duration
}

// deadlines is a min-heap ordered by time.
type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// Track makes Expired return an incarnation once its lease is over. A renewal does not update the heap: Expired
// computes the actual expiry when the deadline passes.
func (l *Leases) Track(incarnation Incarnation) { l.TrackAt(incarnation, l.Expiry(incarnation)) }

// TrackAt makes Expired check an incarnation at a given time.
func (l *Leases) TrackAt(incarnation Incarnation, at time.Duration) {
	heap.Push(&l.deadlines, deadline{incarnation, at})
}

// Expired returns the incarnations whose leases are over, and stops tracking them.
func (l *Leases) Expired(now time.Duration) (out []Incarnation) {
	for len(l.deadlines) > 0 && l.deadlines[0].at <= now {
		incarnation := heap.Pop(&l.deadlines).(deadline).incarnation
		if over := l.Expiry(incarnation); over > now {
			l.TrackAt(incarnation, over)
			continue
		}
		out = append(out, incarnation)
	}
	return out
}

// Elected starts a leadership.
func (l *Leases) Elected(now time.Duration) {
	l.elected, l.leads = now, true
	l.renewed, l.fencing, l.deadlines = map[Incarnation]time.Duration{}, map[Incarnation]bool{}, nil
}

// Deposed ends the leadership.
func (l *Leases) Deposed() { l.leads = false }

// Leads reports whether this process is the leader.
func (l *Leases) Leads() bool { return l.leads }

// Renew records a lease renewal request, and returns false if the lease must not be granted.
func (l *Leases) Renew(now time.Duration, incarnation Incarnation) bool {
	if !l.leads || l.fencing[incarnation] {
		return false
	}
	l.renewed[incarnation] = now
	return true
}

// Expiry returns when an incarnation's lease has certainly ended, unless it is renewed.
func (l *Leases) Expiry(incarnation Incarnation) time.Duration {
	return max(l.elected, l.renewed[incarnation]) + l.Lease + l.Margin
}

// MayFence reports whether the fencing of an incarnation may be proposed. If so, the incarnation gets no further lease,
// since the proposal may be committed much later.
func (l *Leases) MayFence(now time.Duration, incarnation Incarnation) bool {
	if !l.leads || now < l.Expiry(incarnation) {
		return false
	}
	l.fencing[incarnation] = true
	return true
}

// Forget drops incarnations that have been fenced.
func (l *Leases) Forget(alive func(Incarnation) bool) {
	for incarnation := range l.renewed {
		if !alive(incarnation) {
			delete(l.renewed, incarnation)
		}
	}
	for incarnation := range l.fencing {
		if !alive(incarnation) {
			delete(l.fencing, incarnation)
		}
	}
}
