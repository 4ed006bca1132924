package store

import "mulleinbeam/internal/routing/wal/segment"

// Reservation is space reserved for a key that is to be put. The zero value and nil reserve nothing.
type Reservation struct {
	store *Store
	bytes int64
}

// requiredBytes returns the space that a key takes, with a first payload of so many bytes and so many bytes reserved
// for later records.
func requiredBytes(payload int, reserve int64) int64 {
	return segment.RecordSize(payload+maxRecordPrefix) + reserve + MaxTombstoneSize
}

// Reserve reserves the space that Put would need for a key. It returns false if there is no space now. The space is
// returned by Release, unless PutReserved has used it.
func (s *Store) Reserve(payload int, reserve int64) (*Reservation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fits(payload, reserve) {
		return nil, false
	}
	r := &Reservation{store: s, bytes: requiredBytes(payload, reserve)}
	s.reservedForPuts += r.bytes
	return r, true
}

// Release returns the reserved space, unless it was used.
func (r *Reservation) Release() {
	if r == nil || r.store == nil {
		return
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.release()
}

// release returns the reserved space; the store's mu is held.
func (r *Reservation) release() {
	r.store.reservedForPuts -= r.bytes
	r.bytes = 0
}

// covers reports whether the reservation is large enough for a key; the store's mu is held.
func (r *Reservation) covers(s *Store, payload int, reserve int64) bool {
	return r != nil && r.store == s && r.bytes >= requiredBytes(payload, reserve)
}
