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

// clock is a clock set by the test.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{time.Unix(1_900_000_000, 0)} }

// options returns options of a Memory that appends its reports to reports.
func options(fs fsys.FS, c *clock, reports *[]string) Options {
	return Options{
		FS: fs, Name: "n1", MaxBytes: 64 << 10, MaxIDs: 100, IDRetention: 20 * time.Second, Decay: DefaultDecay, Now: c.now,
		Report: func(line string) { *reports = append(*reports, line) },
	}
}

func duration(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name))
}

// drawLearned draws a learned state.
func drawLearned(t *rapid.T) mb.LearnedState {
	var l mb.LearnedState
	for i := range rapid.IntRange(0, 8).Draw(t, "circuits") {
		circuit := mb.LearnedCircuit{
			Destination: mb.DestinationID(i), Seen: duration(t, "seen"), Breaker: mb.Breaker(rapid.IntRange(0, 1).Draw(t, "breaker")),
			OpenFor: duration(t, "open"), OpenLeft: duration(t, "left"), Wait: duration(t, "wait"),
			Rate: rapid.Float64Range(0, 1e4).Draw(t, "rate"), Limit: rapid.Float64Range(0, 1e4).Draw(t, "limit"),
			Pace: rapid.Float64Range(0, 99).Draw(t, "pace"), Cap: rapid.Float64Range(1, 30).Draw(t, "cap"),
			Guard: rapid.Bool().Draw(t, "slow start"), Weak: rapid.Bool().Draw(t, "weak"), GuardSince: duration(t, "since"),
			GuardFrom: -1, LastBad: -1, LastOK: duration(t, "ok"), Trust: rapid.Float64Range(0, 1).Draw(t, "trust"),
			Cold: rapid.Bool().Draw(t, "cold"),
		}
		for j := range rapid.IntRange(0, 3).Draw(t, "endpoints") {
			circuit.Endpoints = append(circuit.Endpoints, mb.EndpointID(fmt.Sprintf("e%d-%d", i, j)))
		}
		if rapid.Bool().Draw(t, "route") {
			circuit.Endpoint = mb.EndpointID(fmt.Sprint("e", i))
		}
		l.Circuits = append(l.Circuits, circuit)
	}
	l.Classes = []mb.LearnedClass{{Name: "fee", MeanSeconds: rapid.Float64Range(0, 9).Draw(t, "mean"), Trust: 0.5}}
	l.Losses = mb.LossCounts{AfterIdle: [2]float64{9, 3}, StrayRefusals: [2]float64{2, 1}, IdleLimit: duration(t, "idle"), RetryAfterSeen: true}
	return l
}

