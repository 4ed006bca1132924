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

// openActive begins a segment; s.mu is held, or nobody else is there yet.
func (s *Store) openActive() error {
	g := &file{number: s.next, name: segName(s.next)}
	s.next++ // also where it fails: what it may leave has that name
	f, err := s.o.FS.Create(g.name)
	if err != nil {
		return fmt.Errorf("store: segment: %w", err)
	}
	head := segment.AppendHeader(nil, segment.Header{StoreID: s.head, Number: g.number})
	if _, err = f.Write(head); err != nil {
		s.leftover[g.name] = leftover{size: int64(len(head)), state: stranded}
		return errors.Join(fmt.Errorf("store: segment: %w", err), f.Close())
	}
	g.f, g.size = f, int64(len(head))
	s.files[g.number], s.active, s.totals, s.names = g, g, nil, true
	return nil
}

// space is what the planner is shown of the store's space, without the single segments; s.mu is held.
func (s *Store) space() plan.State {
	if s.totals == nil { // the set of sealed segments has changed
		s.totals = &plan.Totals{}
		for _, g := range s.files {
			if g != s.active && !g.replaced {
				s.totals.Add(s.plan, g.size, g.size)
			}
		}
	}
	st := plan.State{ActiveBytes: s.active.size + s.active.torn, OutputBytes: s.written, ReservedBytes: s.owed + s.reserved, Totals: s.totals}
	listed := len(s.files)
	if s.victim != nil && s.victim.replaced { // it is in the books beside its output, and in no manifest
		listed--
		st.RemovingBytes = blocks(s.victim.size)
	}
	st.OtherBytes = 2 * paper(listed)
	for _, l := range s.leftover {
		if l.state == stranded {
			st.OtherBytes += blocks(l.size)
		} else {
			st.RemovingBytes += blocks(l.size)
		}
	}
	return st
}

// state is all of that; s.mu is held.
func (s *Store) state() plan.State {
	st := s.space()
	for _, g := range s.files {
		switch {
		case g == s.active, g.replaced:
		case g == s.victim:
			v := s.planned(g)
			st.Victim = &v
		default:
			st.Sealed = append(st.Sealed, s.planned(g))
		}
	}
	return st
}

// paper is what a manifest of so many segments takes, at the most.
func paper(segments int) int64 { return blocks(int64((segments+4)*24 + 256)) }

// planned is a sealed segment in the planner's terms. Its age is told by the records since: they stand for time, so that
// equal runs give equal choices.
func (s *Store) planned(g *file) plan.Segment {
	return plan.Segment{Number: g.number, Size: g.size, LiveBytes: g.live, Age: time.Duration(s.record-g.sealed) * time.Millisecond}
}

// write appends a record to the active segment; s.mu is held. No half of one is left before the next.
func (s *Store) write(k kind, key uint64, payload []byte) (num uint64, size int64, err error) {
	switch {
	case s.closed:
		return 0, 0, ErrClosed
	case s.failed != nil:
		return 0, 0, s.failed
	}
	num = s.record
	b := append(s.buf[:0], byte(k))
	b = binary.AppendUvarint(binary.AppendUvarint(b, num), key)
	b = append(b, payload...)
	s.buf = b[:0]
	size = segment.RecordSize(len(b))
	if err := s.repair(); err != nil {
		return 0, 0, err
	}
	if s.plan.ShouldSeal(plan.State{ActiveBytes: s.active.size}, size) {
		if err := s.seal(); err != nil {
			return 0, 0, err
		}
	}
	g := s.active
	rec, err := segment.Append(make([]byte, 0, size), segment.Header{StoreID: s.head, Number: g.number}, g.size, b)
	if err != nil {
		return 0, 0, fmt.Errorf("store: %w", err)
	}
	if _, err := g.f.Write(rec); err != nil {
		g.torn = size          // at the most: a write that fails may leave a part that it does not tell of
		repaired := s.repair() // else before the next write
		if errors.Is(err, syscall.EFBIG) && repaired == nil && s.active == g && g.size > segment.HeaderSize {
			if s.seal() == nil { // files may not be as large as that: the next one has room again
				return s.write(k, key, payload)
			}
		}
		return 0, 0, fmt.Errorf("store: write: %w", err)
	}
	g.size += size
	s.record++
	return num, size, nil
}

