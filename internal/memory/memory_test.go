package memory

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal/fsys"
)

// clock is one that the test sets.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{time.Unix(1_900_000_000, 0)} }

// options are those of a memory whose reports the test reads.
func options(fs fsys.FS, c *clock, told *[]string) Options {
	return Options{
		FS: fs, Name: "n1", MaxBytes: 64 << 10, MaxIDs: 100, IDRetention: 20 * time.Second, Decay: DefaultDecay, Now: c.now,
		Report: func(line string) { *told = append(*told, line) },
	}
}

func duration(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name))
}

// drawLearned draws what a courier may have learned.
func drawLearned(t *rapid.T) mb.LearnedState {
	var l mb.LearnedState
	for i := range rapid.IntRange(0, 8).Draw(t, "lanes") {
		lane := mb.LearnedCircuit{
			Destination: mb.DestinationID(i), Seen: duration(t, "seen"), Breaker: mb.Breaker(rapid.IntRange(0, 1).Draw(t, "breaker")),
			OpenFor: duration(t, "open"), OpenLeft: duration(t, "left"), Wait: duration(t, "wait"),
			Rate: rapid.Float64Range(0, 1e4).Draw(t, "rate"), Limit: rapid.Float64Range(0, 1e4).Draw(t, "limit"),
			Pace: rapid.Float64Range(0, 99).Draw(t, "pace"), Cap: rapid.Float64Range(1, 30).Draw(t, "cap"),
			Guard: rapid.Bool().Draw(t, "guard"), Weak: rapid.Bool().Draw(t, "weak"), GuardSince: duration(t, "since"),
			GuardFrom: -1, LastBad: -1, LastOK: duration(t, "ok"), Trust: rapid.Float64Range(0, 1).Draw(t, "trust"),
			Cold: rapid.Bool().Draw(t, "cold"),
		}
		for j := range rapid.IntRange(0, 3).Draw(t, "endpoints") {
			lane.Endpoints = append(lane.Endpoints, mb.EndpointID(fmt.Sprintf("e%d-%d", i, j)))
		}
		if rapid.Bool().Draw(t, "route") {
			lane.Endpoint = mb.EndpointID(fmt.Sprint("e", i))
		}
		l.Circuits = append(l.Circuits, lane)
	}
	l.Classes = []mb.LearnedClass{{Name: "fee", MeanSeconds: rapid.Float64Range(0, 9).Draw(t, "mean"), Trust: 0.5}}
	l.Losses = mb.LossCounts{AfterIdle: [2]float64{9, 3}, StrayRefusals: [2]float64{2, 1}, IdleLimit: duration(t, "idle"), RetryAfterSeen: true}
	return l
}

