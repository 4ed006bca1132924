package replication

import "mulleinbeam/internal/cluster/controlplane"

// Doing is what a takeover wants done next; the answer to it is the event of its name.
type Doing int

// What a takeover wants done, in this order. Nothing of an ended life is acted for before the council's word that it is this
// one's; until then it stands beside what is held, and whoever takes this life over in turn leaves it to others.
const (
	Gather Doing = iota // merge the copies that can be reached
	Adopt               // take on what they say, under the ended life's name, without acting for it
	Wait                // until those who keep copies of this life hold that too
	Decide              // ask the council to say that it is this life's
	Act                 // for it
	Undo                // what was taken on
	Stop                // nothing more is to be done
)

// Takeover is the taking over of one ended life by one that lives, as a state machine.
type Takeover struct {
	Life, Taker controlplane.Incarnation
	doing       Doing
	failed      bool
}

// NewTakeover begins one that the council has assigned.
func NewTakeover(life, taker controlplane.Incarnation) *Takeover {
	return &Takeover{Life: life, Taker: taker}
}

// Doing says what is to be done now.
func (t *Takeover) Doing() Doing { return t.doing }

// Failed says that it has stopped without having anything, and may be begun again.
func (t *Takeover) Failed() bool { return t.failed }

// Gathered says whether there was a copy that counts.
func (t *Takeover) Gathered(found bool) {
	if t.doing = Adopt; !found {
		t.doing, t.failed = Stop, true
	}
}

// Adopted says whether all of it was taken on; if not, nothing of it was.
func (t *Takeover) Adopted(ok bool) {
	if t.doing = Wait; !ok {
		t.doing, t.failed = Stop, true
	}
}

// Held says whether everybody who counts has it; if that will not be known in this life, it is taken back.
func (t *Takeover) Held(ok bool) {
	if t.doing = Decide; !ok {
		t.doing = Undo
	}
}

// Decided tells the council's word. Where nobody knows it, what was taken on stays, not acted for, and a further try asks again.
func (t *Takeover) Decided(known, done bool) {
	switch {
	case !known:
		t.doing, t.failed = Stop, true
	case done:
		t.doing = Act
	default:
		t.doing = Undo
	}
}

// Acted says whether this life could still act; if not, what it goes on with, or its next life, does.
func (t *Takeover) Acted(ok bool) { t.doing, t.failed = Stop, !ok }

// Undone ends one that has come to nothing.
func (t *Takeover) Undone() { t.doing, t.failed = Stop, true }
