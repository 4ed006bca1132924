package changelog

import (
	"errors"
	"maps"
	"slices"
)

// Errors of batches that are not applied.
var (
	ErrStale     = errors.New("changelog: batch does not continue from the current cursor")
	ErrMalformed = errors.New("changelog: malformed batch")
)

// Replica is a watcher's view of the selected part of a log. It always shows all selected keys as of one revision,
// which never decreases: the batches of a sequence are held back until the last one has arrived. Batches that are
// lost, duplicated, delayed or reordered change nothing, and a read can be repeated at any source. Its methods are
// not safe for concurrent use.
type Replica[V any] struct {
	selector       Selector
	cursor         Cursor
	view           map[string]Record[V]
	pendingRecords []Record[V] // of an incomplete sequence of batches
	reset          bool        // pendingRecords belong to a snapshot
}

// NewReplica returns an empty replica that watches the keys of a selector.
func NewReplica[V any](s Selector) *Replica[V] {
	return &Replica[V]{selector: s, view: map[string]Record[V]{}}
}

// Cursor returns the cursor for the next read from a source.
func (r *Replica[V]) Cursor() Cursor { return r.cursor }

// Selector returns the selector in use.
func (r *Replica[V]) Selector() Selector { return r.selector }

// Revision returns the revision of the view; 0 if there is none yet.
func (r *Replica[V]) Revision() uint64 { return r.cursor.ViewRevision }

// Select changes the selector. The view stays as it is until a snapshot for the new selector is complete.
func (r *Replica[V]) Select(s Selector) {
	r.selector = s
	r.cursor = Cursor{SelectorGeneration: r.cursor.SelectorGeneration + 1, ViewRevision: r.cursor.ViewRevision, Restart: true}
	r.pendingRecords, r.reset = nil, false
}

// Get returns the value of a key.
func (r *Replica[V]) Get(key string) (v V, found bool) {
	record, found := r.view[key]
	return record.Value, found
}

// Records returns the records of the view, in no particular order.
func (r *Replica[V]) Records() []Record[V] { return slices.Collect(maps.Values(r.view)) }

// Change describes how a view has changed.
type Change[V any] struct {
	Whole   bool        // the view was replaced; Records is all of it
	Records []Record[V] // otherwise the changed records, including deletions
}

// Apply adds a batch. It returns the change once the last batch of a sequence has arrived, and nil before. If it
// returns an error, nothing has changed.
func (r *Replica[V]) Apply(b Batch[V]) (*Change[V], error) {
	switch {
	case b.From != r.cursor:
		return nil, ErrStale
	case !b.wellFormed():
		return nil, ErrMalformed
	case !b.More && b.To.Revision < r.cursor.ViewRevision || b.Reset && max(b.To.SnapshotRevision, b.To.Revision) < r.cursor.ViewRevision:
		return nil, ErrBehind
	}
	if b.Reset {
		r.pendingRecords, r.reset = nil, true
	}
	r.pendingRecords = append(r.pendingRecords, b.Records...)
	if r.cursor = b.To; b.More {
		return nil, nil
	}
	change := &Change[V]{Whole: r.reset, Records: r.pendingRecords}
	if r.reset {
		r.view = make(map[string]Record[V], len(r.pendingRecords))
	}
	for _, record := range r.pendingRecords {
		if record.Deleted {
			delete(r.view, record.Key)
		} else {
			r.view[record.Key] = record
		}
	}
	r.pendingRecords, r.reset = nil, false
	return change, nil
}

// wellFormed reports whether a log could have returned the batch.
func (b Batch[V]) wellFormed() bool {
	start := b.From.Revision
	if b.Reset {
		start = 0
	}
	valid := b.To.SelectorGeneration == b.From.SelectorGeneration && !b.To.Restart
	if b.More {
		valid = valid && len(b.Records) > 0 && b.To.Revision == b.Records[len(b.Records)-1].Revision && b.To.ViewRevision == b.From.ViewRevision
	} else {
		valid = valid && b.To.ViewRevision == b.To.Revision && b.To.SnapshotRevision == 0
	}
	previous := start
	for i, r := range b.Records {
		if i == 0 && r.Revision <= start || r.Revision < previous {
			return false
		}
		previous = r.Revision
	}
	return valid && previous <= b.To.Revision && start <= b.To.Revision
}

// Mirror is a replica of a whole log that serves watchers itself, with the same revisions. It can't serve until its
// first snapshot is complete.
type Mirror[V any] struct {
	replica       *Replica[V]
	log           *Log[V]
	maxTombstones int
	size          func(Record[V]) int
}

// NewMirror returns an empty mirror. It keeps up to maxTombstones tombstones; size returns the size of a record in a
// batch.
func NewMirror[V any](maxTombstones int, size func(Record[V]) int) *Mirror[V] {
	return &Mirror[V]{replica: NewReplica[V](Selector{All: true, Mirror: true}), maxTombstones: maxTombstones, size: size}
}

// Cursor returns the cursor for the next read from the source.
func (m *Mirror[V]) Cursor() Cursor { return m.replica.Cursor() }

// Selector returns the selector for reads from the source; it selects all keys.
func (m *Mirror[V]) Selector() Selector { return m.replica.Selector() }

// Ready reports whether the mirror can serve.
func (m *Mirror[V]) Ready() bool { return m.log != nil }

// Log returns the log that serves watchers; nil until the mirror is ready.
func (m *Mirror[V]) Log() *Log[V] { return m.log }

// Get returns the value of a key.
func (m *Mirror[V]) Get(key string) (v V, found bool) { return m.replica.Get(key) }

// Apply adds a batch from the source.
func (m *Mirror[V]) Apply(b Batch[V]) (*Change[V], error) {
	change, err := m.replica.Apply(b)
	if err != nil || change == nil {
		return nil, err
	}
	revision := m.replica.Revision()
	if change.Whole || m.log == nil {
		log, err := Restore(change.Records, revision, b.Floor, m.maxTombstones, m.size)
		if err != nil {
			return nil, err
		}
		m.log = log
		return change, nil
	}
	for _, r := range change.Records {
		if err := m.log.Put(r); err != nil {
			return nil, err
		}
	}
	return change, m.log.Advance(revision)
}
