package controlplane

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinbeam/internal/cluster/changelog"
)

func set(key, content string) EntryChange { return EntryChange{Key: key, Content: []byte(content)} }

// Of two operators who change the configuration based on the same revision, one succeeds and the other gets
// ErrConflict. A change is applied whole or not at all, and one that exceeds a limit changes nothing.
func TestConfiguration(t *testing.T) {
	s := NewState()
	s.Version = 10
	configure := func(from uint64, changes ...EntryChange) Command {
		return Command{Kind: Configure, From: from, Entries: changes}
	}
	large := strings.Repeat("x", maxEntryBytes)
	var many []EntryChange
	for i := range maxChangeBytes/maxEntryBytes + 1 {
		many = append(many, set(fmt.Sprint("k", i), large))
	}
	checkApply(t, s, nil, configure(0, set("a", "1"), set("b", "2")))
	first := s.Configured
	checkApply(t, s, ErrConflict, configure(0, set("a", "3")))
	for name, c := range map[string]struct {
		want    error
		changes []EntryChange
	}{
		"nothing":         {ErrNoChange, nil},
		"no key":          {ErrNoChange, []EntryChange{set("", "1")}},
		"a key twice":     {ErrNoChange, []EntryChange{set("a", "4"), set("a", "5")}},
		"an unknown key":  {ErrNoEntry, []EntryChange{set("a", "4"), {Key: "c", Deleted: true}}},
		"a large entry":   {ErrConfigTooBig, []EntryChange{set("a", "4"), set("c", large+"x")}},
		"a long key":      {ErrConfigTooBig, []EntryChange{set(strings.Repeat("k", maxEntryKey+1), "4")}},
		"a large change":  {ErrConfigTooBig, many},
		"too many in one": {ErrConfigTooBig, make([]EntryChange, maxEntryChanges+1)},
	} {
		for i := range c.changes {
			if name == "too many in one" {
				c.changes[i] = set(fmt.Sprint("k", i), "")
			}
		}
		before := s.Configured
		checkApply(t, s, c.want, configure(s.Configured, c.changes...))
		if s.Configured != before || string(s.Entries["a"].Content) != "1" || len(s.Entries) != 2 {
			t.Errorf("%s: %v at revision %d", name, s.Entries, s.Configured)
		}
	}
	checkApply(t, s, nil, configure(first, EntryChange{Key: "a", Deleted: true}, set("b", "22")))
	if s.EntryBytes != len("b")+len("22") || s.Configured <= first || len(s.Entries) != 1 || s.Entries["b"].Revision != s.Configured {
		t.Errorf("%d bytes, revision %d, %v", s.EntryBytes, s.Configured, s.Entries)
	}
	full := s.Clone()
	full.EntryBytes = maxConfigBytes
	checkApply(t, full, ErrConfigTooBig, configure(full.Configured, set("c", "1")))
	checkApply(t, full, nil, configure(full.Configured, set("b", "2"))) // it shrinks
}

// A state stored by a version without configuration entries has none, and entries can be added to it.
func TestStateWithoutConfiguration(t *testing.T) {
	stored := NewState()
	stored.Version, stored.Entries = 20, nil
	data, err := encode(stored)
	if err != nil {
		t.Fatal(err)
	}
	s, err := decodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	checkApply(t, s, nil, Command{Kind: Configure, Entries: []EntryChange{set("a", "1")}})
	if got := maps.Collect(s.EntryContents()); len(got) != 1 || string(got["a"]) != "1" {
		t.Errorf("%v", got)
	}
}

