package relay

import (
	"fmt"
	"slices"
	"testing"

	"mulleinbeam/internal/cluster/changelog"
	"mulleinbeam/internal/cluster/controlplane"
)

// decisions is a change log as voters have it.
type decisions struct {
	*changelog.Log[controlplane.Item]
}

func newDecisions() decisions {
	return decisions{changelog.NewLog(1, 0, 8, func(controlplane.Change) int { return 100 })}
}

// decide changes a member, or removes it.
func (d decisions) decide(t interface{ Fatal(...any) }, name string, m *controlplane.Member) {
	change := controlplane.Change{Key: controlplane.MemberKey(name), Revision: d.Revision() + 1, Deleted: m == nil, Value: controlplane.Item{Member: m}}
	if err := d.Put(change); err != nil {
		t.Fatal(err)
	}
}

// answer is a voter's to a batch, which grants all but some.
func (d decisions) answer(req controlplane.Request, ended ...controlplane.Incarnation) controlplane.Response {
	return controlplane.Response{
		Leader: "n0", Granted: len(req.Batch) > 0, Sequence: req.Sequence, Version: d.Revision(), Fenced: ended, Changes: controlplane.ChangesFor(d.Log, *req.Watch),
	}
}

// readyCore has all that is decided.
func readyCore(t *testing.T, d decisions) *Core {
	t.Helper()
	c := NewCore()
	for more := true; more; more = c.More() {
		req, some := c.Batch()
		if !some || len(req.Batch) > 0 {
			t.Fatalf("%v, %+v", some, req)
		}
		c.Answered(d.answer(req))
	}
	if !c.Ready() || c.Revision() != d.Revision() {
		t.Fatalf("ready %v at %d of %d", c.Ready(), c.Revision(), d.Revision())
	}
	return c
}

func renewalOf(life controlplane.Incarnation, sequence uint64) controlplane.Request {
	return controlplane.Request{Renew: &life, Sequence: sequence, Watch: controlplane.NewView().Watch()}
}

var a1, b1 = controlplane.Incarnation{Name: "a", Number: 1}, controlplane.Incarnation{Name: "b", Number: 1}

// Renewals that came while a batch was out go in the next, each is answered by its own number, and with what has been decided.
func TestRenewalsShareABatch(t *testing.T) {
	d := newDecisions()
	c := readyCore(t, d)
	c.Renew(1, renewalOf(a1, 5))
	first, _ := c.Batch()
	c.Renew(2, renewalOf(b1, 9))
	if _, some := c.Batch(); some {
		t.Error("two batches at once")
	}
	d.decide(t, "a", &controlplane.Member{Life: 1, Alive: true})
	replies := c.Answered(d.answer(first))
	if len(replies) != 1 || replies[0].Ticket != 1 || !replies[0].Response.Granted || replies[0].Response.Sequence != 5 || replies[0].Response.Leader != "n0" {
		t.Errorf("%+v", replies)
	}
	if changes := replies[0].Response.Changes; changes == nil || changes.To.Revision != d.Revision() || len(changes.Records) != 1 {
		t.Errorf("%+v", changes)
	}
	second, _ := c.Batch()
	replies = c.Answered(d.answer(second, b1))
	if len(replies) != 1 || replies[0].Response.Granted || replies[0].Response.Refused != controlplane.ErrFenced.Error() || replies[0].Response.Sequence != 9 {
		t.Errorf("%+v", replies)
	}
}

// An answer that is doubled, late, or to another batch changes nothing; nor does one that nobody waits for.
func TestAnswersToOtherBatches(t *testing.T) {
	d := newDecisions()
	c := readyCore(t, d)
	if c.Answered(controlplane.Response{Granted: true}) != nil {
		t.Error("an answer to nothing")
	}
	c.Renew(1, renewalOf(a1, 1))
	first, _ := c.Batch()
	if got := c.Failed(); len(got) != 1 || got[0].Response.Refused != controlplane.ErrNoLeader.Error() {
		t.Errorf("%+v", got)
	}
	c.Renew(2, renewalOf(a1, 2))
	second, _ := c.Batch()
	if got := c.Answered(d.answer(first)); got != nil {
		t.Errorf("the answer to the first batch told %+v", got)
	}
	if got := c.Answered(d.answer(second)); len(got) != 1 || got[0].Ticket != 2 {
		t.Errorf("%+v", got)
	}
	if got := c.Answered(d.answer(second)); got != nil {
		t.Errorf("the same answer again told %+v", got)
	}
	if c.Failed() != nil || c.Counters().Failed != 1 {
		t.Errorf("%+v", c.Counters())
	}
}

