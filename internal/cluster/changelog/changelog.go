// Package changelog keeps the present value of each key together with the revision at which it last changed, and gives whoever watches it
// what has changed since a revision. It is pure: no clock, no socket, no goroutine.
//
// A Log holds one record for each key, in the order of revisions, so a watcher that is far behind gets each key once, however often it
// changed, and nothing is ever queued for it. A deletion leaves a record of its own until there are too many of these; the revision of
// the latest that was forgotten is the log's floor. A watcher from before the floor, which might hold a key whose deletion nobody
// remembers, gets a snapshot: the same walk from the beginning. All records have the same revisions in all logs that have applied the same
// changes, so a walk that one source began goes on at any other that is as far as every source of the walk was.
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
	Deleted  bool   `cbor:"3,keyasint,omitempty"` // Value is nothing then
	Value    V      `cbor:"4,keyasint,omitzero"`
}

// Cursor is how far a watcher has read.
type Cursor struct {
	SelectorGeneration uint64 `cbor:"1,keyasint,omitempty"` // counts the watcher's selectors; an answer to an earlier one is not applied
	ViewRevision       uint64 `cbor:"2,keyasint,omitempty"` // the revision of the view that it goes by
	Revision           uint64 `cbor:"3,keyasint,omitempty"` // it has every selected record up to here; beyond Has only while an answer is in pieces
	SnapshotRevision   uint64 `cbor:"4,keyasint,omitempty"` // the log's revision when the snapshot under way began; 0 is none
	SourceRevision     uint64 `cbor:"5,keyasint,omitempty"` // the highest revision of a log that gave a piece of the answer under way; 0 is none
	Restart            bool   `cbor:"6,keyasint,omitempty"` // a snapshot is wanted, whatever it has
}

// RequiredRevision is the revision that a source must have to go on from here.
func (c Cursor) RequiredRevision() uint64 {
	return max(c.ViewRevision, c.Revision, c.SnapshotRevision, c.SourceRevision)
}

// Selector says which keys a watcher wants.
type Selector struct {
	All      bool     `cbor:"1,keyasint,omitempty"`
	Prefixes []string `cbor:"2,keyasint,omitempty"`
	Keys     []string `cbor:"3,keyasint,omitempty"`
	// Mirror has snapshots contain deletions as well: for a replica that serves watchers itself.
	Mirror bool `cbor:"4,keyasint,omitempty"`
}

// Matches says whether a key is selected.
func (s Selector) Matches(key string) bool {
	return s.All || slices.Contains(s.Keys, key) || slices.ContainsFunc(s.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
}

// Batch is an answer to a watcher, or a piece of one.
type Batch[V any] struct {
	From    Cursor      `cbor:"1,keyasint,omitzero"`
	To      Cursor      `cbor:"2,keyasint,omitzero"`
	Records []Record[V] `cbor:"3,keyasint,omitempty"` // in the order of their revisions; no revision is divided between two pieces
	Reset   bool        `cbor:"4,keyasint,omitempty"` // the first piece of a snapshot: what the watcher has is replaced once it has the last
	More    bool        `cbor:"5,keyasint,omitempty"` // another piece can be had from To on
	Floor   uint64      `cbor:"6,keyasint,omitempty"` // of the log, for a mirror
}

// ErrBehind is given by a source that has not what a watcher has already. Another source may.
var ErrBehind = errors.New("changelog: the source is behind the watcher")

// ErrOrder is given for a change whose revision is below that of an earlier one.
var ErrOrder = errors.New("changelog: revisions go backwards")

// slot is a place in the order of revisions; its record is nil once the key has changed again.
type slot[V any] struct {
	revision uint64
	record   *Record[V]
}

// Log is the present value of each key. Its methods are not safe for concurrent use.
type Log[V any] struct {
	size        func(Record[V]) int
	slots       []slot[V]
	at          map[string]int // of the key's record
	holes       int
	deletions   []slot[V] // oldest first; some have been replaced by a later change
	deleted     int       // that stand
	mostDeleted int
	revision    uint64
	floor       uint64
}

// NewLog is an empty one at a revision, before whose floor nothing is known of deletions. It remembers so many deletions at the most; size
// tells how many bytes a record takes in a batch.
func NewLog[V any](revision, floor uint64, mostDeleted int, size func(Record[V]) int) *Log[V] {
	return &Log[V]{size: size, at: map[string]int{}, mostDeleted: max(1, mostDeleted), revision: revision, floor: floor}
}

// Restore is a log of records in any order, as of a revision.
func Restore[V any](records []Record[V], revision, floor uint64, mostDeleted int, size func(Record[V]) int) (*Log[V], error) {
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b Record[V]) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	l := NewLog(0, floor, mostDeleted, size)
	for _, r := range records {
		if err := l.Put(r); err != nil {
			return nil, err
		}
	}
	return l, l.Advance(revision)
}

// Revision is that of the latest change.
func (l *Log[V]) Revision() uint64 { return l.revision }

