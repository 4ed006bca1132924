package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"syscall"
	"time"

	"mulleinbeam/internal/routing/wal/plan"
	"mulleinbeam/internal/routing/wal/segment"
)

// openActive creates a segment and makes it the active one; s.mu is held, or the store is not shared yet.
func (s *Store) openActive() error {
	seg := &segmentFile{number: s.nextSegment, name: segmentName(s.nextSegment)}
	s.nextSegment++ // also if the create fails, since a file of that name may be left
	f, err := s.options.FS.Create(seg.name)
	if err != nil {
		return fmt.Errorf("store: segment: %w", err)
	}
	header := segment.AppendHeader(nil, segment.Header{StoreID: s.storeID, Number: seg.number})
	if _, err = f.Write(header); err != nil {
		s.obsolete[seg.name] = obsoleteFile{size: int64(len(header)), state: removalOverdue}
		return errors.Join(fmt.Errorf("store: segment: %w", err), f.Close())
	}
	seg.file, seg.size = f, int64(len(header))
	s.segments[seg.number], s.active, s.sealedTotals, s.dirUnsynced = seg, seg, nil, true
	return nil
}

// spaceState returns the planner's view of the store's space without the individual segments; s.mu is held.
func (s *Store) spaceState() plan.State {
	if s.sealedTotals == nil { // recomputed after the set of sealed segments has changed
		s.sealedTotals = &plan.Totals{}
		for _, seg := range s.segments {
			if seg != s.active && !seg.replaced {
				s.sealedTotals.Add(s.planner, seg.size, seg.size)
			}
		}
	}
	state := plan.State{ActiveBytes: s.active.size + s.active.tornBytes, OutputBytes: s.outputBytes, ReservedBytes: s.reservedForKeys + s.reservedForPuts, Totals: s.sealedTotals}
	listed := len(s.segments)
	if s.victim != nil && s.victim.replaced { // it is in the index along with its output, but not in the manifest
		listed--
		state.RemovingBytes = roundToBlocks(s.victim.size)
	}
	state.OtherBytes = 2 * manifestBound(listed)
	for _, file := range s.obsolete {
		if file.state == removalOverdue {
			state.OtherBytes += roundToBlocks(file.size)
		} else {
			state.RemovingBytes += roundToBlocks(file.size)
		}
	}
	return state
}

// plannerState returns the planner's view with the individual segments; s.mu is held.
func (s *Store) plannerState() plan.State {
	state := s.spaceState()
	for _, seg := range s.segments {
		switch {
		case seg == s.active, seg.replaced:
		case seg == s.victim:
			v := s.planSegment(seg)
			state.Victim = &v
		default:
			state.Sealed = append(state.Sealed, s.planSegment(seg))
		}
	}
	return state
}

// manifestBound returns the maximum size of a manifest that lists so many segments.
func manifestBound(segments int) int64 { return roundToBlocks(int64((segments+4)*24 + 256)) }

// planSegment returns a sealed segment in the planner's terms. Its age is the number of records appended since it was
// sealed, counted as milliseconds, so that equal runs make equal choices.
func (s *Store) planSegment(seg *segmentFile) plan.Segment {
	return plan.Segment{Number: seg.number, Size: seg.size, LiveBytes: seg.liveBytes, Age: time.Duration(s.nextSequence-seg.sealedAt) * time.Millisecond}
}

