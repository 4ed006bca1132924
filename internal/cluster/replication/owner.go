// Package replication replicates the journals of forwarders to other machines. The journal of each incarnation is a log
// with a single writer. Owner, at the writer, tracks how far each replica is and decides what it is sent next. Store,
// at a replica, applies the records in order and acknowledges them once they are on the disk. Merge combines replicas
// that differ, and Takeover is the state machine of a takeover. The package has no clocks, sockets or goroutines:
// callers pass events in and carry out the actions returned, so that the program, the laboratory and the model check
// run the same code.
package replication

import (
	"maps"
	"slices"

	"mulleinbeam/internal/cluster/controlplane"
)

// Record is a record of an incarnation's log. Index counts from 1 in the order of writing.
type Record struct {
	Index   uint64
	Payload []byte
}

// Batch is sent by an owner to a replica. It holds consecutive records, or a piece of a snapshot that replaces all
// records up to UpTo. An empty batch asks for the replica's position.
type Batch struct {
	Life     controlplane.Incarnation // writes the log
	Shelf    uint64                   // id of the replica store as the owner knows it; 0 asks for it
	Clock    int64                    // the owner's wall clock at sending, in nanoseconds since 1970
	Records  []Record
	Snapshot uint64 // number of the snapshot; 0 is none
	Piece    int    // number of the piece, from 0
	Last     bool   // it is the last piece
	UpTo     uint64 // the log index that the snapshot covers
}

// Ack is a replica's answer to a batch. Everything that it acknowledges is on the replica's disk.
type Ack struct {
	Shelf    uint64 // id of the replica store, new at each start; what another run acknowledged no longer holds
	Have     uint64 // the replica has the whole log up to this index; 0 is nothing
	Snapshot uint64 // the snapshot being received
	Pieces   int    // pieces of that snapshot received so far
	Full     bool   // the replica has no space; another one has to be chosen
	Ended    bool   // the incarnation has been fenced
}

const (
	maxBatchBytes = 512 << 10 // payload bytes in a batch
	maxPieceBytes = 64 << 10  // payload bytes in a snapshot piece; small, so that a snapshot does not hold up messages
	maxTailBytes  = 32 << 20  // bytes of records kept for replicas that lag; those further behind get a snapshot
)

// progress is what an owner knows of one replica.
type progress struct {
	storeID       uint64
	confirmed     bool   // storeID and match were reported by the replica itself
	match         uint64 // the replica has the log up to this index
	inFlight      bool   // a batch was sent and not yet answered
	snapshot      uint64 // number of the snapshot being sent; 0 is none
	pieces        [][]Record
	nextPiece     int
	snapshotIndex uint64 // the log index that the snapshot covers
	full          bool
}

// Owner is the writer's side of replication. The control plane decides which replicas are in-sync.
type Owner struct {
	incarnation    controlplane.Incarnation
	nextIndex      uint64   // index of the next record
	tail           []Record // the latest records, which replicas may still need
	tailBytes      int
	replicas       map[string]*progress
	inSync         []string
	lastSnapshot   uint64   // number of the latest snapshot
	proposedInSync []string // proposed to the control plane; required beside inSync until it has answered
}

// NewOwner starts the log of an incarnation. The journal's initial content is sent to replicas as a snapshot and
// has no indexes of its own.
func NewOwner(incarnation controlplane.Incarnation) *Owner {
	return &Owner{incarnation: incarnation, nextIndex: 2, replicas: map[string]*progress{}} // index 1 is the initial content
}

// Incarnation returns the incarnation that writes the log.
func (o *Owner) Incarnation() controlplane.Incarnation { return o.incarnation }

// Append adds a record and returns its index. The payload must not be changed afterwards.
func (o *Owner) Append(payload []byte) uint64 {
	r := Record{o.nextIndex, payload}
	o.nextIndex++
	if len(o.replicas) == 0 { // a replica that is added later gets a snapshot
		o.tail, o.tailBytes = nil, 0
		return r.Index
	}
	o.tail = append(o.tail, r)
	o.tailBytes += len(payload)
	o.trim()
	return r.Index
}

