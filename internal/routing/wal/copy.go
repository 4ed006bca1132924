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

// Past is the id of a message that is over. Whoever takes over from its forwarder must know it for as long as anybody may hand
// it in again.
type Past struct {
	ID        string
	Delivered bool
	At        time.Time
}

// Copy is what another forwarder's journal says, as far as its records have come. It interprets records and keeps none on a
// disk; it is not safe for concurrent use.
type Copy struct{ state }

// NewCopy is that of an empty journal.
func NewCopy() *Copy {
	return &Copy{state{live: map[uint64]*Message{}, next: 1, memory: math.MaxInt64, past: map[string]Past{}}}
}

// Apply books a record. An error says that its kind is not known here, or that it can't be read; where the message that it is of
// is known, it is kept with that.
func (c *Copy) Apply(payload []byte) error { return c.state.apply(payload) }

// Of says which message a record is of, and whether that is over by it. The number is 0 for one of none.
func Of(payload []byte) (seq uint64, over bool, err error) {
	r := &reader{b: payload}
	k := kind(r.octet())
	if seq = r.uvarint(); r.bad {
		return 0, false, errRecord
	}
	return seq, k == kindOver, nil
}

// PastOf is the id that a record of CondensePast is of, or "".
func PastOf(payload []byte) string {
	r := &reader{b: payload}
	if k, seq := kind(r.octet()), r.uvarint(); k != kindPast || seq != 0 {
		return ""
	}
	return string(r.text())
}

// Messages are those that are not over, in the order in which they were accepted.
func (c *Copy) Messages() []*Message { return live(c.live) }

// Message is one of them, or nil.
func (c *Copy) Message(seq uint64) *Message { return c.live[seq] }

// Past are the ids of messages that are over, in no order.
func (c *Copy) Past() []Past {
	out := make([]Past, 0, len(c.past))
	for _, p := range c.past {
		out = append(out, p)
	}
	return out
}

// Ended gives what is known of a message that is over, by its id.
func (c *Copy) Ended(id string) (p Past, over bool) { p, over = c.past[id]; return p, over }

// Forget drops ids that have been over for so long that nobody can mean them.
func (c *Copy) Forget(before time.Time) {
	for id, p := range c.past {
		if p.At.Before(before) {
			delete(c.past, id)
		}
	}
}

// Condense gives the records that say all that is known of a message, fewer than it came by. The first is its acceptance.
func Condense(m *Message) [][]byte {
	out := [][]byte{appendAccepted(nil, m)}
	if attempts := m.Attempts; attempts > 0 || m.MayRun {
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
		out = append(out, appendOrigin(nil, m.Seq, m.Owner, m.Life))
	}
	if m.Alone {
		out = append(out, appendAlone(nil, m.Seq))
	}
	out = append(out, m.extra...)
	if m.Ending != Unended {
		out = append(out, appendEnded(nil, m.Seq, m.Ending, m.RetryAfter))
	}
	return out
}

// CondensePast is the record of an id that is over.
func CondensePast(p Past) []byte { return appendPast(nil, p) }

// Out says whether a call of the message was out, and since when; it may have run.
func (m *Message) Out() (at time.Time, out bool) { return m.outAt, m.out }

// Settle books a call that was out, when nobody can tell any more how it ended, as one that may have run.
func (m *Message) Settle() { m.outcome(true) }

// AssumeRun books that an attempt of which there is no record may have run, at a moment or later. It changes nothing where a recorded one may
// have run already, or where the message has ended.
func (m *Message) AssumeRun(at time.Time) {
	if m.MayRun || m.Ending != Unended {
		return
	}
	m.MayRun, m.RanAt, m.RanZone, m.ranStamp = true, at, "", bootclock.Stamp{}
}

// Full gives a message of this log with its body, which may have to be read from the disk.
func (l *Log) Full(m *Message) (*Message, error) {
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

// Pass tells those who keep copies of this log of an id that is over elsewhere; nothing of it is journalled here.
func (l *Log) Pass(p Past) { l.tell(appendPast(nil, p)) }

// Snapshot gives the records that say all that this log holds, in the order of its messages. Bodies on the disk are read for
// it. One that can't be read is left out and told of.
func (l *Log) Snapshot() (records [][]byte, err error) {
	for _, m := range l.Live() {
		full, bad := l.Full(m)
		if bad != nil {
			err = errors.Join(err, fmt.Errorf("wal: message %d: %w", m.Seq, bad))
			continue
		}
		records = append(records, Condense(full)...)
	}
	return records, err
}

// Merged is what holds of one message where two copies of one life's log differ: the more that can have happened. Whatever may
// have run, may have run; the window of a keyed message is counted from the earlier call; one that has ended has ended, and
// given up says more than handed back. It commutes, associates, and a message merged with itself is itself.
func Merged(a, b *Message) *Message {
	out := *a
	if out.Body == nil {
		out.Body, out.OnDisk = b.Body, b.OnDisk
	}
	out.Attempts = max(a.Attempts, b.Attempts)
	ran := earlier(attempted{a.MayRun, a.RanAt, a.RanZone, a.ranStamp}, attempted{b.MayRun, b.RanAt, b.RanZone, b.ranStamp})
	out.MayRun, out.RanAt, out.RanZone, out.ranStamp = ran.was, ran.at, ran.zone, ran.stamp
	was := earlier(attempted{a.out, a.outAt, a.outZone, a.outStamp}, attempted{b.out, b.outAt, b.outZone, b.outStamp})
	out.out, out.outAt, out.outZone, out.outStamp = was.was, was.at, was.zone, was.stamp
	out.Alone = a.Alone && b.Alone // a copy that knows of no mark has come by the owner's own log
	if rank(b.Ending) > rank(a.Ending) {
		out.Ending = b.Ending
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
func rank(e Ending) int {
	return map[Ending]int{Unended: 0, Refused: 1, Failed: 2, Closed: 3, Over: 4}[e]
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
	for _, p := range Condense(&bare) {
		_, _ = h.Write(binary.AppendUvarint(p, uint64(size)))
	}
	return h.Sum64()
}

// Shift moves a message's times by so much: from one machine's wall clock to another's.
func (m *Message) Shift(by time.Duration) {
	m.Deadline = m.Deadline.Add(by)
	if m.MayRun {
		m.RanAt = m.RanAt.Add(by)
	}
	if m.out {
		m.outAt = m.outAt.Add(by)
	}
}

// OverRecord is a record as the log writes it, as StartedRecord is, for who plays a journal without a disk.
func OverRecord(seq uint64, known, delivered bool, at time.Time) []byte {
	return appendOver(nil, seq, known, delivered, at)
}

// StartedRecord is that of a call that goes out.
func StartedRecord(seq uint64, at time.Time, zone string) []byte {
	return appendStarted(nil, seq, at, zone, bootclock.Stamp{})
}

// IDOf is the id of the message that a record of an acceptance is of, or "".
func IDOf(payload []byte) string {
	c := NewCopy()
	if c.Apply(payload) != nil || len(c.live) != 1 {
		return ""
	}
	for _, m := range c.live {
		return m.ID
	}
	return ""
}
