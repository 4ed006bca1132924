// Package changelog keeps the current value of each key with the revision at which it last changed, and lets watchers
// read the changes since a revision. It is pure: it uses no clock, socket or goroutine.
//
// A Log holds one record per key, ordered by revision. A watcher that is far behind therefore reads each key once,
// however often it changed, and no changes are queued for it. A deletion leaves a tombstone. The number of tombstones
// is bounded, and the revision of the latest expired one is the floor of the log. A watcher whose revision is below
// the floor may hold a key whose tombstone has expired, so it gets a snapshot: a read from the first revision on.
// Logs that have applied the same changes have the same revisions. A read that was started at one source can
// therefore continue at any other source whose revision is at least that of all sources read so far.
package changelog

import (
	"cmp"
	"errors"
	"iter"
	"slices"
	"sort"
	"strings"
)

// Record is the latest change of a key.
type Record[V any] struct {
	Key      string `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"`
	Deleted  bool   `cbor:"3,keyasint,omitempty"` // Value is then the zero value
	Value    V      `cbor:"4,keyasint,omitzero"`
}

// Cursor is the position of a watcher.
type Cursor struct {
	SelectorGeneration uint64 `cbor:"1,keyasint,omitempty"` // number of selector changes; a batch for an earlier selector is discarded
	ViewRevision       uint64 `cbor:"2,keyasint,omitempty"` // revision of the view in use
	Revision           uint64 `cbor:"3,keyasint,omitempty"` // all selected records up to here have been read; above ViewRevision only while a batch sequence is incomplete
	SnapshotRevision   uint64 `cbor:"4,keyasint,omitempty"` // revision of the log when the snapshot in progress was started; 0 if there is none
	SourceRevision     uint64 `cbor:"5,keyasint,omitempty"` // highest revision of the logs read for the batch sequence in progress; 0 if there is none
	Restart            bool   `cbor:"6,keyasint,omitempty"` // requests a snapshot
}

// RequiredRevision returns the revision that a source must have reached to continue from the cursor.
func (c Cursor) RequiredRevision() uint64 {
	return max(c.ViewRevision, c.Revision, c.SnapshotRevision, c.SourceRevision)
}

// Selector defines the keys that a watcher reads.
type Selector struct {
	All      bool     `cbor:"1,keyasint,omitempty"`
	Prefixes []string `cbor:"2,keyasint,omitempty"`
	Keys     []string `cbor:"3,keyasint,omitempty"`
	// Mirror includes tombstones in snapshots, for a replica that serves watchers itself.
	Mirror bool `cbor:"4,keyasint,omitempty"`
}

// Matches reports whether a key is selected.
func (s Selector) Matches(key string) bool {
	return s.All || slices.Contains(s.Keys, key) || slices.ContainsFunc(s.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
}

// Batch is the result of a read. A long result is a sequence of batches.
type Batch[V any] struct {
	From    Cursor      `cbor:"1,keyasint,omitzero"`
	To      Cursor      `cbor:"2,keyasint,omitzero"`
	Records []Record[V] `cbor:"3,keyasint,omitempty"` // ordered by revision; records of one revision are never split between batches
	Reset   bool        `cbor:"4,keyasint,omitempty"` // first batch of a snapshot, which replaces the view once its last batch has arrived
	More    bool        `cbor:"5,keyasint,omitempty"` // more batches follow, to be read from To
	Floor   uint64      `cbor:"6,keyasint,omitempty"` // of the log, for a mirror
}

// ErrBehind is returned if a source has not reached the revision of the watcher. Another source may have.
var ErrBehind = errors.New("changelog: source is behind the watcher")

// ErrOrder is returned for a change whose revision is below that of an earlier one.
var ErrOrder = errors.New("changelog: revision is lower than that of an earlier change")

// entry is a position in revision order. Its record is nil once the key has changed again or its tombstone has
// expired.
type entry[V any] struct {
	revision uint64
	record   *Record[V]
}

// Log holds the latest change of each key. Its methods are not safe for concurrent use.
type Log[V any] struct {
	size           func(Record[V]) int
	entries        []entry[V]
	indexByKey     map[string]int // index in entries, by key
	emptyEntries   int
	tombstones     []entry[V] // oldest first; may include tombstones that a later change has replaced
	tombstoneCount int        // tombstones still in entries
	maxTombstones  int
	revision       uint64
	floor          uint64
}

// NewLog returns an empty log at a revision. Deletions up to floor are unknown to it. It keeps up to maxTombstones
// tombstones. size returns the size of a record in a batch, in bytes.
func NewLog[V any](revision, floor uint64, maxTombstones int, size func(Record[V]) int) *Log[V] {
	return &Log[V]{size: size, indexByKey: map[string]int{}, maxTombstones: max(1, maxTombstones), revision: revision, floor: floor}
}

// Restore returns a log with the given records, in any order, at a revision.
func Restore[V any](records []Record[V], revision, floor uint64, maxTombstones int, size func(Record[V]) int) (*Log[V], error) {
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b Record[V]) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	l := NewLog(0, floor, maxTombstones, size)
	for _, r := range records {
		if err := l.Put(r); err != nil {
			return nil, err
		}
	}
	return l, l.Advance(revision)
}

// Revision returns the revision up to which the log is complete.
func (l *Log[V]) Revision() uint64 { return l.revision }

// Floor returns the revision above which all deletions are known.
func (l *Log[V]) Floor() uint64 { return l.floor }