// What is written is what is read.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := content{name: "n1", saved: time.Unix(0, rapid.Int64().Draw(t, "saved")), learned: drawLearned(t)}
		for i := range rapid.IntRange(0, 5).Draw(t, "ids") {
			want.ended = append(want.ended, ended{(&Memory{}).hash(fmt.Sprint(i)), i%2 == 0, time.Unix(int64(i), 5)})
		}
		got, err := decode(encode(want))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(content{}, ended{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// seal puts a file together from its fields.
func seal(v uint32, b []byte) []byte {
	f := append(append([]byte(nil), magic...), byte(v), byte(v>>8), 0, 0)
	return resum(append(append(f, b...), make([]byte, 8)...))
}

// A file of a newer program has fields that this one does not know, at each level; an older one lacks some. Both are read for
// what is known. A version whose known fields mean something else is not.
func TestOlderAndNewerFiles(t *testing.T) {
	var newer fields
	newer.text(tagName, "n1")
	newer.put(99, []byte("a whole new kind of thing"))
	newer.number(tagSaved, 5)
	var lane fields
	lane.number(laneDestination, 7)
	lane.put(200, nil)
	lane.text(laneListed, "e1")
	lane.number(laneBreaker, 5) // a state that came later
	lane.put(laneRate, []byte("not eight"))
	newer.put(tagLane, lane.b)
	c, err := decode(seal(version, newer.b))
	if err != nil {
		t.Fatal(err)
	}
	want := mb.LearnedCircuit{
		Destination: 7, Endpoints: []mb.EndpointID{"e1"}, Breaker: mb.BreakerOpen, GuardFrom: -1, LastBad: -1, LastOK: -1, Pace: 1, Cap: 1,
		Trust: 1,
	}
	if diff := cmp.Diff([]mb.LearnedCircuit{want}, c.learned.Circuits); diff != "" || c.name != "n1" {
		t.Error(diff)
	}
	var older fields
	older.text(tagName, "n1")
	if c, err := decode(seal(version, older.b)); err != nil || c.name != "n1" || len(c.learned.Circuits) != 0 {
		t.Errorf("%+v, %v", c, err)
	}
	if _, err := decode(seal(version+1, older.b)); !errors.Is(err, ErrVersion) {
		t.Errorf("a later version: %v", err)
	}
}

// Any byte that differs, and any cut, means a cold start and one line, and the next save mends it.
func TestDamage(t *testing.T) {
	c, told := newClock(), []string{}
	mem := fsys.NewMem()
	o := options(mem, c, &told)
	m := Open(o)
	lane := mb.LearnedCircuit{Destination: 1, Endpoints: []mb.EndpointID{"e"}, Rate: 5, Trust: 1, Breaker: mb.BreakerOpen}
	if err := m.Save(Snapshot{Learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{lane}}}); err != nil || len(told) != 0 {
		t.Fatal(err, told)
	}
	f, _ := mem.Open(fileName)
	size, _ := f.Size()
	good := make([]byte, size)
	_, _ = f.ReadAt(good, 0)
	try := func(bad []byte) {
		t.Helper()
		told = nil
		fs := fsys.NewMem()
		g, _ := fs.Create(fileName)
		_, _ = g.Write(bad)
		o.FS = fs
		m := Open(o)
		if len(m.Learned().Circuits) != 0 || len(told) != 1 || !strings.Contains(told[0], "cold start") {
			t.Fatalf("%d bytes: %v, told %q", len(bad), m.Learned(), told)
		}
		if err := m.Save(Snapshot{Learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{lane}}}); err != nil || len(Open(o).Learned().Circuits) != 1 {
			t.Fatalf("not mended: %v", err)
		}
	}
	for i := range good {
		bad := append([]byte(nil), good...)
		bad[i] ^= 1 << (i % 8)
		try(bad)
		try(good[:i])
	}
	told = nil
	o.FS, o.Name = mem, "n2"
	if l := Open(o).Learned(); len(l.Circuits) != 0 || len(told) != 1 || !strings.Contains(told[0], `"n1"`) {
		t.Errorf("another's file: %v, told %q", l, told)
	}
}

// The process or the machine ends at any step of a save: the next start finds the old content or the new, whole.
func TestCrashAtEachStep(t *testing.T) {
	for _, sync := range []bool{false, true} {
		losses := []fsys.Loss{fsys.LoseProcess}
		if sync {
			losses = append(losses, fsys.LoseUnsynced, fsys.LoseTail, fsys.LoseAnyUnsync)
		}
		c, told := newClock(), []string{}
		mem := fsys.NewMem()
		o := options(mem, c, &told)
		o.Sync = sync
		m := Open(o)
		rng := rand.New(rand.NewPCG(1, 1))
		states, saved := 0, 0
		mem.Step = func() {
			for _, loss := range losses {
				after := o
				after.FS = mem.Crash(loss, rng)
				l := Open(after).Learned()
				states++
				if saved > 0 && len(l.Circuits) != saved && len(l.Circuits) != saved+1 || len(told) != 0 {
					t.Fatalf("sync %v, loss %d: %d lanes, %d and %d were saved; told %q", sync, loss, len(l.Circuits), saved, saved+1, told)
				}
			}
		}
		for n := 1; n <= 8; n++ {
			s := Snapshot{}
			for i := range n {
				s.Learned.Circuits = append(s.Learned.Circuits, mb.LearnedCircuit{Destination: mb.DestinationID(i), Trust: 1})
			}
			if err := m.Save(s); err != nil {
				t.Fatal(err)
			}
			saved = n
		}
		if states < 20 {
			t.Errorf("%d states", states)
		}
	}
}

// A disk that fails costs the save and nothing else: the old file stands, what was half written goes, the next save counts.
func TestDiskFails(t *testing.T) {
	for _, op := range []fsys.Op{fsys.OpCreate, fsys.OpWrite, fsys.OpSync, fsys.OpRename} {
		c, told := newClock(), []string{}
		faults := &fsys.Faults{FS: fsys.NewMem()}
		o := options(faults, c, &told)
		o.Sync = true
		m := Open(o)
		two := Snapshot{Learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{{Destination: 1}, {Destination: 2}}}}
		if err := m.Save(Snapshot{Learned: mb.LearnedState{Circuits: two.Learned.Circuits[:1]}}); err != nil {
			t.Fatal(err)
		}
		faults.Set(func(o fsys.Op, _ string, n int) (int, error) {
			if o == op {
				return n / 2, syscall.ENOSPC
			}
			return n, nil
		})
		if err := m.Save(two); !errors.Is(err, syscall.ENOSPC) || m.Saves().Failed != 1 {
			t.Errorf("%s: %v", op, err)
		}
		faults.Set(nil)
		if got := Open(o).Learned(); len(got.Circuits) != 1 {
			t.Errorf("%s: %d lanes", op, len(got.Circuits))
		}
		if err := m.Save(two); err != nil || len(Open(o).Learned().Circuits) != 2 {
			t.Errorf("%s, later: %v", op, err)
		}
	}
}

