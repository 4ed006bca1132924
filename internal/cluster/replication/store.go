package replication

import (
	"maps"
	"slices"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/routing/wal"
)

// DiskRecord is a record that a Store needs on the disk. It describes a message, under its sequence number; a completed
// message, under its ID; or, with neither, the replica itself.
type DiskRecord struct {
	Life    controlplane.Incarnation
	Index   uint64
	Payload []byte
	Message uint64 // sequence number; 0 is none
	PastID  string // ID of a completed message; "" is none
	Delete  bool   // the message, or the ID, is deleted
	Reset   bool   // everything stored for the incarnation is deleted first
	Skew    time.Duration
}

// Replica is a copy of one incarnation's log.
type Replica struct {
	Life      controlplane.Incarnation
	LastIndex uint64
	Content   *wal.ReplicaState
	// Skew is added to a time on the owner's wall clock to convert it to the replica's. It is the smallest difference
	// seen, since a batch can only arrive later than it was sent.
	Skew     time.Duration
	hasSkew  bool
	diverged bool // it differs from the owner's log and has to be replaced by a snapshot

	snapshot        uint64 // the snapshot being received; 0 is none
	pieces          int    // pieces of it received so far
	snapshotRecords []Record
	Unknown         int // records of kinds that this version does not know; they are kept
}

// Store holds all replicas that one forwarder stores for others.
type Store struct {
	id       uint64
	replicas map[controlplane.Incarnation]*Replica
	fenced   map[controlplane.Incarnation]bool // no more records are accepted for these
}

// NewStore returns an empty store. The id is drawn at random at each start.
func NewStore(id uint64) *Store {
	return &Store{id: max(1, id), replicas: map[controlplane.Incarnation]*Replica{}, fenced: map[controlplane.Incarnation]bool{}}
}

// ID returns the id, which distinguishes this run of the store from others.
func (s *Store) ID() uint64 { return s.id }

// Restore applies a record that an earlier run has stored. Records must be restored in the order in which they were
// written.
func (s *Store) Restore(record DiskRecord) {
	replica := s.getOrCreate(record.Life)
	if replica.LastIndex = max(replica.LastIndex, record.Index); !replica.hasSkew || record.Skew < replica.Skew {
		replica.Skew, replica.hasSkew = record.Skew, true
	}
	if len(record.Payload) > 0 && replica.Content.Apply(record.Payload) != nil {
		replica.Unknown++
	}
}

func (s *Store) getOrCreate(incarnation controlplane.Incarnation) *Replica {
	replica := s.replicas[incarnation]
	if replica == nil {
		replica = &Replica{Life: incarnation, Content: wal.NewReplicaState()}
		s.replicas[incarnation] = replica
	}
	return replica
}

// Append applies a batch. All records returned must be on the disk before the ack is sent; if they cannot be written,
// the caller uses MarkDiverged and sends another ack. Stray, late, duplicate and reordered batches do no harm: only
// records that follow the replica's last index, and the next piece of a snapshot, are applied.
func (s *Store) Append(b Batch, clock int64) ([]DiskRecord, Ack) {
	ack := Ack{Shelf: s.id}
	if s.fenced[b.Life] {
		ack.Ended = true
		if replica := s.replicas[b.Life]; replica != nil {
			ack.Have = replica.LastIndex
		}
		return nil, ack
	}
	if b.Shelf != s.id { // sent to an earlier run of this store, or a request for its id
		if replica := s.replicas[b.Life]; replica != nil {
			replica.fillAck(&ack)
		}
		return nil, ack
	}
	replica := s.getOrCreate(b.Life)
	if skew := time.Duration(clock - b.Clock); b.Clock != 0 && (!replica.hasSkew || skew < replica.Skew) {
		replica.Skew, replica.hasSkew = skew, true
	}
	var out []DiskRecord
	if b.Snapshot > 0 {
		out = s.applyPiece(replica, b)
	} else {
		for _, r := range b.Records {
			if r.Index == replica.LastIndex+1 {
				out = append(out, s.apply(replica, r)...)
			}
		}
	}
	for i := range out {
		out[i].Skew = replica.Skew
	}
	replica.fillAck(&ack)
	return out, ack
}

// fillAck sets the position in an ack. A diverged replica reports no index, so that the owner sends a snapshot.
func (r *Replica) fillAck(a *Ack) {
	if a.Snapshot, a.Pieces = r.snapshot, r.pieces; !r.diverged {
		a.Have = r.LastIndex
	}
}