// appendRecord appends a record to the active segment; s.mu is held. The remains of a failed write are removed, or
// skipped, before the next record.
func (s *Store) appendRecord(kind recordKind, key uint64, payload []byte) (sequence uint64, size int64, err error) {
	switch {
	case s.closed:
		return 0, 0, ErrClosed
	case s.failure != nil:
		return 0, 0, s.failure
	}
	sequence = s.nextSequence
	b := append(s.buf[:0], byte(kind))
	b = binary.AppendUvarint(binary.AppendUvarint(b, sequence), key)
	b = append(b, payload...)
	s.buf = b[:0]
	size = segment.RecordSize(len(b))
	if err := s.repairTail(); err != nil {
		return 0, 0, err
	}
	if s.planner.ShouldSeal(plan.State{ActiveBytes: s.active.size}, size) {
		if err := s.sealActive(); err != nil {
			return 0, 0, err
		}
	}
	seg := s.active
	rec, err := segment.Append(make([]byte, 0, size), segment.Header{StoreID: s.storeID, Number: seg.number}, seg.size, b)
	if err != nil {
		return 0, 0, fmt.Errorf("store: %w", err)
	}
	if _, err := seg.file.Write(rec); err != nil {
		seg.tornBytes = size       // upper bound: a failed write may leave bytes that it does not report
		repaired := s.repairTail() // if this fails, it is retried before the next write
		if errors.Is(err, syscall.EFBIG) && repaired == nil && s.active == seg && seg.size > segment.HeaderSize {
			if s.sealActive() == nil { // the file size limit is below the segment size: the next segment has space again
				return s.appendRecord(kind, key, payload)
			}
		}
		return 0, 0, fmt.Errorf("store: write: %w", err)
	}
	seg.size += size
	s.nextSequence++
	return sequence, size, nil
}

// repairTail truncates the partial record that a failed write has left. If that fails it seals the segment with the
// partial record at its end, which a scan skips.
func (s *Store) repairTail() error {
	seg := s.active
	if seg.tornBytes == 0 {
		return nil
	}
	if size, err := seg.file.Size(); err == nil {
		seg.tornBytes = max(0, size-seg.size)
	}
	if seg.tornBytes == 0 {
		return nil
	}
	truncateErr := seg.file.Truncate(seg.size)
	if truncateErr == nil {
		seg.tornBytes = 0
		return nil
	}
	seg.size += seg.tornBytes
	if err := s.sealActive(); err != nil {
		seg.size -= seg.tornBytes
		return errors.Join(truncateErr, err)
	}
	s.sealedTotals = nil
	seg.tornBytes = 0
	return nil
}

// sealActive seals the active segment and creates the next one.
func (s *Store) sealActive() error {
	old := s.active
	if err := s.openActive(); err != nil {
		return err
	}
	old.sealedAt = s.nextSequence
	return nil
}

// Commit returns once all records up to a sequence number are as durable as the store's Durability states. Concurrent
// callers share one sync, and appends continue meanwhile. A failed sync is final, because it is unknown which part of
// the segments is on the disk: the records that were not durable are truncated, so that the next open does not find
// records whose commit failed.
func (s *Store) Commit(sequence uint64) error {
	if s.options.Durability == SyncNever {
		return nil
	}
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	s.mu.Lock()
	if target := min(sequence, s.nextSequence-1); s.durable >= target || s.failure != nil || s.closed {
		defer s.mu.Unlock()
		switch {
		case s.failure != nil:
			return s.failure
		case s.durable < target:
			return ErrClosed
		}
		return nil
	}
	err := s.syncAll()
	s.mu.Unlock()
	return err
}

// DurableSequence returns the sequence number up to which all records are known to survive a crash of the machine.
func (s *Store) DurableSequence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durable
}

