package changelog

import (
	"errors"
	"maps"
	"slices"
)

// The reasons for which a batch changes nothing.
var (
	ErrStale     = errors.New("changelog: the answer is not to what was last asked for")
	ErrMalformed = errors.New("changelog: the answer contradicts itself")
)

// Replica is a watcher's view of the selected part of a log. It is always the whole of what was selected as of one revision, which never
// goes backwards: pieces of an answer are held until the last has come. Answers that are lost, doubled, late or out of order change nothing;
// the same question can be asked again, of any source. Its methods are not safe for concurrent use.
type Replica[V any] struct {
	selector Selector
	cursor   Cursor
	view     map[string]Record[V]
	pieces   []Record[V]
	reset    bool // the pieces are a snapshot's
}

// NewReplica watches what a selector says, and has nothing yet.
func NewReplica[V any](s Selector) *Replica[V] {
	return &Replica[V]{selector: s, view: map[string]Record[V]{}}
}

// Cursor is what a source is asked with.
func (r *Replica[V]) Cursor() Cursor { return r.cursor }

// Selector is what is watched.
func (r *Replica[V]) Selector() Selector { return r.selector }

// Revision is that of the view; 0 is none yet.
func (r *Replica[V]) Revision() uint64 { return r.cursor.ViewRevision }

// Select changes what is watched. The view stays as it is until a snapshot by the new selector is whole.
func (r *Replica[V]) Select(s Selector) {
	r.selector = s
	r.cursor = Cursor{SelectorGeneration: r.cursor.SelectorGeneration + 1, ViewRevision: r.cursor.ViewRevision, Restart: true}
	r.pieces, r.reset = nil, false
}

// Get gives a key's value.
func (r *Replica[V]) Get(key string) (v V, known bool) {
	record, known := r.view[key]
	return record.Value, known
}

// Records are those of the view, in no order.
func (r *Replica[V]) Records() []Record[V] { return slices.Collect(maps.Values(r.view)) }

// Change is what became of a view.
type Change[V any] struct {
	Whole   bool        // the view is a new one, of which Records is all
	Records []Record[V] // else those that have changed, deletions among them
}

// Apply takes an answer. A change is given once the last piece has come; nil is none. An error says that nothing was changed.
func (r *Replica[V]) Apply(b Batch[V]) (*Change[V], error) {
	switch {
	case b.From != r.cursor:
		return nil, ErrStale
	case !b.coherent():
		return nil, ErrMalformed
	case !b.More && b.To.Revision < r.cursor.ViewRevision || b.Reset && max(b.To.SnapshotRevision, b.To.Revision) < r.cursor.ViewRevision:
		return nil, ErrBehind
	}
	if b.Reset {
		r.pieces, r.reset = nil, true
	}
	r.pieces = append(r.pieces, b.Records...)
	if r.cursor = b.To; b.More {
		return nil, nil
	}
	change := &Change[V]{Whole: r.reset, Records: r.pieces}
	if r.reset {
		r.view = make(map[string]Record[V], len(r.pieces))
	}
	for _, record := range r.pieces {
		if record.Deleted {
			delete(r.view, record.Key)
		} else {
			r.view[record.Key] = record
		}
	}
	r.pieces, r.reset = nil, false
	return change, nil
}

// coherent says whether a batch can be what a log gives.
func (b Batch[V]) coherent() bool {
	begin := b.From.Revision
	if b.Reset {
		begin = 0
	}
	ends := b.To.SelectorGeneration == b.From.SelectorGeneration && !b.To.Restart
	if b.More {
		ends = ends && len(b.Records) > 0 && b.To.Revision == b.Records[len(b.Records)-1].Revision && b.To.ViewRevision == b.From.ViewRevision
	} else {
		ends = ends && b.To.ViewRevision == b.To.Revision && b.To.SnapshotRevision == 0
	}
	latest := begin
	for i, r := range b.Records {
		if i == 0 && r.Revision <= begin || r.Revision < latest {
			return false
		}
		latest = r.Revision
	}
	return ends && latest <= b.To.Revision && begin <= b.To.Revision
}

// Mirror is a replica of a whole log that serves watchers itself, with the same revisions. Until its first snapshot is whole it has
// nothing to give.
type Mirror[V any] struct {
	replica     *Replica[V]
	log         *Log[V]
	mostDeleted int
	size        func(Record[V]) int
}

// NewMirror has nothing yet.
func NewMirror[V any](mostDeleted int, size func(Record[V]) int) *Mirror[V] {
	return &Mirror[V]{replica: NewReplica[V](Selector{All: true, Mirror: true}), mostDeleted: mostDeleted, size: size}
}

// Cursor and Selector are what its source is asked with.
func (m *Mirror[V]) Cursor() Cursor { return m.replica.Cursor() }

// Selector is everything.
func (m *Mirror[V]) Selector() Selector { return m.replica.Selector() }

// Ready says whether it can serve.
func (m *Mirror[V]) Ready() bool { return m.log != nil }

// Log is what it serves from; nil until it is ready.
func (m *Mirror[V]) Log() *Log[V] { return m.log }

// Get gives a key's value.
func (m *Mirror[V]) Get(key string) (v V, known bool) { return m.replica.Get(key) }

// Apply takes an answer of its source.
func (m *Mirror[V]) Apply(b Batch[V]) (*Change[V], error) {
	change, err := m.replica.Apply(b)
	if err != nil || change == nil {
		return nil, err
	}
	revision := m.replica.Revision()
	if change.Whole || m.log == nil {
		log, err := Restore(change.Records, revision, b.Floor, m.mostDeleted, m.size)
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