// Whoever has nothing, or less than a member has, sends it elsewhere.
func TestARelayThatIsBehind(t *testing.T) {
	d := newDecisions()
	empty := NewCore()
	if got := empty.Renew(1, renewalOf(a1, 1)); len(got) != 1 || got[0].Response.Granted || got[0].Response.Refused != controlplane.ErrNoLeader.Error() {
		t.Errorf("%+v", got)
	}
	if got := empty.Read(nil); got.Refused == "" {
		t.Errorf("%+v", got)
	}
	c := readyCore(t, d)
	ahead := &controlplane.Watch{Cursor: changelog.Cursor{ViewRevision: 100, Revision: 100}, Selector: controlplane.SelectAll}
	if got := c.Read(ahead); got.Refused == "" || got.Changes != nil {
		t.Errorf("%+v", got)
	}
	req := renewalOf(a1, 1)
	req.Watch = ahead
	c.Renew(1, req)
	batch, _ := c.Batch()
	if got := c.Answered(d.answer(batch)); len(got) != 1 || !got[0].Response.Granted || got[0].Response.Changes != nil {
		t.Errorf("%+v", got)
	}
}

// What a voter answers that contradicts itself is counted and changes nothing; leases were granted all the same.
func TestMalformedAnswers(t *testing.T) {
	d := newDecisions()
	c := readyCore(t, d)
	c.Renew(1, renewalOf(a1, 1))
	batch, _ := c.Batch()
	answer := d.answer(batch)
	answer.Changes = &controlplane.Changes{From: batch.Watch.Cursor, To: changelog.Cursor{ViewRevision: 3, Revision: 9}}
	if got := c.Answered(answer); len(got) != 1 || !got[0].Response.Granted || c.Counters().Malformed != 1 || c.Revision() != d.Revision() {
		t.Errorf("%+v, %+v", got, c.Counters())
	}
	d.decide(t, "a", &controlplane.Member{Life: 1})
	batch, _ = c.Batch()
	if c.Answered(d.answer(batch)); c.Revision() != d.Revision() {
		t.Errorf("at %d of %d", c.Revision(), d.Revision())
	}
}

// A member that asks again and again fills no more than its own place, and a batch is bounded.
func TestWhatWaitsIsBounded(t *testing.T) {
	c := readyCore(t, newDecisions())
	for i := range 10 {
		got := c.Renew(Ticket(i), renewalOf(a1, uint64(i)))
		if i > 0 && (len(got) != 1 || got[0].Ticket != Ticket(i-1)) {
			t.Errorf("%+v", got)
		}
	}
	for i := range mostBatch {
		c.Renew(Ticket(100+i), renewalOf(controlplane.Incarnation{Name: fmt.Sprint(i), Number: 1}, 1))
	}
	first, _ := c.Batch()
	c.Failed()
	second, _ := c.Batch()
	if len(first.Batch) != mostBatch || len(second.Batch) != 1 || c.Counters().Replaced != 9 {
		t.Errorf("%d, %d, %+v", len(first.Batch), len(second.Batch), c.Counters())
	}
}

// A relay learns who the voters are by now, as of the beginning there are none but its own settings'.
func TestARelayKnowsTheVoters(t *testing.T) {
	d := newDecisions()
	c := readyCore(t, d)
	if got := c.Voters(); got != nil {
		t.Errorf("%v", got)
	}
	want := []controlplane.Voter{{Name: "n3", Address: "a:1"}}
	change := controlplane.Change{Key: "voters", Revision: d.Revision() + 1, Value: controlplane.Item{Voters: &controlplane.Voters{List: want, Version: 2}}}
	if err := d.Put(change); err != nil {
		t.Fatal(err)
	}
	batch, _ := c.Batch()
	if c.Answered(d.answer(batch)); !slices.Equal(c.Voters(), want) {
		t.Errorf("%v", c.Voters())
	}
}
