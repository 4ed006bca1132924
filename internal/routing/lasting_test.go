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

// gate holds syncs up, or fails them.
type gate struct {
	mu     sync.Mutex
	err    error
	closed chan struct{} // nil: open
	tried  chan struct{} // one for each sync that found it closed
}

func (g *gate) check(op fsys.Op, _ string, n int) (int, error) {
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

func (g *gate) shut() {
	g.mu.Lock()
	g.closed = make(chan struct{})
	g.mu.Unlock()
}

func (g *gate) open(err error) {
	g.mu.Lock()
	close(g.closed)
	g.closed, g.err = nil, err
	g.mu.Unlock()
}

// newLasting runs a router on a journal whose syncs the test holds up.
func newLasting(t *testing.T, o wal.Options) (*Router, script, *gate, *fsys.FaultFS) {
	t.Helper()
	dir, g := t.TempDir(), &gate{tried: make(chan struct{}, 64)}
	faults := &fsys.FaultFS{FS: fsys.Dir(dir)}
	o.Most, o.FS = 3e6, faults
	journal, err := wal.Open(dir, o, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	faults.Set(g.check)
	r, s, _ := runRouter(t, journal)
	return r, s, g, faults
}

// Neither the answer to a client nor a call's first byte comes before its record is durable; the router goes on meanwhile.
func TestNothingIsToldBeforeItLasts(t *testing.T) {
	r, s, g, _ := newLasting(t, wal.Options{Durability: store.SyncBatch})
	g.shut()
	verdicts, begun := make(chan Verdict, 2), make(chan bool, 1)
	go func() { verdicts <- r.Accept(message("m")) }()
	c := <-s.calls
	go func() { begun <- c.Begin() }()
	<-g.tried
	go func() { verdicts <- r.Accept(message("m")) }() // again, before the first is answered
	for r.Counters().Repeated == 0 {                   // the router's goroutine answers
	}
	select {
	case v := <-verdicts:
		t.Errorf("answered before it lasts: %+v", v)
	case ok := <-begun:
		t.Errorf("begun before it lasts: %v", ok)
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

// A drain that comes while a call's start waits for the disk is heeded.
func TestListIsLookedAtAgainBehindTheSync(t *testing.T) {
	r, s, g, _ := newLasting(t, wal.Options{Durability: store.SyncBatch})
	if v := r.Accept(message("m")); v.Kind != Accepted {
		t.Fatal(v)
	}
	c := <-s.calls
	g.shut()
	begun := make(chan bool, 1)
	go func() { begun <- c.Begin() }()
	<-g.tried
	r.Learn(EndpointList{Endpoints: []Endpoint{{Name: "a", Address: "a:1", Destination: 7, State: mb.Draining}}})
	r.Counters() // behind the list
	g.open(nil)
	if <-begun {
		t.Error("a call began to an endpoint that drains")
	}
	s.results <- Result{Outcome: mb.NotSent}
	for r.Counters().Moot == 0 {
	}
}

// When a sync fails the client is refused with a time to come again, and no call of the message leaves.
func TestNothingLeavesWithoutTheSync(t *testing.T) {
	r, s, g, _ := newLasting(t, wal.Options{Durability: store.SyncBatch})
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
		t.Error("a call of it began")
	}
	s.results <- Result{Outcome: mb.NotSent}
	for r.Counters().Held > 0 {
	}
	if v := r.Accept(message("next")); v.Kind != Refused {
		t.Errorf("verdict %+v", v)
	}
}

// A notice waits for its end's record: else a power cut could have the message live again behind it.
func TestNoticeWaitsForTheSync(t *testing.T) {
	r, s, g, _ := newLasting(t, wal.Options{Durability: store.SyncBatch})
	r.Accept(message("m"))
	if c := <-s.calls; !c.Begin() {
		t.Fatal("the call did not begin")
	}
	g.shut()
	s.results <- Result{Outcome: mb.Reset}
	<-g.tried
	for r.Counters().GivenUp == 0 {
	}
	select {
	case n := <-s.notices:
		t.Errorf("told before it lasts: %+v", n)
	default:
	}
	g.open(nil)
	if n := <-s.notices; n.ID != "m" || n.Returned {
		t.Errorf("notice %+v", n)
	}
}

// A body that is only on the disk goes out as it came; one that can't be read any more ends its message at once.
func TestBodiesFromDisk(t *testing.T) {
	r, s, _, faults := newLasting(t, wal.Options{Memory: 1})
	m := message("m")
	m.Body = bytes.Repeat([]byte("body\x00\xff"), 5000)
	r.Accept(m)
	c := <-s.calls
	if !bytes.Equal(c.Body, m.Body) {
		t.Errorf("%d bytes of %d went out", len(c.Body), len(m.Body))
	}
	c.Begin()
	s.results <- Result{Outcome: mb.OK}
	faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
		if op == fsys.OpRead {
			return 0, syscall.EIO
		}
		return n, nil
	})
	m.ID = "spoilt"
	r.Accept(m)
	if n := <-s.notices; n.ID != "spoilt" || !n.Returned || n.RetryAfter <= 0 {
		t.Errorf("notice %+v", n)
	}
	if got := r.Counters(); got.Lost != 1 || got.Held != 0 || len(s.calls) != 0 {
		t.Errorf("counters %+v", got)
	}
}
