package replication

import "mulleinbeam/internal/cluster/controlplane"

// TakeoverStep is what a takeover wants done next; the answer to it is the event of its name.
type TakeoverStep int

// What a takeover wants done, in this order. Nothing of an ended life is acted for before the council's word that it is this
// one's; until then it stands beside what is held, and whoever takes this life over in turn leaves it to others.
const (
	Gather    TakeoverStep = iota // merge the copies that can be reached
	Stage                         // take on what they say, under the ended life's name, without acting for it
	Replicate                     // until those who keep copies of this life hold that too
	Commit                        // ask the council to say that it is this life's
	Activate                      // for it
	Discard                       // what was taken on
	Done                          // nothing more is to be done
)

// Takeover is the taking over of one ended life by one that lives, as a state machine.
type Takeover struct {
	Ended, Successor controlplane.Incarnation
	doing            TakeoverStep
	failed           bool
}

// NewTakeover begins one that the council has assigned.
func NewTakeover(life, taker controlplane.Incarnation) *Takeover {
	return &Takeover{Ended: life, Successor: taker}
}

// Step says what is to be done now.
func (t *Takeover) Step() TakeoverStep { return t.doing }

// Failed says that it has stopped without having anything, and may be begun again.
func (t *Takeover) Failed() bool { return t.failed }

// Gathered says whether there was a copy that counts.
func (t *Takeover) Gathered(found bool) {
	if t.doing = Stage; !found {
		t.doing, t.failed = Done, true
	}
}

// Staged says whether all of it was taken on; if not, nothing of it was.
func (t *Takeover) Staged(ok bool) {
	if t.doing = Replicate; !ok {
		t.doing, t.failed = Done, true
	}
}

// Replicated says whether everybody who counts has it; if that will not be known in this life, it is taken back.
func (t *Takeover) Replicated(ok bool) {
	if t.doing = Commit; !ok {
		t.doing = Discard
	}
}

// Committed tells the council's word. Where nobody knows it, what was taken on stays, not acted for, and a further try asks again.
func (t *Takeover) Committed(known, done bool) {
	switch {
	case !known:
		t.doing, t.failed = Done, true
	case done:
		t.doing = Activate
	default:
		t.doing = Discard
	}
}

// Activated says whether this life could still act; if not, what it goes on with, or its next life, does.
func (t *Takeover) Activated(ok bool) { t.doing, t.failed = Done, !ok }

// Discarded ends one that has come to nothing.
func (t *Takeover) Discarded() { t.doing, t.failed = Done, true }
