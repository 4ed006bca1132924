package replication

import "mulleinbeam/internal/cluster/controlplane"

// TakeoverStep is the next action of a takeover. Its result is reported by the method named after it.
type TakeoverStep int

// The steps of a takeover, in this order. The successor acts on no message of the fenced incarnation before the control
// plane has assigned these messages to it. Until then they are staged apart from its own, and if the successor is
// fenced too, the forwarder that takes over from it leaves them to others.
const (
	Gather    TakeoverStep = iota // merge the reachable replicas of the fenced incarnation
	Stage                         // add the messages under the fenced incarnation's name, without acting on them
	Replicate                     // wait until the successor's in-sync replicas have them too
	Commit                        // ask the control plane to assign the messages to the successor
	Activate                      // start acting on the messages
	Discard                       // remove the staged messages
	Done                          // nothing is left to do
)

// Takeover is the state machine by which a live incarnation takes over the messages of a fenced one.
type Takeover struct {
	// Ended is the fenced incarnation.
	Ended, Successor controlplane.Incarnation
	step             TakeoverStep
	failed           bool
}

// NewTakeover starts a takeover that the control plane has assigned.
func NewTakeover(fenced, successor controlplane.Incarnation) *Takeover {
	return &Takeover{Ended: fenced, Successor: successor}
}

// Step returns the action to take now.
func (t *Takeover) Step() TakeoverStep { return t.step }

// Failed reports whether the takeover has stopped without activating anything. It may be started again.
func (t *Takeover) Failed() bool { return t.failed }

// Gathered records whether an in-sync replica was found.
func (t *Takeover) Gathered(found bool) {
	if t.step = Stage; !found {
		t.step, t.failed = Done, true
	}
}

// Staged records whether all messages were staged; ok is false if none were.
func (t *Takeover) Staged(ok bool) {
	if t.step = Replicate; !ok {
		t.step, t.failed = Done, true
	}
}

// Replicated records whether all in-sync replicas of the successor have the staged messages. If this incarnation will
// never know, the messages are discarded.
func (t *Takeover) Replicated(ok bool) {
	if t.step = Commit; !ok {
		t.step = Discard
	}
}

// Committed records the control plane's decision. If the decision is not known, the messages stay staged and inactive,
// and the next attempt asks again.
func (t *Takeover) Committed(known, done bool) {
	switch {
	case !known:
		t.step, t.failed = Done, true
	case done:
		t.step = Activate
	default:
		t.step = Discard
	}
}

// Activated records whether the successor was still allowed to act. If it was not, the messages are activated when it
// may act again, or by its next incarnation.
func (t *Takeover) Activated(ok bool) { t.step, t.failed = Done, !ok }

// Discarded records that the staged messages were removed, which ends the takeover as failed.
func (t *Takeover) Discarded() { t.step, t.failed = Done, true }
