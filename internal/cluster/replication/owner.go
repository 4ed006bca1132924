// Package replication keeps what forwarders owe on other machines as well. Each life's journal is a log with one writer: Owner, at the
// writer, says what each keeper has and what it is sent next; Shelf, at a keeper, takes it in order, stores it and only then
// says so. Merge says what holds where copies differ. All of it is events in and actions out: no clock, no socket, no goroutine,
// so that the program, the laboratory and the model check run the same code.
package replication

import (
	"maps"
	"slices"

	"mulleinbeam/internal/cluster/controlplane"
)

// Record is one of a life's log. Index counts from 1 in the order in which they were written.
type Record struct {
	Index   uint64
	Payload []byte
}

// Batch goes from an owner to a keeper: records one behind the other, or a piece of a snapshot that stands for all of them up to
// UpTo. An empty one asks how far the keeper is.
type Batch struct {
	Life     controlplane.Incarnation
	Shelf    uint64 // the keeper's shelf as the owner knows it; 0 asks for it
	Clock    int64  // the owner's wall clock as it sends, in nanoseconds since 1970
	Records  []Record
	Snapshot uint64 // number of the snapshot; 0 is none
	Piece    int    // of it, from 0
	Last     bool   // it is the last
	UpTo     uint64 // the log's index that the snapshot stands for
}

// Ack is a keeper's answer. What it names is on its disk.
type Ack struct {
	Shelf    uint64 // drawn at each start of the keeper: what was said to another one counts for nothing
	Have     uint64 // the whole log up to this index; 0 is nothing
	Snapshot uint64 // the one that it is taking,
	Pieces   int    // and how many pieces of it it has
	Full     bool   // it has no room: another is to be chosen
	Ended    bool   // the council has ended that life
}

const (
	mostBatch = 512 << 10 // bytes of payloads
	mostPiece = 64 << 10  // of a snapshot's piece: messages go on between two of them
	mostTail  = 32 << 20  // bytes of records that are kept for keepers that are behind; beyond it they get a snapshot
)

// progress is what an owner knows of one keeper.
type progress struct {
	shelf    uint64
	known    bool   // shelf and match are its own words
	match    uint64 // it has the log up to here
	out      bool   // a batch is on its way
	snapshot uint64
	pieces   [][]Record // of the snapshot under way
	piece    int        // the next of them
	upTo     uint64
	full     bool
}

// Owner is the writer's part. Keepers are named; which of them count is the council's word.
type Owner struct {
	life      controlplane.Incarnation
	next      uint64 // index of the next record
	tail      []Record
	tailBytes int
	keepers   map[string]*progress
	counted   []string
	snapshots uint64
	pending   []string // asked to count; both count until the council has answered
}

// NewOwner begins a life's log. What the life found in its folder goes to keepers as a snapshot, and has no index of its own.
func NewOwner(life controlplane.Incarnation) *Owner {
	return &Owner{life: life, next: 2, keepers: map[string]*progress{}} // index 1 stands for what was there
}

// Incarnation is whose log it is.
func (o *Owner) Incarnation() controlplane.Incarnation { return o.life }

// Append takes a record, whose payload must not be changed any more, and gives its index.
func (o *Owner) Append(payload []byte) uint64 {
	r := Record{o.next, payload}
	o.next++
	if len(o.keepers) == 0 { // whoever comes gets a snapshot
		o.tail, o.tailBytes = nil, 0
		return r.Index
	}
	o.tail = append(o.tail, r)
	o.tailBytes += len(payload)
	o.trim()
	return r.Index
}

// trim drops what all have, and what is more than keepers that are behind may hold on to.
func (o *Owner) trim() {
	least := o.next
	for _, p := range o.keepers {
		if p.known && p.snapshot == 0 {
			least = min(least, p.match+1)
		} else if p.snapshot > 0 {
			least = min(least, p.upTo+1)
		}
	}
	n := 0
	for n < len(o.tail) && (o.tail[n].Index < least || o.tailBytes > mostTail) {
		o.tailBytes -= len(o.tail[n].Payload)
		n++
	}
	if n > 0 {
		clear(o.tail[:n])
		if o.tail = o.tail[n:]; len(o.tail) == 0 {
			o.tail = nil
		}
	}
}

// LastIndex is the index of the latest record.
func (o *Owner) LastIndex() uint64 { return o.next - 1 }

// SetReplicas says who gets the log. Those that count are named by the council alone.
func (o *Owner) SetReplicas(counted, others []string) {
	o.counted = slices.Clone(counted)
	want := append(slices.Clone(counted), others...)
	want = append(want, o.pending...)
	for name := range o.keepers {
		if !slices.Contains(want, name) {
			delete(o.keepers, name)
		}
	}
	for _, name := range want {
		if o.keepers[name] == nil {
			o.keepers[name] = &progress{}
		}
	}
	o.trim()
}

// Propose says that the council is asked to count others; until Settled, they count beside those that do.
func (o *Owner) Propose(set []string) { o.pending = slices.Clone(set) }

// ProposalSettled says that the council has answered, one way or the other: SetKeepers has what holds.
func (o *Owner) ProposalSettled() { o.pending = nil }

// Replicas are those that get the log, in their order.
func (o *Owner) Replicas() []string { return slices.Sorted(maps.Keys(o.keepers)) }

// InSync are those that count.
func (o *Owner) InSync() []string { return o.counted }

