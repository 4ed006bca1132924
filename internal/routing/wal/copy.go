package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"mulleinbeam/internal/bootclock"
)

// CompletedID is the id of a message that is over. Whoever takes over from its forwarder must know it for as long as anybody may hand
// it in again.
type CompletedID struct {
	ID        string
	Delivered bool
	At        time.Time
}

// ReplicaState is what another forwarder's journal says, as far as its records have come. It interprets records and keeps none on a
// disk; it is not safe for concurrent use.
type ReplicaState struct{ state }

// NewReplicaState is that of an empty journal.
func NewReplicaState() *ReplicaState {
	return &ReplicaState{state{live: map[uint64]*Message{}, next: 1, memory: math.MaxInt64, past: map[string]CompletedID{}}}
}

// Apply books a record. An error says that its kind is not known here, or that it can't be read; where the message that it is of
// is known, it is kept with that.
func (c *ReplicaState) Apply(payload []byte) error { return c.state.apply(payload) }

// ParseHeader says which message a record is of, and whether that is over by it. The number is 0 for one of none.
func ParseHeader(payload []byte) (seq uint64, over bool, err error) {
	r := &reader{b: payload}
	k := kind(r.octet())
	if seq = r.uvarint(); r.bad {
		return 0, false, errRecord
	}
	return seq, k == kindOver, nil
}

// ParseCompletedID is the id that a record of CondensePast is of, or "".
func ParseCompletedID(payload []byte) string {
	r := &reader{b: payload}
	if k, seq := kind(r.octet()), r.uvarint(); k != kindPast || seq != 0 {
		return ""
	}
	return string(r.text())
}

// Messages are those that are not over, in the order in which they were accepted.
func (c *ReplicaState) Messages() []*Message { return live(c.live) }

// Message is one of them, or nil.
func (c *ReplicaState) Message(seq uint64) *Message { return c.live[seq] }

// CompletedIDs are the ids of messages that are over, in no order.
func (c *ReplicaState) CompletedIDs() []CompletedID {
	out := make([]CompletedID, 0, len(c.past))
	for _, p := range c.past {
		out = append(out, p)
	}
	return out
}

// CompletedID gives what is known of a message that is over, by its id.
func (c *ReplicaState) CompletedID(id string) (p CompletedID, over bool) {
	p, over = c.past[id]
	return p, over
}

// Forget drops ids that have been over for so long that nobody can mean them.
func (c *ReplicaState) Forget(before time.Time) {
	for id, p := range c.past {
		if p.At.Before(before) {
			delete(c.past, id)
		}
	}
}

// MessageRecords gives the records that say all that is known of a message, fewer than it came by. The first is its acceptance.
func MessageRecords(m *Message) [][]byte {
	out := [][]byte{appendAccepted(nil, m)}
	if attempts := m.Attempts; attempts > 0 || m.MayHaveRun {
		if m.out {
			attempts--
		}
		p := *m
		p.Attempts = attempts
		out = append(out, appendProgress(nil, &p))
	}
	if m.out {
		out = append(out, appendStarted(nil, m.Seq, m.outAt, m.outZone, m.outStamp))
	}
	if m.Owner != "" {
		out = append(out, appendOrigin(nil, m.Seq, m.Owner, m.Incarnation))
	}
	if m.Unreplicated {
		out = append(out, appendAlone(nil, m.Seq))
	}
	out = append(out, m.extra...)
	if m.Status != Pending {
		out = append(out, appendEnded(nil, m.Seq, m.Status, m.RetryAfter))
	}
	return out
}

// CompletedIDRecord is the record of an id that is over.
func CompletedIDRecord(p CompletedID) []byte { return appendPast(nil, p) }

// InFlight says whether a call of the message was out, and since when; it may have run.
func (m *Message) InFlight() (at time.Time, out bool) { return m.outAt, m.out }

// SettleInFlight books a call that was out, when nobody can tell any more how it ended, as one that may have run.
func (m *Message) SettleInFlight() { m.outcome(true) }

// AssumeRan books that an attempt of which there is no record may have run, at a moment or later. It changes nothing where a recorded one may
// have run already, or where the message has ended.
func (m *Message) AssumeRan(at time.Time) {
	if m.MayHaveRun || m.Status != Pending {
		return
	}
	m.MayHaveRun, m.RanAt, m.RanZone, m.ranStamp = true, at, "", bootclock.Stamp{}
}

// WithBody gives a message of this log with its body, which may have to be read from the disk.
func (l *Log) WithBody(m *Message) (*Message, error) {
	out := *m
	if m.OnDisk {
		body, err := l.Body(m.Seq)
		if err != nil {
			return nil, err
		}
		out.Body, out.OnDisk = body, false
	}
	return &out, nil
}

