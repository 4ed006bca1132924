package changelog

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func recordSize(r Record[int]) int { return len(r.Key) + 8 }

// testLog is a log with the expected state at each revision.
type testLog struct {
	*Log[int]
	stateAt map[uint64]map[string]int
	current map[string]int
}

func newTestLog(floor uint64, maxTombstones int) *testLog {
	return &testLog{NewLog(max(1, floor), floor, maxTombstones, recordSize), map[uint64]map[string]int{max(1, floor): {}}, map[string]int{}}
}

// change sets or deletes a key at a later revision, leaving out skip revisions.
func (h *testLog) change(key string, value int, deleted bool, skip uint64) {
	revision := h.Revision() + 1 + skip
	if deleted {
		delete(h.current, key)
		value = 0
	} else {
		h.current[key] = value
	}
	if err := h.Put(Record[int]{key, revision, deleted, value}); err != nil {
		panic(err)
	}
	for r := h.Revision() - skip; r <= revision; r++ {
		h.stateAt[r] = maps.Clone(h.current)
	}
}

// selected returns the part of a state that a selector matches.
func selected(state map[string]int, s Selector) map[string]int {
	out := map[string]int{}
	for key, v := range state {
		if s.Matches(key) {
			out[key] = v
		}
	}
	return out
}

func viewOf(r *Replica[int]) map[string]int {
	out := map[string]int{}
	for _, record := range r.Records() {
		out[record.Key] = record.Value
	}
	return out
}

var selectors = []Selector{
	{All: true}, {Prefixes: []string{"a/"}}, {Keys: []string{"b/1", "b/2"}}, {Prefixes: []string{"b/"}, Keys: []string{"a/0"}}, {},
}

