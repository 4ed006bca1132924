package controlplane

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinbeam/internal/cluster/changelog"
	"mulleinbeam/internal/routing/wal/fsys"
)

// committedPart returns the parts of a state that a view has to reproduce.
func committedPart(s *State) *State {
	out := *s
	out.Revisions, out.Deleted, out.Floor, out.changedKeys, out.EntryBytes = nil, nil, 0, nil, 0
	if len(out.Entries) == 0 {
		out.Entries = nil
	}
	if len(out.Jobs) == 0 {
		out.Jobs = nil
	}
	return &out
}

func sameState(a, b *State) string {
	return cmp.Diff(committedPart(a), committedPart(b), cmp.AllowUnexported(State{}))
}

// randomCommand returns a command that is likely to change something.
func randomCommand(rng *rand.Rand, s *State) Command {
	name := fmt.Sprint("m", rng.IntN(6))
	m := s.Members[name]
	if m == nil || rng.IntN(4) == 0 {
		had := uint64(0)
		if m != nil && rng.IntN(2) == 0 {
			had = m.Life
		}
		return Command{Kind: Join, Life: Incarnation{name, had}, Whole: had > 0, Fenced: true, Token: fmt.Sprint(rng.Uint64()), Zone: "z"}
	}
	incarnation := Incarnation{name, m.Life}
	switch rng.IntN(10) {
	case 8, 9:
		return randomConfiguration(rng, s)
	case 0:
		return Command{Kind: Fence, Life: incarnation}
	case 1:
		return Command{Kind: SetReplicas, Life: incarnation, From: m.Changed, Set: []string{fmt.Sprint("m", rng.IntN(6))}}
	case 2:
		return Command{Kind: Drain, Life: incarnation, On: rng.IntN(2) == 0}
	case 3:
		return Command{Kind: Remove, Life: incarnation}
	case 4:
		return Command{Kind: SetPlan, From: s.Plan.Number, Number: s.Plan.Number + 1, Content: []byte(fmt.Sprint(rng.Uint64()))}
	case 5:
		return Command{Kind: Evacuate, From: s.Plan.Ordered, Place: "z", On: rng.IntN(2) == 0}
	}
	for _, j := range s.Jobs {
		if !j.Done && j.Taker.Number == 0 {
			return Command{Kind: AssignTakeover, Life: j.Life, Taker: incarnation}
		}
		if !j.Done {
			return Command{Kind: CompleteTakeover, Life: j.Life, Taker: j.Taker}
		}
	}
	return Command{Kind: Fence, Life: incarnation}
}

// randomConfiguration sets and deletes configuration entries.
func randomConfiguration(rng *rand.Rand, s *State) Command {
	cmd := Command{Kind: Configure, From: s.Configured}
	for i := range 1 + rng.IntN(3) {
		key := fmt.Sprint("destination/", i*4+rng.IntN(4))
		deleted := s.Entries[key] != nil && rng.IntN(3) == 0
		change := EntryChange{Key: key, Deleted: deleted}
		if !deleted {
			change.Content = fmt.Append(nil, rng.Uint32())
		}
		cmd.Entries = append(cmd.Entries, change)
	}
	return cmd
}

// Views are fed by any voter, in pieces, over links that lose, duplicate and delay responses, while voters restart, one
// of them without its folder, and their logs are compacted. A view has to equal the state committed at its version, and
// versions only grow.
func TestViewsEqualCommittedState(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 3))
		g := newGroup(t, "a", "b", "c")
		states := map[uint64]*State{}
		views := []*View{NewView(), NewView()}
		var late []*Changes
		for step := range 400 {
			l := g.leader()
			_ = l.Propose(rng.Uint64(), randomCommand(rng, l.State()))
			g.run(1)
			states[l.State().Version] = l.State().Clone()
			if step%60 == 30 {
				name := g.names[rng.IntN(3)]
				g.down[name] = true
				if rng.IntN(2) == 0 {
					g.disks[name] = fsys.NewMem()
				}
				g.open(name)
				g.down[name] = false
				for range 3 {
					g.run(5)
					g.rejoin()
				}
				states[g.leader().State().Version] = g.leader().State().Clone()
			}
			v := views[rng.IntN(2)]
			w := v.Watch()
			b, err := g.cores[g.names[rng.IntN(3)]].Log().Read(w.Cursor, w.Selector, 1+rng.IntN(400))
			if err == nil {
				late = append(late, &b)
			}
			for range 1 + rng.IntN(2) {
				if len(late) == 0 || rng.IntN(5) == 0 {
					continue
				}
				before := v.State().Version
				_, _, err := v.Apply(late[max(0, len(late)-1-rng.IntN(3))])
				if errors.Is(err, changelog.ErrMalformed) || v.State().Version < before {
					t.Fatalf("seed %d: version %d behind %d, %v", seed, v.State().Version, before, err)
				}
				if want := states[v.State().Version]; want != nil {
					if diff := sameState(want, v.State()); diff != "" {
						t.Fatalf("seed %d, step %d, version %d:\n%s", seed, step, v.State().Version, diff)
					}
				}
			}
		}
		for _, v := range views {
			catchUp(t, v, g.leader())
			if diff := sameState(g.leader().State(), v.State()); diff != "" {
				t.Fatalf("seed %d: at the end:\n%s", seed, diff)
			}
		}
	}
}

// catchUp feeds a view until it has everything that a voter knows.
func catchUp(t *testing.T, v *View, c *Core) {
	t.Helper()
	for v.State().Version < c.State().Version {
		w := v.Watch()
		b, err := c.Log().Read(w.Cursor, w.Selector, 200)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := v.Apply(&b); err != nil {
			t.Fatal(err)
		}
	}
}

