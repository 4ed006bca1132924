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

// openWith opens a journal that is closed at the end of the test.
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

// Bodies beyond the memory limit stay on disk and read back byte for byte across compactions and restarts; those in
// memory stay within the limit.
func TestBodiesStayOnDisk(t *testing.T) {
	const memory = 64 << 10
	dir := t.TempDir()
	o := Options{MaxBytes: diskBytes, BodyMemory: memory}
	l := openWith(t, dir, o)
	live := []uint64{}
	check := func() {
		t.Helper()
		bodyBytes, inMemory := int64(0), 0
		for _, m := range l.Live() {
			if bodyBytes += int64(len(m.Body)); !m.OnDisk {
				inMemory++
			}
			body, err := l.Body(m.Seq)
			if err != nil || !bytes.Equal(body, bodyOf(m.Seq)) || !m.OnDisk && !bytes.Equal(m.Body, body) {
				t.Fatalf("body of %d: %d bytes, %v", m.Seq, len(body), err)
			}
		}
		if bodyBytes > memory || bodyBytes != l.bodyBytes || inMemory == 0 || inMemory == len(live) {
			t.Fatalf("%d bytes in memory, %d booked, %d of %d messages", bodyBytes, l.bodyBytes, inMemory, len(live))
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

// With a durability that survives the process, each AfterCommit callback is called once, in order, and only after its
// record is durable.
func TestAfterCommitNotifies(t *testing.T) {
	for _, d := range []store.Durability{store.SyncNever, store.SyncBatch, store.SyncEach} {
		l := openWith(t, t.TempDir(), Options{MaxBytes: diskBytes, Durability: d})
		var mu sync.Mutex
		var notified []uint64
		done := make(chan struct{}, 200)
		for range 200 {
			accept(t, l, "b")
			record := l.LastRecord()
			l.AfterCommit(func(err error) {
				if err != nil || d == store.SyncBatch && l.store.DurableSequence() < record {
					t.Errorf("durability %d: notified of %d with %d durable, %v", d, record, l.store.DurableSequence(), err)
				}
				mu.Lock()
				notified = append(notified, record)
				mu.Unlock()
				done <- struct{}{}
			})
		}
		for range 200 {
			<-done
		}
		for i, record := range notified {
			if i > 0 && notified[i-1] >= record {
				t.Fatalf("durability %d: %d after %d", d, record, notified[i-1])
			}
		}
		if err := l.Commit(l.LastRecord()); err != nil || l.NeedsCommit() != (d == store.SyncBatch) {
			t.Errorf("durability %d: %v", d, err)
		}
	}
}

// A caller that waits for a commit while the journal is closed learns that its record is durable.
func TestCloseCommits(t *testing.T) {
	dir := t.TempDir()
	l := openWith(t, dir, Options{MaxBytes: diskBytes, Durability: store.SyncBatch})
	accept(t, l, "b")
	result := make(chan error, 1)
	l.AfterCommit(func(err error) { result <- err })
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
	if err := l.Commit(1 << 60); !errors.Is(err, errClosed) {
		t.Errorf("after close: %v", err)
	}
}

// After a failed sync no record is reported as durable, and no more messages are accepted.
func TestFailedSync(t *testing.T) {
	dir := t.TempDir()
	faults := &fsys.FaultFS{FS: fsys.Dir(dir)}
	reports := make(chan string, 8)
	l, err := Open(dir, Options{MaxBytes: diskBytes, Durability: store.SyncBatch, FS: faults}, func(line string) { reports <- line })
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
	if line := <-reports; !strings.Contains(line, "no messages are accepted") {
		t.Errorf("reported %q", line)
	}
	if err := l.Accept(&Message{Seq: l.NextSeq(), Deadline: epoch, ID: "i", Class: "c"}); !errors.Is(err, store.ErrFailed) {
		t.Errorf("accept: %v", err)
	}
	l.Close()
	if again := openWith(t, dir, Options{MaxBytes: diskBytes, Durability: store.SyncBatch}); len(again.Live()) != 0 {
		t.Errorf("%d live", len(again.Live()))
	}
}

// A folder can be opened by only one process at a time.
func TestSecondProcessOnFolder(t *testing.T) {
	dir := t.TempDir()
	l := openWith(t, dir, Options{MaxBytes: diskBytes})
	accept(t, l, "b")
	if _, err := Open(dir, Options{MaxBytes: diskBytes}, nil); err == nil || !strings.Contains(err.Error(), "another program") {
		t.Errorf("second open: %v", err)
	}
	if _, err := Compact(dir, Options{MaxBytes: diskBytes}, nil); err == nil {
		t.Error("compacted while a program has the journal open")
	}
	l.Close()
	if again := openWith(t, dir, Options{MaxBytes: diskBytes}); len(again.Live()) != 1 {
		t.Errorf("%d live", len(again.Live()))
	}
}

// A small disk limit gives small segments; a limit that is too small is refused.
func TestSmallDisks(t *testing.T) {
	for limit, ok := range map[int64]bool{200 << 10: false, 288 << 10: true, 640 << 10: true, 1 << 20: true} {
		dir := t.TempDir()
		l, err := Open(dir, Options{MaxBytes: limit}, func(string) {})
		if (err == nil) != ok {
			t.Errorf("%d bytes: %v", limit, err)
		}
		if err != nil {
			continue
		}
		accepted := 0
		for i := range 400 {
			m := &Message{Seq: l.NextSeq(), Deadline: epoch, ID: "i", Class: "c", Body: make([]byte, 1000)}
			if l.Fits(m) {
				if err := l.Accept(m); err != nil {
					t.Fatal(err)
				}
				accepted++
			}
			if n := diskUsage(t, dir); n > limit {
				t.Fatalf("%d bytes on a disk of %d", n, limit)
			}
			if i >= 50 {
				_ = l.End(uint64(i-49), Completed, 0)
			}
		}
		if accepted < 50 {
			t.Errorf("%d bytes of disk: %d messages of 1000 bytes accepted", limit, accepted)
		}
		l.Close()
	}
}

// Under repeated overload (ten times more messages arrive than end, then all held messages end at once) disk and memory
// stay within their limits, and each round accepts about as many messages as the first.
func TestOverload(t *testing.T) {
	dir := t.TempDir()
	l := openWith(t, dir, Options{MaxBytes: diskBytes, BodyMemory: 256 << 10})
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	acceptedPerRound := []int{}
	const rounds, maxHeap = 12, 3 << 20
	for round := range rounds {
		accepted, refused := []uint64{}, 0
		for refused < 300 { // clients retry and are refused again
			m := &Message{Seq: l.NextSeq(), Deadline: epoch, ID: "storm", Class: "c", Body: make([]byte, 200+int(l.NextSeq()%5)*3000)}
			if !l.Fits(m) {
				for l.store.Stats().Due { // wait for compaction, so that further refusals are for lack of room
					l.wake()
					runtime.Gosched()
				}
				if refused++; refused%100 == 0 { // one message ends per 100 refusals
					if err := l.End(accepted[0], Completed, 0); err != nil {
						t.Fatal(err)
					}
					accepted = accepted[1:]
				}
				continue
			}
			if err := l.Accept(m); err != nil {
				t.Fatal(err)
			}
			if accepted = append(accepted, m.Seq); m.Seq%3 == 0 {
				if err := errors.Join(l.Started(m.Seq, epoch, "z"), l.Outcome(m.Seq, false)); err != nil {
					t.Fatal(err)
				}
			}
			if n := diskUsage(t, dir); n > diskBytes {
				t.Fatalf("round %d: %d bytes on disk", round, n)
			}
		}
		acceptedPerRound = append(acceptedPerRound, len(accepted))
		for _, seq := range accepted {
			if err := l.End(seq, Completed, 0); err != nil {
				t.Fatal(err)
			}
		}
		for l.store.Stats().Used > diskBytes/5 { // wait for compaction
			l.store.NoteRefusal()
			l.wake()
			runtime.Gosched()
		}
	}
	if last := heap(); last > maxHeap { // ten times as much has passed through the journal
		t.Errorf("%d bytes of memory after round %d", last, rounds)
	}
	for round, n := range acceptedPerRound {
		if 10*n < 9*acceptedPerRound[0] {
			t.Errorf("round %d accepted %d messages, the first %d", round, n, acceptedPerRound[0])
		}
	}
}
