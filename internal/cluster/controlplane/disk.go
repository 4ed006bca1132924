package controlplane

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/store"
)

const (
	diskBound   = 32 << 20
	diskSegment = 1 << 20
	keptFirst   = 1 // the first octet of a record says what it is
)

const (
	keptHard = iota + keptFirst
	keptEntry
	keptSnapshot
)

// RaftStore keeps what a core has to keep in the journal's store, in a folder of its own. Its methods are not safe for concurrent
// use.
type RaftStore struct {
	store *store.Store
	next  uint64
	hard  uint64            // the keys of what counts
	snap  uint64            //
	log   map[uint64]uint64 // by index
}

// OpenRaftStore opens a folder and gives what it has. Damage that the store finds goes to report; a log with a hole in it is an
// error, since a founder without a part of its past must not vote.
func OpenRaftStore(fs fsys.FS, report func(string)) (*RaftStore, DurableState, error) {
	k := &RaftStore{next: 1, log: map[uint64]uint64{}}
	var d DurableState
	entries := map[uint64]raftpb.Entry{}
	var bad error
	var err error
	k.store, err = store.Open(store.Options{
		FS: fs, Bound: diskBound, Segment: diskSegment, Durability: store.Batch, Seed: 1, Report: report,
	}, func(r store.Record) {
		if len(r.Payload) == 0 {
			return
		}
		switch r.Payload[0] {
		case keptHard:
			k.hard, d.Hard = r.Key, raftpb.HardState{}
			bad = errors.Join(bad, d.Hard.Unmarshal(r.Payload[1:]))
		case keptSnapshot:
			k.snap, d.Snapshot = r.Key, raftpb.Snapshot{}
			bad = errors.Join(bad, d.Snapshot.Unmarshal(r.Payload[1:]))
		case keptEntry:
			var e raftpb.Entry
			if err := e.Unmarshal(r.Payload[1:]); err != nil {
				bad = errors.Join(bad, err)
				return
			}
			for i := range entries { // what stood behind it went another way
				if i > e.Index {
					delete(entries, i)
				}
			}
			entries[e.Index], k.log[e.Index] = e, r.Key
		}
	})
	if err != nil {
		return nil, d, fmt.Errorf("council: %w", err)
	}
	if bad != nil {
		return nil, d, errors.Join(fmt.Errorf("council: unreadable: %w", bad), k.store.Close())
	}
	k.next = k.store.LastKey() + 1
	for i := max(d.Snapshot.Metadata.Index, firstIndex) + 1; ; i++ { // the founding snapshot is not kept: all begin with it
		e, ok := entries[i]
		if !ok {
			break
		}
		d.Entries = append(d.Entries, e)
	}
	return k, d, nil
}

// Save keeps one step's part; it has been kept when it returns. Behind an error it may be called with the same part again.
func (k *RaftStore) Save(d DurableState) error {
	if d.Empty() {
		return nil
	}
	var last uint64
	put := func(kind byte, data []byte) (key uint64, err error) {
		key = k.next
		last, err = k.store.Put(key, append([]byte{kind}, data...), 0)
		k.next++
		return key, err
	}
	end := func(key uint64) error {
		if key == 0 {
			return nil
		}
		num, err := k.store.End(key)
		if last = max(last, num); errors.Is(err, store.ErrUnknown) {
			return nil
		}
		return err
	}
	replace := func(kept *uint64, kind byte, data []byte) error { // the old one goes once the new one is there
		key, err := put(kind, data)
		if err != nil {
			return err
		}
		old := *kept
		*kept = key
		return end(old)
	}
	if !raft.IsEmptySnap(d.Snapshot) {
		data, err := d.Snapshot.Marshal()
		if err != nil {
			return fmt.Errorf("council: %w", err)
		}
		if err := replace(&k.snap, keptSnapshot, data); err != nil {
			return fmt.Errorf("council: %w", err)
		}
		for index, key := range k.log {
			if d.Reset || index <= d.Snapshot.Metadata.Index {
				if err := end(key); err != nil {
					return fmt.Errorf("council: %w", err)
				}
				delete(k.log, index)
			}
		}
	}
	for _, e := range d.Entries {
		if e.Index <= d.Snapshot.Metadata.Index {
			continue
		}
		data, err := e.Marshal()
		if err != nil {
			return fmt.Errorf("council: %w", err)
		}
		key, err := put(keptEntry, data)
		if err != nil {
			return fmt.Errorf("council: %w", err)
		}
		for index, old := range k.log { // it replaces one of its place and all behind that
			if index >= e.Index {
				if err := end(old); err != nil {
					return fmt.Errorf("council: %w", err)
				}
				delete(k.log, index)
			}
		}
		k.log[e.Index] = key
	}
	if !raft.IsEmptyHardState(d.Hard) {
		data, err := d.Hard.Marshal()
		if err != nil {
			return fmt.Errorf("council: %w", err)
		}
		if err := replace(&k.hard, keptHard, data); err != nil {
			return fmt.Errorf("council: %w", err)
		}
	}
	if err := k.store.Commit(last); err != nil {
		return fmt.Errorf("council: %w", err)
	}
	k.compact()
	return nil
}

// compact gains room where that is worth it. What fails is tried again behind the next Save: what was to be kept is.
func (k *RaftStore) compact() {
	for did, err := true, error(nil); did && err == nil; {
		did, err = k.store.Compact(nil)
	}
}

// Broken is closed once only the next start can keep anything.
func (k *RaftStore) Broken() <-chan struct{} { return k.store.Broken() }

// Replace makes a folder hold just this; see Rebuild.
func (k *RaftStore) Replace(d DurableState) error {
	d.Reset = true
	return k.Save(d)
}

// Close closes the folder.
func (k *RaftStore) Close() error { return k.store.Close() }