// The group is rebuilt from a voter that lacks the latest commands. A view that had them has to adopt the rebuilt state
// at a higher version, and a leftover voter of the old group must be behind that view.
func TestRebuiltStateReplacesView(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.join("kept")
	g.run(10)
	g.down["a"] = true
	g.join("lost")
	v := NewView()
	catchUp(t, v, g.leader())
	if v.State().Members["lost"] == nil {
		t.Fatal("the view does not have it")
	}
	if err := g.stores["a"].Close(); err != nil {
		t.Fatal(err)
	}
	raftStore, stored, err := OpenRaftStore(g.disks["a"], func(s string) { t.Error(s) })
	if err != nil {
		t.Fatal(err)
	}
	newState, err := Rebuild(stored, []string{"a"})
	if err == nil {
		err = errors.Join(raftStore.Replace(newState), raftStore.Close())
	}
	if err != nil {
		t.Fatal(err)
	}
	old := g.leader()
	rebuilt := newGroup(t)
	rebuilt.names, rebuilt.disks["a"] = []string{"a"}, g.disks["a"].Crash(fsys.LoseNothing, rand.New(rand.NewPCG(1, 1)))
	rebuilt.open("a")
	rebuilt.join("new")
	before := v.State().Version
	catchUp(t, v, rebuilt.leader())
	if s := v.State(); s.Version <= before || s.Members["kept"] == nil || s.Members["new"] == nil || s.Members["lost"] != nil {
		t.Errorf("at version %d after %d: %v", s.Version, before, s.Names())
	}
	if _, err := old.Log().Read(v.Watch().Cursor, SelectAll, 100); !errors.Is(err, changelog.ErrBehind) {
		t.Errorf("an old voter: %v", err)
	}
}

// A lease counts from when the renewal that was answered was sent. Responses to an earlier renewal, late or duplicated,
// must not extend it.
func TestLeaseCountsFromSendingOfRenewal(t *testing.T) {
	l := Lease{Length: time.Second}
	a := Incarnation{"a", 1}
	first := l.Renewal(10*time.Second, a)
	old := Response{Granted: true, Sequence: first.Sequence}
	if until, ok := l.Granted(old); !ok || until != 11*time.Second {
		t.Errorf("granted until %v, %v", until, ok)
	}
	second := l.Renewal(15*time.Second, a)
	if _, ok := l.Granted(old); ok {
		t.Error("an answer to the first renewal counts for the second")
	}
	if _, ok := l.Granted(Response{Sequence: second.Sequence}); ok {
		t.Error("an answer that grants nothing counts")
	}
	if until, ok := l.Granted(Response{Granted: true, Sequence: second.Sequence}); !ok || until != 16*time.Second {
		t.Errorf("granted until %v, %v", until, ok)
	}
}

// An incarnation whose lease is over is returned once. One that has renewed is not, and one that has just started gets
// a whole lease.
func TestExpiredLeases(t *testing.T) {
	l := Leases{Lease: time.Second, Margin: 200 * time.Millisecond}
	l.Elected(0)
	a, b, late := Incarnation{"a", 1}, Incarnation{"b", 1}, Incarnation{"late", 1}
	l.Track(a)
	l.Track(b)
	l.Renew(time.Second, b)
	if due := l.Expired(1199 * time.Millisecond); len(due) != 0 {
		t.Errorf("%v expired too early", due)
	}
	if diff := cmp.Diff([]Incarnation{a}, l.Expired(1200*time.Millisecond)); diff != "" {
		t.Error(diff)
	}
	l.Renew(2*time.Second, late) // as a server does at its start
	l.Track(late)
	if diff := cmp.Diff([]Incarnation{b}, l.Expired(2200*time.Millisecond)); diff != "" {
		t.Error(diff)
	}
	l.TrackAt(b, 3*time.Second) // the proposal to fence it may not get committed
	if diff := cmp.Diff([]Incarnation{b}, l.Expired(3*time.Second)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]Incarnation{late}, l.Expired(time.Hour)); diff != "" {
		t.Error(diff)
	}
	l.Elected(2 * time.Hour)
	if due := l.Expired(3 * time.Hour); len(due) != 0 {
		t.Errorf("%v remain from an earlier leadership", due)
	}
}

// A state stored by an earlier version has no revisions. All its keys get the version of the state, and watchers start
// with a snapshot.
func TestStateOfEarlierVersion(t *testing.T) {
	type oldState struct {
		Version uint64
		Members map[string]*Member
		Jobs    []*TakeoverTask
	}
	var raw bytes.Buffer
	old := oldState{Version: 40, Members: map[string]*Member{"a": {Life: 2, Alive: true}}, Jobs: []*TakeoverTask{{Life: Incarnation{"a", 1}, At: 30}}}
	if err := gob.NewEncoder(&raw).Encode(old); err != nil {
		t.Fatal(err)
	}
	s, err := decodeState(raw.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	log, err := s.changeLog()
	if err != nil {
		t.Fatal(err)
	}
	b, err := log.Read(changelog.Cursor{ViewRevision: 20, Revision: 20}, SelectAll, 1<<20)
	if err != nil || !b.Reset || b.More {
		t.Fatalf("%+v, %v", b, err)
	}
	v := NewView()
	if b, err = log.Read(v.Watch().Cursor, SelectAll, 1<<20); err != nil {
		t.Fatal(err)
	}
	if _, _, err := v.Apply(&b); err != nil || v.State().Version != 40 || v.State().Members["a"].Life != 2 || len(v.State().Jobs) != 1 {
		t.Errorf("%+v, %v", v.State(), err)
	}
}
