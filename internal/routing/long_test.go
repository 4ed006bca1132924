package routing

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// longMessage is one whose ends come in the channel.
func longMessage(id string) (Message, <-chan LongResult) {
	ends := make(chan LongResult, 4)
	return Message{
		ID: id, Class: "unsafe", Destination: 7, TimeLeft: time.Minute, Long: &Long{BodySource: id, OnEnd: func(e LongResult) { ends <- e }},
	}, ends
}

// A delivery is journalled as over before its client can hear of it, and told once.
func TestLongDeliveryIsBookedFirst(t *testing.T) {
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
	if live, _ := ask(r, func() int { return len(journal.Live()) }); live != 0 || len(ends) != 0 {
		t.Errorf("%d live messages when the client hears, %d ends", live, len(ends))
	}
	s.results <- Result{Outcome: mb.OK, BodyConsumed: true}
	if e := <-ends; e.Kind != AlreadyAccepted || e.ClientAnswered != nil {
		t.Errorf("end %+v", e)
	}
	if v := r.AcceptLong(m); v.Kind != AlreadyEnded {
		t.Errorf("handed in again: %+v", v)
	}
	end()
	if len(ends) != 0 || len(s.notices) != 0 {
		t.Errorf("%d further ends, %d notices", len(ends), len(s.notices))
	}
}

// A client that was told gets no notice, one that was not gets one; either way the id of what may have run is known
// beyond a restart, and nothing is sent again.
func TestLongEndsAreToldOnce(t *testing.T) {
	for _, told := range []bool{true, false} {
		dir := t.TempDir()
		r, s, _, end := newRouterIn(t, dir)
		m, ends := longMessage("m")
		r.AcceptLong(m)
		(<-s.calls).Begin()
		s.results <- Result{Outcome: mb.Reset, BodyConsumed: true}
		e := <-ends
		if diff := cmp.Diff(LongResult{Kind: Failed, MayHaveRun: true}, LongResult{Kind: e.Kind, MayHaveRun: e.MayHaveRun, TimedOut: e.TimedOut}); diff != "" {
			t.Errorf("told %v:\n%s", told, diff)
		}
		e.ClientAnswered(told)
		if !told {
			n := <-s.notices
			if n.ID != "m" || n.Returned {
				t.Errorf("notice %+v", n)
			}
			n.Done()
		}
		end()
		if len(s.notices) != 0 {
			t.Errorf("told %v: %d further notices", told, len(s.notices))
		}
		r, s, _, _ = newRouterIn(t, dir)
		if v := r.AcceptLong(m); v.Kind != AlreadyEnded || len(s.calls) != 0 || len(s.notices) != 0 {
			t.Errorf("told %v, in the next life: %+v, %d calls, %d notices", told, v, len(s.calls), len(s.notices))
		}
	}
}

// What a killed life had under way is ended at the next start: given up if it may have run, handed back if it had not
// begun; and only once.
func TestLongMessagesOfAnEarlierLife(t *testing.T) {
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
	journal.Close() // as a kill would
	r, s, _, end := newRouterIn(t, dir)
	got := map[string]bool{}
	for range 3 {
		n := <-s.notices
		got[n.ID] = n.Returned
		n.Done()
	}
	if diff := cmp.Diff(map[string]bool{"begun": false, "held": true, "ended": false}, got); diff != "" {
		t.Error(diff)
	}
	if c := r.Counters(); c.LongCut != 2 || c.Sends != 0 || c.LongHeld != 0 {
		t.Errorf("counters %+v", c)
	}
	end()
	r, s, _, _ = newRouterIn(t, dir)
	for _, id := range []string{"begun", "ended"} {
		if m, _ := longMessage(id); r.AcceptLong(m).Kind != AlreadyEnded {
			t.Errorf("%s was taken on again", id)
		}
	}
	if len(s.notices) != 0 || len(s.calls) != 0 {
		t.Errorf("%d notices, %d calls", len(s.notices), len(s.calls))
	}
}

// Long messages have bounds of their own, and a stop ends them with their answer.
func TestLongBoundsAndStop(t *testing.T) {
	r, s, journal, end := newRouterIn(t, t.TempDir())
	m, ends := longMessage("out")
	r.AcceptLong(m)
	call := <-s.calls
	call.Begin()
	if other, _ := longMessage("beyond"); r.AcceptLong(other).Kind != Refused {
		t.Error("a second one was taken with one slot")
	}
	for i := range 9 {
		if v := r.Accept(message(string(rune('a' + i)))); v.Kind != Accepted {
			t.Errorf("short message %d: %+v", i, v)
		}
	}
	told := make(chan LongResult, 1)
	go func() {
		e := <-ends
		e.ClientAnswered(true)
		told <- e
	}()
	end()
	if e := <-told; e.Kind != Failed || !e.MayHaveRun || !e.TimedOut {
		t.Errorf("end %+v", e)
	}
	if left := journal.Live(); slices.ContainsFunc(left, func(m *wal.Message) bool { return m.ID == "out" && m.Status != wal.Closed }) {
		t.Errorf("journal %+v", left)
	}
	if late, _ := longMessage("late"); r.AcceptLong(late).Kind != Stopped {
		t.Error("taken on after the end")
	}
}
