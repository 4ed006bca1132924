// Package relay forwards requests of members to the voters of the control plane, and committed changes to the
// members. A relay has no durable state: it mirrors the change log, sends the lease renewals of all its members as
// one batch, and answers watches from the mirror. It can be stopped and replaced at any time.
//
// A relay can't extend a lease. A member counts its lease from the time at which it sent the renewal, and matches the
// answer by the renewal's sequence number; the leader counts it from the arrival of the batch, which is later. A
// relay that stops, or that delays, duplicates or reorders messages, can therefore only shorten a lease. Nor can it
// make a member go back to an earlier revision: a mirror that is behind a watcher sends it no changes.
//
// Core is the state machine: events in, requests and replies out, without a clock, socket or goroutine. Server drives
// it.
package relay

import (
	"mulleinbeam/internal/cluster/changelog"
	"mulleinbeam/internal/cluster/controlplane"
)

// Ticket identifies a member's renewal until it is answered.
type Ticket uint64

// Reply is the response to the renewal with a ticket.
type Reply struct {
	Ticket   Ticket
	Response controlplane.Response
}

// maxBatchRenewals limits the renewals in one request to the voters.
const maxBatchRenewals = 4096

// Counters are the statistics of a relay.
type Counters struct {
	Renewals  uint64 // received from members
	Batches   uint64 // answered by the voters
	Failed    uint64 // batches without an answer, or for which there was no leader
	Replaced  uint64 // renewals superseded before they were sent by a later one of the same incarnation
	Malformed uint64 // malformed changes in answers of voters
}

// renewal is a member's renewal request that is still to be answered.
type renewal struct {
	ticket      Ticket
	incarnation controlplane.Incarnation
	sequence    uint64
	watch       *controlplane.Watch
}

// Core is the state machine of a relay. Its methods are not safe for concurrent use.
type Core struct {
	mirror        *changelog.Mirror[controlplane.Item]
	pending       []renewal                        // for the next batch, in order of arrival
	pendingIndex  map[controlplane.Incarnation]int // index in pending, by incarnation
	inFlight      []renewal                        // renewals of the batch in flight
	batchSequence uint64                           // sequence number of the latest batch
	batchInFlight bool
	moreChanges   bool   // the voters have more changes to read
	leader        string // as of the latest answer
	counters      Counters
}

// NewCore returns a core with an empty mirror.
func NewCore() *Core {
	return &Core{mirror: controlplane.NewMirror(), pendingIndex: map[controlplane.Incarnation]int{}}
}

// Counters returns the statistics so far.
func (c *Core) Counters() Counters { return c.counters }

// Ready reports whether the mirror is complete. Until then the relay serves no member.
func (c *Core) Ready() bool { return c.mirror.Ready() }

// Revision returns the revision of the mirror; 0 if it is not ready.
func (c *Core) Revision() uint64 {
	if !c.Ready() {
		return 0
	}
	return c.mirror.Log().Revision()
}

// Voters returns the committed voters; none if they have not changed since the consensus group was created.
func (c *Core) Voters() []controlplane.Voter { return controlplane.VotersIn(c.mirror) }

// noLeaderResponse makes a member try another relay or voter.
func noLeaderResponse() controlplane.Response {
	return controlplane.Response{Refused: controlplane.ErrNoLeader.Error()}
}

// Renew adds a renewal of a member. Its reply comes with the answer to a batch, or at once if a later renewal of the
// same incarnation supersedes it or the mirror is not ready.
func (c *Core) Renew(ticket Ticket, req controlplane.Request) (replies []Reply) {
	if !c.Ready() {
		return []Reply{{ticket, noLeaderResponse()}}
	}
	c.counters.Renewals++
	r := renewal{ticket, *req.Renew, req.Sequence, req.Watch}
	i, found := c.pendingIndex[r.incarnation]
	if !found {
		c.pendingIndex[r.incarnation] = len(c.pending)
		c.pending = append(c.pending, r)
		return nil
	}
	replaced := c.pending[i]
	c.pending[i] = r
	c.counters.Replaced++
	return []Reply{{replaced.ticket, noLeaderResponse()}}
}