// repair takes away the part of a record that a failed write has left, or leaves it behind as the end of its segment, where
// a scan passes over it.
func (s *Store) repair() error {
	g := s.active
	if g.torn == 0 {
		return nil
	}
	if there, err := g.f.Size(); err == nil {
		g.torn = max(0, there-g.size)
	}
	if g.torn == 0 {
		return nil
	}
	cut := g.f.Truncate(g.size)
	if cut == nil {
		g.torn = 0
		return nil
	}
	g.size += g.torn
	if err := s.seal(); err != nil {
		g.size -= g.torn
		return errors.Join(cut, err)
	}
	s.totals = nil
	g.torn = 0
	return nil
}

// seal ends the active segment and begins the next.
func (s *Store) seal() error {
	old := s.active
	if err := s.openActive(); err != nil {
		return err
	}
	old.sealed = s.record
	return nil
}

// Commit returns once all records up to a number outlast what the store's durability says. Those that wait at once are
// served by one sync; appends go on beside it. A sync that failed is final: nobody can tell what of the segments is on the
// disk. What was not durable is taken back then, so that the next start does not find what was never promised.
func (s *Store) Commit(num uint64) error {
	if s.o.Durability == SyncNever {
		return nil
	}
	s.syncing.Lock()
	defer s.syncing.Unlock()
	s.mu.Lock()
	if up := min(num, s.record-1); s.synced >= up || s.failed != nil || s.closed {
		defer s.mu.Unlock()
		switch {
		case s.failed != nil:
			return s.failed
		case s.synced < up:
			return ErrClosed
		}
		return nil
	}
	err := s.syncAll()
	s.mu.Unlock()
	return err
}

// DurableSequence is the number up to which all records are known to outlast the machine.
func (s *Store) DurableSequence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// syncAll makes all records up to now durable. s.syncing and s.mu are held; s.mu is not while the disk works.
func (s *Store) syncAll() error {
	up, names := s.record-1, s.names
	type want struct {
		g    *file
		size int64
	}
	var list []want
	for _, g := range s.ordered() {
		if g.synced < g.size {
			g.users++
			list = append(list, want{g, g.size})
		}
	}
	s.names = false
	s.syncs++
	s.mu.Unlock()
	var err error
	for _, w := range list {
		if err = w.g.f.Sync(); err != nil {
			err = fmt.Errorf("%w: sync of %s: %w", ErrFailed, w.g.name, err)
			break
		}
	}
	if err == nil && names { // else a power cut could take a file with all that is synced in it
		if err = s.syncDir(); err != nil {
			err = fmt.Errorf("%w: sync of the folder: %w", ErrFailed, err)
		}
	}
	s.mu.Lock()
	if err != nil {
		s.failed = err
		s.breakDown()
		for _, g := range s.files {
			if g.synced < g.size {
				_ = g.f.Truncate(g.synced) // if not, the next start finds what it finds
			}
		}
	} else {
		s.synced = max(s.synced, up)
	}
	for _, w := range list {
		if err == nil {
			w.g.synced = max(w.g.synced, w.size)
		}
		w.g.unused()
	}
	return err
}

// settle is the end of an append: with Each it waits for the disk. s.mu is not held.
func (s *Store) settle(num uint64) error {
	if s.o.Durability != SyncEach {
		return nil
	}
	return s.Commit(num)
}

// Fits says whether a key with a first payload of so many bytes could be put, with owed bytes for all that will follow:
// see Put.
func (s *Store) Fits(payload int, owed int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fits(payload, owed)
}

func (s *Store) fits(payload int, owed int64) bool {
	st := s.space()
	st.OtherBytes += s.o.SpareBytes
	return s.plan.Admit(st, segment.RecordSize(payload+mostFixed), owed+MaxTombstoneSize)
}

// NoteRefusal tells that work was turned away for want of room: what can be gained is compacted now, and as fast as it goes.
func (s *Store) NoteRefusal() {
	s.mu.Lock()
	s.refused = true
	s.mu.Unlock()
}

// CompactionRate is how many bytes a second the compaction under way should move, with so many bytes a second appended beside it.
func (s *Store) CompactionRate(rate float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.active == nil {
		return math.Inf(1)
	}
	st := s.space()
	st.AppendRate = rate
	if s.victim != nil && !s.victim.replaced {
		v := s.planned(s.victim)
		st.Victim = &v
	}
	return s.plan.CompactionRate(st, s.refused)
}

// Put appends the first record of a key that lives from now on, and sets room aside for what follows it: its end, and owed
// bytes for further records, each with segment.RecordHead and some 20 bytes of its own. ErrFull says that there is no room
// for all of that now. It gives the record's number, for Commit.
func (s *Store) Put(key uint64, payload []byte, owed int64) (uint64, error) {
	return s.PutReserved(nil, key, payload, owed)
}