// MarkDiverged has a replica that differs from its owner's log replaced by a snapshot. Until that is complete the old
// content stays, as the best available here.
func (s *Store) MarkDiverged(incarnation controlplane.Incarnation) {
	if replica := s.replicas[incarnation]; replica != nil {
		replica.diverged = true
	}
}

// Expire forgets the IDs of messages completed before a time, and returns the records that delete them from the disk.
func (s *Store) Expire(before time.Time) (out []DiskRecord) {
	for _, incarnation := range s.Incarnations() {
		replica := s.replicas[incarnation]
		for _, p := range replica.Content.CompletedIDs() {
			if p.At.Add(replica.Skew).Before(before) {
				out = append(out, DiskRecord{Life: incarnation, Index: replica.LastIndex, PastID: p.ID, Delete: true, Skew: replica.Skew})
			}
		}
		replica.Content.Forget(before.Add(-replica.Skew))
	}
	return out
}

// apply applies the next record of the log and returns what has to be stored.
func (s *Store) apply(replica *Replica, r Record) []DiskRecord {
	replica.LastIndex = r.Index
	record := DiskRecord{Life: replica.Life, Index: r.Index, Payload: r.Payload}
	seq, completed, err := wal.ParseHeader(r.Payload)
	m := replica.Content.Message(seq)
	if replica.Content.Apply(r.Payload) != nil || err != nil {
		replica.Unknown++
	}
	if record.Message = seq; !completed {
		return []DiskRecord{record}
	}
	record.Delete, record.Payload = true, nil
	if m == nil {
		return []DiskRecord{record}
	}
	if p, completed := replica.Content.CompletedID(m.ID); completed {
		return []DiskRecord{record, {Life: replica.Life, Index: r.Index, Payload: wal.CompletedIDRecord(p), PastID: p.ID}}
	}
	return []DiskRecord{record}
}

// applyPiece takes the next piece of a snapshot. The last piece replaces the replica's content by the snapshot.
func (s *Store) applyPiece(replica *Replica, b Batch) []DiskRecord {
	if replica.snapshot != b.Snapshot {
		replica.snapshot, replica.pieces, replica.snapshotRecords = b.Snapshot, 0, nil
	}
	if b.Piece != replica.pieces || !replica.diverged && b.UpTo <= replica.LastIndex {
		return nil
	}
	replica.pieces++
	if replica.snapshotRecords = append(replica.snapshotRecords, b.Records...); !b.Last {
		return nil
	}
	records := replica.snapshotRecords
	replica.snapshot, replica.pieces, replica.snapshotRecords, replica.diverged = 0, 0, nil, false
	replica.LastIndex, replica.Content, replica.Unknown = b.UpTo, wal.NewReplicaState(), 0
	out := []DiskRecord{{Life: replica.Life, Index: b.UpTo, Reset: true}}
	for _, r := range records {
		if replica.Content.Apply(r.Payload) != nil {
			replica.Unknown++
		}
		seq, _, _ := wal.ParseHeader(r.Payload)
		record := DiskRecord{Life: replica.Life, Index: b.UpTo, Payload: r.Payload, Message: seq}
		if seq == 0 {
			record.PastID = wal.ParseCompletedID(r.Payload)
		}
		out = append(out, record)
	}
	return out
}

// Fence refuses all further records of an incarnation, so that its successor reads a replica that no longer changes.
func (s *Store) Fence(incarnation controlplane.Incarnation) { s.fenced[incarnation] = true }

// Replica returns the replica of an incarnation's log, or nil.
func (s *Store) Replica(incarnation controlplane.Incarnation) *Replica {
	return s.replicas[incarnation]
}

// Incarnations returns the incarnations of which there is a replica, ordered by name and number.
func (s *Store) Incarnations() []controlplane.Incarnation {
	return slices.SortedFunc(maps.Keys(s.replicas), func(a, b controlplane.Incarnation) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(int64(a.Number) - int64(b.Number))
	})
}

// Retain removes the replicas for which keep returns false, and returns the records that delete them from the disk.
func (s *Store) Retain(keep func(controlplane.Incarnation) bool) []DiskRecord {
	var out []DiskRecord
	for _, incarnation := range s.Incarnations() {
		if !keep(incarnation) {
			delete(s.replicas, incarnation)
			delete(s.fenced, incarnation)
			out = append(out, DiskRecord{Life: incarnation, Reset: true})
		}
	}
	return out
}