// syncAll makes all records appended so far durable. s.commitMu and s.mu are held; s.mu is released during the I/O.
func (s *Store) syncAll() error {
	target, dirUnsynced := s.nextSequence-1, s.dirUnsynced
	type pendingSync struct {
		seg  *segmentFile
		size int64
	}
	var pending []pendingSync
	for _, seg := range s.sortedSegments() {
		if seg.syncedBytes < seg.size {
			seg.refs++
			pending = append(pending, pendingSync{seg, seg.size})
		}
	}
	s.dirUnsynced = false
	s.syncs++
	s.mu.Unlock()
	var err error
	for _, p := range pending {
		if err = p.seg.file.Sync(); err != nil {
			err = fmt.Errorf("%w: sync of %s: %w", ErrFailed, p.seg.name, err)
			break
		}
	}
	if err == nil && dirUnsynced { // otherwise a power failure could lose a file with all its synced content
		if err = s.syncDir(); err != nil {
			err = fmt.Errorf("%w: sync of the directory: %w", ErrFailed, err)
		}
	}
	s.mu.Lock()
	if err != nil {
		s.failure = err
		s.markBroken()
		for _, seg := range s.segments {
			if seg.syncedBytes < seg.size {
				_ = seg.file.Truncate(seg.syncedBytes) // on failure the next open may find records that were not committed
			}
		}
	} else {
		s.durable = max(s.durable, target)
	}
	for _, p := range pending {
		if err == nil {
			p.seg.syncedBytes = max(p.seg.syncedBytes, p.size)
		}
		p.seg.unref()
	}
	return err
}

// commitEach commits a record if the durability is SyncEach. s.mu is not held.
func (s *Store) commitEach(sequence uint64) error {
	if s.options.Durability != SyncEach {
		return nil
	}
	return s.Commit(sequence)
}

// Fits reports whether a key with a first payload of so many bytes could be put, with so many bytes reserved for later
// records: see Put.
func (s *Store) Fits(payload int, reserve int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fits(payload, reserve)
}

func (s *Store) fits(payload int, reserve int64) bool {
	state := s.spaceState()
	state.OtherBytes += s.options.SpareBytes
	return s.planner.Admit(state, segment.RecordSize(payload+maxRecordPrefix), reserve+MaxTombstoneSize)
}

// NoteRefusal records that work was refused for lack of space. Compaction then runs without a rate limit and accepts
// smaller gains.
func (s *Store) NoteRefusal() {
	s.mu.Lock()
	s.refused = true
	s.mu.Unlock()
}

// CompactionRate returns the bytes per second that the running compaction should copy, given the present rate of
// appends in bytes per second.
func (s *Store) CompactionRate(rate float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.active == nil {
		return math.Inf(1)
	}
	state := s.spaceState()
	state.AppendRate = rate
	if s.victim != nil && !s.victim.replaced {
		v := s.planSegment(s.victim)
		state.Victim = &v
	}
	return s.planner.CompactionRate(state, s.refused)
}

// Put appends the first record of a new key. It reserves space for the key's tombstone and reserve bytes for further
// records, each of which takes its payload, segment.RecordHeaderSize and about 20 bytes. It returns ErrFull if there is
// no space for all of that now, and otherwise the record's sequence number, for Commit.
func (s *Store) Put(key uint64, payload []byte, reserve int64) (uint64, error) {
	return s.PutReserved(nil, key, payload, reserve)
}

// PutReserved is like Put, but uses a reservation of at least that size, so that there is space whatever was appended
// since. If the write fails the reservation remains valid.
func (s *Store) PutReserved(reservation *Reservation, key uint64, payload []byte, reserve int64) (uint64, error) {
	sequence, err := s.put(key, payload, reserve, reservation)
	if err != nil {
		return 0, err
	}
	return sequence, s.commitEach(sequence)
}

func (s *Store) put(key uint64, payload []byte, reserve int64, reservation *Reservation) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys[key]; e != nil {
		return 0, fmt.Errorf("store: key %d already exists", key)
	}
	covered := reservation.covers(s, len(payload), reserve)
	if !covered && !s.fits(len(payload), reserve) {
		s.refused = true
		return 0, ErrFull
	}
	sequence, size, err := s.appendRecord(kindData, key, payload)
	if err != nil {
		return 0, err
	}
	if covered {
		reservation.release()
	}
	e := &entry{reserved: reserve + MaxTombstoneSize, first: location{s.active.number, s.active.size - size, size}}
	s.reservedForKeys += e.reserved
	s.addBytes(e, s.active, size, true)
	s.keys[key] = e
	s.lastKey = max(s.lastKey, key)
	return sequence, nil
}

