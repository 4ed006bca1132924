package wal

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/goleak"

	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// openWith opens a journal that the test closes.
func openWith(t *testing.T, dir string, o Options) *Log {
	t.Helper()
	l, err := Open(dir, o, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func bodyOf(seq uint64) []byte { return bytes.Repeat([]byte{byte(seq)}, 1000+int(seq%7)*3000) }

// Bodies beyond the memory for them stay on the disk and read back byte for byte, over compactions and starts; what is in
// memory stays within its bound.
func TestBodiesStayOnDisk(t *testing.T) {
	const memory = 64 << 10
	dir := t.TempDir()
	o := Options{MaxBytes: disk, BodyMemory: memory}
	l := openWith(t, dir, o)
	live := []uint64{}
	check := func() {
		t.Helper()
		kept, here := int64(0), 0
		for _, m := range l.Live() {
			if kept += int64(len(m.Body)); !m.OnDisk {
				here++
			}
			body, err := l.Body(m.Seq)
			if err != nil || !bytes.Equal(body, bodyOf(m.Seq)) || !m.OnDisk && !bytes.Equal(m.Body, body) {
				t.Fatalf("body of %d: %d bytes, %v", m.Seq, len(body), err)
			}
		}
		if kept > memory || kept != l.kept || here == 0 || here == len(live) {
			t.Fatalf("%d bytes in memory, %d booked, %d of %d messages", kept, l.kept, here, len(live))
		}
	}
	compactions := 0
	for round := range 6 {
		for {
			m := &Message{Seq: l.NextSeq(), Deadline: epoch, ID: fmt.Sprint(l.NextSeq()), Class: "c", Body: bodyOf(l.NextSeq())}
			if !l.Fits(m) {
				break
			}
			if err := l.Accept(m); err != nil {
				t.Fatal(err)
			}
			live = append(live, m.Seq)
		}
		check()
		for i := len(live) - 1; i >= 0; i -= 2 {
			if err := l.End(live[i], Completed, 0); err != nil {
				t.Fatal(err)
			}
			live = append(live[:i], live[i+1:]...)
		}
		for did := true; did; {
			var err error
			l.store.NoteRefusal()
			if did, err = l.store.Compact(nil); err != nil {
				t.Fatal(err)
			}
		}
		check()
		if compactions += l.store.Stats().Compactions; round%2 == 1 {
			l.Close()
			l = openWith(t, dir, o)
			check()
		}
	}
	if compactions == 0 {
		t.Error("nothing was compacted")
	}
}

// With a durability beyond the process's end, who waits is told once, in order, and only when it is true.
func TestCommitTells(t *testing.T) {
	for _, d := range []store.Durability{store.SyncNever, store.SyncBatch, store.SyncEach} {
		l := openWith(t, t.TempDir(), Options{MaxBytes: disk, Durability: d})
		var mu sync.Mutex
		var told []uint64
		done := make(chan struct{}, 200)
		for range 200 {
			accept(t, l, "b")
			num := l.LastRecord()
			l.AfterCommit(func(err error) {
				if err != nil || d == store.SyncBatch && l.store.DurableSequence() < num {
					t.Errorf("durability %d: told of %d with %d durable, %v", d, num, l.store.DurableSequence(), err)
				}
				mu.Lock()
				told = append(told, num)
				mu.Unlock()
				done <- struct{}{}
			})
		}
		for range 200 {
			<-done
		}
		for i, num := range told {
			if i > 0 && told[i-1] >= num {
				t.Fatalf("durability %d: %d behind %d", d, num, told[i-1])
			}
		}
		if err := l.Commit(l.LastRecord()); err != nil || l.NeedsCommit() != (d == store.SyncBatch) {
			t.Errorf("durability %d: %v", d, err)
		}
	}
}

// Who waits when the journal is closed is told the truth: that its record is durable.
func TestCloseCommits(t *testing.T) {
	dir := t.TempDir()
	l := openWith(t, dir, Options{MaxBytes: disk, Durability: store.SyncBatch})
	accept(t, l, "b")
	told := make(chan error, 1)
	l.AfterCommit(func(err error) { told <- err })
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-told; err != nil {
		t.Error(err)
	}
	if err := l.Commit(1 << 60); !errors.Is(err, errClosed) {
		t.Errorf("behind its end: %v", err)
	}
}

// After a sync that failed nobody is told that anything lasts, and nothing more is taken on.
func TestFailedSync(t *testing.T) {
	dir := t.TempDir()
	faults := &fsys.FaultFS{FS: fsys.Dir(dir)}
	told := make(chan string, 8)
	l, err := Open(dir, Options{MaxBytes: disk, Durability: store.SyncBatch, FS: faults}, func(line string) { told <- line })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
		if op == fsys.OpSync {
			return 0, syscall.EIO
		}
		return n, nil
	})
	accept(t, l, "b")
	if err := l.Commit(l.LastRecord()); !errors.Is(err, store.ErrFailed) {
		t.Errorf("commit: %v", err)
	}
	if line := <-told; !strings.Contains(line, "nothing is taken on") {
		t.Errorf("told %q", line)
	}
	if err := l.Accept(&Message{Seq: l.NextSeq(), Deadline: epoch, ID: "i", Class: "c"}); !errors.Is(err, store.ErrFailed) {
		t.Errorf("accept: %v", err)
	}
	l.Close()
	if again := openWith(t, dir, Options{MaxBytes: disk, Durability: store.SyncBatch}); len(again.Live()) != 0 {
		t.Errorf("%d live", len(again.Live()))
	}
}

