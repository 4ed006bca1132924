package wal

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"mulleinbeam/internal/bootclock"
)

// A record's payload is its kind, the message's sequence number and the fields of that kind. The store frames it.

type kind byte

const (
	kindAccepted kind = iota + 1
	kindProgress      // what is known of a message's ended attempts
	kindStarted
	kindOutcome
	kindEnded
	kindAcceptedLong // of a message whose body is not journalled
	kindCompleted    // in replicas only: the message is completed, and whether it was delivered
	kindOrigin       // the forwarder and incarnation that the message was taken over from
	kindUnreplicated // the message was accepted while it could not be replicated
	kindCompletedID  // in replicas only: the id of a completed message
	kindTakenOver    // all records of a message that was taken over, in one so that they are stored atomically
)

var (
	errRecord = errors.New("wal: unreadable record")
)

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func appendHeader(b []byte, k kind, seq uint64) []byte {
	return binary.AppendUvarint(append(b, byte(k)), seq)
}

func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendTime(b []byte, t time.Time) []byte { return binary.AppendVarint(b, t.UnixNano()) }

// appendStamp appends the last field of a record; versions that do not know the field ignore it.
func appendStamp(b []byte, s bootclock.Stamp) []byte {
	if s.Boot == 0 {
		return b
	}
	return binary.AppendVarint(binary.AppendUvarint(b, s.Boot), int64(s.At))
}

func appendAccepted(b []byte, m *Message) []byte {
	recordKind := kindAccepted
	if m.Long {
		recordKind = kindAcceptedLong
	}
	b = appendTime(appendHeader(b, recordKind, m.Seq), m.Deadline)
	b = binary.AppendVarint(b, m.Destination)
	b = appendText(appendText(appendText(b, m.ID), m.Key), m.Class)
	return appendStamp(appendText(b, m.Body), m.deadlineStamp)
}

func appendProgress(b []byte, m *Message) []byte {
	b = binary.AppendUvarint(appendHeader(b, kindProgress, m.Seq), uint64(m.Attempts))
	return appendStamp(appendText(appendTime(append(b, boolByte(m.MayHaveRun)), m.RanAt), m.RanZone), m.ranStamp)
}

func appendStarted(b []byte, seq uint64, at time.Time, zone string, stamp bootclock.Stamp) []byte {
	return appendStamp(appendText(appendTime(appendHeader(b, kindStarted, seq), at), zone), stamp)
}

func appendOutcome(b []byte, seq uint64, mayHaveRun bool) []byte {
	return append(appendHeader(b, kindOutcome, seq), boolByte(mayHaveRun))
}

func appendEnded(b []byte, seq uint64, status Status, retryAfter time.Duration) []byte {
	return binary.AppendVarint(append(appendHeader(b, kindEnded, seq), byte(status)), int64(retryAfter))
}

func appendCompleted(b []byte, seq uint64, keepID, delivered bool, at time.Time) []byte {
	return appendTime(append(appendHeader(b, kindCompleted, seq), boolByte(keepID), boolByte(delivered)), at)
}

func appendOrigin(b []byte, seq uint64, owner string, incarnation uint64) []byte {
	return binary.AppendUvarint(appendText(appendHeader(b, kindOrigin, seq), owner), incarnation)
}

func appendUnreplicated(b []byte, seq uint64) []byte { return appendHeader(b, kindUnreplicated, seq) }

func appendTakenOver(b []byte, seq uint64, records [][]byte) []byte {
	b = appendHeader(b, kindTakenOver, seq)
	for _, record := range records {
		b = appendText(b, record)
	}
	return b
}

func appendCompletedID(b []byte, p CompletedID) []byte {
	return appendTime(append(appendText(appendHeader(b, kindCompletedID, 0), p.ID), boolByte(p.Delivered)), p.At)
}

