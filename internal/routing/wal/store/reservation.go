package store

import "mulleinbeam/internal/routing/wal/segment"

// Reservation is room for a key that is to be put; nobody else gets it meanwhile. The zero value and nil are none.
type Reservation struct {
	store *Store
	bytes int64
}

// room is what a key takes, with a first payload of so many bytes and owed bytes for all that will follow.
func room(payload int, owed int64) int64 { return segment.RecordSize(payload+mostFixed) + owed + MaxTombstoneSize }

// Reserve sets room aside for a key, as Put would take it; false says that there is none now. It is given back by Release, unless a Put
// has used it.
func (s *Store) Reserve(payload int, owed int64) (*Reservation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fits(payload, owed) {
		return nil, false
	}
	r := &Reservation{store: s, bytes: room(payload, owed)}
	s.reserved += r.bytes
	return r, true
}

// Release gives the room back, if it was not used.
func (r *Reservation) Release() {
	if r == nil || r.store == nil {
		return
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.release()
}

// release gives the room back; the store's mu is held.
func (r *Reservation) release() {
	r.store.reserved -= r.bytes
	r.bytes = 0
}

// covers says whether a key can be put into the room; the store's mu is held.
func (r *Reservation) covers(s *Store, payload int, owed int64) bool {
	return r != nil && r.store == s && r.bytes >= room(payload, owed)
}
