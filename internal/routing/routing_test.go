package routing

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// script is an caller and a notifier that tell the test what they are given.
type script struct {
	calls   chan Attempt
	results chan Result
	notices chan DeliveryReport
}

func (s script) Call(ctx context.Context, c Attempt) Result {
	s.calls <- c
	select {
	case r := <-s.results:
		return r
	case <-ctx.Done():
		return Result{Outcome: mb.TimedOut, BodyConsumed: c.BodySource != nil}
	}
}

func (s script) CloseIdle(string) {}

func (s script) Notify(n DeliveryReport) { s.notices <- n }

// newRouter runs a router with one endpoint, "a" of destination 7, on a journal in a folder of its own.
func newRouter(t *testing.T) (*Router, script, *wal.Log) {
	t.Helper()
	r, s, journal, _ := newRouterIn(t, t.TempDir())
	return r, s, journal
}

// newRouterIn does so in a folder that may hold a journal, and with long messages allowed; end ends it.
func newRouterIn(t *testing.T, dir string) (r *Router, s script, journal *wal.Log, end func()) {
	t.Helper()
	journal, err := wal.Open(dir, wal.Options{MaxBytes: 3e6}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	r, s, end = runRouter(t, journal)
	return r, s, journal, end
}

// runRouter runs a router on a journal, which it closes at the end.
func runRouter(t *testing.T, journal *wal.Log) (r *Router, s script, end func()) {
	t.Helper()
	return runGuarded(t, journal, nil)
}

// runGuarded does so with a guard; nil is none.
func runGuarded(t *testing.T, journal *wal.Log, guard Replication) (r *Router, s script, end func()) {
	t.Helper()
	return runConfig(t, journal, func(c *Config) { c.Replication = guard })
}

// runSteered does so with a steering, nil for none, and endpoints.
func runSteered(t *testing.T, journal *wal.Log, guard Replication, steering Steering, endpoints ...Endpoint) (r *Router, s script, end func()) {
	t.Helper()
	return runConfig(t, journal, func(c *Config) {
		c.Replication, c.Steering = guard, steering
		c.InitialList.Endpoints = endpoints
	})
}

// runConfig does so with what change makes of the configuration.
func runConfig(t *testing.T, journal *wal.Log, change func(*Config)) (r *Router, s script, end func()) {
	t.Helper()
	s = script{make(chan Attempt, 8), make(chan Result, 8), make(chan DeliveryReport, 8)}
	config := Config{
		Settings: mb.Settings{
			Forwarders: 1, Slots: 4, LongSlots: 1, MostHeld: 10, MaxAttempts: 6, MaxRetryAfter: time.Second,
			Classes: []mb.Class{
				{Name: "unsafe", Target: time.Second, DeliveryTimeout: time.Minute, Worth: 1, Effect: mb.Unsafe},
				{Name: "keyed", Target: time.Second, DeliveryTimeout: time.Minute, Worth: 1, Effect: mb.Keyed, KeyTTL: 1500 * time.Millisecond},
				{Name: "safe", Target: time.Second, DeliveryTimeout: time.Minute, Worth: 1, Effect: mb.Safe},
			},
		},
		InitialList: EndpointList{Whole: true, Saved: true, Endpoints: []Endpoint{{Name: "a", Address: "a:1", Destination: 7, Weight: 50}}},
		Log:         journal, Caller: s, Notifier: s, Logger: zerolog.Nop(),
		Long: LongLimits{MaxMessages: 2, Slots: 1, MaxTimeLeft: time.Hour},
	}
	change(&config)
	r, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ready, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); _ = r.Run(ctx, func() { close(ready) }) }()
	<-ready
	end = sync.OnceFunc(func() { cancel(); <-ended; journal.Close() })
	t.Cleanup(end)
	return r, s, end
}

func message(id string) Message {
	return Message{ID: id, Class: "unsafe", Destination: 7, TimeLeft: time.Minute, Body: []byte("b")}
}