// Add appends a further record of a live key, if there is space. It may use the space that new keys may not.
func (s *Store) Add(key uint64, payload []byte) (uint64, error) {
	return s.addAndCommit(key, payload, false)
}

// AddReserved is like Add, but uses the space reserved for the key as far as that suffices.
func (s *Store) AddReserved(key uint64, payload []byte) (uint64, error) {
	return s.addAndCommit(key, payload, true)
}

func (s *Store) addAndCommit(key uint64, payload []byte, useReserved bool) (uint64, error) {
	sequence, err := s.add(key, payload, useReserved)
	if err != nil {
		return 0, err
	}
	return sequence, s.commitEach(sequence)
}

func (s *Store) add(key uint64, payload []byte, useReserved bool) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	if e == nil || e.deleted {
		return 0, ErrUnknownKey
	}
	maxSize := segment.RecordSize(len(payload) + maxRecordPrefix)
	if useReserved = useReserved && e.reserved >= maxSize+MaxTombstoneSize; !useReserved && !s.planner.Admit(s.spaceState(), maxSize, 0) {
		s.refused = true
		return 0, ErrFull
	}
	sequence, size, err := s.appendRecord(kindData, key, payload)
	if err != nil {
		return 0, err
	}
	if useReserved {
		e.reserved -= size
		s.reservedForKeys -= size
	}
	s.addBytes(e, s.active, size, true)
	return sequence, nil
}

// Delete deletes a key: the next open returns none of its records. Space for the tombstone is always reserved.
func (s *Store) Delete(key uint64) (uint64, error) {
	sequence, err := s.deleteKey(key)
	if err != nil {
		return 0, err
	}
	return sequence, s.commitEach(sequence)
}

func (s *Store) deleteKey(key uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	if e == nil || e.deleted {
		return 0, ErrUnknownKey
	}
	sequence, size, err := s.appendRecord(kindTombstone, key, nil)
	if err != nil {
		return 0, err
	}
	s.reservedForKeys -= e.reserved
	for _, p := range e.segments {
		if seg := s.segments[p.segment]; seg != nil { // it is missing if the segment was damaged while the store was open
			seg.liveBytes -= p.bytes
		}
	}
	e.reserved, e.deleted, e.tombstoneSegment, e.tombstoneSize = 0, true, s.active.number, size
	if s.tombstoneNeeded(e) {
		s.active.liveBytes += size
	} else {
		delete(s.keys, key) // all its records are in the tombstone's segment, and are removed together with it
	}
	s.refused = false
	return sequence, nil
}

// LastKey returns the highest key known to have been put. Keys above it have never been used.
func (s *Store) LastKey() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastKey
}

// Stats describes the state of a store.
type Stats struct {
	Keys, Segments, Compactions int
	Syncs                       int
	Used, Live, Free            int64 // in bytes
	Due                         bool  // a compaction is running, or would be worthwhile
}

// Stats returns the present state of the store.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Segments: len(s.segments), Compactions: s.compactions, Syncs: s.syncs}
	for _, e := range s.keys {
		if !e.deleted {
			stats.Keys++
		}
	}
	for _, seg := range s.segments {
		stats.Live += seg.liveBytes
	}
	if !s.closed {
		state := s.plannerState()
		stats.Used, stats.Free = s.planner.Used(state), s.planner.Free(state)
		_, worth := s.planner.PickVictim(state, s.refused)
		stats.Due = s.victim != nil || (worth || state.RemovingBytes > 0) && s.failure == nil && !s.compactionBlocked
	}
	return stats
}

// Close closes the store. Unless the durability is SyncNever, it makes all records durable first.
func (s *Store) Close() error {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	var err error
	if s.options.Durability != SyncNever && s.failure == nil && s.durable < s.nextSequence-1 {
		err = s.syncAll()
	}
	s.closed = true
	s.closeFiles()
	return err
}
