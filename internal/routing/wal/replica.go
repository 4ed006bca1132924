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

// CompletedID is the id of a completed message. A forwarder that takes over must know it for as long as a client may
// submit the message again.
type CompletedID struct {
	ID        string
	Delivered bool
	At        time.Time
}

// ReplicaState is the content of another forwarder's journal, as far as its records have arrived. It interprets records
// and stores none on disk; it is not safe for concurrent use.
type ReplicaState struct{ state }

// NewReplicaState returns the state of an empty journal.
func NewReplicaState() *ReplicaState {
	return &ReplicaState{state{live: map[uint64]*Message{}, nextSeq: 1, bodyLimit: math.MaxInt64, completed: map[string]CompletedID{}}}
}

// Apply applies a record. It returns an error if the record's kind is unknown or the record is unreadable. A record of
// an unknown kind is kept with its message if that is known.
func (c *ReplicaState) Apply(payload []byte) error { return c.state.apply(payload) }

// ParseHeader returns the sequence number of the message that a record belongs to, or 0 if it belongs to none, and
// whether the record completes that message.
func ParseHeader(payload []byte) (seq uint64, completed bool, err error) {
	r := &reader{b: payload}
	recordKind := kind(r.octet())
	if seq = r.uvarint(); r.failed {
		return 0, false, errRecord
	}
	return seq, recordKind == kindCompleted, nil
}

// ParseCompletedID returns the id in a record of CompletedIDRecord, or "" for any other record.
func ParseCompletedID(payload []byte) string {
	r := &reader{b: payload}
	if recordKind, seq := kind(r.octet()), r.uvarint(); recordKind != kindCompletedID || seq != 0 {
		return ""
	}
	return string(r.text())
}

// Messages returns the messages that are not completed, in order of acceptance.
func (c *ReplicaState) Messages() []*Message { return sortBySeq(c.live) }

// Message returns a message that is not completed, or nil.
func (c *ReplicaState) Message(seq uint64) *Message { return c.live[seq] }

// CompletedIDs returns the ids of completed messages in no particular order.
func (c *ReplicaState) CompletedIDs() []CompletedID {
	ids := make([]CompletedID, 0, len(c.completed))
	for _, p := range c.completed {
		ids = append(ids, p)
	}
	return ids
}

// CompletedID returns what is known of a completed message, by its id.
func (c *ReplicaState) CompletedID(id string) (p CompletedID, completed bool) {
	p, completed = c.completed[id]
	return p, completed
}

// Forget drops the ids of messages that were completed before a time, after which they are not submitted again.
func (c *ReplicaState) Forget(before time.Time) {
	for id, p := range c.completed {
		if p.At.Before(before) {
			delete(c.completed, id)
		}
	}
}

// MessageRecords returns the records that hold all that is known of a message, which may be fewer than were written for
// it. The first is its acceptance.
func MessageRecords(m *Message) [][]byte {
	records := [][]byte{appendAccepted(nil, m)}
	if attempts := m.Attempts; attempts > 0 || m.MayHaveRun {
		if m.inFlight {
			attempts--
		}
		progress := *m
		progress.Attempts = attempts
		records = append(records, appendProgress(nil, &progress))
	}
	if m.inFlight {
		records = append(records, appendStarted(nil, m.Seq, m.inFlightSince, m.inFlightZone, m.inFlightStamp))
	}
	if m.Owner != "" {
		records = append(records, appendOrigin(nil, m.Seq, m.Owner, m.Incarnation))
	}
	if m.Unreplicated {
		records = append(records, appendUnreplicated(nil, m.Seq))
	}
	records = append(records, m.unknownRecords...)
	if m.Status != Pending {
		records = append(records, appendEnded(nil, m.Seq, m.Status, m.RetryAfter))
	}
	return records
}

// CompletedIDRecord returns the record of a completed message's id.
func CompletedIDRecord(p CompletedID) []byte { return appendCompletedID(nil, p) }

// InFlight reports whether a call of the message was in flight, and since when. Such a call may have run.
func (m *Message) InFlight() (at time.Time, inFlight bool) { return m.inFlightSince, m.inFlight }

// SettleInFlight records a call in flight as one that may have run, for when its outcome can no longer be learned.
func (m *Message) SettleInFlight() { m.recordOutcome(true) }

// AssumeRan records that an attempt without a record may have run at a time or later. It changes nothing if a recorded
// attempt may have run already, or if the message has ended.
func (m *Message) AssumeRan(at time.Time) {
	if m.MayHaveRun || m.Status != Pending {
		return
	}
	m.MayHaveRun, m.RanAt, m.RanZone, m.ranStamp = true, at, "", bootclock.Stamp{}
}

// WithBody returns a copy of a message of this log with its body, which is read from disk if necessary.
func (l *Log) WithBody(m *Message) (*Message, error) {
	full := *m
	if m.OnDisk {
		body, err := l.Body(m.Seq)
		if err != nil {
			return nil, err
		}
		full.Body, full.OnDisk = body, false
	}
	return &full, nil
}

