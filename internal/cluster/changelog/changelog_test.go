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

// history is a log together with what was so at each revision.
type history struct {
	*Log[int]
	states map[uint64]map[string]int
	now    map[string]int
}

func newHistory(floor uint64, mostDeleted int) *history {
	return &history{NewLog(max(1, floor), floor, mostDeleted, recordSize), map[uint64]map[string]int{max(1, floor): {}}, map[string]int{}}
}

// change puts or deletes a key at the next revision, skipping some.
func (h *history) change(key string, value int, deleted bool, skip uint64) {
	revision := h.Revision() + 1 + skip
	if deleted {
		delete(h.now, key)
		value = 0
	} else {
		h.now[key] = value
	}
	if err := h.Put(Record[int]{key, revision, deleted, value}); err != nil {
		panic(err)
	}
	for r := h.Revision() - skip; r <= revision; r++ {
		h.states[r] = maps.Clone(h.now)
	}
}

// selected is what a selector gives of a state.
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

// However changes come, and whatever becomes of answers (lost, doubled, late, out of order, cut into pieces, taken up at another source that
// may be behind), a replica is at every moment exactly what was selected as of its revision, which never goes backwards; and once
// answers get through it has all. Deletions are forgotten all the time, and selectors change in the middle of snapshots.
func TestReplicasSeeOnlyWhatWasSo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newHistory(uint64(rapid.IntRange(0, 5).Draw(t, "floor")), rapid.IntRange(1, 4).Draw(t, "deletions"))
		mirrors := []*Mirror[int]{NewMirror(2, recordSize), NewMirror(3, recordSize)}
		replica := NewReplica[int](selectors[0])
		selector := selectors[0]
		var late []Batch[int]
		read := func(who int, cursor Cursor, s Selector) (Batch[int], error) {
			most := rapid.IntRange(1, 60).Draw(t, "piece")
			if who == 0 {
				return source.Read(cursor, s, most)
			}
			if m := mirrors[who-1]; m.Ready() {
				return m.Log().Read(cursor, s, most)
			}
			return Batch[int]{}, ErrBehind
		}
		apply := func(b Batch[int]) {
			before := replica.Revision()
			change, err := replica.Apply(b)
			if errors.Is(err, ErrMalformed) {
				t.Fatalf("a log's answer is taken for malformed: %+v at %+v", b, replica.Cursor())
			}
			if replica.Revision() < before {
				t.Fatalf("revision %d behind %d", replica.Revision(), before)
			}
			if change != nil {
				if diff := cmp.Diff(selected(source.states[replica.Revision()], selector), viewOf(replica)); diff != "" {
					t.Fatalf("at revision %d by %+v:\n%s", replica.Revision(), selector, diff)
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
				b, err := source.Read(m.Cursor(), m.Selector(), rapid.IntRange(1, 60).Draw(t, "piece"))
				if err == nil {
					_, err = m.Apply(b)
				}
				if err != nil {
					t.Fatal(err)
				}
			},
			"restart a mirror": func(t *rapid.T) { mirrors[rapid.IntRange(0, 1).Draw(t, "which")] = NewMirror(2, recordSize) },
			"ask": func(t *rapid.T) {
				b, err := read(rapid.IntRange(0, 2).Draw(t, "source"), replica.Cursor(), replica.Selector())
				if err != nil {
					return // behind, or not ready
				}
				if late = append(late, b); rapid.Bool().Draw(t, "arrives") {
					apply(b)
				}
			},
			"late answer": func(t *rapid.T) {
				if len(late) > 0 {
					apply(rapid.SampledFrom(late).Draw(t, "answer"))
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
		if diff := cmp.Diff(selected(source.now, selector), viewOf(replica)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Ten thousand changes at once: who is behind gets each key once, in pieces, and a deletion that was forgotten means a snapshot.
func TestAWatcherThatIsFarBehind(t *testing.T) {
	source := newHistory(0, 100)
	replica := NewReplica[int](Selector{All: true})
	source.change("gone", 1, false, 0)
	catchUp(t, source, replica)
	for i := range 10_000 {
		source.change(fmt.Sprint("k", i%200), i, false, 0)
	}
	if records, reset := catchUp(t, source, replica); records != 200 || reset {
		t.Errorf("%d records, snapshot %v", records, reset)
	}
	source.change("gone", 0, true, 0)
	for i := range 101 {
		source.change(fmt.Sprint("k", i), 0, true, 0)
	}
	if records, reset := catchUp(t, source, replica); records != 99 || !reset {
		t.Errorf("behind a forgotten deletion: %d records, snapshot %v", records, reset)
	}
	if diff := cmp.Diff(source.now, viewOf(replica)); diff != "" {
		t.Error(diff)
	}
}

func catchUp(t *testing.T, source *history, replica *Replica[int]) (records int, reset bool) {
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

// The rest of an answer comes from a source that is behind the one which gave its first piece: there a key that has moved on meanwhile
// still has its place in the part that was read already. Such a source is refused, or the key's change would be missed.
func TestTheRestOfAnAnswerComesFromNoOlderSource(t *testing.T) {
	older, newer := newHistory(0, 10), newHistory(0, 10)
	for _, h := range []*history{older, newer} {
		h.change("moves", 1, false, 0)
		h.change("stays", 1, false, 0)
		h.change("last", 1, false, 0)
	}
	newer.change("moves", 2, false, 0)
	replica := NewReplica[int](Selector{All: true})
	piece, err := newer.Read(replica.Cursor(), replica.Selector(), 1)
	if err != nil || !piece.More {
		t.Fatalf("%+v, %v", piece, err)
	}
	if _, err := replica.Apply(piece); err != nil {
		t.Fatal(err)
	}
	if rest, err := older.Read(replica.Cursor(), replica.Selector(), 100); !errors.Is(err, ErrBehind) {
		t.Errorf("the older source gives %+v, %v", rest, err)
	}
	catchUp(t, newer, replica)
	if diff := cmp.Diff(newer.now, viewOf(replica)); diff != "" {
		t.Error(diff)
	}
}

// A source that is behind gives nothing, and an answer that no log gives changes nothing.
func TestWhatIsNotTaken(t *testing.T) {
	source := newHistory(0, 10)
	for i := range 5 {
		source.change(fmt.Sprint("k", i), i, false, 0)
	}
	replica := NewReplica[int](Selector{All: true})
	catchUp(t, source, replica)
	older := newHistory(0, 10)
	older.change("k", 1, false, 0)
	if _, err := older.Read(replica.Cursor(), replica.Selector(), 100); !errors.Is(err, ErrBehind) {
		t.Errorf("an older source: %v", err)
	}
	if err := source.Put(Record[int]{Key: "k", Revision: 2}); !errors.Is(err, ErrOrder) {
		t.Errorf("a change of the past: %v", err)
	}
	source.change("k1", 7, false, 0)
	good, err := source.Read(replica.Cursor(), replica.Selector(), 100)
	if err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Batch[int]){
		"a revision of the past": func(b *Batch[int]) { b.Records[0].Revision = 1 },
		"a revision to come":     func(b *Batch[int]) { b.Records[0].Revision = 99 },
		"an end before its time": func(b *Batch[int]) { b.To.Revision, b.To.ViewRevision = 1, 1 },
		"pieces without a piece": func(b *Batch[int]) { b.More, b.Records = true, nil },
		"another selection":      func(b *Batch[int]) { b.To.SelectorGeneration++ },
	} {
		b := good
		b.Records = append([]Record[int](nil), good.Records...)
		spoil(&b)
		if _, err := replica.Apply(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if v, _ := replica.Get("k1"); v != 1 {
		t.Errorf("k1 is %d", v)
	}
}