// Decoding an encoded file yields the same content.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := fileContent{name: "n1", saved: time.Unix(0, rapid.Int64().Draw(t, "saved")), learned: drawLearned(t)}
		for i := range rapid.IntRange(0, 5).Draw(t, "ids") {
			want.ended = append(want.ended, endedID{(&Memory{}).hash(fmt.Sprint(i)), i%2 == 0, time.Unix(int64(i), 5)})
		}
		got, err := decode(encode(want))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(fileContent{}, endedID{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// buildFile returns a file with the given version and encoded fields.
func buildFile(v uint32, fields []byte) []byte {
	f := append(append([]byte(nil), magic...), byte(v), byte(v>>8), 0, 0)
	return fixChecksum(append(append(f, fields...), make([]byte, 8)...))
}

// A file of a newer program has unknown fields at each level, and one of an older program lacks fields: the known
// fields of both are read. A file of a later version is rejected.
func TestOlderAndNewerFiles(t *testing.T) {
	var newer fields
	newer.text(tagName, "n1")
	newer.put(99, []byte("unknown field"))
	newer.number(tagSaved, 5)
	var circuit fields
	circuit.number(circuitDestination, 7)
	circuit.put(200, nil)
	circuit.text(circuitEndpoints, "e1")
	circuit.number(circuitBreaker, 5) // unknown state
	circuit.put(circuitRate, []byte("not eight"))
	newer.put(tagCircuit, circuit.buf)
	c, err := decode(buildFile(version, newer.buf))
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
	if c, err := decode(buildFile(version, older.buf)); err != nil || c.name != "n1" || len(c.learned.Circuits) != 0 {
		t.Errorf("%+v, %v", c, err)
	}
	if _, err := decode(buildFile(version+1, older.buf)); !errors.Is(err, ErrVersion) {
		t.Errorf("later version: %v", err)
	}
}

// A file with any byte changed, or truncated anywhere, leads to a cold start with one report, and the next save
// replaces it.
func TestDamage(t *testing.T) {
	c, reports := newClock(), []string{}
	mem := fsys.NewMem()
	o := options(mem, c, &reports)
	m := Open(o)
	circuit := mb.LearnedCircuit{Destination: 1, Endpoints: []mb.EndpointID{"e"}, Rate: 5, Trust: 1, Breaker: mb.BreakerOpen}
	if err := m.Save(Snapshot{Learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{circuit}}}); err != nil || len(reports) != 0 {
		t.Fatal(err, reports)
	}
	f, _ := mem.Open(fileName)
	size, _ := f.Size()
	good := make([]byte, size)
	_, _ = f.ReadAt(good, 0)
	expectColdStart := func(damaged []byte) {
		t.Helper()
		reports = nil
		fs := fsys.NewMem()
		g, _ := fs.Create(fileName)
		_, _ = g.Write(damaged)
		o.FS = fs
		m := Open(o)
		if len(m.Learned().Circuits) != 0 || len(reports) != 1 || !strings.Contains(reports[0], "cold start") {
			t.Fatalf("%d bytes: %v, reports %q", len(damaged), m.Learned(), reports)
		}
		if err := m.Save(Snapshot{Learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{circuit}}}); err != nil || len(Open(o).Learned().Circuits) != 1 {
			t.Fatalf("not replaced: %v", err)
		}
	}
	for i := range good {
		damaged := append([]byte(nil), good...)
		damaged[i] ^= 1 << (i % 8)
		expectColdStart(damaged)
		expectColdStart(good[:i])
	}
	reports = nil
	o.FS, o.Name = mem, "n2"
	if l := Open(o).Learned(); len(l.Circuits) != 0 || len(reports) != 1 || !strings.Contains(reports[0], `"n1"`) {
		t.Errorf("file of another forwarder: %v, reports %q", l, reports)
	}
}