// HighWatermark is the index up to which every keeper that counts has the log; without any it is 0.
func (o *Owner) HighWatermark() uint64 {
	if len(o.counted) == 0 {
		return 0
	}
	least := o.LastIndex()
	for _, list := range [][]string{o.counted, o.pending} {
		for _, name := range list {
			p := o.keepers[name]
			if p == nil || !p.known {
				return 0
			}
			least = min(least, p.match)
		}
	}
	return least
}

// CaughtUp says whether a keeper has all that there is but for the few records on their way.
func (o *Owner) CaughtUp(name string) bool {
	p := o.keepers[name]
	return p != nil && p.known && p.snapshot == 0 && p.match+levelWithin >= o.LastIndex()
}

const levelWithin = 256

// Full says whether a keeper has no room.
func (o *Owner) Full(name string) bool { p := o.keepers[name]; return p != nil && p.full }

// MatchIndex is how far a keeper is, for who looks on.
func (o *Owner) MatchIndex(name string) uint64 {
	if p := o.keepers[name]; p != nil {
		return p.match
	}
	return 0
}

// NeedsSnapshot says whether a keeper can go on only from one; Snapshot gives it.
func (o *Owner) NeedsSnapshot(name string) bool {
	p := o.keepers[name]
	if p == nil || !p.known || p.out || p.full || p.snapshot > 0 || p.match >= o.LastIndex() && p.match > 0 {
		return false
	}
	return p.match == 0 || len(o.tail) == 0 || o.tail[0].Index > p.match+1
}

// Snapshot has a keeper go on from all that there is at the log's latest index. Snapshots of one life taken at the same index are
// the same, so one that was cut goes on where it was.
func (o *Owner) Snapshot(name string, records [][]byte) {
	p := o.keepers[name]
	if p == nil {
		return
	}
	o.snapshots++
	p.snapshot, p.upTo, p.piece, p.pieces = o.snapshots, o.LastIndex(), 0, [][]Record{nil}
	size := 0
	for _, payload := range records {
		if last := len(p.pieces) - 1; size > 0 && size+len(payload) > mostPiece {
			p.pieces, size = append(p.pieces, []Record{{Payload: payload}}), len(payload)
		} else {
			p.pieces[last], size = append(p.pieces[last], Record{Payload: payload}), size+len(payload)
		}
	}
}

// Due says whether there is something to send to a keeper now.
func (o *Owner) Due(name string) bool {
	p := o.keepers[name]
	return p != nil && !p.out && !p.full && (!p.known || p.snapshot > 0 || p.match < o.LastIndex())
}

// Next gives what a keeper is to be sent now, if it is time for something; Answered or Unanswered has to follow.
func (o *Owner) Next(name string, clock int64) (b Batch, some bool) {
	p := o.keepers[name]
	if p == nil || p.out {
		return b, false
	}
	b = Batch{Life: o.life, Shelf: p.shelf, Clock: clock}
	switch {
	case !p.known:
		b.Shelf = 0
	case p.snapshot > 0:
		b.Snapshot, b.Piece, b.UpTo = p.snapshot, p.piece, p.upTo
		b.Records, b.Last = p.pieces[p.piece], p.piece == len(p.pieces)-1
	case p.match < o.LastIndex() && len(o.tail) > 0 && o.tail[0].Index <= p.match+1:
		from := int(p.match + 1 - o.tail[0].Index)
		size, to := 0, from
		for to < len(o.tail) && (size == 0 || size+len(o.tail[to].Payload) <= mostBatch) {
			size += len(o.tail[to].Payload)
			to++
		}
		b.Records = slices.Clone(o.tail[from:to])
	default:
		return b, false
	}
	p.out = true
	return b, true
}

// Ping gives a batch without records for a keeper that nothing was sent to for a while: its answer says whether it still has what it
// said. Answered or Unanswered has to follow.
func (o *Owner) Ping(name string, clock int64) (b Batch, some bool) {
	p := o.keepers[name]
	if p == nil || p.out || !p.known {
		return b, false
	}
	p.out = true
	return Batch{Life: o.life, Shelf: p.shelf, Clock: clock}, true
}

// HandleAck books a keeper's answer to the batch that was out.
func (o *Owner) HandleAck(name string, a Ack) {
	p := o.keepers[name]
	if p == nil {
		return
	}
	p.out, p.full = false, a.Full
	if !p.known || p.shelf != a.Shelf { // another start of it: what it says now is all that it has
		*p = progress{shelf: a.Shelf, known: true, match: min(a.Have, o.LastIndex()), full: a.Full}
		o.trim()
		return
	}
	if p.snapshot > 0 {
		switch {
		case a.Have >= p.upTo:
			p.snapshot, p.pieces = 0, nil
		case a.Snapshot == p.snapshot && a.Pieces > 0 && a.Pieces < len(p.pieces):
			p.piece = a.Pieces
		default:
			p.piece = 0
		}
	}
	p.match = min(a.Have, o.LastIndex()) // also where it has less than it said: its word now is what is on its disk
	o.trim()
}

// HandleNoAck says that nobody knows what became of the batch that was out. The next one asks.
func (o *Owner) HandleNoAck(name string) {
	if p := o.keepers[name]; p != nil {
		p.out = false
		if p.snapshot == 0 {
			p.known = false
		}
	}
}