// Guards against replicas that show a state that never existed. Batches may be lost, duplicated, delayed, reordered
// or split, and a read may continue at another source, which may be behind. At each moment the view must be exactly
// the selected state at its revision, which must not decrease, and once batches arrive the replica must catch up.
// Tombstones expire all the time, and selectors change during snapshots.
func TestReplicaViewIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newTestLog(uint64(rapid.IntRange(0, 5).Draw(t, "floor")), rapid.IntRange(1, 4).Draw(t, "deletions"))
		mirrors := []*Mirror[int]{NewMirror(2, recordSize), NewMirror(3, recordSize)}
		replica := NewReplica[int](selectors[0])
		selector := selectors[0]
		var received []Batch[int]
		read := func(sourceIndex int, cursor Cursor, s Selector) (Batch[int], error) {
			maxBytes := rapid.IntRange(1, 60).Draw(t, "max bytes")
			if sourceIndex == 0 {
				return source.Read(cursor, s, maxBytes)
			}
			if m := mirrors[sourceIndex-1]; m.Ready() {
				return m.Log().Read(cursor, s, maxBytes)
			}
			return Batch[int]{}, ErrBehind
		}
		apply := func(b Batch[int]) {
			before := replica.Revision()
			change, err := replica.Apply(b)
			if errors.Is(err, ErrMalformed) {
				t.Fatalf("batch of a log is rejected as malformed: %+v at %+v", b, replica.Cursor())
			}
			if replica.Revision() < before {
				t.Fatalf("revision went back to %d from %d", replica.Revision(), before)
			}
			if change != nil {
				if diff := cmp.Diff(selected(source.stateAt[replica.Revision()], selector), viewOf(replica)); diff != "" {
					t.Fatalf("at revision %d with selector %+v:\n%s", replica.Revision(), selector, diff)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				key := fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), rapid.IntRange(0, 3).Draw(t, "key"))
				source.change(key, rapid.IntRange(1, 99).Draw(t, "value"), rapid.Bool().Draw(t, "deleted"), uint64(rapid.IntRange(0, 1).Draw(t, "skip")))
			},
			"mirror": func(t *rapid.T) {
				m := mirrors[rapid.IntRange(0, 1).Draw(t, "which")]
				b, err := source.Read(m.Cursor(), m.Selector(), rapid.IntRange(1, 60).Draw(t, "max bytes"))
				if err == nil {
					_, err = m.Apply(b)
				}
				if err != nil {
					t.Fatal(err)
				}
			},
			"restart mirror": func(t *rapid.T) { mirrors[rapid.IntRange(0, 1).Draw(t, "which")] = NewMirror(2, recordSize) },
			"read": func(t *rapid.T) {
				b, err := read(rapid.IntRange(0, 2).Draw(t, "source"), replica.Cursor(), replica.Selector())
				if err != nil {
					return // source is behind or not ready
				}
				if received = append(received, b); rapid.Bool().Draw(t, "arrives") {
					apply(b)
				}
			},
			"delayed batch": func(t *rapid.T) {
				if len(received) > 0 {
					apply(rapid.SampledFrom(received).Draw(t, "batch"))
				}
			},
			"select": func(t *rapid.T) {
				selector = rapid.SampledFrom(selectors).Draw(t, "selector")
				replica.Select(selector)
			},
		})
		for replica.Revision() < source.Revision() || replica.Cursor().Restart || replica.Cursor().SnapshotRevision > 0 {
			b, err := source.Read(replica.Cursor(), replica.Selector(), 20)
			if err != nil {
				t.Fatal(err)
			}
			apply(b)
		}
		if diff := cmp.Diff(selected(source.current, selector), viewOf(replica)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// A watcher that is 10,000 changes behind reads each key once, in several batches. If a tombstone has expired
// meanwhile, it gets a snapshot.
func TestWatcherFarBehind(t *testing.T) {
	source := newTestLog(0, 100)
	replica := NewReplica[int](Selector{All: true})
	source.change("deleted", 1, false, 0)
	catchUp(t, source, replica)
	for i := range 10_000 {
		source.change(fmt.Sprint("k", i%200), i, false, 0)
	}
	if records, reset := catchUp(t, source, replica); records != 200 || reset {
		t.Errorf("%d records, snapshot %v", records, reset)
	}
	source.change("deleted", 0, true, 0)
	for i := range 101 {
		source.change(fmt.Sprint("k", i), 0, true, 0)
	}
	if records, reset := catchUp(t, source, replica); records != 99 || !reset {
		t.Errorf("after an expired tombstone: %d records, snapshot %v", records, reset)
	}
	if diff := cmp.Diff(source.current, viewOf(replica)); diff != "" {
		t.Error(diff)
	}
}

func catchUp(t *testing.T, source *testLog, replica *Replica[int]) (records int, reset bool) {
	t.Helper()
	for {
		b, err := source.Read(replica.Cursor(), replica.Selector(), 100)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := replica.Apply(b); err != nil {
			t.Fatal(err)
		}
		records, reset = records+len(b.Records), reset || b.Reset
		if !b.More {
			return records, reset
		}
	}
}

// Guards against lost changes when a read continues at a source that is older than the one it was started at: a key
// that has changed in between is still at its old revision there, in the range that was already read. Such a source
// must return ErrBehind.
func TestReadDoesNotContinueAtOlderSource(t *testing.T) {
	older, newer := newTestLog(0, 10), newTestLog(0, 10)
	for _, h := range []*testLog{older, newer} {
		h.change("changing", 1, false, 0)
		h.change("unchanged", 1, false, 0)
		h.change("last", 1, false, 0)
	}
	newer.change("changing", 2, false, 0)
	replica := NewReplica[int](Selector{All: true})
	first, err := newer.Read(replica.Cursor(), replica.Selector(), 1)
	if err != nil || !first.More {
		t.Fatalf("%+v, %v", first, err)
	}
	if _, err := replica.Apply(first); err != nil {
		t.Fatal(err)
	}
	if remaining, err := older.Read(replica.Cursor(), replica.Selector(), 100); !errors.Is(err, ErrBehind) {
		t.Errorf("older source returned %+v, %v", remaining, err)
	}
	catchUp(t, newer, replica)
	if diff := cmp.Diff(newer.current, viewOf(replica)); diff != "" {
		t.Error(diff)
	}
}

// A source that is behind returns ErrBehind, and a malformed batch changes nothing.
func TestRejectedBatchesAndChanges(t *testing.T) {
	source := newTestLog(0, 10)
	for i := range 5 {
		source.change(fmt.Sprint("k", i), i, false, 0)
	}
	replica := NewReplica[int](Selector{All: true})
	catchUp(t, source, replica)
	older := newTestLog(0, 10)
	older.change("k", 1, false, 0)
	if _, err := older.Read(replica.Cursor(), replica.Selector(), 100); !errors.Is(err, ErrBehind) {
		t.Errorf("older source: %v", err)
	}
	if err := source.Put(Record[int]{Key: "k", Revision: 2}); !errors.Is(err, ErrOrder) {
		t.Errorf("change at an earlier revision: %v", err)
	}
	source.change("k1", 7, false, 0)
	valid, err := source.Read(replica.Cursor(), replica.Selector(), 100)
	if err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*Batch[int]){
		"revision too low":     func(b *Batch[int]) { b.Records[0].Revision = 1 },
		"revision too high":    func(b *Batch[int]) { b.Records[0].Revision = 99 },
		"end revision too low": func(b *Batch[int]) { b.To.Revision, b.To.ViewRevision = 1, 1 },
		"no records but more":  func(b *Batch[int]) { b.More, b.Records = true, nil },
		"other selector":       func(b *Batch[int]) { b.To.SelectorGeneration++ },
	} {
		b := valid
		b.Records = append([]Record[int](nil), valid.Records...)
		corrupt(&b)
		if _, err := replica.Apply(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if v, _ := replica.Get("k1"); v != 1 {
		t.Errorf("k1 is %d", v)
	}
}
