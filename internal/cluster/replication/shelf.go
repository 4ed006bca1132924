package replication

import (
	"maps"
	"slices"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/routing/wal"
)

// Kept is a record that a shelf wants on the disk: of a message under its number, of an id that is over under its text, or of the
// copy itself.
type Kept struct {
	Life    controlplane.Incarnation
	Index   uint64
	Payload []byte
	Message uint64 // 0 is none
	Past    string // "" is none
	Drop    bool   // the message, or the id, goes
	Fresh   bool   // everything kept of that life goes first
	Skew    time.Duration
}

// Held is a copy of one life's log.
type Held struct {
	Life    controlplane.Incarnation
	Have    uint64
	Content *wal.Copy
	// Skew is what is added to a time of the owner's wall clock to have it in the keeper's, at the least that was seen: batches
	// only come later than they are sent.
	Skew   time.Duration
	skewed bool
	doubt  bool // it differs from its owner's, and is replaced whole

	taking  uint64 // the snapshot under way,
	pieces  int    // and what has come of it
	shadow  []Record
	Unknown int // records of kinds that this version does not know; they are kept
}

// Shelf is a keeper's part: all copies that it has.
type Shelf struct {
	id     uint64
	copies map[controlplane.Incarnation]*Held
	ended  map[controlplane.Incarnation]bool // nothing is taken for them any more
}

// NewShelf is an empty one; id is drawn anew at each start.
func NewShelf(id uint64) *Shelf {
	return &Shelf{id: max(1, id), copies: map[controlplane.Incarnation]*Held{}, ended: map[controlplane.Incarnation]bool{}}
}

// ID tells this start of the keeper from others.
func (s *Shelf) ID() uint64 { return s.id }

// Restore takes a record back that an earlier start had kept, in the order in which they were.
func (s *Shelf) Restore(k Kept) {
	h := s.held(k.Life)
	if h.Have = max(h.Have, k.Index); !h.skewed || k.Skew < h.Skew {
		h.Skew, h.skewed = k.Skew, true
	}
	if len(k.Payload) > 0 && h.Content.Apply(k.Payload) != nil {
		h.Unknown++
	}
}

func (s *Shelf) held(life controlplane.Incarnation) *Held {
	h := s.copies[life]
	if h == nil {
		h = &Held{Life: life, Content: wal.NewCopy()}
		s.copies[life] = h
	}
	return h
}

// Take takes a batch in. What it gives has to be on the disk, all of it, before the answer goes; if it can't be, Undo.
// Batches that are stray, late, doubled or out of order change nothing but what they do not contradict.
func (s *Shelf) Take(b Batch, clock int64) ([]Kept, Ack) {
	ack := Ack{Shelf: s.id}
	if s.ended[b.Life] {
		ack.Ended = true
		if h := s.copies[b.Life]; h != nil {
			ack.Have = h.Have
		}
		return nil, ack
	}
	if b.Shelf != s.id { // it speaks to an earlier start, or asks
		if h := s.copies[b.Life]; h != nil {
			h.answer(&ack)
		}
		return nil, ack
	}
	h := s.held(b.Life)
	if skew := time.Duration(clock - b.Clock); b.Clock != 0 && (!h.skewed || skew < h.Skew) {
		h.Skew, h.skewed = skew, true
	}
	var keep []Kept
	if b.Snapshot > 0 {
		keep = s.piece(h, b)
	} else {
		for _, r := range b.Records {
			if r.Index == h.Have+1 {
				keep = append(keep, s.apply(h, r)...)
			}
		}
	}
	for i := range keep {
		keep[i].Skew = h.Skew
	}
	h.answer(&ack)
	return keep, ack
}

func (h *Held) answer(a *Ack) {
	if a.Snapshot, a.Pieces = h.taking, h.pieces; !h.doubt {
		a.Have = h.Have
	}
}

// Doubt has a copy that differs from its owner's replaced whole; until then it stays, as the best there is here.
func (s *Shelf) Doubt(life controlplane.Incarnation) {
	if h := s.copies[life]; h != nil {
		h.doubt = true
	}
}

// Expire forgets the ids that have been over since before a moment, and gives what goes from the disk.
func (s *Shelf) Expire(before time.Time) (out []Kept) {
	for _, life := range s.Lives() {
		h := s.copies[life]
		for _, p := range h.Content.Past() {
			if p.At.Add(h.Skew).Before(before) {
				out = append(out, Kept{Life: life, Index: h.Have, Past: p.ID, Drop: true, Skew: h.Skew})
			}
		}
		h.Content.Forget(before.Add(-h.Skew))
	}
	return out
}

// apply takes the next record.
func (s *Shelf) apply(h *Held, r Record) []Kept {
	h.Have = r.Index
	k := Kept{Life: h.Life, Index: r.Index, Payload: r.Payload}
	seq, over, err := wal.Of(r.Payload)
	m := h.Content.Message(seq)
	if h.Content.Apply(r.Payload) != nil || err != nil {
		h.Unknown++
	}
	if k.Message = seq; !over {
		return []Kept{k}
	}
	k.Drop, k.Payload = true, nil
	if m == nil {
		return []Kept{k}
	}
	if p, over := h.Content.Ended(m.ID); over {
		return []Kept{k, {Life: h.Life, Index: r.Index, Payload: wal.CondensePast(p), Past: p.ID}}
	}
	return []Kept{k}
}

// piece takes one of a snapshot. With the last the copy is what the snapshot says and nothing else.
func (s *Shelf) piece(h *Held, b Batch) []Kept {
	if h.taking != b.Snapshot {
		h.taking, h.pieces, h.shadow = b.Snapshot, 0, nil
	}
	if b.Piece != h.pieces || !h.doubt && b.UpTo <= h.Have {
		return nil
	}
	h.pieces++
	if h.shadow = append(h.shadow, b.Records...); !b.Last {
		return nil
	}
	records := h.shadow
	h.taking, h.pieces, h.shadow, h.doubt = 0, 0, nil, false
	h.Have, h.Content, h.Unknown = b.UpTo, wal.NewCopy(), 0
	keep := []Kept{{Life: h.Life, Index: b.UpTo, Fresh: true}}
	for _, r := range records {
		if h.Content.Apply(r.Payload) != nil {
			h.Unknown++
		}
		seq, _, _ := wal.Of(r.Payload)
		k := Kept{Life: h.Life, Index: b.UpTo, Payload: r.Payload, Message: seq}
		if seq == 0 {
			k.Past = wal.PastOf(r.Payload)
		}
		keep = append(keep, k)
	}
	return keep
}

// End refuses all further records of a life, so that whoever takes over reads a copy that stands still.
func (s *Shelf) End(life controlplane.Incarnation) { s.ended[life] = true }

// Copy is that of a life, or nil.
func (s *Shelf) Copy(life controlplane.Incarnation) *Held { return s.copies[life] }

// Lives are those of which there is a copy, in their order.
func (s *Shelf) Lives() []controlplane.Incarnation {
	return slices.SortedFunc(maps.Keys(s.copies), func(a, b controlplane.Incarnation) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(int64(a.Number) - int64(b.Number))
	})
}

// Drop removes the copies that keep says are of no use to anybody, and gives what goes from the disk.
func (s *Shelf) Drop(keep func(controlplane.Incarnation) bool) []Kept {
	var out []Kept
	for _, life := range s.Lives() {
		if !keep(life) {
			delete(s.copies, life)
			delete(s.ended, life)
			out = append(out, Kept{Life: life, Fresh: true})
		}
	}
	return out
}
