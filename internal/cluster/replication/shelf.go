package replication

import (
	"maps"
	"slices"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/routing/wal"
)

// DiskRecord is a record that a shelf wants on the disk: of a message under its number, of an id that is over under its text, or of the
// copy itself.
type DiskRecord struct {
	Life    controlplane.Incarnation
	Index   uint64
	Payload []byte
	Message uint64 // 0 is none
	PastID  string // "" is none
	Delete  bool   // the message, or the id, goes
	Reset   bool   // everything kept of that life goes first
	Skew    time.Duration
}

// Replica is a copy of one life's log.
type Replica struct {
	Life      controlplane.Incarnation
	LastIndex uint64
	Content   *wal.Copy
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

// Store is a keeper's part: all copies that it has.
type Store struct {
	id     uint64
	copies map[controlplane.Incarnation]*Replica
	ended  map[controlplane.Incarnation]bool // nothing is taken for them any more
}

// NewStore is an empty one; id is drawn anew at each start.
func NewStore(id uint64) *Store {
	return &Store{id: max(1, id), copies: map[controlplane.Incarnation]*Replica{}, ended: map[controlplane.Incarnation]bool{}}
}

// ID tells this start of the keeper from others.
func (s *Store) ID() uint64 { return s.id }

// Restore takes a record back that an earlier start had kept, in the order in which they were.
func (s *Store) Restore(k DiskRecord) {
	h := s.held(k.Life)
	if h.LastIndex = max(h.LastIndex, k.Index); !h.skewed || k.Skew < h.Skew {
		h.Skew, h.skewed = k.Skew, true
	}
	if len(k.Payload) > 0 && h.Content.Apply(k.Payload) != nil {
		h.Unknown++
	}
}

func (s *Store) held(life controlplane.Incarnation) *Replica {
	h := s.copies[life]
	if h == nil {
		h = &Replica{Life: life, Content: wal.NewCopy()}
		s.copies[life] = h
	}
	return h
}

// Append takes a batch in. What it gives has to be on the disk, all of it, before the answer goes; if it can't be, Undo.
// Batches that are stray, late, doubled or out of order change nothing but what they do not contradict.
func (s *Store) Append(b Batch, clock int64) ([]DiskRecord, Ack) {
	ack := Ack{Shelf: s.id}
	if s.ended[b.Life] {
		ack.Ended = true
		if h := s.copies[b.Life]; h != nil {
			ack.Have = h.LastIndex
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
	var keep []DiskRecord
	if b.Snapshot > 0 {
		keep = s.piece(h, b)
	} else {
		for _, r := range b.Records {
			if r.Index == h.LastIndex+1 {
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

func (h *Replica) answer(a *Ack) {
	if a.Snapshot, a.Pieces = h.taking, h.pieces; !h.doubt {
		a.Have = h.LastIndex
	}
}

// MarkDiverged has a copy that differs from its owner's replaced whole; until then it stays, as the best there is here.
func (s *Store) MarkDiverged(life controlplane.Incarnation) {
	if h := s.copies[life]; h != nil {
		h.doubt = true
	}
}

// Expire forgets the ids that have been over since before a moment, and gives what goes from the disk.
func (s *Store) Expire(before time.Time) (out []DiskRecord) {
	for _, life := range s.Incarnations() {
		h := s.copies[life]
		for _, p := range h.Content.Past() {
			if p.At.Add(h.Skew).Before(before) {
				out = append(out, DiskRecord{Life: life, Index: h.LastIndex, PastID: p.ID, Delete: true, Skew: h.Skew})
			}
		}
		h.Content.Forget(before.Add(-h.Skew))
	}
	return out
}

// apply takes the next record.
func (s *Store) apply(h *Replica, r Record) []DiskRecord {
	h.LastIndex = r.Index
	k := DiskRecord{Life: h.Life, Index: r.Index, Payload: r.Payload}
	seq, over, err := wal.Of(r.Payload)
	m := h.Content.Message(seq)
	if h.Content.Apply(r.Payload) != nil || err != nil {
		h.Unknown++
	}
	if k.Message = seq; !over {
		return []DiskRecord{k}
	}
	k.Delete, k.Payload = true, nil
	if m == nil {
		return []DiskRecord{k}
	}
	if p, over := h.Content.Ended(m.ID); over {
		return []DiskRecord{k, {Life: h.Life, Index: r.Index, Payload: wal.CondensePast(p), PastID: p.ID}}
	}
	return []DiskRecord{k}
}

// piece takes one of a snapshot. With the last the copy is what the snapshot says and nothing else.
func (s *Store) piece(h *Replica, b Batch) []DiskRecord {
	if h.taking != b.Snapshot {
		h.taking, h.pieces, h.shadow = b.Snapshot, 0, nil
	}
	if b.Piece != h.pieces || !h.doubt && b.UpTo <= h.LastIndex {
		return nil
	}
	h.pieces++
	if h.shadow = append(h.shadow, b.Records...); !b.Last {
		return nil
	}
	records := h.shadow
	h.taking, h.pieces, h.shadow, h.doubt = 0, 0, nil, false
	h.LastIndex, h.Content, h.Unknown = b.UpTo, wal.NewCopy(), 0
	keep := []DiskRecord{{Life: h.Life, Index: b.UpTo, Reset: true}}
	for _, r := range records {
		if h.Content.Apply(r.Payload) != nil {
			h.Unknown++
		}
		seq, _, _ := wal.Of(r.Payload)
		k := DiskRecord{Life: h.Life, Index: b.UpTo, Payload: r.Payload, Message: seq}
		if seq == 0 {
			k.PastID = wal.PastOf(r.Payload)
		}
		keep = append(keep, k)
	}
	return keep
}

// Fence refuses all further records of a life, so that whoever takes over reads a copy that stands still.
func (s *Store) Fence(life controlplane.Incarnation) { s.ended[life] = true }

// Replica is that of a life, or nil.
func (s *Store) Replica(life controlplane.Incarnation) *Replica { return s.copies[life] }

// Incarnations are those of which there is a copy, in their order.
func (s *Store) Incarnations() []controlplane.Incarnation {
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

// Retain removes the copies that keep says are of no use to anybody, and gives what goes from the disk.
func (s *Store) Retain(keep func(controlplane.Incarnation) bool) []DiskRecord {
	var out []DiskRecord
	for _, life := range s.Incarnations() {
		if !keep(life) {
			delete(s.copies, life)
			delete(s.ended, life)
			out = append(out, DiskRecord{Life: life, Reset: true})
		}
	}
	return out
}
