package relay

import (
	"fmt"
	"slices"
	"testing"

	"mulleinbeam/internal/cluster/changelog"
	"mulleinbeam/internal/cluster/controlplane"
)

// voterLog is the change log of a voter.
type voterLog struct {
	*changelog.Log[controlplane.Item]
}

func newVoterLog() voterLog {
	return voterLog{changelog.NewLog(1, 0, 8, func(controlplane.Change) int { return 100 })}
}

// commit sets a member, or deletes it if m is nil.
func (log voterLog) commit(t interface{ Fatal(...any) }, name string, m *controlplane.Member) {
	change := controlplane.Change{Key: controlplane.MemberKey(name), Revision: log.Revision() + 1, Deleted: m == nil, Value: controlplane.Item{Member: m}}
	if err := log.Put(change); err != nil {
		t.Fatal(err)
	}
}

// respond returns the response of a voter to a batch, granting all leases but those of fenced incarnations.
func (log voterLog) respond(req controlplane.Request, fenced ...controlplane.Incarnation) controlplane.Response {
	return controlplane.Response{
		Leader: "n0", Granted: len(req.Batch) > 0, Sequence: req.Sequence, Version: log.Revision(), Fenced: fenced, Changes: controlplane.ChangesFor(log.Log, *req.Watch),
	}
}

// readyCore returns a core with the complete change log.
func readyCore(t *testing.T, log voterLog) *Core {
	t.Helper()
	c := NewCore()
	for more := true; more; more = c.More() {
		req, ok := c.Batch()
		if !ok || len(req.Batch) > 0 {
			t.Fatalf("%v, %+v", ok, req)
		}
		c.Answered(log.respond(req))
	}
	if !c.Ready() || c.Revision() != log.Revision() {
		t.Fatalf("ready %v at revision %d, want %d", c.Ready(), c.Revision(), log.Revision())
	}
	return c
}

func renewalOf(incarnation controlplane.Incarnation, sequence uint64) controlplane.Request {
	return controlplane.Request{Renew: &incarnation, Sequence: sequence, Watch: controlplane.NewView().Watch()}
}

var a1, b1 = controlplane.Incarnation{Name: "a", Number: 1}, controlplane.Incarnation{Name: "b", Number: 1}

// Renewals that arrive while a batch is in flight are sent with the next one. Each is answered with its own sequence
// number and the changes committed since.
func TestRenewalsAreBatched(t *testing.T) {
	log := newVoterLog()
	c := readyCore(t, log)
	c.Renew(1, renewalOf(a1, 5))
	first, _ := c.Batch()
	c.Renew(2, renewalOf(b1, 9))
	if _, ok := c.Batch(); ok {
		t.Error("second batch while one is in flight")
	}
	log.commit(t, "a", &controlplane.Member{Life: 1, Alive: true})
	replies := c.Answered(log.respond(first))
	if len(replies) != 1 || replies[0].Ticket != 1 || !replies[0].Response.Granted || replies[0].Response.Sequence != 5 || replies[0].Response.Leader != "n0" {
		t.Errorf("%+v", replies)
	}
	if changes := replies[0].Response.Changes; changes == nil || changes.To.Revision != log.Revision() || len(changes.Records) != 1 {
		t.Errorf("%+v", changes)
	}
	second, _ := c.Batch()
	replies = c.Answered(log.respond(second, b1))
	if len(replies) != 1 || replies[0].Response.Granted || replies[0].Response.Refused != controlplane.ErrFenced.Error() || replies[0].Response.Sequence != 9 {
		t.Errorf("%+v", replies)
	}
}

// A duplicated or delayed answer, or one to another batch, changes nothing.
func TestAnswersToOtherBatches(t *testing.T) {
	log := newVoterLog()
	c := readyCore(t, log)
	if c.Answered(controlplane.Response{Granted: true}) != nil {
		t.Error("answer without a batch was accepted")
	}
	c.Renew(1, renewalOf(a1, 1))
	first, _ := c.Batch()
	if got := c.Failed(); len(got) != 1 || got[0].Response.Refused != controlplane.ErrNoLeader.Error() {
		t.Errorf("%+v", got)
	}
	c.Renew(2, renewalOf(a1, 2))
	second, _ := c.Batch()
	if got := c.Answered(log.respond(first)); got != nil {
		t.Errorf("answer to the first batch returned %+v", got)
	}
	if got := c.Answered(log.respond(second)); len(got) != 1 || got[0].Ticket != 2 {
		t.Errorf("%+v", got)
	}
	if got := c.Answered(log.respond(second)); got != nil {
		t.Errorf("duplicated answer returned %+v", got)
	}
	if c.Failed() != nil || c.Counters().Failed != 1 {
		t.Errorf("%+v", c.Counters())
	}
}

