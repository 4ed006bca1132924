package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"

	"mulleinbeam/internal/routing/wal/segment"
)

const outputChunkSize = 128 << 10 // bytes per write of a compaction

// copiedRecord is a record that a compaction has copied.
type copiedRecord struct {
	key          uint64
	kind         recordKind
	size         int64
	victimOffset int64
	outputOffset int64
}

// Compact compacts one segment, if one is worth it: it copies the records that are still needed to a new segment and
// removes the old one. throttle, unless nil, is called with the number of bytes before each write, and may block.
// Only one compaction runs at a time; the store remains usable meanwhile.
func (s *Store) Compact(throttle func(bytes int)) (compacted bool, err error) {
	if err := s.rewriteManifest(); err != nil {
		return false, err
	}
	s.removeObsolete()
	s.mu.Lock()
	if s.closed || s.failure != nil || s.victim != nil || s.compactionBlocked {
		defer s.mu.Unlock()
		return false, s.failure
	}
	pick, ok := s.planner.PickVictim(s.plannerState(), s.refused)
	if !ok {
		s.mu.Unlock()
		return false, nil
	}
	victim := s.segments[pick.Number]
	s.victim = victim
	out := &segmentFile{number: s.nextSegment, name: outputName(s.nextSegment), sealedAt: victim.sealedAt}
	s.nextSegment++
	s.mu.Unlock()

	copied, keys, err := s.copyLive(victim, out, throttle)
	if err == nil {
		err = s.publish(victim, out)
	}
	blocked := s.finishCompaction(victim, out, copied, keys, err)
	if blocked {
		s.options.Report(fmt.Sprintf("journal: compaction suspended until it is known which manifest the next open reads: %v", err))
	} else {
		s.removeObsolete()
	}
	if err != nil {
		return false, fmt.Errorf("store: compaction of %s: %w", victim.name, err)
	}
	return true, nil
}

// rewriteManifest writes the manifest again if it is unknown which of two the next open would read. Unless the
// durability is SyncNever, this stays unknown until the store is opened again: a successful sync does not tell what an
// earlier failed one has lost.
func (s *Store) rewriteManifest() error {
	s.mu.Lock()
	if !s.compactionBlocked || s.closed || s.options.Durability != SyncNever {
		s.mu.Unlock()
		return nil
	}
	text := s.encodeManifest()
	s.mu.Unlock()
	if err := s.replaceManifest(text); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactionBlocked = false
	for name, file := range s.obsolete {
		if file.state == possiblyListed {
			s.obsolete[name] = obsoleteFile{size: file.size, state: removalPending}
		}
	}
	return nil
}

// finishCompaction updates the index and the obsolete files after a compaction.
func (s *Store) finishCompaction(victim, out *segmentFile, copied []copiedRecord, keys map[uint64]bool, err error) (blocked bool) {
	if err == nil {
		s.replaceVictim(victim, out, copied, keys)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.victim, s.outputBytes, s.sealedTotals = nil, 0, nil
	if err != nil {
		if s.compactionBlocked = errors.Is(err, errManifestUncertain); s.compactionBlocked && s.options.Durability != SyncNever {
			s.markBroken()
		}
		if out.file != nil {
			s.dropFile(out)
			s.obsolete[out.name] = obsoleteFile{size: out.size}
			if s.compactionBlocked {
				s.obsolete[out.name] = obsoleteFile{size: out.size, state: possiblyListed}
			}
		}
		return s.compactionBlocked
	}
	delete(s.segments, victim.number)
	s.compactions++
	s.refused = false
	s.dropFile(victim)
	s.obsolete[victim.name] = obsoleteFile{size: victim.size}
	return false
}

// removeObsolete removes files that are no longer in use, and retries removals that failed. Removing large files takes
// time, so s.mu is not held meanwhile.
func (s *Store) removeObsolete() {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.obsolete))
	names = slices.DeleteFunc(names, func(name string) bool { return s.obsolete[name].state == possiblyListed })
	s.mu.Unlock()
	for _, name := range names {
		err := s.options.FS.Remove(name)
		s.mu.Lock()
		if err == nil || errors.Is(err, fs.ErrNotExist) {
			delete(s.obsolete, name)
		} else {
			s.obsolete[name] = obsoleteFile{size: s.obsolete[name].size, state: removalOverdue}
		}
		s.mu.Unlock()
	}
}

