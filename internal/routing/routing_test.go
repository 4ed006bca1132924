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

// fakeTransport is a Caller and a Notifier that passes what it receives to the test.
type fakeTransport struct {
	calls   chan Attempt
	results chan Result
	reports chan DeliveryReport
}

func (s fakeTransport) Call(ctx context.Context, c Attempt) Result {
	s.calls <- c
	select {
	case r := <-s.results:
		return r
	case <-ctx.Done():
		return Result{Outcome: mb.TimedOut, BodyConsumed: c.BodySource != nil}
	}
}

func (s fakeTransport) CloseIdle(string) {}

func (s fakeTransport) Notify(n DeliveryReport) { s.reports <- n }

// newRouter runs a router with one endpoint, "a" of destination 7, on a journal in a new folder.
func newRouter(t *testing.T) (*Router, fakeTransport, *wal.Log) {
	t.Helper()
	r, s, journal, _ := newRouterIn(t, t.TempDir())
	return r, s, journal
}

// newRouterIn runs a router on the journal in a folder, with long messages allowed; end stops it.
func newRouterIn(t *testing.T, dir string) (r *Router, s fakeTransport, journal *wal.Log, end func()) {
	t.Helper()
	journal, err := wal.Open(dir, wal.Options{MaxBytes: 3e6}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	r, s, end = runRouter(t, journal)
	return r, s, journal, end
}

// runRouter runs a router on a journal and closes the journal at the end.
func runRouter(t *testing.T, journal *wal.Log) (r *Router, s fakeTransport, end func()) {
	t.Helper()
	return runReplicated(t, journal, nil)
}

// runReplicated runs a router with a Replication, or nil for none.
func runReplicated(t *testing.T, journal *wal.Log, replication Replication) (r *Router, s fakeTransport, end func()) {
	t.Helper()
	return runConfig(t, journal, func(c *Config) { c.Replication = replication })
}

// runSteered runs a router with a Steering, or nil for none, and a list of endpoints.
func runSteered(t *testing.T, journal *wal.Log, replication Replication, steering Steering, endpoints ...Endpoint) (r *Router, s fakeTransport, end func()) {
	t.Helper()
	return runConfig(t, journal, func(c *Config) {
		c.Replication, c.Steering = replication, steering
		c.InitialList.Endpoints = endpoints
	})
}

// runConfig runs a router with a changed configuration.
func runConfig(t *testing.T, journal *wal.Log, change func(*Config)) (r *Router, s fakeTransport, end func()) {
	t.Helper()
	s = fakeTransport{make(chan Attempt, 8), make(chan Result, 8), make(chan DeliveryReport, 8)}
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

// A message whose accept record cannot be written is refused, and no call of it starts.
func TestNoCallWithoutAcceptRecord(t *testing.T) {
	r, s, journal := newRouter(t)
	journal.Close()
	if got := r.Accept(message("m")); got.Kind != Refused || got.RetryAfter <= 0 {
		t.Errorf("verdict %+v", got)
	}
	if got := r.Counters(); len(s.calls) != 0 || got.Calls != 0 || got.Held != 0 {
		t.Errorf("counters %+v", got)
	}
}

// If the list changes between a Send and its first byte, the call does not begin and counts as never sent.
func TestListIsCheckedBeforeFirstByte(t *testing.T) {
	for name, change := range map[string]Endpoint{
		"drains":              {Name: "a", Address: "a:1", Destination: 7, State: mb.Draining},
		"is gone":             {Name: "a", Address: "a:1", Destination: 7, State: mb.Deleted},
		"changes destination": {Name: "a", Address: "a:1", Destination: 8},
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

// A repeat that is decided on within the message's window, but whose connection is up only after it, must not begin:
// the endpoint would take it for a new message. Guards against duplicates where connections take up to their full
// second.
func TestNoRepeatOnConnectionAfterWindow(t *testing.T) {
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
			time.Sleep(took) // fake time
			if began, want := repeat.Begin(), took < time.Second; began != want {
				t.Errorf("connected after %v, the repeat began: %v", took, began)
			}
			s.results <- Result{Outcome: mb.OK, Final: true}
		})
	}
}

// The window for repeats starts with the first byte of the first attempt that may have run, and spans restarts: a
// message is sent again only within it. If the clock was set back meanwhile, no window reopens and no message lives
// longer.
func TestRepeatWindowSpansRestarts(t *testing.T) {
	for name, c := range map[string]struct {
		ran     time.Duration // before the start
		until   time.Duration // after the start
		repeats bool
	}{
		"within the window": {200 * time.Millisecond, time.Minute, true},
		"after the window":  {1400 * time.Millisecond, time.Minute, false}, // less than the safety margin is left
		"clock set back":    {-time.Hour, time.Hour, false},
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
		journal.Close() // as after a kill
		_, s, _, end := newRouterIn(t, dir)
		select {
		case call := <-s.calls:
			if !c.repeats || call.Deadline.After(now.Add(2*time.Minute)) {
				t.Errorf("%s: sent again, with deadline %v", name, call.Deadline)
			}
			s.results <- Result{Outcome: mb.OK, Final: true}
		case n := <-s.reports:
			if c.repeats || n.Returned {
				t.Errorf("%s: ended, returned: %v", name, n.Returned)
			}
			n.Done()
		}
		end()
	}
}

// A start submits all messages of the journal to the module in one batch: examining all held messages for each of them
// would take quadratic time before the forwarder is ready. So the first call is for the message of the highest worth,
// not for the first in the journal.
func TestStartSubmitsAllMessagesAtOnce(t *testing.T) {
	dir := t.TempDir()
	journal, err := wal.Open(dir, wal.Options{MaxBytes: 3e6}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"nearly expired", "nearly expired as well", "fresh"} {
		timeLeft := 4 * time.Second
		if id == "fresh" {
			timeLeft = time.Minute
		}
		m := &wal.Message{Seq: journal.NextSeq(), Deadline: time.Now().Add(timeLeft), Destination: 7, ID: id, Class: "unsafe", Body: []byte("b")}
		if err := journal.Accept(m); err != nil {
			t.Fatal(err)
		}
	}
	journal.Close() // as after a kill
	_, s, _, _ := newRouterIn(t, dir)
	if c := <-s.calls; c.ID != "fresh" {
		t.Errorf("%s was sent first", c.ID)
	}
	s.results <- Result{Outcome: mb.OK, Final: true}
}

// A client whose connection broke submits its message again and is told that it is known, before the first answer turns
// out to be undeliverable. The message stays, because its client got an answer; a message without any answer is
// dropped.
func TestAnsweredRepeatSurvivesCancellation(t *testing.T) {
	r, s, _ := newRouter(t)
	for _, id := range []string{"repeated", "unrepeated"} {
		if got := r.Accept(message(id)); got.Kind != Accepted {
			t.Fatalf("verdict %+v", got)
		}
	}
	if got := r.Accept(message("repeated")); got.Kind != AlreadyAccepted {
		t.Errorf("the repeat: %+v", got)
	}
	r.CancelMessage("repeated")
	r.CancelMessage("unrepeated")
	if c := r.Counters(); c.Held != 1 || c.MessagesCancelled != 1 {
		t.Errorf("counters %+v", c)
	}
	if c := <-s.calls; c.ID != "repeated" {
		t.Errorf("%s was sent", c.ID)
	}
	s.results <- Result{Outcome: mb.OK, Final: true}
}

// An unsafe message whose call was reset after its start is abandoned with a report at once; one whose call never began
// stays held.
func TestResetAbandonsUnsafeMessage(t *testing.T) {
	r, s, _ := newRouter(t)
	r.Accept(message("ran"))
	if c := <-s.calls; !c.Begin() {
		t.Fatal("the call did not begin")
	}
	s.results <- Result{Outcome: mb.Reset}
	n := <-s.reports
	if diff := cmp.Diff([]any{"ran", false}, []any{n.ID, n.Returned}); diff != "" {
		t.Error(diff)
	}
	n.Done()
	r.Accept(message("never"))
	<-s.calls
	s.results <- Result{Outcome: mb.Reset} // reported as a reset, but no byte was permitted
	(<-s.calls).Begin()
	s.results <- Result{Outcome: mb.OK}
	for r.Counters().Delivered == 0 { // asks the router's goroutine each time
	}
	if got := r.Counters(); got.ConnectFailed != 1 || got.Reset != 1 || got.Acknowledged != 1 || got.Held != 0 {
		t.Errorf("counters %+v", got)
	}
}

// A message's time counts from its sending by the client, and an answer just before the deadline may be too late for
// the client. So a call without an answer is abandoned a little earlier, and the end is reported before the deadline.
func TestCallEndsBeforeMessageDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s, _ := newRouter(t)
		m := message("m")
		m.TimeLeft = time.Second
		acceptedAt := time.Now()
		r.Accept(m)
		(<-s.calls).Begin()
		n := <-s.reports
		if n.ID != "m" || n.Returned || time.Since(acceptedAt) > m.TimeLeft-maxRequestTransit {
			t.Errorf("%+v after %v", n, time.Since(acceptedAt))
		}
	})
	now := time.Now()
	for timeLeft, want := range map[time.Duration]time.Duration{
		time.Minute: time.Minute - maxRequestTransit, maxRequestTransit: maxRequestTransit / 2, time.Millisecond: time.Millisecond / 2, 0: 0, -time.Second: -time.Second,
	} {
		if got := answerDeadline(now, now.Add(timeLeft)).Sub(now); got != want {
			t.Errorf("%v left: waits %v for an answer, want %v", timeLeft, got, want)
		}
	}
}