// TapCompletedID passes the id of a message that was completed elsewhere to the tap, for the replicas of this log. It
// writes nothing to the journal.
func (l *Log) TapCompletedID(p CompletedID) { l.tapRecord(appendCompletedID(nil, p)) }

// Snapshot returns the records that hold the whole content of this log, in order of its messages. Bodies on disk are
// read for it. Messages whose body cannot be read are left out and reported in err.
func (l *Log) Snapshot() (records [][]byte, err error) {
	for _, m := range l.Live() {
		full, bodyErr := l.WithBody(m)
		if bodyErr != nil {
			err = errors.Join(err, fmt.Errorf("wal: message %d: %w", m.Seq, bodyErr))
			continue
		}
		records = append(records, MessageRecords(full)...)
	}
	return records, err
}

// Merge combines what two replicas of one incarnation's log know of a message, assuming the most that can have
// happened. If an attempt may have run according to either, it may have run; the deduplication window of a keyed
// message counts from the earlier call; a message that has ended in either has ended; failed takes precedence over
// refused. Merge is commutative, associative and idempotent.
func Merge(a, b *Message) *Message {
	merged := *a
	if merged.Body == nil {
		merged.Body, merged.OnDisk = b.Body, b.OnDisk
	}
	merged.Attempts = max(a.Attempts, b.Attempts)
	ran := earlier(possibleAttempt{a.MayHaveRun, a.RanAt, a.RanZone, a.ranStamp}, possibleAttempt{b.MayHaveRun, b.RanAt, b.RanZone, b.ranStamp})
	merged.MayHaveRun, merged.RanAt, merged.RanZone, merged.ranStamp = ran.exists, ran.at, ran.zone, ran.stamp
	inFlight := earlier(possibleAttempt{a.inFlight, a.inFlightSince, a.inFlightZone, a.inFlightStamp}, possibleAttempt{b.inFlight, b.inFlightSince, b.inFlightZone, b.inFlightStamp})
	merged.inFlight, merged.inFlightSince, merged.inFlightZone, merged.inFlightStamp = inFlight.exists, inFlight.at, inFlight.zone, inFlight.stamp
	merged.Unreplicated = a.Unreplicated && b.Unreplicated // without the mark, the replica got it from the owner's log
	if statusRank(b.Status) > statusRank(a.Status) {
		merged.Status = b.Status
	}
	merged.RetryAfter = max(a.RetryAfter, b.RetryAfter)
	merged.unknownRecords = nil
	for _, list := range [][][]byte{a.unknownRecords, b.unknownRecords} {
		for _, p := range list {
			if !slices.ContainsFunc(merged.unknownRecords, func(x []byte) bool { return bytes.Equal(x, p) }) {
				merged.unknownRecords = append(merged.unknownRecords, p)
			}
		}
	}
	slices.SortFunc(merged.unknownRecords, bytes.Compare)
	return &merged
}

// statusRank orders statuses by precedence in Merge.
func statusRank(status Status) int {
	return map[Status]int{Pending: 0, Refused: 1, Failed: 2, Closed: 3, Completed: 4}[status]
}

// possibleAttempt is a call that may have been made.
type possibleAttempt struct {
	exists bool
	at     time.Time
	zone   string
	stamp  bootclock.Stamp
}

// earlier returns the earlier of two possible calls.
func earlier(a, b possibleAttempt) possibleAttempt {
	switch {
	case !b.exists:
		return a
	case !a.exists:
		return b
	case b.at.Before(a.at), b.at.Equal(a.at) && b.zone < a.zone:
		return b
	}
	return a
}

// Digest returns a hash of all that is known of a message, with the size of its body in place of its content. Equal
// knowledge gives equal digests.
func Digest(m *Message) uint64 {
	bodiless := *m
	size := max(m.bodySize, len(m.Body))
	bodiless.Body = nil
	hash := xxh3.New()
	for _, p := range MessageRecords(&bodiless) {
		_, _ = hash.Write(binary.AppendUvarint(p, uint64(size)))
	}
	return hash.Sum64()
}

// ShiftTimes moves a message's times by an offset, to convert them from one machine's wall clock to another's.
func (m *Message) ShiftTimes(by time.Duration) {
	m.Deadline = m.Deadline.Add(by)
	if m.MayHaveRun {
		m.RanAt = m.RanAt.Add(by)
	}
	if m.inFlight {
		m.inFlightSince = m.inFlightSince.Add(by)
	}
}

// CompletedRecord returns the record of a completed message as the log passes it to the tap. It and StartedRecord are
// for simulating a journal without a disk.
func CompletedRecord(seq uint64, keepID, delivered bool, at time.Time) []byte {
	return appendCompleted(nil, seq, keepID, delivered, at)
}

// StartedRecord returns the record of a call that is being sent.
func StartedRecord(seq uint64, at time.Time, zone string) []byte {
	return appendStarted(nil, seq, at, zone, bootclock.Stamp{})
}

// ParseAcceptedID returns the id of the message in an acceptance record, or "" for any other record.
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