// trim drops the records that all replicas have, and the oldest records beyond maxTailBytes.
func (o *Owner) trim() {
	firstNeeded := o.nextIndex
	for _, p := range o.replicas {
		if p.confirmed && p.snapshot == 0 {
			firstNeeded = min(firstNeeded, p.match+1)
		} else if p.snapshot > 0 {
			firstNeeded = min(firstNeeded, p.snapshotIndex+1)
		}
	}
	n := 0
	for n < len(o.tail) && (o.tail[n].Index < firstNeeded || o.tailBytes > maxTailBytes) {
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

// LastIndex returns the index of the latest record.
func (o *Owner) LastIndex() uint64 { return o.nextIndex - 1 }

// SetReplicas sets the replicas that get the log. Only the control plane decides which of them are in-sync.
func (o *Owner) SetReplicas(inSync, others []string) {
	o.inSync = slices.Clone(inSync)
	want := append(slices.Clone(inSync), others...)
	want = append(want, o.proposedInSync...)
	for name := range o.replicas {
		if !slices.Contains(want, name) {
			delete(o.replicas, name)
		}
	}
	for _, name := range want {
		if o.replicas[name] == nil {
			o.replicas[name] = &progress{}
		}
	}
	o.trim()
}

// Propose records that the control plane was asked for another in-sync set. Until ProposalSettled is called, a
// record needs the replicas of both sets to be below the high watermark.
func (o *Owner) Propose(set []string) { o.proposedInSync = slices.Clone(set) }

// ProposalSettled records that the control plane has accepted or rejected the proposal. SetReplicas passes the
// resulting set.
func (o *Owner) ProposalSettled() { o.proposedInSync = nil }

// Replicas returns the names of the replicas that get the log, sorted.
func (o *Owner) Replicas() []string { return slices.Sorted(maps.Keys(o.replicas)) }

// InSync returns the names of the in-sync replicas.
func (o *Owner) InSync() []string { return o.inSync }

// HighWatermark returns the index up to which every in-sync replica has the log, or 0 if there is no in-sync replica.
func (o *Owner) HighWatermark() uint64 {
	if len(o.inSync) == 0 {
		return 0
	}
	lowest := o.LastIndex()
	for _, names := range [][]string{o.inSync, o.proposedInSync} {
		for _, name := range names {
			p := o.replicas[name]
			if p == nil || !p.confirmed {
				return 0
			}
			lowest = min(lowest, p.match)
		}
	}
	return lowest
}

// CaughtUp reports whether a replica has all but the latest few records, which may be on their way.
func (o *Owner) CaughtUp(name string) bool {
	p := o.replicas[name]
	return p != nil && p.confirmed && p.snapshot == 0 && p.match+maxCaughtUpLag >= o.LastIndex()
}

const maxCaughtUpLag = 256 // records that a caught-up replica may lack

// Full reports whether a replica has no space left.
func (o *Owner) Full(name string) bool { p := o.replicas[name]; return p != nil && p.full }

// MatchIndex returns the index up to which a replica has the log, for status reports.
func (o *Owner) MatchIndex(name string) uint64 {
	if p := o.replicas[name]; p != nil {
		return p.match
	}
	return 0
}

// NeedsSnapshot reports whether a replica can continue only from a snapshot, which Snapshot provides.
func (o *Owner) NeedsSnapshot(name string) bool {
	p := o.replicas[name]
	if p == nil || !p.confirmed || p.inFlight || p.full || p.snapshot > 0 || p.match >= o.LastIndex() && p.match > 0 {
		return false
	}
	return p.match == 0 || len(o.tail) == 0 || o.tail[0].Index > p.match+1
}

// Snapshot starts sending a replica a snapshot of the log at its latest index. Snapshots of one incarnation at the same
// index are identical, so an interrupted one continues where it stopped.
func (o *Owner) Snapshot(name string, records [][]byte) {
	p := o.replicas[name]
	if p == nil {
		return
	}
	o.lastSnapshot++
	p.snapshot, p.snapshotIndex, p.nextPiece, p.pieces = o.lastSnapshot, o.LastIndex(), 0, [][]Record{nil}
	size := 0
	for _, payload := range records {
		if last := len(p.pieces) - 1; size > 0 && size+len(payload) > maxPieceBytes {
			p.pieces, size = append(p.pieces, []Record{{Payload: payload}}), len(payload)
		} else {
			p.pieces[last], size = append(p.pieces[last], Record{Payload: payload}), size+len(payload)
		}
	}
}

// Due reports whether there is something to send to a replica now.
func (o *Owner) Due(name string) bool {
	p := o.replicas[name]
	return p != nil && !p.inFlight && !p.full && (!p.confirmed || p.snapshot > 0 || p.match < o.LastIndex())
}

// Next returns the batch to send to a replica now, if there is one. HandleAck or HandleNoAck must follow.
func (o *Owner) Next(name string, clock int64) (b Batch, ok bool) {
	p := o.replicas[name]
	if p == nil || p.inFlight {
		return b, false
	}
	b = Batch{Life: o.incarnation, Shelf: p.storeID, Clock: clock}
	switch {
	case !p.confirmed:
		b.Shelf = 0
	case p.snapshot > 0:
		b.Snapshot, b.Piece, b.UpTo = p.snapshot, p.nextPiece, p.snapshotIndex
		b.Records, b.Last = p.pieces[p.nextPiece], p.nextPiece == len(p.pieces)-1
	case p.match < o.LastIndex() && len(o.tail) > 0 && o.tail[0].Index <= p.match+1:
		from := int(p.match + 1 - o.tail[0].Index)
		size, to := 0, from
		for to < len(o.tail) && (size == 0 || size+len(o.tail[to].Payload) <= maxBatchBytes) {
			size += len(o.tail[to].Payload)
			to++
		}
		b.Records = slices.Clone(o.tail[from:to])
	default:
		return b, false
	}
	p.inFlight = true
	return b, true
}

// Ping returns an empty batch for a replica that was sent nothing for a while. The answer tells whether the replica
// still has what it acknowledged. HandleAck or HandleNoAck must follow.
func (o *Owner) Ping(name string, clock int64) (b Batch, ok bool) {
	p := o.replicas[name]
	if p == nil || p.inFlight || !p.confirmed {
		return b, false
	}
	p.inFlight = true
	return Batch{Life: o.incarnation, Shelf: p.storeID, Clock: clock}, true
}

// HandleAck processes a replica's answer to the batch in flight.
func (o *Owner) HandleAck(name string, a Ack) {
	p := o.replicas[name]
	if p == nil {
		return
	}
	p.inFlight, p.full = false, a.Full
	if !p.confirmed || p.storeID != a.Shelf { // the replica may have restarted: it has only what it reports now
		*p = progress{storeID: a.Shelf, confirmed: true, match: min(a.Have, o.LastIndex()), full: a.Full}
		o.trim()
		return
	}
	if p.snapshot > 0 {
		switch {
		case a.Have >= p.snapshotIndex:
			p.snapshot, p.pieces = 0, nil
		case a.Snapshot == p.snapshot && a.Pieces > 0 && a.Pieces < len(p.pieces):
			p.nextPiece = a.Pieces
		default:
			p.nextPiece = 0
		}
	}
	p.match = min(a.Have, o.LastIndex()) // even if lower than before: it is what is on the replica's disk now
	o.trim()
}

// HandleNoAck records that the batch in flight was not answered, so that it may or may not have been applied. The next
// batch asks for the replica's position or repeats the piece of a snapshot.
func (o *Owner) HandleNoAck(name string) {
	if p := o.replicas[name]; p != nil {
		p.inFlight = false
		if p.snapshot == 0 {
			p.confirmed = false
		}
	}
}