// reader decodes the fields of a payload; after the first error it returns zero values.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) next(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.failed, r.b = true, nil
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) octet() byte {
	if v := r.next(1); v != nil {
		return v[0]
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.failed, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) varint() int64 {
	u := r.uvarint()
	return int64(u>>1) ^ -int64(u&1)
}

func (r *reader) time() time.Time { return time.Unix(0, r.varint()) }

// stamp reads the field written by appendStamp, if it is present.
func (r *reader) stamp() bootclock.Stamp {
	if r.failed || len(r.b) == 0 {
		return bootclock.Stamp{}
	}
	return bootclock.Stamp{Boot: r.uvarint(), At: time.Duration(r.varint())}
}

func (r *reader) text() []byte { return r.next(r.uvarint()) }

// apply applies one payload to the state.
func (s *state) apply(payload []byte) error {
	r := &reader{b: payload}
	recordKind, seq := kind(r.octet()), r.uvarint()
	s.nextSeq = max(s.nextSeq, seq+1)
	m := s.live[seq]
	switch recordKind {
	case kindAccepted, kindAcceptedLong:
		m = &Message{Seq: seq, Deadline: r.time(), Destination: r.varint(), Long: recordKind == kindAcceptedLong}
		m.ID, m.Key, m.Class = string(r.text()), string(r.text()), string(r.text())
		body := r.text()
		m.deadlineStamp = r.stamp()
		if m.bodySize = len(body); s.bodyBytes+int64(len(body)) <= s.bodyLimit {
			m.Body = append([]byte(nil), body...)
		} else {
			m.OnDisk = true
		}
		if !r.failed && seq < math.MaxUint64 {
			s.bodyBytes += int64(len(m.Body))
			s.live[seq] = m
		}
	case kindProgress:
		attempts, mayHaveRun, at, zone, stamp := r.uvarint(), r.octet() == 1, r.time(), string(r.text()), r.stamp()
		if m != nil && !r.failed {
			m.Attempts, m.MayHaveRun, m.RanAt, m.RanZone, m.ranStamp = int(min(attempts, 1<<20)), mayHaveRun, at, zone, stamp
		}
	case kindStarted:
		at, zone, stamp := r.time(), string(r.text()), r.stamp()
		if m != nil && !r.failed {
			m.recordStart(at, zone, stamp)
		}
	case kindOutcome:
		mayHaveRun := r.octet() == 1
		if m != nil && !r.failed {
			m.recordOutcome(mayHaveRun)
		}
	case kindEnded:
		status, retryAfter := Status(r.octet()), time.Duration(r.varint())
		if m != nil && !r.failed {
			s.setStatus(m, status, retryAfter)
		}
	case kindCompleted:
		keepID, delivered, at := r.octet() == 1, r.octet() == 1, r.time()
		if m != nil && !r.failed {
			if s.setStatus(m, Completed, 0); keepID && s.completed != nil {
				s.completed[m.ID] = CompletedID{m.ID, delivered, at}
			}
		}
	case kindCompletedID:
		p := CompletedID{string(r.text()), r.octet() == 1, r.time()}
		if s.completed != nil && !r.failed {
			s.completed[p.ID] = p
		}
	case kindOrigin:
		owner, incarnation := string(r.text()), r.uvarint()
		if m != nil && !r.failed {
			m.Owner, m.Incarnation = owner, incarnation
		}
	case kindUnreplicated:
		if m != nil {
			m.Unreplicated = true
		}
	case kindTakenOver:
		return s.applyTakenOver(r)
	default:
		if m != nil { // of a later version: kept with its message, and replicated with it
			m.unknownRecords = append(m.unknownRecords, append([]byte(nil), payload...))
		}
		return errRecord
	}
	if r.failed {
		return errRecord
	}
	return nil
}

// applyTakenOver applies the records of a message that was taken over, each like a separate record.
func (s *state) applyTakenOver(r *reader) error {
	var unknown error
	for len(r.b) > 0 {
		record := r.text()
		if r.failed || len(record) == 0 || kind(record[0]) == kindTakenOver {
			return errRecord
		}
		if err := s.apply(record); err != nil { // a record of an unknown kind stays with its message; the others still apply
			unknown = err
		}
	}
	return unknown
}