// Floor is the revision from which on deletions are known.
func (l *Log[V]) Floor() uint64 { return l.floor }

// Len is the number of keys that have a value.
func (l *Log[V]) Len() int { return len(l.at) - l.deleted }

// Advance notes that nothing else changed up to a revision.
func (l *Log[V]) Advance(revision uint64) error {
	if revision < l.revision {
		return ErrOrder
	}
	l.revision = revision
	return nil
}

// Put takes a change. Several keys may change at one revision; revisions may not go backwards.
func (l *Log[V]) Put(r Record[V]) error {
	if err := l.Advance(r.Revision); err != nil {
		return err
	}
	l.remove(r.Key)
	place := slot[V]{r.Revision, &r}
	l.at[r.Key] = len(l.slots)
	l.slots = append(l.slots, place)
	if r.Deleted {
		l.deleted++
		l.deletions = append(l.deletions, place)
		l.forget()
	}
	l.compact()
	return nil
}

// remove takes a key's record out of the order.
func (l *Log[V]) remove(key string) {
	i, known := l.at[key]
	if !known {
		return
	}
	if l.slots[i].record.Deleted {
		l.deleted--
	}
	l.slots[i].record = nil
	l.holes++
	delete(l.at, key)
}

// forget drops the oldest deletions beyond the bound.
func (l *Log[V]) forget() {
	for l.deleted > l.mostDeleted {
		oldest := l.deletions[0]
		l.deletions = l.deletions[1:]
		if i, known := l.at[oldest.record.Key]; known && l.slots[i].record == oldest.record {
			l.floor = oldest.revision
			l.remove(oldest.record.Key)
		}
	}
}

// mostHoles bounds the places without a record, beside as many as there are with one.
const mostHoles = 64

func (l *Log[V]) compact() {
	if l.holes <= mostHoles+len(l.at) {
		return
	}
	kept := make([]slot[V], 0, len(l.at))
	for _, s := range l.slots {
		if s.record != nil {
			l.at[s.record.Key] = len(kept)
			kept = append(kept, s)
		}
	}
	l.slots, l.holes = kept, 0
	l.deletions = slices.DeleteFunc(slices.Clone(l.deletions), func(s slot[V]) bool {
		i, known := l.at[s.record.Key]
		return !known || l.slots[i].record != s.record
	})
}

// Read gives a watcher what it wants next, in pieces of some bytes: a piece has one revision at the least. ErrBehind says that this log has
// not what the watcher has.
func (l *Log[V]) Read(from Cursor, want Selector, most int) (Batch[V], error) {
	if from.RequiredRevision() > l.revision { // one that is behind Seen may still have keys in places from which they have moved on already
		return Batch[V]{}, ErrBehind
	}
	b := Batch[V]{From: from, Floor: l.floor}
	at := from
	if from.Restart || max(from.Revision, from.SnapshotRevision) < l.floor {
		b.Reset = true
		at = Cursor{SelectorGeneration: from.SelectorGeneration, ViewRevision: from.ViewRevision, SnapshotRevision: max(1, l.revision)}
	}
	l.walk(&b, at, want, most)
	if b.To = at; b.More {
		b.To.Revision = b.Records[len(b.Records)-1].Revision
		b.To.Restart, b.To.SourceRevision = false, l.revision
	} else {
		b.To = Cursor{SelectorGeneration: from.SelectorGeneration, ViewRevision: l.revision, Revision: l.revision}
	}
	return b, nil
}

// walk adds selected records behind a cursor to a batch.
func (l *Log[V]) walk(b *Batch[V], at Cursor, want Selector, most int) {
	bytes, latest := 0, uint64(0)
	for r := range l.behind(at.Revision, want) {
		if !want.Matches(r.Key) || r.Deleted && !want.Mirror && r.Revision <= at.SnapshotRevision {
			continue // who began behind a deletion never had the key
		}
		if bytes >= most && r.Revision != latest {
			b.More = true
			return
		}
		b.Records = append(b.Records, *r)
		bytes, latest = bytes+l.size(*r), r.Revision
	}
}

// behind goes through the records behind a revision, in order. Where few keys are wanted by name only these are looked at.
func (l *Log[V]) behind(revision uint64, want Selector) iter.Seq[*Record[V]] {
	first := sort.Search(len(l.slots), func(i int) bool { return l.slots[i].revision > revision })
	if want.All || len(want.Prefixes) > 0 || len(want.Keys) > len(l.slots)-first {
		return func(yield func(*Record[V]) bool) {
			for _, s := range l.slots[first:] {
				if s.record != nil && !yield(s.record) {
					return
				}
			}
		}
	}
	var places []int
	for _, key := range want.Keys {
		if i, known := l.at[key]; known && i >= first {
			places = append(places, i)
		}
	}
	slices.Sort(places)
	return func(yield func(*Record[V]) bool) {
		for _, i := range slices.Compact(places) {
			if !yield(l.slots[i].record) {
				return
			}
		}
	}
}