// One folder, one program.
func TestSecondProgramOnAFolder(t *testing.T) {
	dir := t.TempDir()
	l := openWith(t, dir, Options{MaxBytes: disk})
	accept(t, l, "b")
	if _, err := Open(dir, Options{MaxBytes: disk}, nil); err == nil || !strings.Contains(err.Error(), "another program") {
		t.Errorf("the second: %v", err)
	}
	if _, err := Compact(dir, Options{MaxBytes: disk}, nil); err == nil {
		t.Error("compacted beside a program")
	}
	l.Close()
	if again := openWith(t, dir, Options{MaxBytes: disk}); len(again.Live()) != 1 {
		t.Errorf("%d live", len(again.Live()))
	}
}

// Small disks get small segments; what is too small is refused.
func TestSmallDisks(t *testing.T) {
	for most, ok := range map[int64]bool{200 << 10: false, 288 << 10: true, 640 << 10: true, 1 << 20: true} {
		dir := t.TempDir()
		l, err := Open(dir, Options{MaxBytes: most}, func(string) {})
		if (err == nil) != ok {
			t.Errorf("%d bytes: %v", most, err)
		}
		if err != nil {
			continue
		}
		taken := 0
		for i := range 400 {
			m := &Message{Seq: l.NextSeq(), Deadline: epoch, ID: "i", Class: "c", Body: make([]byte, 1000)}
			if l.Fits(m) {
				if err := l.Accept(m); err != nil {
					t.Fatal(err)
				}
				taken++
			}
			if n := onDisk(t, dir); n > most {
				t.Fatalf("%d bytes on a disk of %d", n, most)
			}
			if i >= 50 {
				_ = l.End(uint64(i-49), Completed, 0)
			}
		}
		if taken < 50 {
			t.Errorf("%d bytes of disk: %d messages of 1000 bytes taken", most, taken)
		}
		l.Close()
	}
}

// A storm: ten times what ends comes in, all that is held to the bound ends at once, again and again. Disk and memory stay
// in bounds, and each round takes as much as the first.
func TestStorm(t *testing.T) {
	dir := t.TempDir()
	l := openWith(t, dir, Options{MaxBytes: disk, BodyMemory: 256 << 10})
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	took := []int{}
	const rounds, most = 12, 3 << 20
	for round := range rounds {
		taken, refused := []uint64{}, 0
		for refused < 300 { // they come again, and are refused again
			m := &Message{Seq: l.NextSeq(), Deadline: epoch, ID: "storm", Class: "c", Body: make([]byte, 200+int(l.NextSeq()%5)*3000)}
			if !l.Fits(m) {
				for l.store.Stats().Due { // the worker comes to it: what is refused behind that finds no room
					l.wake()
					runtime.Gosched()
				}
				if refused++; refused%100 == 0 { // one ends for all these
					if err := l.End(taken[0], Completed, 0); err != nil {
						t.Fatal(err)
					}
					taken = taken[1:]
				}
				continue
			}
			if err := l.Accept(m); err != nil {
				t.Fatal(err)
			}
			if taken = append(taken, m.Seq); m.Seq%3 == 0 {
				if err := errors.Join(l.Started(m.Seq, epoch, "z"), l.Outcome(m.Seq, false)); err != nil {
					t.Fatal(err)
				}
			}
			if n := onDisk(t, dir); n > disk {
				t.Fatalf("round %d: %d bytes on disk", round, n)
			}
		}
		took = append(took, len(taken))
		for _, seq := range taken {
			if err := l.End(seq, Completed, 0); err != nil {
				t.Fatal(err)
			}
		}
		for l.store.Stats().Used > disk/5 { // the worker comes to it
			l.store.NoteRefusal()
			l.wake()
			runtime.Gosched()
		}
	}
	if last := heap(); last > most { // what went through is ten times that
		t.Errorf("%d bytes of memory behind round %d", last, rounds)
	}
	for round, n := range took {
		if 10*n < 9*took[0] {
			t.Errorf("round %d took %d messages, the first %d", round, n, took[0])
		}
	}
}