// A message whose accept can't be journalled is refused, and no call of it leaves.
func TestNothingLeavesWithoutTheJournal(t *testing.T) {
	r, s, journal := newRouter(t)
	journal.Close()
	if got := r.Accept(message("m")); got.Kind != Refused || got.RetryAfter <= 0 {
		t.Errorf("verdict %+v", got)
	}
	if got := r.Counters(); len(s.calls) != 0 || got.Sends != 0 || got.Held != 0 {
		t.Errorf("counters %+v", got)
	}
}

// Between a send and its first byte the list may change: then the call does not begin, and counts as never sent.
func TestListIsLookedAtAgainBeforeTheFirstByte(t *testing.T) {
	for name, change := range map[string]Endpoint{
		"drains":        {Name: "a", Address: "a:1", Destination: 7, State: mb.Draining},
		"is gone":       {Name: "a", Address: "a:1", Destination: 7, State: mb.Deleted},
		"changes group": {Name: "a", Address: "a:1", Destination: 8},
	} {
		r, s, _ := newRouter(t)
		if got := r.Accept(message("m")); got.Kind != Accepted {
			t.Fatalf("verdict %+v", got)
		}
		c := <-s.calls
		r.Learn(EndpointList{Endpoints: []Endpoint{change}})
		if c.Begin() {
			t.Errorf("a call began to an endpoint that %s", name)
		}
		s.results <- Result{Outcome: mb.NotSent}
	}
}

// A repeat that is sent within its window, on a connection that comes up only behind it, does not begin: the endpoint would
// take it for a new message. It was fleets' rule of duplicates that this broke, where connects took their whole second.
func TestAConnectionThatComesUpBehindTheWindowCarriesNoRepeat(t *testing.T) {
	for _, took := range []time.Duration{500 * time.Millisecond, 1700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			r, s, _ := newRouter(t)
			m := message("m")
			m.Class = "keyed"
			r.Accept(m)
			if c := <-s.calls; !c.Begin() {
				t.Fatal("the first call did not begin")
			}
			s.results <- Result{Outcome: mb.Reset}
			repeat := <-s.calls
			time.Sleep(took) // on the test's own clock
			if began, want := repeat.Begin(), took < time.Second; began != want {
				t.Errorf("connected after %v, the repeat began: %v", took, began)
			}
			s.results <- Result{Outcome: mb.OK, Final: true}
		})
	}
}