// TapCompletedID tells those who keep copies of this log of an id that is over elsewhere; nothing of it is journalled here.
func (l *Log) TapCompletedID(p CompletedID) { l.tell(appendPast(nil, p)) }

// Snapshot gives the records that say all that this log holds, in the order of its messages. Bodies on the disk are read for
// it. One that can't be read is left out and told of.
func (l *Log) Snapshot() (records [][]byte, err error) {
	for _, m := range l.Live() {
		full, bad := l.WithBody(m)
		if bad != nil {
			err = errors.Join(err, fmt.Errorf("wal: message %d: %w", m.Seq, bad))
			continue
		}
		records = append(records, MessageRecords(full)...)
	}
	return records, err
}

// Merge is what holds of one message where two copies of one life's log differ: the more that can have happened. Whatever may
// have run, may have run; the window of a keyed message is counted from the earlier call; one that has ended has ended, and
// given up says more than handed back. It commutes, associates, and a message merged with itself is itself.
func Merge(a, b *Message) *Message {
	out := *a
	if out.Body == nil {
		out.Body, out.OnDisk = b.Body, b.OnDisk
	}
	out.Attempts = max(a.Attempts, b.Attempts)
	ran := earlier(attempted{a.MayHaveRun, a.RanAt, a.RanZone, a.ranStamp}, attempted{b.MayHaveRun, b.RanAt, b.RanZone, b.ranStamp})
	out.MayHaveRun, out.RanAt, out.RanZone, out.ranStamp = ran.was, ran.at, ran.zone, ran.stamp
	was := earlier(attempted{a.out, a.outAt, a.outZone, a.outStamp}, attempted{b.out, b.outAt, b.outZone, b.outStamp})
	out.out, out.outAt, out.outZone, out.outStamp = was.was, was.at, was.zone, was.stamp
	out.Unreplicated = a.Unreplicated && b.Unreplicated // a copy that knows of no mark has come by the owner's own log
	if rank(b.Status) > rank(a.Status) {
		out.Status = b.Status
	}
	out.RetryAfter = max(a.RetryAfter, b.RetryAfter)
	out.extra = nil
	for _, list := range [][][]byte{a.extra, b.extra} {
		for _, p := range list {
			if !slices.ContainsFunc(out.extra, func(x []byte) bool { return bytes.Equal(x, p) }) {
				out.extra = append(out.extra, p)
			}
		}
	}
	slices.SortFunc(out.extra, bytes.Compare)
	return &out
}

// rank orders endings by how much they say.
func rank(e Status) int {
	return map[Status]int{Pending: 0, Refused: 1, Failed: 2, Closed: 3, Completed: 4}[e]
}

// attempted is a call that may have been.
type attempted struct {
	was   bool
	at    time.Time
	zone  string
	stamp bootclock.Stamp
}

// earlier is the first of two calls that may each have been.
func earlier(a, b attempted) attempted {
	switch {
	case !b.was:
		return a
	case !a.was:
		return b
	case b.at.Before(a.at), b.at.Equal(a.at) && b.zone < a.zone:
		return b
	}
	return a
}

// Digest is that of all that is known of a message but its body, of which it has the size: equal for equal knowledge.
func Digest(m *Message) uint64 {
	bare := *m
	size := max(m.size, len(m.Body))
	bare.Body = nil
	h := xxh3.New()
	for _, p := range MessageRecords(&bare) {
		_, _ = h.Write(binary.AppendUvarint(p, uint64(size)))
	}
	return h.Sum64()
}

// ShiftTimes moves a message's times by so much: from one machine's wall clock to another's.
func (m *Message) ShiftTimes(by time.Duration) {
	m.Deadline = m.Deadline.Add(by)
	if m.MayHaveRun {
		m.RanAt = m.RanAt.Add(by)
	}
	if m.out {
		m.outAt = m.outAt.Add(by)
	}
}

// CompletedRecord is a record as the log writes it, as StartedRecord is, for who plays a journal without a disk.
func CompletedRecord(seq uint64, known, delivered bool, at time.Time) []byte {
	return appendOver(nil, seq, known, delivered, at)
}

// StartedRecord is that of a call that goes out.
func StartedRecord(seq uint64, at time.Time, zone string) []byte {
	return appendStarted(nil, seq, at, zone, bootclock.Stamp{})
}

// ParseAcceptedID is the id of the message that a record of an acceptance is of, or "".
func ParseAcceptedID(payload []byte) string {
	c := NewReplicaState()
	if c.Apply(payload) != nil || len(c.live) != 1 {
		return ""
	}
	for _, m := range c.live {
		return m.ID
	}
	return ""
}
