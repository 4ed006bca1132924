package wal

import (
	"syscall"
	"testing"
	"time"

	"mulleinbeam/internal/routing/wal/fsys"
)

// If a takeover were written as several records, an interrupted one could leave a message without its attempts, and it
// would be sent a second time.
func TestTakenOverMessageIsAtomic(t *testing.T) {
	takenOver := 0
	for writes := range 8 { // writes that succeed before the disk fails and the process is killed
		mem := fsys.NewMem()
		faults := &fsys.FaultFS{FS: mem}
		l, err := Open(t.TempDir(), Options{MaxBytes: diskBytes, FS: faults}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		remaining := writes
		faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
			if op == fsys.OpWrite {
				if remaining--; remaining < 0 {
					return n / 2, syscall.EIO
				}
			}
			return n, nil
		})
		m := &Message{
			Seq: l.NextSeq(), ID: "m", Key: "k", Class: "c", Deadline: time.Now().Add(time.Hour), Body: []byte("body"), Owner: "other", Incarnation: 3,
			Attempts: 2, MayHaveRun: true, RanAt: time.Now().Add(-time.Second), RanZone: "z", Unreplicated: true,
		}
		room, fits := l.ReserveTakenOver(m)
		if !fits {
			t.Fatal("no room in an empty journal")
		}
		_ = l.AcceptTakenOver(room, m)
		killed := mem.Crash(fsys.LoseNothing, nil)
		faults.Set(nil)
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		reopened, err := Open(t.TempDir(), Options{MaxBytes: diskBytes, FS: killed}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		for _, got := range reopened.Live() {
			takenOver++
			if !got.MayHaveRun || got.Attempts != 2 || got.Owner != "other" || got.Incarnation != 3 || !got.Unreplicated || string(got.Body) != "body" {
				t.Errorf("after %d writes: %v, of %q", writes, got, got.Owner)
			}
		}
		if body, err := reopened.Body(m.Seq); len(reopened.Live()) > 0 && (err != nil || string(body) != "body") {
			t.Errorf("after %d writes: body %q, %v", writes, body, err)
		}
		if err := reopened.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if takenOver == 0 {
		t.Error("no message was taken over")
	}
}