// If the process or the machine crashes at any step of a save, the next start reads either the old or the new content,
// complete.
func TestCrashAtEachStep(t *testing.T) {
	for _, sync := range []bool{false, true} {
		losses := []fsys.Loss{fsys.LoseNothing}
		if sync {
			losses = append(losses, fsys.LoseUnsynced, fsys.LoseTail, fsys.LoseAnyUnsynced)
		}
		c, reports := newClock(), []string{}
		mem := fsys.NewMem()
		o := options(mem, c, &reports)
		o.Sync = sync
		m := Open(o)
		rng := rand.New(rand.NewPCG(1, 1))
		states, saved := 0, 0
		mem.OnChange = func() {
			for _, loss := range losses {
				restarted := o
				restarted.FS = mem.Crash(loss, rng)
				l := Open(restarted).Learned()
				states++
				if saved > 0 && len(l.Circuits) != saved && len(l.Circuits) != saved+1 || len(reports) != 0 {
					t.Fatalf("sync %v, loss %d: %d circuits, %d and %d were saved; reports %q", sync, loss, len(l.Circuits), saved, saved+1, reports)
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

// A disk error fails the save only: the old file is kept, the partly written one is removed, and the next save
// succeeds.
func TestDiskFails(t *testing.T) {
	for _, op := range []fsys.Op{fsys.OpCreate, fsys.OpWrite, fsys.OpSync, fsys.OpRename} {
		c, reports := newClock(), []string{}
		faults := &fsys.FaultFS{FS: fsys.NewMem()}
		o := options(faults, c, &reports)
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
			t.Errorf("%s: %d circuits", op, len(got.Circuits))
		}
		if err := m.Save(two); err != nil || len(Open(o).Learned().Circuits) != 2 {
			t.Errorf("%s, next save: %v", op, err)
		}
	}
}

// State that restrains traffic holds at any age. State that permits traffic loses weight by its own age, not by the
// file's.
func TestWeigh(t *testing.T) {
	l := mb.LearnedState{Circuits: []mb.LearnedCircuit{{
		Destination: 1, Breaker: mb.BreakerOpen, OpenLeft: time.Second, Wait: 90 * time.Second, Rate: 100, Trust: 1, Guard: true,
		GuardFrom: -1, LastBad: 0, LastOK: 20 * time.Second, Seen: 10 * time.Second,
	}}, Classes: []mb.LearnedClass{{Name: "c", MeanSeconds: 1, Trust: 1}}}
	for _, c := range []struct {
		age                time.Duration
		clockSetBack       bool
		wait               time.Duration
		minTrust, maxTrust float64
		cold               bool
	}{
		{time.Second, false, 89 * time.Second, 0.9, 0.99, false},
		{time.Minute, false, 30 * time.Second, 0.6, 0.7, false},
		{10 * time.Minute, false, 0, 0.02, 0.04, false},
		{5 * time.Hour, false, 0, 0, 0.001, true}, // the destination may be cold by now
		{time.Hour, true, 90 * time.Second, 0, 0, true},
	} {
		got := DefaultDecay.Weigh(l, c.age, c.clockSetBack).Circuits[0]
		if got.Breaker != mb.BreakerOpen || !got.Guard || got.Wait != c.wait || got.Trust < c.minTrust || got.Trust > c.maxTrust || got.Cold != c.cold {
			t.Errorf("after %v, clock set back %v: %+v", c.age, c.clockSetBack, got)
		}
	}
	if original := l.Circuits[0]; original.Wait != 90*time.Second {
		t.Error("Weigh changed its argument")
	}
}

// A forwarder that is restarted every second for ten minutes, saving each time, must not renew the weight of what it
// learned about a destination that it no longer observes.
func TestRestartLoopDoesNotMakeTrustGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, reports := newClock(), []string{}
		mem := fsys.NewMem()
		o := options(mem, c, &reports)
		circuit := mb.LearnedCircuit{
			Destination: 1, Endpoints: []mb.EndpointID{"e"}, Rate: 900, Trust: 1, Cap: 8, Pace: 1, GuardFrom: -1, LastBad: -1,
			Seen: duration(t, "seen"), Breaker: mb.Breaker(rapid.IntRange(0, 1).Draw(t, "breaker")),
		}
		if err := Open(o).Save(Snapshot{Learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{circuit}}}); err != nil {
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
			if got := weighed.Circuits[0]; got.Trust > last+1e-9 || circuit.Breaker == mb.BreakerOpen && got.Breaker == mb.BreakerClosed {
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
				t.Fatalf("rate limit %v, before %v", rate, lastRate)
			} else {
				lastRate = rate
			}
			if err := m.Save(Snapshot{Learned: l}); err != nil {
				t.Fatal(err)
			}
		}
		if lastRate > 60 {
			t.Fatalf("rate limit %v after ten minutes", lastRate)
		}
	})
}

