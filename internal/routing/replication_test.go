package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"mulleinbeam/internal/routing/wal"
)

// fakeReplication permits everything; its value is the answer of ReplicatesStarts.
type fakeReplication bool

func (fakeReplication) MayAct() bool                                { return true }
func (fakeReplication) LogPosition() uint64                         { return 0 }
func (fakeReplication) WaitReplicated(uint64, string) (bool, error) { return false, nil }
func (fakeReplication) Replicated(uint64, string) bool              { return true }
func (fakeReplication) CanAccept(string) bool                       { return true }
func (g fakeReplication) ReplicatesStarts(string) bool              { return bool(g) }

// A replica of a message whose class replicates starts, and that records no call, was never called. In another class a
// call may have begun without a record, so that a takeover may send the message again only if repeats are harmless.
// Guards against two regions sending an unsafe message twice, the first in the moment of the partition between them.
func TestTakeoverOfPossiblyUnrecordedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		class  string
		strict bool
		called bool
	}{
		"starts replicated, unsafe":     {"unsafe", true, true},
		"starts replicated, keyed":      {"keyed", true, true},
		"starts replicated, safe":       {"safe", true, true},
		"starts not replicated, unsafe": {"unsafe", false, false},
		"starts not replicated, keyed":  {"keyed", false, false},
		"starts not replicated, safe":   {"safe", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
			if err != nil {
				t.Fatal(err)
			}
			r, s, _ := runReplicated(t, journal, fakeReplication(c.strict))
			m := &wal.Message{
				Seq: 1, ID: "m", Key: "k", Class: c.class, Destination: 7, Deadline: time.Now().Add(time.Minute), Body: []byte("b"),
			}
			if _, err := r.Adopt("other", 1, []*wal.Message{m}, nil); err != nil {
				t.Fatal(err)
			}
			if n := r.Activate("other", 1, true); n != 1 {
				t.Fatalf("%d messages activated", n)
			}
			select {
			case <-s.calls:
				if !c.called {
					t.Error("the message was called, possibly for a second time")
				}
				s.results <- Result{}
			case n := <-s.reports:
				if c.called || n.ID != "m" || n.Returned {
					t.Errorf("%+v", n)
				}
			}
		})
	}
}

// Guards against a takeover without room that leaves some of its messages in the journal.
func TestTakeoverWithoutRoomLeavesNothing(t *testing.T) {
	journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 400_000}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	r, _, _ := runReplicated(t, journal, fakeReplication(true))
	var messages []*wal.Message
	for i := range 100 {
		messages = append(messages, &wal.Message{
			Seq: uint64(i + 1), ID: fmt.Sprint("m", i), Class: "unsafe", Destination: 7, Deadline: time.Now().Add(time.Minute), Body: make([]byte, 8000),
		})
	}
	for range 3 {
		if _, err := r.Adopt("other", 1, messages, nil); !errors.Is(err, wal.ErrFull) {
			t.Fatalf("adopted without room: %v", err)
		}
	}
	r.Inspect(func(log *wal.Log) {
		if live, last := len(log.Live()), log.LastRecord(); live > 0 || last > 0 {
			t.Errorf("%d messages, %d records", live, last)
		}
	})
	if _, err := r.Adopt("other", 1, messages[:10], nil); err != nil {
		t.Errorf("adopted with room: %v", err)
	}
	if n := r.Activate("other", 1, false); n != 10 {
		t.Errorf("%d messages activated", n)
	}
}