// The window for repeats counts over lives, from the first byte that may have run: inside it a message goes again, behind it
// nothing does. A clock that was set back meanwhile opens no window anew, and makes no message live longer.
func TestTheWindowCountsOverLives(t *testing.T) {
	for name, c := range map[string]struct {
		ran   time.Duration // before the start
		until time.Duration // behind it
		goes  bool
	}{
		"inside":              {200 * time.Millisecond, time.Minute, true},
		"behind":              {1400 * time.Millisecond, time.Minute, false}, // less than its margin is left
		"the clock went back": {-time.Hour, time.Hour, false},
	} {
		dir := t.TempDir()
		journal, err := wal.Open(dir, wal.Options{MaxBytes: 3e6}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		m := &wal.Message{Seq: journal.NextSeq(), Deadline: now.Add(c.until), Destination: 7, ID: "m", Class: "keyed", Body: []byte("b")}
		if err := journal.Accept(m); err != nil {
			t.Fatal(err)
		}
		if err := journal.Started(m.Seq, now.Add(-c.ran), "z"); err != nil {
			t.Fatal(err)
		}
		journal.Close() // as a kill would
		_, s, _, end := newRouterIn(t, dir)
		select {
		case call := <-s.calls:
			if !c.goes || call.Deadline.After(now.Add(2*time.Minute)) {
				t.Errorf("%s: it went again, to be cut at %v", name, call.Deadline)
			}
			s.results <- Result{Outcome: mb.OK, Final: true}
		case n := <-s.notices:
			if c.goes || n.Returned {
				t.Errorf("%s: it ended, handed back: %v", name, n.Returned)
			}
			n.Done()
		}
		end()
	}
}

// What a restart finds goes to the module at once, however much it is: a look at all that is held for each of them would take the
// square of it before the forwarder is ready. So the first call is for what is worth most of all, not for the first of them.
func TestAStartHandsAllOverAtOnce(t *testing.T) {
	dir := t.TempDir()
	journal, err := wal.Open(dir, wal.Options{MaxBytes: 3e6}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"nearly over", "nearly over as well", "fresh"} {
		left := 4 * time.Second
		if id == "fresh" {
			left = time.Minute
		}
		m := &wal.Message{Seq: journal.NextSeq(), Deadline: time.Now().Add(left), Destination: 7, ID: id, Class: "unsafe", Body: []byte("b")}
		if err := journal.Accept(m); err != nil {
			t.Fatal(err)
		}
	}
	journal.Close() // as a kill would
	_, s, _, _ := newRouterIn(t, dir)
	if c := <-s.calls; c.ID != "fresh" {
		t.Errorf("%s goes first", c.ID)
	}
	s.results <- Result{Outcome: mb.OK, Final: true}
}

// A client whose connection broke under its request hands that in again, and is told that it is known, before the first answer is
// found to reach nobody: the message stays, since somebody was told. One that nobody was told of is dropped.
func TestARepeatThatIsToldOutlastsTheFirstsWithdrawal(t *testing.T) {
	r, s, _ := newRouter(t)
	for _, id := range []string{"repeated", "alone"} {
		if got := r.Accept(message(id)); got.Kind != Accepted {
			t.Fatalf("verdict %+v", got)
		}
	}
	if got := r.Accept(message("repeated")); got.Kind != AlreadyAccepted {
		t.Errorf("the repeat: %+v", got)
	}
	r.CancelMessage("repeated")
	r.CancelMessage("alone")
	if c := r.Counters(); c.Held != 1 || c.Withdrawn != 1 {
		t.Errorf("counters %+v", c)
	}
	if c := <-s.calls; c.ID != "repeated" {
		t.Errorf("%s goes", c.ID)
	}
	s.results <- Result{Outcome: mb.OK, Final: true}
}

// An unsafe message whose call was reset is given up by a notice at once; one that never began is held.
func TestEndings(t *testing.T) {
	r, s, _ := newRouter(t)
	r.Accept(message("ran"))
	if c := <-s.calls; !c.Begin() {
		t.Fatal("the call did not begin")
	}
	s.results <- Result{Outcome: mb.Reset}
	n := <-s.notices
	if diff := cmp.Diff([]any{"ran", false}, []any{n.ID, n.Returned}); diff != "" {
		t.Error(diff)
	}
	n.Done()
	r.Accept(message("never"))
	<-s.calls
	s.results <- Result{Outcome: mb.Reset} // it may say so, but nothing was let go
	(<-s.calls).Begin()
	s.results <- Result{Outcome: mb.OK}
	for r.Counters().Delivered == 0 { // asks the router's goroutine each time
	}
	if got := r.Counters(); got.Unconnected != 1 || got.Reset != 1 || got.Acknowledged != 1 || got.Held != 0 {
		t.Errorf("counters %+v", got)
	}
}

// A message's time counts from its client's sending, and an answer that comes as it ends may be too late for the client. So a call without
// an answer is abandoned a little earlier, and the message's end is reported within its time.
func TestACallEndsBeforeItsMessagesTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s, _ := newRouter(t)
		m := message("m")
		m.TimeLeft = time.Second
		taken := time.Now()
		r.Accept(m)
		(<-s.calls).Begin()
		n := <-s.notices
		if n.ID != "m" || n.Returned || time.Since(taken) > m.TimeLeft-requestTravel {
			t.Errorf("%+v after %v", n, time.Since(taken))
		}
	})
	now := time.Now()
	for left, want := range map[time.Duration]time.Duration{
		time.Minute: time.Minute - requestTravel, requestTravel: requestTravel / 2, time.Millisecond: time.Millisecond / 2, 0: 0, -time.Second: -time.Second,
	} {
		if got := lastAnswer(now, now.Add(left)).Sub(now); got != want {
			t.Errorf("%v left: answers are waited for for %v, wanted %v", left, got, want)
		}
	}
}