// A relay whose mirror is incomplete, or behind the member, sends no changes and tells the member to try elsewhere.
func TestRelayBehindMember(t *testing.T) {
	log := newVoterLog()
	empty := NewCore()
	if got := empty.Renew(1, renewalOf(a1, 1)); len(got) != 1 || got[0].Response.Granted || got[0].Response.Refused != controlplane.ErrNoLeader.Error() {
		t.Errorf("%+v", got)
	}
	if got := empty.Read(nil); got.Refused == "" {
		t.Errorf("%+v", got)
	}
	c := readyCore(t, log)
	aheadWatch := &controlplane.Watch{Cursor: changelog.Cursor{ViewRevision: 100, Revision: 100}, Selector: controlplane.SelectAll}
	if got := c.Read(aheadWatch); got.Refused == "" || got.Changes != nil {
		t.Errorf("%+v", got)
	}
	req := renewalOf(a1, 1)
	req.Watch = aheadWatch
	c.Renew(1, req)
	batch, _ := c.Batch()
	if got := c.Answered(log.respond(batch)); len(got) != 1 || !got[0].Response.Granted || got[0].Response.Changes != nil {
		t.Errorf("%+v", got)
	}
}

// A malformed answer of a voter is counted and does not change the mirror; the leases are still granted.
func TestMalformedAnswers(t *testing.T) {
	log := newVoterLog()
	c := readyCore(t, log)
	c.Renew(1, renewalOf(a1, 1))
	batch, _ := c.Batch()
	answer := log.respond(batch)
	answer.Changes = &controlplane.Changes{From: batch.Watch.Cursor, To: changelog.Cursor{ViewRevision: 3, Revision: 9}}
	if got := c.Answered(answer); len(got) != 1 || !got[0].Response.Granted || c.Counters().Malformed != 1 || c.Revision() != log.Revision() {
		t.Errorf("%+v, %+v", got, c.Counters())
	}
	log.commit(t, "a", &controlplane.Member{Life: 1})
	batch, _ = c.Batch()
	if c.Answered(log.respond(batch)); c.Revision() != log.Revision() {
		t.Errorf("at revision %d, want %d", c.Revision(), log.Revision())
	}
}

// A member that renews repeatedly replaces its own pending renewal, and the size of a batch is limited.
func TestPendingRenewalsAreBounded(t *testing.T) {
	c := readyCore(t, newVoterLog())
	for i := range 10 {
		got := c.Renew(Ticket(i), renewalOf(a1, uint64(i)))
		if i > 0 && (len(got) != 1 || got[0].Ticket != Ticket(i-1)) {
			t.Errorf("%+v", got)
		}
	}
	for i := range maxBatchRenewals {
		c.Renew(Ticket(100+i), renewalOf(controlplane.Incarnation{Name: fmt.Sprint(i), Number: 1}, 1))
	}
	first, _ := c.Batch()
	c.Failed()
	second, _ := c.Batch()
	if len(first.Batch) != maxBatchRenewals || len(second.Batch) != 1 || c.Counters().Replaced != 9 {
		t.Errorf("%d, %d, %+v", len(first.Batch), len(second.Batch), c.Counters())
	}
}

// A relay learns of a change of the voters from the log. Until there is one, only its configured voters are known.
func TestVotersFromLog(t *testing.T) {
	log := newVoterLog()
	c := readyCore(t, log)
	if got := c.Voters(); got != nil {
		t.Errorf("%v", got)
	}
	want := []controlplane.Voter{{Name: "n3", Address: "a:1"}}
	change := controlplane.Change{Key: "voters", Revision: log.Revision() + 1, Value: controlplane.Item{Voters: &controlplane.Voters{List: want, Version: 2}}}
	if err := log.Put(change); err != nil {
		t.Fatal(err)
	}
	batch, _ := c.Batch()
	if c.Answered(log.respond(batch)); !slices.Equal(c.Voters(), want) {
		t.Errorf("%v", c.Voters())
	}
}
