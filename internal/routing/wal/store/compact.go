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

const outStep = 128 << 10 // bytes that a compaction writes at once

// moved is a record that a compaction has copied.
type moved struct {
	key   uint64
	k     kind
	bytes int64
	from  int64 // its offset in the victim,
	to    int64 // and in the output
}

// Compact compacts one segment, if there is one worth it: what is still needed of it goes to a new one, and the old one
// goes. pace is asked before each further step of so many bytes and may wait; nil does not. One compaction at a time; the
// store goes on beside it.
func (s *Store) Compact(pace func(bytes int)) (did bool, err error) {
	if err := s.settleManifest(); err != nil {
		return false, err
	}
	s.empty()
	s.mu.Lock()
	if s.closed || s.failed != nil || s.victim != nil || s.stuck {
		defer s.mu.Unlock()
		return false, s.failed
	}
	pick, ok := s.plan.PickVictim(s.state(), s.refused)
	if !ok {
		s.mu.Unlock()
		return false, nil
	}
	victim := s.files[pick.Number]
	s.victim = victim
	out := &file{number: s.next, name: outName(s.next), sealed: victim.sealed}
	s.next++
	s.mu.Unlock()

	list, keys, err := s.copyLive(victim, out, pace)
	if err == nil {
		err = s.publish(victim, out)
	}
	stuck := s.conclude(victim, out, list, keys, err)
	if stuck {
		s.o.Report(fmt.Sprintf("journal: no compaction until it is known which segments the next start counts: %v", err))
	} else {
		s.empty()
	}
	if err != nil {
		return false, fmt.Errorf("store: compaction of %s: %w", victim.name, err)
	}
	return true, nil
}

// settleManifest writes the manifest again where it is not known which of two the next start would find. Where it has to outlast the
// machine that stays so until the next start: a sync that works tells nothing of what one that failed has lost.
func (s *Store) settleManifest() error {
	s.mu.Lock()
	if !s.stuck || s.closed || s.o.Durability != SyncNever {
		s.mu.Unlock()
		return nil
	}
	text := s.manifestBytes()
	s.mu.Unlock()
	if err := s.replaceManifest(text); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = false
	for name, l := range s.leftover {
		if l.state == kept {
			s.leftover[name] = leftover{size: l.size, state: removing}
		}
	}
	return nil
}

// conclude books a compaction's end.
func (s *Store) conclude(victim, out *file, list []moved, keys map[uint64]bool, err error) (stuck bool) {
	if err == nil {
		s.replace(victim, out, list, keys)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.victim, s.written, s.totals = nil, 0, nil
	if err != nil {
		if s.stuck = errors.Is(err, errUncertain); s.stuck && s.o.Durability != SyncNever {
			s.breakDown()
		}
		if out.f != nil {
			s.forsake(out)
			s.leftover[out.name] = leftover{size: out.size}
			if s.stuck {
				s.leftover[out.name] = leftover{size: out.size, state: kept}
			}
		}
		return s.stuck
	}
	delete(s.files, victim.number)
	s.compacts++
	s.refused = false
	s.forsake(victim)
	s.leftover[victim.name] = leftover{size: victim.size}
	return false
}

// empty removes files that count no more; what can't be removed now is tried again. Large files take their time, and
// appends go on meanwhile.
func (s *Store) empty() {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.leftover))
	names = slices.DeleteFunc(names, func(name string) bool { return s.leftover[name].state == kept })
	s.mu.Unlock()
	for _, name := range names {
		err := s.o.FS.Remove(name)
		s.mu.Lock()
		if err == nil || errors.Is(err, fs.ErrNotExist) {
			delete(s.leftover, name)
		} else {
			s.leftover[name] = leftover{size: s.leftover[name].size, state: stranded}
		}
		s.mu.Unlock()
	}
}

// copyLive copies what is needed of a segment; keys are all that it has records of. A victim that nothing is needed of
// gives no file.
func (s *Store) copyLive(victim, out *file, pace func(int)) (list []moved, keys map[uint64]bool, err error) {
	wanted, keys, err := s.survey(victim)
	if err != nil || len(wanted) == 0 {
		return nil, keys, err
	}
	sc, err := segment.NewScanner(io.NewSectionReader(victim.f, 0, victim.size))
	if err != nil {
		return nil, nil, err
	}
	head := segment.Header{StoreID: s.head, Number: out.number}
	var buf []byte
	flush := func() error {
		if len(buf) == 0 {
			return nil
		}
		if pace != nil {
			pace(len(buf))
		}
		if out.f == nil {
			if out.f, err = s.o.FS.Create(out.name); err != nil {
				return err
			}
		}
		s.mu.Lock() // room for it is kept free already; what counts is that it is seen as used
		s.written = out.size
		s.mu.Unlock()
		n, err := out.f.Write(buf)
		if err == nil && n < len(buf) {
			err = io.ErrShortWrite
		}
		buf = buf[:0]
		return err
	}
	for rec, ok := sc.Next(); ok; rec, ok = sc.Next() {
		if !wanted[rec.Offset] {
			continue
		}
		k, _, key, _, err := decode(rec.Payload)
		if err != nil {
			return nil, nil, err // it could be read a moment ago
		}
		if out.size == 0 {
			buf = segment.AppendHeader(buf, head)
			out.size = segment.HeaderSize
		}
		before := len(buf)
		if buf, err = segment.Append(buf, head, out.size, rec.Payload); err != nil {
			return nil, nil, err
		}
		bytes := int64(len(buf) - before)
		list = append(list, moved{key, k, bytes, rec.Offset, out.size})
		out.size += bytes
		if len(buf) >= outStep {
			if err := flush(); err != nil {
				return nil, nil, err
			}
		}
	}
	if err := errors.Join(sc.Err(), flush()); err != nil {
		return nil, nil, err
	}
	if out.f != nil && s.o.Durability != SyncNever {
		if err := out.f.Sync(); err != nil {
			return nil, nil, err
		}
		// Its name lasts before the manifest that counts it does: a folder's changes may get through in any order.
		if err := s.syncDir(); err != nil {
			return nil, nil, err
		}
	}
	out.synced = out.size
	return list, keys, nil
}

