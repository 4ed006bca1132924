// Package relay carries members' requests to the voters of the control plane, and what is decided back to the members. A relay has no state
// that lasts: it holds a mirror of the change log, sends the lease renewals of all its members as one batch, and answers watches from the
// mirror. It can be stopped and replaced at any moment.
//
// A relay cannot lengthen a lease. A member counts its lease from its own sending of the renewal that is answered, and knows the answer by
// the renewal's number; the leader counts it from when the batch came, which is later. So a relay that stops, or sends or answers late, twice
// or in another order, can only shorten a lease. Neither can it take a member back: a mirror that is behind a watcher gives it nothing.
//
// Core is the state machine: events in, requests and replies out, without a clock, a socket or a goroutine. Server drives it.
package relay

import (
	"mulleinbeam/internal/cluster/changelog"
	"mulleinbeam/internal/cluster/controlplane"
)

// Ticket names a member's renewal to whoever waits for its reply.
type Ticket uint64

// Reply answers the renewal of a ticket.
type Reply struct {
	Ticket   Ticket
	Response controlplane.Response
}

// mostBatch bounds the lives in one request to the voters.
const mostBatch = 4096

// Counters are what a relay has done so far.
type Counters struct {
	Renewals  uint64 // of members
	Batches   uint64 // that were answered
	Failed    uint64 // that were not, or found no leader
	Replaced  uint64 // renewals that a later one of the same life has replaced before they were sent
	Malformed uint64 // answers of voters that contradicted themselves
}

// renewal is a member's request whose reply is owed.
type renewal struct {
	ticket   Ticket
	life     controlplane.Incarnation
	sequence uint64
	watch    *controlplane.Watch
}

// Core is a relay's state machine. Its methods are not safe for concurrent use.
type Core struct {
	mirror   *changelog.Mirror[controlplane.Item]
	waiting  []renewal                        // for the next batch, in the order of their coming
	place    map[controlplane.Incarnation]int // of a life's renewal among those
	sent     []renewal                        // in the batch under way
	batch    uint64                           // number of the latest one
	underWay bool
	more     bool   // the latest answer was a piece
	leader   string // as the latest answer says
	counters Counters
}

// NewCore knows nothing yet.
func NewCore() *Core {
	return &Core{mirror: controlplane.NewMirror(), place: map[controlplane.Incarnation]int{}}
}

// Counters are what it has done so far.
func (c *Core) Counters() Counters { return c.counters }

// Ready says whether it has the whole of what is decided; until then it serves nobody.
func (c *Core) Ready() bool { return c.mirror.Ready() }

// Revision is that of the mirror; 0 is none yet.
func (c *Core) Revision() uint64 {
	if !c.Ready() {
		return 0
	}
	return c.mirror.Log().Revision()
}

// Voters are those that have been decided on since the group began; none is those that it began with.
func (c *Core) Voters() []controlplane.Voter { return controlplane.VotersIn(c.mirror) }

// refusal sends a member elsewhere.
func refusal() controlplane.Response {
	return controlplane.Response{Refused: controlplane.ErrNoLeader.Error()}
}

// Renew takes a member's renewal. Its reply comes with the answer to a batch, or at once where a later renewal of the same life makes it
// needless, or this relay cannot serve.
func (c *Core) Renew(t Ticket, req controlplane.Request) (replies []Reply) {
	if !c.Ready() {
		return []Reply{{t, refusal()}}
	}
	c.counters.Renewals++
	r := renewal{t, *req.Renew, req.Sequence, req.Watch}
	i, known := c.place[r.life]
	if !known {
		c.place[r.life] = len(c.waiting)
		c.waiting = append(c.waiting, r)
		return nil
	}
	earlier := c.waiting[i]
	c.waiting[i] = r
	c.counters.Replaced++
	return []Reply{{earlier.ticket, refusal()}}
}

// Read answers a member that asks for nothing but what is decided.
func (c *Core) Read(watch *controlplane.Watch) controlplane.Response {
	if !c.Ready() || watch != nil && watch.Cursor.RequiredRevision() > c.Revision() {
		return refusal()
	}
	return c.answer(controlplane.Response{Version: c.Revision()}, watch)
}

// answer adds what every answer has.
func (c *Core) answer(r controlplane.Response, watch *controlplane.Watch) controlplane.Response {
	r.Leader = c.leader
	if watch != nil {
		r.Changes = controlplane.ChangesFor(c.mirror.Log(), *watch)
	}
	return r
}

// More says that the voters have more of what is decided, which is to be asked for at once.
func (c *Core) More() bool { return c.more }

// Batch gives what to ask the voters now: the renewals that wait, and what has been decided since. There is one at a time; Answered or Failed
// has to follow.
func (c *Core) Batch() (req controlplane.Request, some bool) {
	if c.underWay {
		return req, false
	}
	c.batch++
	c.underWay = true
	n := min(len(c.waiting), mostBatch)
	c.sent = c.waiting[:n:n]
	c.waiting = c.waiting[n:]
	clear(c.place)
	for i, r := range c.waiting {
		c.place[r.life] = i
	}
	for _, r := range c.sent {
		req.Batch = append(req.Batch, r.life)
	}
	req.Sequence = c.batch
	req.Watch = &controlplane.Watch{Cursor: c.mirror.Cursor(), Selector: c.mirror.Selector()}
	return req, true
}

// Answered takes the voters' answer to a batch. One to another batch than that under way changes nothing.
func (c *Core) Answered(r controlplane.Response) []Reply {
	if !c.underWay || r.Sequence != c.batch {
		return nil
	}
	if r.Refused != "" || len(c.sent) > 0 && !r.Granted {
		return c.Failed()
	}
	c.underWay = false
	c.counters.Batches++
	if r.Leader != "" {
		c.leader = r.Leader
	}
	c.learn(r.Changes)
	ended := make(map[controlplane.Incarnation]bool, len(r.Fenced))
	for _, life := range r.Fenced {
		ended[life] = true
	}
	replies := make([]Reply, 0, len(c.sent))
	for _, m := range c.sent {
		out := controlplane.Response{Granted: !ended[m.life], Sequence: m.sequence, Version: r.Version}
		if !out.Granted {
			out.Refused = controlplane.ErrFenced.Error()
		}
		replies = append(replies, Reply{m.ticket, c.answer(out, m.watch)})
	}
	c.sent = nil
	return replies
}

// learn takes what has been decided since.
func (c *Core) learn(changes *controlplane.Changes) {
	c.more = false
	if changes == nil {
		return
	}
	if _, err := c.mirror.Apply(*changes); err != nil {
		c.counters.Malformed++
		return
	}
	c.more = changes.More
}

// Failed notes that nobody has answered the batch under way: whether its leases were booked is unknown, so its members are sent elsewhere.
func (c *Core) Failed() (replies []Reply) {
	if !c.underWay {
		return nil
	}
	c.underWay, c.more = false, false
	c.counters.Failed++
	for _, m := range c.sent {
		replies = append(replies, Reply{m.ticket, refusal()})
	}
	c.sent = nil
	return replies
}