// Len returns the number of keys that have a value.
func (l *Log[V]) Len() int { return len(l.indexByKey) - l.tombstoneCount }

// Advance records that nothing else has changed up to a revision.
func (l *Log[V]) Advance(revision uint64) error {
	if revision < l.revision {
		return ErrOrder
	}
	l.revision = revision
	return nil
}

// Put adds a change. Several keys may change at one revision; revisions must not decrease.
func (l *Log[V]) Put(r Record[V]) error {
	if err := l.Advance(r.Revision); err != nil {
		return err
	}
	l.removeRecord(r.Key)
	added := entry[V]{r.Revision, &r}
	l.indexByKey[r.Key] = len(l.entries)
	l.entries = append(l.entries, added)
	if r.Deleted {
		l.tombstoneCount++
		l.tombstones = append(l.tombstones, added)
		l.expireTombstones()
	}
	l.compact()
	return nil
}

// removeRecord removes a key's record and leaves its entry empty.
func (l *Log[V]) removeRecord(key string) {
	i, found := l.indexByKey[key]
	if !found {
		return
	}
	if l.entries[i].record.Deleted {
		l.tombstoneCount--
	}
	l.entries[i].record = nil
	l.emptyEntries++
	delete(l.indexByKey, key)
}

// expireTombstones removes the oldest tombstones above the limit.
func (l *Log[V]) expireTombstones() {
	for l.tombstoneCount > l.maxTombstones {
		oldest := l.tombstones[0]
		l.tombstones = l.tombstones[1:]
		if i, found := l.indexByKey[oldest.record.Key]; found && l.entries[i].record == oldest.record {
			l.floor = oldest.revision
			l.removeRecord(oldest.record.Key)
		}
	}
}

// emptyEntriesSlack is the number of empty entries above the number of records that triggers a compaction.
const emptyEntriesSlack = 64

func (l *Log[V]) compact() {
	if l.emptyEntries <= emptyEntriesSlack+len(l.indexByKey) {
		return
	}
	kept := make([]entry[V], 0, len(l.indexByKey))
	for _, s := range l.entries {
		if s.record != nil {
			l.indexByKey[s.record.Key] = len(kept)
			kept = append(kept, s)
		}
	}
	l.entries, l.emptyEntries = kept, 0
	l.tombstones = slices.DeleteFunc(slices.Clone(l.tombstones), func(s entry[V]) bool {
		i, found := l.indexByKey[s.record.Key]
		return !found || l.entries[i].record != s.record
	})
}

// Read returns the next batch for a watcher. A batch ends once it has maxBytes, but always holds at least one
// revision. It returns ErrBehind if this log has not reached the revision of the watcher.
func (l *Log[V]) Read(from Cursor, selector Selector, maxBytes int) (Batch[V], error) {
	// In a log older than SourceRevision, a key may still be at a revision before the cursor, so its later change would be
	// missed.
	if from.RequiredRevision() > l.revision {
		return Batch[V]{}, ErrBehind
	}
	b := Batch[V]{From: from, Floor: l.floor}
	start := from
	if from.Restart || max(from.Revision, from.SnapshotRevision) < l.floor {
		b.Reset = true
		start = Cursor{SelectorGeneration: from.SelectorGeneration, ViewRevision: from.ViewRevision, SnapshotRevision: max(1, l.revision)}
	}
	l.appendRecords(&b, start, selector, maxBytes)
	if b.To = start; b.More {
		b.To.Revision = b.Records[len(b.Records)-1].Revision
		b.To.Restart, b.To.SourceRevision = false, l.revision
	} else {
		b.To = Cursor{SelectorGeneration: from.SelectorGeneration, ViewRevision: l.revision, Revision: l.revision}
	}
	return b, nil
}

// appendRecords appends the selected records after a cursor to a batch.
func (l *Log[V]) appendRecords(b *Batch[V], start Cursor, selector Selector, maxBytes int) {
	bytes, lastRevision := 0, uint64(0)
	for r := range l.recordsAfter(start.Revision, selector) {
		if !selector.Matches(r.Key) || r.Deleted && !selector.Mirror && r.Revision <= start.SnapshotRevision {
			continue // a snapshot begins with an empty view, so a deletion before it has no effect
		}
		if bytes >= maxBytes && r.Revision != lastRevision {
			b.More = true
			return
		}
		b.Records = append(b.Records, *r)
		bytes, lastRevision = bytes+l.size(*r), r.Revision
	}
}

// recordsAfter returns the records after a revision, in order. If only a few keys are selected by name, it looks up
// just these.
func (l *Log[V]) recordsAfter(revision uint64, selector Selector) iter.Seq[*Record[V]] {
	first := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].revision > revision })
	if selector.All || len(selector.Prefixes) > 0 || len(selector.Keys) > len(l.entries)-first {
		return func(yield func(*Record[V]) bool) {
			for _, s := range l.entries[first:] {
				if s.record != nil && !yield(s.record) {
					return
				}
			}
		}
	}
	var indexes []int
	for _, key := range selector.Keys {
		if i, found := l.indexByKey[key]; found && i >= first {
			indexes = append(indexes, i)
		}
	}
	slices.Sort(indexes)
	return func(yield func(*Record[V]) bool) {
		for _, i := range slices.Compact(indexes) {
			if !yield(l.entries[i].record) {
				return
			}
		}
	}
}