// survey goes through a segment for what is still needed of it, by offset, and for all keys that it has records of. It asks
// the books about many records at a time, since who appends wants the same lock.
func (s *Store) survey(victim *file) (wanted map[int64]bool, keys map[uint64]bool, err error) {
	wanted, keys = map[int64]bool{}, map[uint64]bool{}
	sc, err := segment.NewScanner(io.NewSectionReader(victim.f, 0, victim.size))
	if err != nil {
		if errors.Is(err, segment.ErrNotSegment) { // it was reported at the start
			return nil, keys, nil
		}
		return nil, nil, err
	}
	type seen struct {
		key    uint64
		offset int64
		k      kind
	}
	list := make([]seen, 0, atOnce)
	ask := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range list {
			if s.wants(r.k, r.key, victim) {
				wanted[r.offset] = true
			}
		}
		list = list[:0]
	}
	for rec, ok := sc.Next(); ok; rec, ok = sc.Next() {
		k, _, key, _, err := decode(rec.Payload)
		if err != nil {
			continue // it was reported at the start
		}
		keys[key] = true
		if list = append(list, seen{key, rec.Offset, k}); len(list) == atOnce {
			ask()
		}
	}
	ask()
	return wanted, keys, sc.Err()
}

// wants says whether a record of a segment is still needed; s.mu is held.
func (s *Store) wants(k kind, key uint64, victim *file) bool {
	e := s.keys[key]
	switch {
	case e == nil:
		return false
	case k == kindEnd:
		return e.ended && e.tomb == victim.number && s.needed(e)
	}
	return !e.ended
}

// publish makes the manifest count the output in the victim's place. Until it returns, both are there; a start in between
// finds one of the two. With errUncertain either may be found: both stay then, and no other compaction begins.
func (s *Store) publish(victim, out *file) error {
	s.mu.Lock()
	if s.failed != nil { // what was not durable was taken back, perhaps under the copying's hands
		defer s.mu.Unlock()
		return s.failed
	}
	delete(s.files, victim.number)
	if out.f != nil {
		s.files[out.number] = out
	}
	text := s.manifestBytes()
	s.files[victim.number] = victim
	delete(s.files, out.number)
	s.mu.Unlock()
	return s.replaceManifest(text)
}

// atOnce is how many records or keys are booked under the lock in one go: appends come in between.
const atOnce = 256

// replace books an output in its victim's place, a little at a time. Until it is done both are in the books: what was copied
// counts in the output first, and only then no longer in the victim, so that a key that ends in between never lacks the
// part that its end must outlive.
func (s *Store) replace(victim, out *file, list []moved, keys map[uint64]bool) {
	s.mu.Lock()
	if out.f != nil {
		s.files[out.number] = out
	}
	victim.replaced = true
	s.written, s.totals = 0, nil
	s.mu.Unlock()
	for chunk := range slices.Chunk(list, atOnce) {
		s.mu.Lock()
		for _, m := range chunk {
			s.arrive(victim, out, m)
		}
		s.mu.Unlock()
	}
	for chunk := range slices.Chunk(slices.Collect(maps.Keys(keys)), atOnce) {
		s.mu.Lock()
		for _, key := range chunk {
			s.leave(victim, key)
		}
		s.mu.Unlock()
	}
}

// arrive books a record that was copied; s.mu is held.
func (s *Store) arrive(victim, out *file, m moved) {
	e := s.keys[m.key]
	switch {
	case e == nil:
	case m.k == kindEnd:
		if e.ended && e.tomb == victim.number {
			e.tomb, e.size = out.number, m.bytes
			out.live += m.bytes
		}
	default: // dead bytes, too, if the key has ended meanwhile: its end must outlive them
		s.addPart(e, out, m.bytes, !e.ended)
		if e.first.seg == victim.number && e.first.offset == m.from {
			e.first = place{out.number, m.to, m.bytes}
		}
	}
}

// leave takes what a segment had of a key out of the books; s.mu is held.
func (s *Store) leave(victim *file, key uint64) {
	e := s.keys[key]
	if e == nil {
		return
	}
	e.parts = slices.DeleteFunc(e.parts, func(p part) bool { return p.seg == victim.number })
	if e.ended && !s.needed(e) {
		if g := s.files[e.tomb]; g != nil {
			g.live -= e.size
		}
		delete(s.keys, key)
	}
}
