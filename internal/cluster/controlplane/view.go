package controlplane

import (
	"time"

	"mulleinbeam/internal/cluster/changelog"
)

// View is what a member knows of what is decided: the whole of it as of one version, which never goes backwards. It is not safe for
// concurrent use.
type View struct {
	replica *changelog.Replica[Item]
	state   *State
}

// NewView knows nothing yet, and is to know everything.
func NewView() *View { return NewViewOf(SelectAll) }

// NewViewOf knows nothing yet, and is to know what a selector says.
func NewViewOf(s changelog.Selector) *View {
	return &View{replica: changelog.NewReplica[Item](s), state: NewState()}
}

// State is what is known; it is never changed.
func (v *View) State() *State { return v.state }

// Watch is what is asked for next.
func (v *View) Watch() *Watch {
	return &Watch{Cursor: v.replica.Cursor(), Selector: v.replica.Selector()}
}

// Apply takes an answer. It says whether the state is another one now, and whether a further piece is to be asked for. An error says that the
// answer changed nothing: it was late or doubled, contradicted itself, or came from a source that knows less.
func (v *View) Apply(c *Changes) (changed, more bool, err error) {
	if c == nil {
		return false, false, nil
	}
	change, err := v.replica.Apply(*c)
	if change == nil {
		return false, err == nil, err
	}
	v.state = v.state.With(v.replica.Revision(), change)
	return true, false, nil
}

// Lease is a member's side of its lease. Whoever carried a renewal, stopped it, or answers an earlier one: a lease counts from when the
// member itself sent the renewal that is answered, which is before the leader booked it. It is not safe for concurrent use.
type Lease struct {
	Length   time.Duration
	sequence uint64
	sent     time.Duration
}

// Renewal is what is asked for at a moment of the member's own clock. An earlier one counts no longer.
func (l *Lease) Renewal(now time.Duration, life Incarnation) Request {
	l.sequence++
	l.sent = now
	return Request{Renew: &life, Sequence: l.sequence}
}

// Granted says until when the life may act by an answer. False: the answer is to another renewal, or grants nothing.
func (l *Lease) Granted(r Response) (until time.Duration, ok bool) {
	return l.sent + l.Length, r.Granted && r.Sequence == l.sequence
}
