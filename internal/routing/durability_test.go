package routing

import (
	"bytes"
	"sync"
	"syscall"
	"testing"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/store"
)

// syncGate delays syncs, or makes them fail.
type syncGate struct {
	mu     sync.Mutex
	err    error
	closed chan struct{} // nil: open
	tried  chan struct{} // receives once for each sync that found the gate closed
}

func (g *syncGate) check(op fsys.Op, _ string, n int) (int, error) {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if op == fsys.OpSync && closed != nil {
		g.tried <- struct{}{}
		<-closed
	}
	g.mu.Lock()
	err := g.err
	g.mu.Unlock()
	if op == fsys.OpSync && err != nil {
		return 0, err
	}
	return n, nil
}

func (g *syncGate) shut() {
	g.mu.Lock()
	g.closed = make(chan struct{})
	g.mu.Unlock()
}

func (g *syncGate) open(err error) {
	g.mu.Lock()
	close(g.closed)
	g.closed, g.err = nil, err
	g.mu.Unlock()
}

// newGatedRouter runs a router on a journal whose syncs the test delays.
func newGatedRouter(t *testing.T, o wal.Options) (*Router, fakeTransport, *syncGate, *fsys.FaultFS) {
	t.Helper()
	dir, g := t.TempDir(), &syncGate{tried: make(chan struct{}, 64)}
	faults := &fsys.FaultFS{FS: fsys.Dir(dir)}
	o.MaxBytes, o.FS = 3e6, faults
	journal, err := wal.Open(dir, o, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	faults.Set(g.check)
	r, s, _ := runRouter(t, journal)
	return r, s, g, faults
}

// Neither the answer to a client nor a call's first byte may precede the sync of its record; the router serves other
// events meanwhile.
func TestNoAnswerBeforeRecordIsDurable(t *testing.T) {
	r, s, g, _ := newGatedRouter(t, wal.Options{Durability: store.SyncBatch})
	g.shut()
	verdicts, begun := make(chan Verdict, 2), make(chan bool, 1)
	go func() { verdicts <- r.Accept(message("m")) }()
	c := <-s.calls
	go func() { begun <- c.Begin() }()
	<-g.tried
	go func() { verdicts <- r.Accept(message("m")) }() // repeated before the first is answered
	for r.Counters().Duplicates == 0 {                 // the router's goroutine answers
	}
	select {
	case v := <-verdicts:
		t.Errorf("answered before the record is durable: %+v", v)
	case ok := <-begun:
		t.Errorf("begun before the record is durable: %v", ok)
	default:
	}
	g.open(nil)
	kinds := map[VerdictKind]int{(<-verdicts).Kind: 1}
	kinds[(<-verdicts).Kind]++
	if !<-begun || kinds[Accepted] != 1 || kinds[AlreadyAccepted] != 1 {
		t.Errorf("verdicts %v", kinds)
	}
	s.results <- Result{Outcome: mb.OK}
	for r.Counters().Delivered == 0 {
	}
}

// An endpoint that starts draining while a call's start record is synced does not get the call.
func TestListIsCheckedAfterSync(t *testing.T) {
	r, s, g, _ := newGatedRouter(t, wal.Options{Durability: store.SyncBatch})
	if v := r.Accept(message("m")); v.Kind != Accepted {
		t.Fatal(v)
	}
	c := <-s.calls
	g.shut()
	begun := make(chan bool, 1)
	go func() { begun <- c.Begin() }()
	<-g.tried
	r.Learn(EndpointList{Endpoints: []Endpoint{{Name: "a", Address: "a:1", Destination: 7, State: mb.Draining}}})
	r.Counters() // served after the list
	g.open(nil)
	if <-begun {
		t.Error("a call began to an endpoint that drains")
	}
	s.results <- Result{Outcome: mb.NotSent}
	for r.Counters().NotSent == 0 {
	}
}

// After a failed sync the client is refused with a retry-after, and no call of the message starts.
func TestNoCallAfterFailedSync(t *testing.T) {
	r, s, g, _ := newGatedRouter(t, wal.Options{Durability: store.SyncBatch})
	g.shut()
	verdict, begun := make(chan Verdict, 1), make(chan bool, 1)
	go func() { verdict <- r.Accept(message("m")) }()
	c := <-s.calls
	go func() { begun <- c.Begin() }()
	<-g.tried
	g.open(syscall.EIO)
	if v := <-verdict; v.Kind != Refused || v.RetryAfter <= 0 {
		t.Errorf("verdict %+v", v)
	}
	if <-begun {
		t.Error("a call of the message began")
	}
	s.results <- Result{Outcome: mb.NotSent}
	for r.Counters().Held > 0 {
	}
	if v := r.Accept(message("next")); v.Kind != Refused {
		t.Errorf("verdict %+v", v)
	}
}

// A delivery report waits for the sync of the end's record: otherwise a power cut could revive the message after its
// report.
func TestReportWaitsForSync(t *testing.T) {
	r, s, g, _ := newGatedRouter(t, wal.Options{Durability: store.SyncBatch})
	r.Accept(message("m"))
	if c := <-s.calls; !c.Begin() {
		t.Fatal("the call did not begin")
	}
	g.shut()
	s.results <- Result{Outcome: mb.Reset}
	<-g.tried
	for r.Counters().Abandoned == 0 {
	}
	select {
	case n := <-s.reports:
		t.Errorf("reported before the record is durable: %+v", n)
	default:
	}
	g.open(nil)
	if n := <-s.reports; n.ID != "m" || n.Returned {
		t.Errorf("report %+v", n)
	}
}

// A body kept on disk is sent unchanged; one that cannot be read any more ends its message at once.
func TestBodiesFromDisk(t *testing.T) {
	r, s, _, faults := newGatedRouter(t, wal.Options{BodyMemory: 1})
	m := message("m")
	m.Body = bytes.Repeat([]byte("body\x00\xff"), 5000)
	r.Accept(m)
	c := <-s.calls
	if !bytes.Equal(c.Body, m.Body) {
		t.Errorf("%d bytes of %d were sent", len(c.Body), len(m.Body))
	}
	c.Begin()
	s.results <- Result{Outcome: mb.OK}
	faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
		if op == fsys.OpRead {
			return 0, syscall.EIO
		}
		return n, nil
	})
	m.ID = "unreadable"
	r.Accept(m)
	if n := <-s.reports; n.ID != "unreadable" || !n.Returned || n.RetryAfter <= 0 {
		t.Errorf("report %+v", n)
	}
	if got := r.Counters(); got.BodiesLost != 1 || got.Held != 0 || len(s.calls) != 0 {
		t.Errorf("counters %+v", got)
	}
}
