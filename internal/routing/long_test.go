package routing

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// longMessage returns a long message and the channel that receives its results.
func longMessage(id string) (Message, <-chan LongResult) {
	ends := make(chan LongResult, 4)
	return Message{
		ID: id, Class: "unsafe", Destination: 7, TimeLeft: time.Minute, Long: &Long{BodySource: id, OnEnd: func(e LongResult) { ends <- e }},
	}, ends
}

// A delivery is journalled before the client can learn of it, and its result is passed on once.
func TestLongDeliveryIsJournalledFirst(t *testing.T) {
	dir := t.TempDir()
	r, s, journal, end := newRouterIn(t, dir)
	m, ends := longMessage("m")
	if v := r.AcceptLong(m); v.Kind != Accepted {
		t.Fatalf("%+v", v)
	}
	call := <-s.calls
	if call.BodySource != "m" || call.Body != nil || !call.Begin() || !call.RecordDelivery() {
		t.Errorf("call %+v", call)
	}
	if live, _ := execute(r, func() int { return len(journal.Live()) }); live != 0 || len(ends) != 0 {
		t.Errorf("%d live messages when the client learns of the delivery, %d results", live, len(ends))
	}
	s.results <- Result{Outcome: mb.OK, BodyConsumed: true}
	if e := <-ends; e.Kind != AlreadyAccepted || e.ClientAnswered != nil {
		t.Errorf("result %+v", e)
	}
	if v := r.AcceptLong(m); v.Kind != AlreadyEnded {
		t.Errorf("submitted again: %+v", v)
	}
	end()
	if len(ends) != 0 || len(s.reports) != 0 {
		t.Errorf("%d further results, %d reports", len(ends), len(s.reports))
	}
}

// A client that received its answer gets no delivery report, one that did not gets one. In both cases the id of a
// message that may have run stays known after a restart, and nothing is sent again.
func TestLongEndsAreReportedOnce(t *testing.T) {
	for _, answered := range []bool{true, false} {
		dir := t.TempDir()
		r, s, _, end := newRouterIn(t, dir)
		m, ends := longMessage("m")
		r.AcceptLong(m)
		(<-s.calls).Begin()
		s.results <- Result{Outcome: mb.Reset, BodyConsumed: true}
		e := <-ends
		if diff := cmp.Diff(LongResult{Kind: Failed, MayHaveRun: true}, LongResult{Kind: e.Kind, MayHaveRun: e.MayHaveRun, TimedOut: e.TimedOut}); diff != "" {
			t.Errorf("answered %v:\n%s", answered, diff)
		}
		e.ClientAnswered(answered)
		if !answered {
			n := <-s.reports
			if n.ID != "m" || n.Returned {
				t.Errorf("report %+v", n)
			}
			n.Done()
		}
		end()
		if len(s.reports) != 0 {
			t.Errorf("answered %v: %d further reports", answered, len(s.reports))
		}
		r, s, _, _ = newRouterIn(t, dir)
		if v := r.AcceptLong(m); v.Kind != AlreadyEnded || len(s.calls) != 0 || len(s.reports) != 0 {
			t.Errorf("answered %v, after the restart: %+v, %d calls, %d reports", answered, v, len(s.calls), len(s.reports))
		}
	}
}

// Long messages that a killed process left are ended once at the next start: abandoned if they may have run, returned
// if no call had begun.
func TestLongMessagesAfterRestart(t *testing.T) {
	dir := t.TempDir()
	journal, err := wal.Open(dir, wal.Options{MaxBytes: 3e6}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"begun", "held", "ended"} {
		m := &wal.Message{Seq: journal.NextSeq(), Deadline: time.Now().Add(time.Minute), Destination: 7, ID: id, Class: "unsafe", Long: true}
		if err := journal.Accept(m); err != nil {
			t.Fatal(err)
		}
		if id != "held" {
			_ = journal.Started(m.Seq, time.Now(), "z")
		}
		if id == "ended" {
			_ = journal.Outcome(m.Seq, true)
			_ = journal.End(m.Seq, wal.Failed, 0)
		}
	}
	journal.Close() // as after a kill
	r, s, _, end := newRouterIn(t, dir)
	got := map[string]bool{}
	for range 3 {
		n := <-s.reports
		got[n.ID] = n.Returned
		n.Done()
	}
	if diff := cmp.Diff(map[string]bool{"begun": false, "held": true, "ended": false}, got); diff != "" {
		t.Error(diff)
	}
	if c := r.Counters(); c.LongInterrupted != 2 || c.Calls != 0 || c.LongHeld != 0 {
		t.Errorf("counters %+v", c)
	}
	end()
	r, s, _, _ = newRouterIn(t, dir)
	for _, id := range []string{"begun", "ended"} {
		if m, _ := longMessage(id); r.AcceptLong(m).Kind != AlreadyEnded {
			t.Errorf("%s was accepted again", id)
		}
	}
	if len(s.reports) != 0 || len(s.calls) != 0 {
		t.Errorf("%d reports, %d calls", len(s.reports), len(s.calls))
	}
}

// Long messages have limits of their own, and a shutdown ends them with an answer.
func TestLongLimitsAndShutdown(t *testing.T) {
	r, s, journal, end := newRouterIn(t, t.TempDir())
	m, ends := longMessage("out")
	r.AcceptLong(m)
	call := <-s.calls
	call.Begin()
	if other, _ := longMessage("beyond"); r.AcceptLong(other).Kind != Refused {
		t.Error("a second long message was accepted with one slot")
	}
	for i := range 9 {
		if v := r.Accept(message(string(rune('a' + i)))); v.Kind != Accepted {
			t.Errorf("short message %d: %+v", i, v)
		}
	}
	answered := make(chan LongResult, 1)
	go func() {
		e := <-ends
		e.ClientAnswered(true)
		answered <- e
	}()
	end()
	if e := <-answered; e.Kind != Failed || !e.MayHaveRun || !e.TimedOut {
		t.Errorf("result %+v", e)
	}
	if left := journal.Live(); slices.ContainsFunc(left, func(m *wal.Message) bool { return m.ID == "out" && m.Status != wal.Closed }) {
		t.Errorf("journal %+v", left)
	}
	if late, _ := longMessage("late"); r.AcceptLong(late).Kind != Stopped {
		t.Error("accepted after the stop")
	}
}
