package controlplane

import (
	"time"

	"mulleinbeam/internal/cluster/changelog"
)

// View is what a member knows of the committed state: a consistent copy as of one version, which never goes backwards.
// It is not safe for concurrent use.
type View struct {
	replica *changelog.Replica[Item]
	state   *State
}

// NewView returns an empty view of the whole state.
func NewView() *View { return NewViewOf(SelectAll) }

// NewViewOf returns an empty view of what a selector selects.
func NewViewOf(s changelog.Selector) *View {
	return &View{replica: changelog.NewReplica[Item](s), state: NewState()}
}

// State returns the current state, which is immutable.
func (v *View) State() *State { return v.state }

// Watch returns what to request next.
func (v *View) Watch() *Watch {
	return &Watch{Cursor: v.replica.Cursor(), Selector: v.replica.Selector()}
}

// Apply applies a response. It reports whether the state has changed, and whether another piece should be requested.
// After an error nothing has changed: the response was late, duplicated, malformed, or came from a source that is
// behind.
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

// Lease is a member's side of its lease. However a renewal was delayed or forwarded, the lease counts from when the
// member sent the renewal that is answered, which is before the leader recorded it. It is not safe for concurrent use.
type Lease struct {
	Length   time.Duration
	sequence uint64
	sent     time.Duration
}

// Renewal returns a renewal request, sent at now on the member's clock. It supersedes earlier ones.
func (l *Lease) Renewal(now time.Duration, incarnation Incarnation) Request {
	l.sequence++
	l.sent = now
	return Request{Renew: &incarnation, Sequence: l.sequence}
}

// Granted returns until when the incarnation may act. ok is false for responses to another renewal, and for refusals.
func (l *Lease) Granted(r Response) (until time.Duration, ok bool) {
	return l.sent + l.Length, r.Granted && r.Sequence == l.sequence
}