// A watcher that reads after ten thousand changes gets each key once, in pieces of bounded size; changes are not queued
// for it.
func TestTenThousandChanges(t *testing.T) {
	const keys, changes = 100, 10_000
	s := NewState()
	s.Version = firstIndex
	log, err := s.changeLog()
	if err != nil {
		t.Fatal(err)
	}
	view := NewView()
	for i := range changes {
		cmd := Command{Kind: Configure, From: s.Configured, Entries: []EntryChange{set(fmt.Sprint("destination/", i%keys), strings.Repeat(fmt.Sprint(i%10), 2000))}}
		if err := errors.Join(s.Apply(s.Version+1, cmd), s.publish(log)); err != nil {
			t.Fatal(err)
		}
	}
	records := 0
	for more := true; more; {
		c := ChangesFor(log, *view.Watch())
		if c == nil {
			t.Fatal("no more changes")
		}
		size := 0
		for _, r := range c.Records {
			size += len(r.Value.encoded)
		}
		if records += len(c.Records); size > PieceBytes+maxEntryBytes {
			t.Errorf("a piece of %d bytes", size)
		}
		var err error
		if _, more, err = view.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	if records != keys+1 { // one more for the revision
		t.Errorf("%d records for %d keys", records, keys)
	}
	if got := view.State(); got.Configured != s.Configured || !cmp.Equal(maps.Collect(got.EntryContents()), maps.Collect(s.EntryContents())) {
		t.Errorf("revision %d of %d, %d entries", got.Configured, s.Configured, len(got.Entries))
	}
}

// The state of a view is never modified, even if a later one shares its entries.
func TestEntriesAreShared(t *testing.T) {
	view := NewView()
	apply := func(version uint64, records ...Change) *State {
		t.Helper()
		w := view.Watch()
		b := Changes{From: w.Cursor, To: changelog.Cursor{ViewRevision: version, Revision: version}, Records: records}
		if _, _, err := view.Apply(&b); err != nil {
			t.Fatal(err)
		}
		return view.State()
	}
	entry := func(revision uint64, key, content string) Change {
		return Change{Key: configPrefix + key, Revision: revision, Value: Item{Entry: &ConfigEntry{Content: []byte(content), Revision: revision}}}
	}
	one := apply(5, entry(5, "a", "1"))
	two := apply(6, Change{Key: MemberKey("m"), Revision: 6, Value: Item{Member: &Member{Life: 1}}})
	three := apply(7, entry(7, "a", "2"), entry(7, "b", "3"))
	four := apply(8, Change{Key: configPrefix + "a", Revision: 8, Deleted: true})
	for i, c := range []struct {
		state *State
		want  map[string][]byte
	}{
		{one, map[string][]byte{"a": []byte("1")}}, {two, map[string][]byte{"a": []byte("1")}},
		{three, map[string][]byte{"a": []byte("2"), "b": []byte("3")}}, {four, map[string][]byte{"b": []byte("3")}},
	} {
		if got := maps.Collect(c.state.EntryContents()); !cmp.Equal(got, c.want) {
			t.Errorf("state %d: %q, want %q", i, got, c.want)
		}
	}
}

func reports(from, to int, revision uint64) map[Incarnation]ConfigReport {
	out := map[Incarnation]ConfigReport{}
	for i := from; i < to; i++ {
		out[Incarnation{fmt.Sprintf("m%04d", i), 1}] = ConfigReport{Revision: revision}
	}
	return out
}

// Members that lag or refuse entries are counted whichever source reports them, sources that stop reporting are
// dropped, and the lists are bounded.
func TestRollout(t *testing.T) {
	var r rollouts
	r.report(0, "relay 1", Summarize(reports(0, 900, 7)))
	mixed := reports(900, 1000, 7)
	for i := 0; i < 40; i++ {
		mixed[Incarnation{fmt.Sprintf("m%04d", 900+i), 1}] = ConfigReport{Revision: uint64(i % 5)}
	}
	for i := 60; i < 80; i++ {
		mixed[Incarnation{fmt.Sprintf("m%04d", 900+i), 1}] = ConfigReport{Revision: 7, Refused: []RefusedEntry{{"class/safe", "no such class"}}}
	}
	r.report(0, "relay 2", Summarize(mixed))
	r.report(0, "m2000/1", Summarize(map[Incarnation]ConfigReport{{"m2000", 1}: {Revision: 8}}))
	sum := r.sum(time.Second)
	if sum.Members() != 1001 || sum.Current(7) != 961 || sum.Current(8) != 1 || sum.Refusing != 20 || len(sum.Refusals) != maxReported {
		t.Errorf("%d members, %d and %d of them current, %d refuse, %d listed", sum.Members(), sum.Current(7), sum.Current(8), sum.Refusing, len(sum.Refusals))
	}
	if first := sum.Refusals[0]; first != (MemberRefusal{Incarnation{"m0960", 1}, "class/safe", "no such class"}) {
		t.Errorf("refused: %+v", first)
	}
	r.report(2*time.Second, "relay 1", Summarize(reports(0, 900, 8)))
	if sum = r.sum(reportTTL + time.Second); sum.Members() != 900 || sum.Current(8) != 900 {
		t.Errorf("%+v", sum)
	}
	for name, c := range map[string]struct {
		reports map[Incarnation]ConfigReport
		want    bool
	}{
		"all":                   {reports(0, 3, 8), true},
		"one was not heard":     {reports(0, 2, 8), false},
		"one is counted twice":  {reports(0, 4, 8), true},
		"and another is behind": {map[Incarnation]ConfigReport{{"a", 1}: {Revision: 8}, {"b", 1}: {Revision: 8}, {"b", 2}: {Revision: 8}, {"c", 1}: {Revision: 7}}, false},
	} {
		if got := (Rollout{Revision: 8, Members: 3, Summary: Summarize(c.reports)}).InForce(); got != c.want {
			t.Errorf("%s: in force %v", name, got)
		}
	}
	var wide ConfigSummary
	for revision := range uint64(100) {
		wide.add(Summarize(reports(int(revision), int(revision)+1, revision)))
	}
	descending := slices.IsSortedFunc(wide.Revisions, func(a, b RevisionCount) int { return int(b.Revision) - int(a.Revision) })
	if len(wide.Revisions) != maxRevisions || wide.Members() != 100 || wide.Current(99) != 1 || !descending {
		t.Errorf("%+v", wide.Revisions)
	}
	wideText := ConfigReport{Refused: []RefusedEntry{{"class/safe", strings.Repeat("ž", maxReasonBytes) + "\xff"}}}.Bounded()
	for _, why := range []string{wideText.Refused[0].Why, (ConfigReport{Refused: []RefusedEntry{{Why: "x" + strings.Repeat("ž", maxReasonBytes)}}}).Bounded().Refused[0].Why} {
		raw, err := Request{Report: &ConfigReport{Refused: []RefusedEntry{{Why: why}}}}.GobEncode()
		if err := errors.Join(err, new(Request).GobDecode(raw)); err != nil || len(why) > maxReasonBytes {
			t.Errorf("a truncated reason: %d bytes, %v", len(why), err)
		}
	}
	long := ConfigReport{Refused: make([]RefusedEntry, 100)}
	long.Refused[0] = RefusedEntry{strings.Repeat("k", 1000), strings.Repeat("w", 1000)}
	if got := long.Bounded(); len(got.Refused) != maxReported || len(got.Refused[0].Key) != maxEntryKey || len(got.Refused[0].Why) != maxReasonBytes {
		t.Errorf("%d entries, %d and %d bytes", len(got.Refused), len(got.Refused[0].Key), len(got.Refused[0].Why))
	}
}
