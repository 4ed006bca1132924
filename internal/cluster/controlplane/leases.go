package controlplane

import (
	"container/heap"
	"time"
)

// Leases is what a leader knows of the lives that may act. A life's lease runs, on its own clock, from the moment at which it
// asked; the leader counts it from when the asking came, which is later, and adds a margin for clocks that run unevenly. So a
// life that the leader may end has stopped acting for itself already.
//
// A leader answers only when a majority has confirmed, after the asking came, that it still leads, and only once it has
// applied all that was decided before its time. An earlier leader's last answers therefore belong to askings that came before
// this one was elected, and a lease's time after that they are over as well.
type Leases struct {
	Lease  time.Duration
	Margin time.Duration

	elected time.Duration
	leads   bool
	seen    map[Incarnation]time.Duration // latest asking
	ending  map[Incarnation]bool          // its end was proposed in this leadership
	due     deadlines
}

// deadline is when a life is to be looked at.
type deadline struct {
	life Incarnation
	at   time.Duration
}

// deadlines is a heap of them, the earliest first.
type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push is heap.Interface's.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop is heap.Interface's.
func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// Track has Due give a life once its lease is over. A renewal costs nothing here: what is due is looked up only when it may be.
func (l *Leases) Track(life Incarnation) { l.TrackAt(life, l.Expiry(life)) }

// TrackAt has Due look at a life at a moment.
func (l *Leases) TrackAt(life Incarnation, at time.Duration) { heap.Push(&l.due, deadline{life, at}) }

// Expired gives lives whose leases are over, and tracks them no longer.
func (l *Leases) Expired(now time.Duration) (out []Incarnation) {
	for len(l.due) > 0 && l.due[0].at <= now {
		life := heap.Pop(&l.due).(deadline).life
		if over := l.Expiry(life); over > now {
			l.TrackAt(life, over)
			continue
		}
		out = append(out, life)
	}
	return out
}

// Elected begins a leadership.
func (l *Leases) Elected(now time.Duration) {
	l.elected, l.leads = now, true
	l.seen, l.ending, l.due = map[Incarnation]time.Duration{}, map[Incarnation]bool{}, nil
}

// Deposed ends it.
func (l *Leases) Deposed() { l.leads = false }

// Leads says whether there is a leadership.
func (l *Leases) Leads() bool { return l.leads }

// Renew books that a life asks for its lease; false says that it gets none.
func (l *Leases) Renew(now time.Duration, life Incarnation) bool {
	if !l.leads || l.ending[life] {
		return false
	}
	l.seen[life] = now
	return true
}

// Expiry is when a life's lease has certainly ended, unless it asks again.
func (l *Leases) Expiry(life Incarnation) time.Duration {
	return max(l.elected, l.seen[life]) + l.Lease + l.Margin
}

// MayFence says whether a life's end may be proposed, and that it gets no lease any more if so: what was proposed may be decided
// long after.
func (l *Leases) MayFence(now time.Duration, life Incarnation) bool {
	if !l.leads || now < l.Expiry(life) {
		return false
	}
	l.ending[life] = true
	return true
}

// Forget drops lives that are over.
func (l *Leases) Forget(alive func(Incarnation) bool) {
	for life := range l.seen {
		if !alive(life) {
			delete(l.seen, life)
		}
	}
	for life := range l.ending {
		if !alive(life) {
			delete(l.ending, life)
		}
	}
}