// Ids of ended messages are known until they expire, across several restarts, and no longer.
func TestEndedIds(t *testing.T) {
	c, reports := newClock(), []string{}
	mem := fsys.NewMem()
	o := options(mem, c, &reports)
	expectEnded := func(m *Memory, id string, wantDelivered, wantKnown bool) {
		t.Helper()
		if delivered, known := m.Ended(id); delivered != wantDelivered || known != wantKnown {
			t.Errorf("%s: delivered %v, known %v", id, delivered, known)
		}
	}
	first := Open(o)
	expectEnded(first, "a", false, false)
	if err := first.Save(Snapshot{Ended: []Ended{{"a", true, 5 * time.Second}, {"b", false, 0}}}); err != nil {
		t.Fatal(err)
	}
	c.at = c.at.Add(10 * time.Second)
	second := Open(o)
	expectEnded(second, "a", true, true)
	expectEnded(second, "b", false, true)
	expectEnded(second, "c", false, false)
	if err := second.Save(Snapshot{Ended: []Ended{{"c", true, 0}}}); err != nil {
		t.Fatal(err)
	}
	c.at = c.at.Add(6 * time.Second)
	expectEnded(second, "a", false, false)
	third := Open(o)
	expectEnded(third, "a", false, false)
	expectEnded(third, "b", false, true)
	expectEnded(third, "c", true, true)
	c.at = c.at.Add(-time.Hour) // set back: the retention starts anew
	fourth := Open(o)
	expectEnded(fourth, "b", false, true)
	if len(reports) != 1 || !strings.Contains(reports[0], "clock") {
		t.Errorf("reports %q", reports)
	}
	c.at = c.at.Add(21 * time.Second)
	expectEnded(fourth, "b", false, false)
}

// The file stays within its size limit: ids are dropped before circuits, and the circuits seen least recently first.
func TestFileSizeIsBounded(t *testing.T) {
	c, reports := newClock(), []string{}
	o := options(fsys.NewMem(), c, &reports)
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
	fullSize := m.Saves().LastBytes
	t.Logf("1,000 circuits with two endpoints each and 100 ids: %d bytes", fullSize)
	if l := Open(o); len(l.Learned().Circuits) != 1000 || l.EndedCount() != 100 {
		t.Errorf("%d circuits, %d ids", len(l.Learned().Circuits), l.EndedCount())
	}
	for _, maxBytes := range []int64{fullSize - 1, fullSize - 50*endedIDSize, fullSize / 2, 2000} {
		o.MaxBytes = maxBytes
		if err := m.Save(s); err != nil {
			t.Fatal(err)
		}
		m.opts.MaxBytes = maxBytes
		if err := m.Save(s); err != nil || m.Saves().LastBytes > maxBytes {
			t.Errorf("%d bytes of %d: %v", m.Saves().LastBytes, maxBytes, err)
		}
		l := Open(o).Learned().Circuits
		for _, circuit := range l {
			if circuit.Seen > time.Duration(len(l))*time.Second {
				t.Errorf("limit %d: %d circuits kept, one of them seen %v ago", maxBytes, len(l), circuit.Seen)
				break
			}
		}
	}
}

// FuzzDecode checks that decoding arbitrary bytes with a valid checksum never panics and yields values within their
// bounds.
func FuzzDecode(f *testing.F) {
	c := fileContent{name: "n", saved: time.Unix(1, 0), learned: mb.LearnedState{Circuits: []mb.LearnedCircuit{{Destination: 1, Rate: 2, Trust: 1}}}}
	f.Add(encode(c))
	f.Add(append(append([]byte(nil), magic...), 1, 0, 0, 0, tagCircuit, 3, circuitRate, 8, 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := decode(b); err == nil {
			checkBounds(t, c)
		}
		if len(b) >= len(magic)+12 { // again with a valid checksum
			if c, err := decode(fixChecksum(b)); err == nil {
				checkBounds(t, c)
			}
		}
	})
}

func checkBounds(t *testing.T, c fileContent) {
	for _, l := range c.learned.Circuits {
		if l.Trust < 0 || l.Trust > 1 || l.Rate < 0 || l.Wait < 0 || l.Seen < 0 || l.Breaker > mb.BreakerHalfOpen {
			t.Fatalf("%+v", l)
		}
	}
}
