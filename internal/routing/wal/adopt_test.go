package wal

import (
	"syscall"
	"testing"
	"time"

	"mulleinbeam/internal/routing/wal/fsys"
)

// Guards against a message that is there without its past, so that it is called a second time, when its adoption was cut short.
func TestAnAdoptionIsWholeOrNotThere(t *testing.T) {
	whole := 0
	for writes := range 8 { // that work before the disk fails and the process is killed
		mem := fsys.NewMem()
		faults := &fsys.FaultFS{FS: mem}
		l, err := Open(t.TempDir(), Options{MaxBytes: disk, FS: faults}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		left := writes
		faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
			if op == fsys.OpWrite {
				if left--; left < 0 {
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
		next, err := Open(t.TempDir(), Options{MaxBytes: disk, FS: killed}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		for _, got := range next.Live() {
			whole++
			if !got.MayHaveRun || got.Attempts != 2 || got.Owner != "other" || got.Incarnation != 3 || !got.Unreplicated || string(got.Body) != "body" {
				t.Errorf("behind %d writes: %v, of %q", writes, got, got.Owner)
			}
		}
		if body, err := next.Body(m.Seq); len(next.Live()) > 0 && (err != nil || string(body) != "body") {
			t.Errorf("behind %d writes: body %q, %v", writes, body, err)
		}
		if err := next.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if whole == 0 {
		t.Error("no adoption came to be")
	}
}
