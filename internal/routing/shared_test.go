package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"mulleinbeam/internal/routing/wal"
)

// strictGuard lets everything go; its classes are strict or not.
type strictGuard bool

func (strictGuard) MayAct() bool                                { return true }
func (strictGuard) LogPosition() uint64                         { return 0 }
func (strictGuard) WaitReplicated(uint64, string) (bool, error) { return false, nil }
func (strictGuard) Replicated(uint64, string) bool              { return true }
func (strictGuard) CanAccept(string) bool                       { return true }
func (g strictGuard) ReplicatesStarts(string) bool              { return bool(g) }

// A copy of a message of a strict class that says of no call was never called. One of another class may have been called without any copy
// that says so: whoever takes it over sends it again only where a repeat does no harm. Two regions that were cut from each other sent an
// unsafe message twice: its first owner had called it in the moment of the cut.
func TestTakingOverWhatMayHaveBeenCalledUnrecorded(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		strict bool
		called bool
	}{
		"strict, unsafe":     {"unsafe", true, true},
		"strict, keyed":      {"keyed", true, true},
		"strict, safe":       {"safe", true, true},
		"not strict, unsafe": {"unsafe", false, false},
		"not strict, keyed":  {"keyed", false, false},
		"not strict, safe":   {"safe", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
			if err != nil {
				t.Fatal(err)
			}
			r, s, _ := runGuarded(t, journal, strictGuard(c.strict))
			m := &wal.Message{
				Seq: 1, ID: "m", Key: "k", Class: c.class, Destination: 7, Deadline: time.Now().Add(time.Minute), Body: []byte("b"),
			}
			if _, err := r.Adopt("other", 1, []*wal.Message{m}, nil); err != nil {
				t.Fatal(err)
			}
			if n := r.Activate("other", 1, true); n != 1 {
				t.Fatalf("%d messages taken over", n)
			}
			select {
			case <-s.calls:
				if !c.called {
					t.Error("it was called, perhaps for a second time")
				}
				s.results <- Result{}
			case n := <-s.notices:
				if c.called || n.ID != "m" || n.Returned {
					t.Errorf("%+v", n)
				}
			}
		})
	}
}

// Guards against a takeover without room that leaves a part of it in the journal.
func TestATakeoverWithoutRoomLeavesNothing(t *testing.T) {
	journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 400_000}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	r, _, _ := runGuarded(t, journal, strictGuard(true))
	var messages []*wal.Message
	for i := range 100 {
		messages = append(messages, &wal.Message{
			Seq: uint64(i + 1), ID: fmt.Sprint("m", i), Class: "unsafe", Destination: 7, Deadline: time.Now().Add(time.Minute), Body: make([]byte, 8000),
		})
	}
	for range 3 {
		if _, err := r.Adopt("other", 1, messages, nil); !errors.Is(err, wal.ErrFull) {
			t.Fatalf("taken over without room: %v", err)
		}
	}
	r.Inspect(func(log *wal.Log) {
		if live, last := len(log.Live()), log.LastRecord(); live > 0 || last > 0 {
			t.Errorf("%d messages, %d records", live, last)
		}
	})
	if _, err := r.Adopt("other", 1, messages[:10], nil); err != nil {
		t.Errorf("taken over with room: %v", err)
	}
	if n := r.Activate("other", 1, false); n != 10 {
		t.Errorf("%d messages taken over", n)
	}
}