// PutReserved is Put with a reservation for as much at the least: there is room, whatever has come between. Where the disk fails the
// reservation stands.
func (s *Store) PutReserved(reserved *Reservation, key uint64, payload []byte, owed int64) (uint64, error) {
	num, err := s.put(key, payload, owed, reserved)
	if err != nil {
		return 0, err
	}
	return num, s.settle(num)
}

func (s *Store) put(key uint64, payload []byte, owed int64, reserved *Reservation) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys[key]; e != nil {
		return 0, fmt.Errorf("store: key %d is there", key)
	}
	covered := reserved.covers(s, len(payload), owed)
	if !covered && !s.fits(len(payload), owed) {
		s.refused = true
		return 0, ErrFull
	}
	num, size, err := s.write(kindData, key, payload)
	if err != nil {
		return 0, err
	}
	if covered {
		reserved.release()
	}
	e := &entry{owed: owed + MaxTombstoneSize, first: place{s.active.number, s.active.size - size, size}}
	s.owed += e.owed
	s.addPart(e, s.active, size, true)
	s.keys[key] = e
	s.lastKey = max(s.lastKey, key)
	return num, nil
}

// Add appends a further record of a living key, if there is room; what new keys leave is for these.
func (s *Store) Add(key uint64, payload []byte) (uint64, error) { return s.addOut(key, payload, false) }

// AddReserved appends one out of the room that is set aside for its key, and beyond that as Add does.
func (s *Store) AddReserved(key uint64, payload []byte) (uint64, error) {
	return s.addOut(key, payload, true)
}

func (s *Store) addOut(key uint64, payload []byte, owed bool) (uint64, error) {
	num, err := s.add(key, payload, owed)
	if err != nil {
		return 0, err
	}
	return num, s.settle(num)
}

func (s *Store) add(key uint64, payload []byte, owed bool) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	if e == nil || e.ended {
		return 0, ErrUnknownKey
	}
	most := segment.RecordSize(len(payload) + mostFixed)
	if owed = owed && e.owed >= most+MaxTombstoneSize; !owed && !s.plan.Admit(s.space(), most, 0) {
		s.refused = true
		return 0, ErrFull
	}
	num, size, err := s.write(kindData, key, payload)
	if err != nil {
		return 0, err
	}
	if owed {
		e.owed -= size
		s.owed -= size
	}
	s.addPart(e, s.active, size, true)
	return num, nil
}

// Delete ends a key: none of its records is given at a later start. Room for it is always set aside.
func (s *Store) Delete(key uint64) (uint64, error) {
	num, err := s.end(key)
	if err != nil {
		return 0, err
	}
	return num, s.settle(num)
}

func (s *Store) end(key uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	if e == nil || e.ended {
		return 0, ErrUnknownKey
	}
	num, size, err := s.write(kindEnd, key, nil)
	if err != nil {
		return 0, err
	}
	s.owed -= e.owed
	for _, p := range e.parts {
		if g := s.files[p.seg]; g != nil { // it can be gone if it was damaged under this store's hands
			g.live -= p.bytes
		}
	}
	e.owed, e.ended, e.tomb, e.size = 0, true, s.active.number, size
	if s.needed(e) {
		s.active.live += size
	} else {
		delete(s.keys, key) // all of it stands in one segment, and goes with it
	}
	s.refused = false
	return num, nil
}

// LastKey is the highest key ever put, as far as is known: keys above it were never used.
func (s *Store) LastKey() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastKey
}

// Stats tells how the store stands.
type Stats struct {
	Keys, Segments, Compactions int
	Syncs                       int   // of all that was not durable
	Used, Live, Free            int64 // bytes
	Due                         bool  // a compaction is under way, or would be worth it
}

// Stats tells how the store stands now.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Segments: len(s.files), Compactions: s.compacts, Syncs: s.syncs}
	for _, e := range s.keys {
		if !e.ended {
			st.Keys++
		}
	}
	for _, g := range s.files {
		st.Live += g.live
	}
	if !s.closed {
		state := s.state()
		st.Used, st.Free = s.plan.Used(state), s.plan.Free(state)
		_, worth := s.plan.PickVictim(state, s.refused)
		st.Due = s.victim != nil || (worth || state.RemovingBytes > 0) && s.failed == nil && !s.stuck
	}
	return st
}

// Close ends the store; with a durability beyond the process's end all of it is durable then.
func (s *Store) Close() error {
	s.syncing.Lock()
	defer s.syncing.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	var err error
	if s.o.Durability != SyncNever && s.failed == nil && s.synced < s.record-1 {
		err = s.syncAll()
	}
	s.closed = true
	s.closeFiles()
	return err
}