// Read answers a member that only reads committed changes.
func (c *Core) Read(watch *controlplane.Watch) controlplane.Response {
	if !c.Ready() || watch != nil && watch.Cursor.RequiredRevision() > c.Revision() {
		return noLeaderResponse()
	}
	return c.addWatchChanges(controlplane.Response{Version: c.Revision()}, watch)
}

// addWatchChanges adds the leader and the changes for a watch to a response.
func (c *Core) addWatchChanges(r controlplane.Response, watch *controlplane.Watch) controlplane.Response {
	r.Leader = c.leader
	if watch != nil {
		r.Changes = controlplane.ChangesFor(c.mirror.Log(), *watch)
	}
	return r
}

// More reports whether the voters have more changes, which are to be read at once.
func (c *Core) More() bool { return c.moreChanges }

// Batch returns the next request to the voters, with the pending renewals and the cursor of the mirror. ok is false
// while a batch is in flight; each batch must be followed by Answered or Failed.
func (c *Core) Batch() (req controlplane.Request, ok bool) {
	if c.batchInFlight {
		return req, false
	}
	c.batchSequence++
	c.batchInFlight = true
	n := min(len(c.pending), maxBatchRenewals)
	c.inFlight = c.pending[:n:n]
	c.pending = c.pending[n:]
	clear(c.pendingIndex)
	for i, r := range c.pending {
		c.pendingIndex[r.incarnation] = i
	}
	for _, r := range c.inFlight {
		req.Batch = append(req.Batch, r.incarnation)
	}
	req.Sequence = c.batchSequence
	req.Watch = &controlplane.Watch{Cursor: c.mirror.Cursor(), Selector: c.mirror.Selector()}
	return req, true
}

// Answered handles the voters' answer to a batch. It ignores an answer to any other batch than the one in flight.
func (c *Core) Answered(answer controlplane.Response) []Reply {
	if !c.batchInFlight || answer.Sequence != c.batchSequence {
		return nil
	}
	if answer.Refused != "" || len(c.inFlight) > 0 && !answer.Granted {
		return c.Failed()
	}
	c.batchInFlight = false
	c.counters.Batches++
	if answer.Leader != "" {
		c.leader = answer.Leader
	}
	c.applyChanges(answer.Changes)
	fenced := make(map[controlplane.Incarnation]bool, len(answer.Fenced))
	for _, incarnation := range answer.Fenced {
		fenced[incarnation] = true
	}
	replies := make([]Reply, 0, len(c.inFlight))
	for _, sent := range c.inFlight {
		response := controlplane.Response{Granted: !fenced[sent.incarnation], Sequence: sent.sequence, Version: answer.Version}
		if !response.Granted {
			response.Refused = controlplane.ErrFenced.Error()
		}
		replies = append(replies, Reply{sent.ticket, c.addWatchChanges(response, sent.watch)})
	}
	c.inFlight = nil
	return replies
}

// applyChanges adds committed changes to the mirror.
func (c *Core) applyChanges(changes *controlplane.Changes) {
	c.moreChanges = false
	if changes == nil {
		return
	}
	if _, err := c.mirror.Apply(*changes); err != nil {
		c.counters.Malformed++
		return
	}
	c.moreChanges = changes.More
}

// Failed records that the batch in flight got no answer. Whether its leases were granted is unknown, so its members
// are told to try elsewhere.
func (c *Core) Failed() (replies []Reply) {
	if !c.batchInFlight {
		return nil
	}
	c.batchInFlight, c.moreChanges = false, false
	c.counters.Failed++
	for _, sent := range c.inFlight {
		replies = append(replies, Reply{sent.ticket, noLeaderResponse()})
	}
	c.inFlight = nil
	return replies
}