// copyLive copies the records of a segment that are still needed. keys is the set of all keys with records in it. If
// no record is needed, no output file is created.
func (s *Store) copyLive(victim, out *segmentFile, throttle func(int)) (copied []copiedRecord, keys map[uint64]bool, err error) {
	live, keys, err := s.findLive(victim)
	if err != nil || len(live) == 0 {
		return nil, keys, err
	}
	scanner, err := segment.NewScanner(io.NewSectionReader(victim.file, 0, victim.size))
	if err != nil {
		return nil, nil, err
	}
	header := segment.Header{StoreID: s.storeID, Number: out.number}
	var buf []byte
	flush := func() error {
		if len(buf) == 0 {
			return nil
		}
		if throttle != nil {
			throttle(len(buf))
		}
		if out.file == nil {
			if out.file, err = s.options.FS.Create(out.name); err != nil {
				return err
			}
		}
		s.mu.Lock() // its space is reserved already; this makes it count as used
		s.outputBytes = out.size
		s.mu.Unlock()
		n, err := out.file.Write(buf)
		if err == nil && n < len(buf) {
			err = io.ErrShortWrite
		}
		buf = buf[:0]
		return err
	}
	for rec, ok := scanner.Next(); ok; rec, ok = scanner.Next() {
		if !live[rec.Offset] {
			continue
		}
		kind, _, key, _, err := decodeRecord(rec.Payload)
		if err != nil {
			return nil, nil, err // findLive has just read it
		}
		if out.size == 0 {
			buf = segment.AppendHeader(buf, header)
			out.size = segment.HeaderSize
		}
		before := len(buf)
		if buf, err = segment.Append(buf, header, out.size, rec.Payload); err != nil {
			return nil, nil, err
		}
		size := int64(len(buf) - before)
		copied = append(copied, copiedRecord{key, kind, size, rec.Offset, out.size})
		out.size += size
		if len(buf) >= outputChunkSize {
			if err := flush(); err != nil {
				return nil, nil, err
			}
		}
	}
	if err := errors.Join(scanner.Err(), flush()); err != nil {
		return nil, nil, err
	}
	if out.file != nil && s.options.Durability != SyncNever {
		if err := out.file.Sync(); err != nil {
			return nil, nil, err
		}
		// The directory entry has to be durable before the manifest that lists the file: changes of a directory may
		// become durable in any order.
		if err := s.syncDir(); err != nil {
			return nil, nil, err
		}
	}
	out.syncedBytes = out.size
	return copied, keys, nil
}

// findLive returns the offsets of a segment's records that are still needed, and all keys with records in it. It looks
// up many records per acquisition of s.mu, since appends need the same lock.
func (s *Store) findLive(victim *segmentFile) (live map[int64]bool, keys map[uint64]bool, err error) {
	live, keys = map[int64]bool{}, map[uint64]bool{}
	scanner, err := segment.NewScanner(io.NewSectionReader(victim.file, 0, victim.size))
	if err != nil {
		if errors.Is(err, segment.ErrNotSegment) { // reported when the store was opened
			return nil, keys, nil
		}
		return nil, nil, err
	}
	type foundRecord struct {
		key    uint64
		offset int64
		kind   recordKind
	}
	batch := make([]foundRecord, 0, lockBatchSize)
	lookUp := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range batch {
			if s.isLive(r.kind, r.key, victim) {
				live[r.offset] = true
			}
		}
		batch = batch[:0]
	}
	for rec, ok := scanner.Next(); ok; rec, ok = scanner.Next() {
		kind, _, key, _, err := decodeRecord(rec.Payload)
		if err != nil {
			continue // reported when the store was opened
		}
		keys[key] = true
		if batch = append(batch, foundRecord{key, rec.Offset, kind}); len(batch) == lockBatchSize {
			lookUp()
		}
	}
	lookUp()
	return live, keys, scanner.Err()
}

