package routing

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
	"mulleinbeam/internal/routing/wal/fsys"
)

// faultyDisk is a folder whose writes fail while failing is set.
type faultyDisk struct {
	fsys.FaultFS
	failing atomic.Bool
}

func newFaultyDisk(dir string) *faultyDisk {
	d := &faultyDisk{FaultFS: fsys.FaultFS{FS: fsys.Dir(dir)}}
	d.Set(func(op fsys.Op, _ string, n int) (int, error) {
		switch op {
		case fsys.OpWrite, fsys.OpCreate, fsys.OpTruncate, fsys.OpRename:
			if d.failing.Load() {
				return 0, syscall.EIO
			}
		}
		return n, nil
	})
	return d
}

// newFaultyRouter runs a router on a journal in a folder whose writes the test can make fail.
func newFaultyRouter(t *testing.T, dir string, change func(*Config)) (r *Router, s fakeTransport, disk *faultyDisk, end func()) {
	t.Helper()
	disk = newFaultyDisk(dir)
	journal, err := wal.Open(dir, wal.Options{MaxBytes: 3e6, FS: disk}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	r, s, end = runConfig(t, journal, change)
	return r, s, disk, end
}

// Guards against a message that is never decided on because it reuses the number of one whose accept failed, and
// against a slot that stays occupied by a call that was never made.
func TestMessageAfterFailedAcceptIsSent(t *testing.T) {
	r, s, disk, _ := newFaultyRouter(t, t.TempDir(), func(c *Config) { c.Settings.Slots = 1 })
	disk.failing.Store(true)
	for _, id := range []string{"refused", "refused as well"} {
		if got := r.Accept(message(id)); got.Kind != Refused {
			t.Fatalf("verdict %+v while writes fail", got)
		}
	}
	disk.failing.Store(false)
	if got := r.Accept(message("accepted")); got.Kind != Accepted {
		t.Fatalf("verdict %+v", got)
	}
	select {
	case c := <-s.calls:
		if c.ID != "accepted" {
			t.Errorf("%s was sent", c.ID)
		}
		s.results <- Result{Outcome: mb.OK}
	case <-time.After(30 * time.Second):
		t.Fatal("the accepted message was not sent")
	}
}

// await polls the counters until they satisfy the condition.
func await(t *testing.T, r *Router, what string, enough func(Counters) bool) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); !enough(r.Counters()); {
		if time.Now().After(until) {
			t.Fatalf("%s: %+v", what, r.Counters())
		}
	}
}

// failCall submits a message and has its only call fail while the disk fails.
func failCall(t *testing.T, r *Router, s fakeTransport, disk *faultyDisk, m Message) {
	t.Helper()
	if got := r.Accept(m); got.Kind != Accepted {
		t.Fatalf("verdict %+v", got)
	}
	c := <-s.calls
	if !c.Begin() {
		t.Fatal("the call did not begin")
	}
	disk.failing.Store(true)
	s.results <- Result{Outcome: mb.Failed}
	await(t, r, "abandoned", func(c Counters) bool { return c.Abandoned == 1 })
}

// Guards against reporting an end whose record is only pending in memory: after a kill the next process would call the
// endpoint again.
func TestReportWaitsForEndRecord(t *testing.T) {
	r, s, disk, _ := newFaultyRouter(t, t.TempDir(), func(*Config) {})
	failCall(t, r, s, disk, message("m"))
	await(t, r, "record pending", func(c Counters) bool { return c.PendingRecords > 0 })
	if len(s.reports) != 0 {
		t.Fatal("reported before it was written")
	}
	disk.failing.Store(false)
	if n := <-s.reports; n.ID != "m" {
		t.Errorf("reported %+v", n)
	}
	await(t, r, "all records written", func(c Counters) bool { return c.PendingRecords == 0 })
}

// Guards against a message that never ends because the disk keeps failing: its end is reported at the deadline at the
// latest, after which no process would send it again.
func TestReportAtDeadlineDespiteFailingDisk(t *testing.T) {
	r, s, disk, _ := newFaultyRouter(t, t.TempDir(), func(*Config) {})
	m := message("m")
	m.TimeLeft = 2 * time.Second
	deadline := time.Now().Add(m.TimeLeft)
	failCall(t, r, s, disk, m)
	if n := <-s.reports; n.ID != "m" || time.Now().Before(deadline) {
		t.Errorf("reported %+v, %v before the deadline", n, time.Until(deadline))
	}
	if got := r.Counters(); got.ReportedUnwritten != 1 || got.PendingRecords == 0 {
		t.Errorf("counters %+v", got)
	}
}

// Guards against attempts used up, and messages returned, because the start of an attempt could not be written for a
// moment.
func TestCallWaitsForJournal(t *testing.T) {
	r, s, disk, _ := newFaultyRouter(t, t.TempDir(), func(*Config) {})
	if got := r.Accept(message("m")); got.Kind != Accepted {
		t.Fatalf("verdict %+v", got)
	}
	c := <-s.calls
	disk.failing.Store(true)
	began := make(chan bool, 1)
	go func() { began <- c.Begin() }()
	await(t, r, "start record tried", func(c Counters) bool { return c.WriteFailures > 1 })
	if len(began) != 0 {
		t.Error("the call began without its record, or was abandoned")
	}
	disk.failing.Store(false)
	if !<-began {
		t.Error("the call did not begin once its start was written")
	}
	s.results <- Result{Outcome: mb.OK}
	await(t, r, "delivered", func(c Counters) bool { return c.Delivered == 1 && c.Calls == 1 })
}

// Guards against accepting a message while the end of an earlier one with the same id is not written: a later process
// would hold both.
func TestNoAcceptWhileEndIsUnwritten(t *testing.T) {
	r, s, disk, _ := newFaultyRouter(t, t.TempDir(), func(*Config) {})
	if got := r.Accept(message("m")); got.Kind != Accepted {
		t.Fatalf("verdict %+v", got)
	}
	<-s.calls
	disk.failing.Store(true)
	r.CancelMessage("m")
	await(t, r, "cancelled", func(c Counters) bool { return c.MessagesCancelled == 1 })
	if got := r.Accept(message("m")); got.Kind != Refused {
		t.Errorf("verdict %+v", got)
	}
}

// Guards against ending a message because a single read of its body from the disk failed.
func TestBodyReadIsRetried(t *testing.T) {
	dir := t.TempDir()
	disk := newFaultyDisk(dir)
	fails := make(chan struct{}, 1000)
	disk.Set(func(op fsys.Op, _ string, n int) (int, error) {
		if op == fsys.OpRead && disk.failing.Load() {
			fails <- struct{}{}
			return 0, syscall.EIO
		}
		return n, nil
	})
	journal, err := wal.Open(dir, wal.Options{MaxBytes: 3e6, FS: disk, BodyMemory: 1}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	r, s, _ := runConfig(t, journal, func(*Config) {})
	disk.failing.Store(true)
	m := message("m")
	m.Body = []byte("more than is kept in memory")
	if got := r.Accept(m); got.Kind != Accepted {
		t.Fatalf("verdict %+v", got)
	}
	<-fails
	<-fails
	disk.failing.Store(false)
	if c := <-s.calls; string(c.Body) != string(m.Body) {
		t.Errorf("called with %q", c.Body)
	}
	s.results <- Result{Outcome: mb.OK}
	await(t, r, "delivered", func(c Counters) bool { return c.Delivered == 1 && c.BodiesLost == 0 })
}