// What says careful holds whatever its age; what says go fades, by its own age and not by the file's.
func TestWeigh(t *testing.T) {
	l := mb.LearnedState{Circuits: []mb.LearnedCircuit{{
		Destination: 1, Breaker: mb.BreakerOpen, OpenLeft: time.Second, Wait: 90 * time.Second, Rate: 100, Trust: 1, Guard: true,
		GuardFrom: -1, LastBad: 0, LastOK: 20 * time.Second, Seen: 10 * time.Second,
	}}, Classes: []mb.LearnedClass{{Name: "c", MeanSeconds: 1, Trust: 1}}}
	for _, c := range []struct {
		age         time.Duration
		jumped      bool
		wait        time.Duration
		least, most float64 // trust
		cold        bool
	}{
		{time.Second, false, 89 * time.Second, 0.9, 0.99, false},
		{time.Minute, false, 30 * time.Second, 0.6, 0.7, false},
		{10 * time.Minute, false, 0, 0.02, 0.04, false},
		{5 * time.Hour, false, 0, 0, 0.001, true}, // healthy or not: by now it may be cold
		{time.Hour, true, 90 * time.Second, 0, 0, true},
	} {
		got := DefaultDecay.Weigh(l, c.age, c.jumped).Circuits[0]
		if got.Breaker != mb.BreakerOpen || !got.Guard || got.Wait != c.wait || got.Trust < c.least || got.Trust > c.most || got.Cold != c.cold {
			t.Errorf("after %v, jumped %v: %+v", c.age, c.jumped, got)
		}
	}
	if was := l.Circuits[0]; was.Wait != 90*time.Second {
		t.Error("what was given was changed")
	}
}

// Killed every second for ten minutes and saving each time, a forwarder that sees nothing of a partner believes ever less of
// what it once knew.
func TestRestartLoopDoesNotMakeTrustGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, told := newClock(), []string{}
		mem := fsys.NewMem()
		o := options(mem, c, &told)
		lane := mb.LearnedCircuit{
			Destination: 1, Endpoints: []mb.EndpointID{"e"}, Rate: 900, Trust: 1, Cap: 8, Pace: 1, GuardFrom: -1, LastBad: -1,
			Seen: duration(t, "seen"), Breaker: mb.Breaker(rapid.IntRange(0, 1).Draw(t, "breaker")),
		}
		if err := Open(o).Save(Snapshot{Learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{lane}}}); err != nil {
			t.Fatal(err)
		}
		settings := mb.Settings{
			Forwarders: 1, Slots: 8, MostHeld: 10, MaxAttempts: 3, MaxRetryAfter: time.Second, OverloadFactor: 1.3, TipAfter: time.Second,
			ColdFrom: 0.2, WarmWithin: 10 * time.Second, UseCapacityHints: true,
			Classes: []mb.Class{{Name: "c", Target: time.Second, DeliveryTimeout: 20 * time.Second, Worth: 1}},
		}
		last, lastRate := 1.0, 900.0
		for range 600 {
			c.at = c.at.Add(time.Second)
			m := Open(o)
			weighed := m.Learned()
			if got := weighed.Circuits[0]; got.Trust > last+1e-9 || lane.Breaker == mb.BreakerOpen && got.Breaker == mb.BreakerClosed {
				t.Fatalf("trust %v after %v: %+v", got.Trust, last, got)
			}
			d, err := mb.New(settings, 1)
			if err != nil {
				t.Fatal(err)
			}
			now := 24 * time.Hour
			d.Restore(now, weighed)
			d.Handle(now, []mb.Event{mb.EndpointUpdate{Scope: mb.ListWhole, Entries: []mb.Entry{
				{Endpoint: "e", Destination: 1, Readiness: mb.Serving, CapacityHint: 50},
			}}})
			l := d.Snapshot(now + 500*time.Millisecond)
			if rate := l.Circuits[0].Rate; rate > lastRate+1e-6 || rate < 50-1e-6 {
				t.Fatalf("paced at %v, before %v", rate, lastRate)
			} else {
				lastRate = rate
			}
			if err := m.Save(Snapshot{Learned: l}); err != nil {
				t.Fatal(err)
			}
		}
		if lastRate > 60 {
			t.Fatalf("paced at %v after ten minutes", lastRate)
		}
	})
}