// isLive reports whether a record of a segment is still needed; s.mu is held.
func (s *Store) isLive(kind recordKind, key uint64, victim *segmentFile) bool {
	e := s.keys[key]
	switch {
	case e == nil:
		return false
	case kind == kindTombstone:
		return e.deleted && e.tombstoneSegment == victim.number && s.tombstoneNeeded(e)
	}
	return !e.deleted
}

// publish replaces the manifest by one that lists the output instead of the victim. Until it returns both files exist,
// and an open reads either manifest. After errManifestUncertain either may be the durable one: both files stay, and no
// further compaction starts.
func (s *Store) publish(victim, out *segmentFile) error {
	s.mu.Lock()
	if s.failure != nil { // records that were not durable were truncated, perhaps while they were being copied
		defer s.mu.Unlock()
		return s.failure
	}
	delete(s.segments, victim.number)
	if out.file != nil {
		s.segments[out.number] = out
	}
	text := s.encodeManifest()
	s.segments[victim.number] = victim
	delete(s.segments, out.number)
	s.mu.Unlock()
	return s.replaceManifest(text)
}

// lockBatchSize is the number of records or keys processed per acquisition of s.mu, so that appends can run in
// between.
const lockBatchSize = 256

// replaceVictim replaces the victim by the output in the index, in small batches. Both are in the index meanwhile:
// copied records are added to the output before they are removed from the victim, so that a key that is deleted in
// between always counts the bytes that its tombstone must outlive.
func (s *Store) replaceVictim(victim, out *segmentFile, copied []copiedRecord, keys map[uint64]bool) {
	s.mu.Lock()
	if out.file != nil {
		s.segments[out.number] = out
	}
	victim.replaced = true
	s.outputBytes, s.sealedTotals = 0, nil
	s.mu.Unlock()
	for chunk := range slices.Chunk(copied, lockBatchSize) {
		s.mu.Lock()
		for _, record := range chunk {
			s.addCopied(victim, out, record)
		}
		s.mu.Unlock()
	}
	for chunk := range slices.Chunk(slices.Collect(maps.Keys(keys)), lockBatchSize) {
		s.mu.Lock()
		for _, key := range chunk {
			s.removeVictimBytes(victim, key)
		}
		s.mu.Unlock()
	}
}

// addCopied adds a copied record to the index; s.mu is held.
func (s *Store) addCopied(victim, out *segmentFile, record copiedRecord) {
	e := s.keys[record.key]
	switch {
	case e == nil:
	case record.kind == kindTombstone:
		if e.deleted && e.tombstoneSegment == victim.number {
			e.tombstoneSegment, e.tombstoneSize = out.number, record.size
			out.liveBytes += record.size
		}
	default: // if the key was deleted meanwhile the bytes are dead, and its tombstone must outlive them
		s.addBytes(e, out, record.size, !e.deleted)
		if e.first.segment == victim.number && e.first.offset == record.victimOffset {
			e.first = location{out.number, record.outputOffset, record.size}
		}
	}
}

// removeVictimBytes removes a victim's bytes of a key from the index; s.mu is held.
func (s *Store) removeVictimBytes(victim *segmentFile, key uint64) {
	e := s.keys[key]
	if e == nil {
		return
	}
	e.segments = slices.DeleteFunc(e.segments, func(p keySegment) bool { return p.segment == victim.number })
	if e.deleted && !s.tombstoneNeeded(e) {
		if seg := s.segments[e.tombstoneSegment]; seg != nil {
			seg.liveBytes -= e.tombstoneSize
		}
		delete(s.keys, key)
	}
}
