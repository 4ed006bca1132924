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
	maxDiskBytes    = 32 << 20
	segmentBytes    = 1 << 20
	firstRecordKind = 1 // the first byte of a record is its kind
)

const (
	hardStateRecord = iota + firstRecordKind
	entryRecord
	snapshotRecord
)

// RaftStore stores a core's durable state in a folder of its own, in the format of the journal's store. Its methods are
// not safe for concurrent use.
type RaftStore struct {
	store       *store.Store
	nextKey     uint64
	hardKey     uint64 // keys of the current records
	snapshotKey uint64
	entryKeys   map[uint64]uint64 // by index
}

// OpenRaftStore opens a folder and returns what it contains. Damage that the store finds is passed to report. A log
// with a gap is an error, since a voter that has lost part of its log must not vote.
func OpenRaftStore(fs fsys.FS, report func(string)) (*RaftStore, DurableState, error) {
	s := &RaftStore{nextKey: 1, entryKeys: map[uint64]uint64{}}
	var d DurableState
	entries := map[uint64]raftpb.Entry{}
	var unreadable error
	var err error
	s.store, err = store.Open(store.Options{
		FS: fs, MaxBytes: maxDiskBytes, SegmentBytes: segmentBytes, Durability: store.SyncBatch, Seed: 1, Report: report,
	}, func(r store.Record) {
		if len(r.Payload) == 0 {
			return
		}
		switch r.Payload[0] {
		case hardStateRecord:
			s.hardKey, d.Hard = r.Key, raftpb.HardState{}
			unreadable = errors.Join(unreadable, d.Hard.Unmarshal(r.Payload[1:]))
		case snapshotRecord:
			s.snapshotKey, d.Snapshot = r.Key, raftpb.Snapshot{}
			unreadable = errors.Join(unreadable, d.Snapshot.Unmarshal(r.Payload[1:]))
		case entryRecord:
			var e raftpb.Entry
			if err := e.Unmarshal(r.Payload[1:]); err != nil {
				unreadable = errors.Join(unreadable, err)
				return
			}
			for i := range entries { // entries after it were overwritten by another leader
				if i > e.Index {
					delete(entries, i)
				}
			}
			entries[e.Index], s.entryKeys[e.Index] = e, r.Key
		}
	})
	if err != nil {
		return nil, d, fmt.Errorf("controlplane: %w", err)
	}
	if unreadable != nil {
		return nil, d, errors.Join(fmt.Errorf("controlplane: unreadable record: %w", unreadable), s.store.Close())
	}
	s.nextKey = s.store.LastKey() + 1
	for i := max(d.Snapshot.Metadata.Index, firstIndex) + 1; ; i++ { // the initial snapshot is not stored, as all voters start with it
		e, ok := entries[i]
		if !ok {
			break
		}
		d.Entries = append(d.Entries, e)
	}
	return s, d, nil
}

// Save makes one step's state durable before it returns. After an error it may be called again with the same state.
func (s *RaftStore) Save(d DurableState) error {
	if d.Empty() {
		return nil
	}
	var last uint64
	put := func(kind byte, data []byte) (key uint64, err error) {
		key = s.nextKey
		last, err = s.store.Put(key, append([]byte{kind}, data...), 0)
		s.nextKey++
		return key, err
	}
	remove := func(key uint64) error {
		if key == 0 {
			return nil
		}
		num, err := s.store.Delete(key)
		if last = max(last, num); errors.Is(err, store.ErrUnknownKey) {
			return nil
		}
		return err
	}
	replace := func(current *uint64, kind byte, data []byte) error { // the old record is removed once the new one is written
		key, err := put(kind, data)
		if err != nil {
			return err
		}
		old := *current
		*current = key
		return remove(old)
	}
	if !raft.IsEmptySnap(d.Snapshot) {
		data, err := d.Snapshot.Marshal()
		if err != nil {
			return fmt.Errorf("controlplane: %w", err)
		}
		if err := replace(&s.snapshotKey, snapshotRecord, data); err != nil {
			return fmt.Errorf("controlplane: %w", err)
		}
		for index, key := range s.entryKeys {
			if d.Reset || index <= d.Snapshot.Metadata.Index {
				if err := remove(key); err != nil {
					return fmt.Errorf("controlplane: %w", err)
				}
				delete(s.entryKeys, index)
			}
		}
	}
	for _, e := range d.Entries {
		if e.Index <= d.Snapshot.Metadata.Index {
			continue
		}
		data, err := e.Marshal()
		if err != nil {
			return fmt.Errorf("controlplane: %w", err)
		}
		key, err := put(entryRecord, data)
		if err != nil {
			return fmt.Errorf("controlplane: %w", err)
		}
		for index, old := range s.entryKeys { // it replaces the entry at its index and all after it
			if index >= e.Index {
				if err := remove(old); err != nil {
					return fmt.Errorf("controlplane: %w", err)
				}
				delete(s.entryKeys, index)
			}
		}
		s.entryKeys[e.Index] = key
	}
	if !raft.IsEmptyHardState(d.Hard) {
		data, err := d.Hard.Marshal()
		if err != nil {
			return fmt.Errorf("controlplane: %w", err)
		}
		if err := replace(&s.hardKey, hardStateRecord, data); err != nil {
			return fmt.Errorf("controlplane: %w", err)
		}
	}
	if err := s.store.Commit(last); err != nil {
		return fmt.Errorf("controlplane: %w", err)
	}
	s.compact()
	return nil
}

// compact reclaims disk space while that is worthwhile. Errors are ignored: the state is durable, and the next Save
// tries again.
func (s *RaftStore) compact() {
	for did, err := true, error(nil); did && err == nil; {
		did, err = s.store.Compact(nil)
	}
}

// Broken returns a channel that is closed once nothing can be stored before a restart.
func (s *RaftStore) Broken() <-chan struct{} { return s.store.Broken() }

// Replace makes d the whole content of the folder; see Rebuild.
func (s *RaftStore) Replace(d DurableState) error {
	d.Reset = true
	return s.Save(d)
}

// Close closes the folder.
func (s *RaftStore) Close() error { return s.store.Close() }