// Ids of ended messages are known for as long as they may be meant, over several lives, and no longer.
func TestEndedIds(t *testing.T) {
	c, told := newClock(), []string{}
	mem := fsys.NewMem()
	o := options(mem, c, &told)
	known := func(m *Memory, id string, wantDelivered, wantKnown bool) {
		t.Helper()
		if delivered, known := m.Ended(id); delivered != wantDelivered || known != wantKnown {
			t.Errorf("%s: delivered %v, known %v", id, delivered, known)
		}
	}
	first := Open(o)
	known(first, "a", false, false)
	if err := first.Save(Snapshot{Ended: []Ended{{"a", true, 5 * time.Second}, {"b", false, 0}}}); err != nil {
		t.Fatal(err)
	}
	c.at = c.at.Add(10 * time.Second)
	second := Open(o)
	known(second, "a", true, true)
	known(second, "b", false, true)
	known(second, "c", false, false)
	if err := second.Save(Snapshot{Ended: []Ended{{"c", true, 0}}}); err != nil {
		t.Fatal(err)
	}
	c.at = c.at.Add(6 * time.Second)
	known(second, "a", false, false)
	third := Open(o)
	known(third, "a", false, false)
	known(third, "b", false, true)
	known(third, "c", true, true)
	c.at = c.at.Add(-time.Hour) // set back: they are kept their time from now
	back := Open(o)
	known(back, "b", false, true)
	if len(told) != 1 || !strings.Contains(told[0], "clock") {
		t.Errorf("told %q", told)
	}
	c.at = c.at.Add(21 * time.Second)
	known(back, "b", false, false)
}

// The file keeps its bound: what was seen long ago goes first, and ids before partners.
func TestSize(t *testing.T) {
	c, told := newClock(), []string{}
	o := options(fsys.NewMem(), c, &told)
	var s Snapshot
	for i := range 1000 {
		s.Learned.Circuits = append(s.Learned.Circuits, mb.LearnedCircuit{
			Destination: mb.DestinationID(i), Seen: time.Duration(i) * time.Second, Trust: 1,
			Endpoints: []mb.EndpointID{mb.EndpointID(fmt.Sprintf("endpoint-%05d-a", i)), mb.EndpointID(fmt.Sprintf("endpoint-%05d-b", i))},
		})
	}
	for i := range 100 {
		s.Ended = append(s.Ended, Ended{ID: fmt.Sprint(i), Age: time.Duration(100-i) * time.Millisecond})
	}
	o.MaxBytes = 1 << 20
	m := Open(o)
	if err := m.Save(s); err != nil {
		t.Fatal(err)
	}
	whole := m.Saves().LastBytes
	t.Logf("1,000 partners with two endpoints each and 100 ids: %d bytes", whole)
	if l := Open(o); len(l.Learned().Circuits) != 1000 || l.EndedCount() != 100 {
		t.Errorf("%d partners, %d ids", len(l.Learned().Circuits), l.EndedCount())
	}
	for _, most := range []int64{whole - 1, whole - 50*endedSize, whole / 2, 2000} {
		o.MaxBytes = most
		if err := m.Save(s); err != nil {
			t.Fatal(err)
		}
		m.o.MaxBytes = most
		if err := m.Save(s); err != nil || m.Saves().LastBytes > most {
			t.Errorf("%d bytes of %d: %v", m.Saves().LastBytes, most, err)
		}
		l := Open(o).Learned().Circuits
		for _, lane := range l {
			if lane.Seen > time.Duration(len(l))*time.Second {
				t.Errorf("most %d: %d partners kept, one of them seen %v ago", most, len(l), lane.Seen)
				break
			}
		}
	}
}

// FuzzDecode reads any bytes behind a good checksum: nothing panics, and what comes out is within its bounds.
func FuzzDecode(f *testing.F) {
	c := content{name: "n", saved: time.Unix(1, 0), learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{{Destination: 1, Rate: 2, Trust: 1}}}}
	f.Add(encode(c))
	f.Add(append(append([]byte(nil), magic...), 1, 0, 0, 0, tagLane, 3, laneRate, 8, 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := decode(b); err == nil {
			check(t, c)
		}
		if len(b) >= len(magic)+12 { // and with the checksum put right
			if c, err := decode(resum(b)); err == nil {
				check(t, c)
			}
		}
	})
}

func check(t *testing.T, c content) {
	for _, l := range c.learned.Circuits {
		if l.Trust < 0 || l.Trust > 1 || l.Rate < 0 || l.Wait < 0 || l.Seen < 0 || l.Breaker > mb.BreakerHalfOpen {
			t.Fatalf("%+v", l)
		}
	}
}
