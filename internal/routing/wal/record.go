package wal

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"mulleinbeam/internal/bootclock"
)

// A record's payload is a kind, the message's number and the kind's own fields. The store frames it.

type kind byte

const (
	kindAccepted kind = iota + 1
	kindProgress      // what an older journal's file had of a message's ended attempts
	kindStarted
	kindOutcome
	kindEnded
	kindAcceptedLong // of a message whose body is not journalled
	kindOver         // in copies only: nothing more is owed, and whether it was delivered
	kindOrigin       // taken over from another life
	kindAlone        // taken on while no copy of it could be made
	kindPast         // in copies only: the id of a message that is over
	kindAdopted      // taken over from another life: all records of it in one, so that none is there without the others
)

var (
	errRecord = errors.New("wal: unreadable record")
)

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func start(b []byte, k kind, seq uint64) []byte { return binary.AppendUvarint(append(b, byte(k)), seq) }

func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendTime(b []byte, t time.Time) []byte { return binary.AppendVarint(b, t.UnixNano()) }

// appendStamp ends a record; a reader that knows of none passes over it.
func appendStamp(b []byte, s bootclock.Stamp) []byte {
	if s.Boot == 0 {
		return b
	}
	return binary.AppendVarint(binary.AppendUvarint(b, s.Boot), int64(s.At))
}

func appendAccepted(b []byte, m *Message) []byte {
	k := kindAccepted
	if m.Long {
		k = kindAcceptedLong
	}
	b = appendTime(start(b, k, m.Seq), m.Deadline)
	b = binary.AppendVarint(b, m.Destination)
	b = appendText(appendText(appendText(b, m.ID), m.Key), m.Class)
	return appendStamp(appendText(b, m.Body), m.deadlineStamp)
}

func appendProgress(b []byte, m *Message) []byte {
	b = binary.AppendUvarint(start(b, kindProgress, m.Seq), uint64(m.Attempts))
	return appendStamp(appendText(appendTime(append(b, flag(m.MayHaveRun)), m.RanAt), m.RanZone), m.ranStamp)
}

func appendStarted(b []byte, seq uint64, at time.Time, zone string, stamp bootclock.Stamp) []byte {
	return appendStamp(appendText(appendTime(start(b, kindStarted, seq), at), zone), stamp)
}

func appendOutcome(b []byte, seq uint64, mayRun bool) []byte {
	return append(start(b, kindOutcome, seq), flag(mayRun))
}

func appendEnded(b []byte, seq uint64, e Status, retry time.Duration) []byte {
	return binary.AppendVarint(append(start(b, kindEnded, seq), byte(e)), int64(retry))
}

func appendOver(b []byte, seq uint64, known, delivered bool, at time.Time) []byte {
	return appendTime(append(start(b, kindOver, seq), flag(known), flag(delivered)), at)
}

func appendOrigin(b []byte, seq uint64, owner string, life uint64) []byte {
	return binary.AppendUvarint(appendText(start(b, kindOrigin, seq), owner), life)
}

func appendAlone(b []byte, seq uint64) []byte { return start(b, kindAlone, seq) }

func appendAdopted(b []byte, seq uint64, records [][]byte) []byte {
	b = start(b, kindAdopted, seq)
	for _, record := range records {
		b = appendText(b, record)
	}
	return b
}

func appendPast(b []byte, p CompletedID) []byte {
	return appendTime(append(appendText(start(b, kindPast, 0), p.ID), flag(p.Delivered)), p.At)
}

// reader takes the fields of a payload; after a first failure it gives zeros.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) octet() byte {
	if v := r.take(1); v != nil {
		return v[0]
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad, r.b = true, nil
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

// stamp reads what appendStamp has written, where anything is left.
func (r *reader) stamp() bootclock.Stamp {
	if r.bad || len(r.b) == 0 {
		return bootclock.Stamp{}
	}
	return bootclock.Stamp{Boot: r.uvarint(), At: time.Duration(r.varint())}
}

func (r *reader) text() []byte { return r.take(r.uvarint()) }

// apply books one payload into the state.
func (s *state) apply(payload []byte) error {
	r := &reader{b: payload}
	k, seq := kind(r.octet()), r.uvarint()
	s.next = max(s.next, seq+1)
	m := s.live[seq]
	switch k {
	case kindAccepted, kindAcceptedLong:
		m = &Message{Seq: seq, Deadline: r.time(), Destination: r.varint(), Long: k == kindAcceptedLong}
		m.ID, m.Key, m.Class = string(r.text()), string(r.text()), string(r.text())
		body := r.text()
		m.deadlineStamp = r.stamp()
		if m.size = len(body); s.kept+int64(len(body)) <= s.memory {
			m.Body = append([]byte(nil), body...)
		} else {
			m.OnDisk = true
		}
		if !r.bad && seq < math.MaxUint64 {
			s.kept += int64(len(m.Body))
			s.live[seq] = m
		}
	case kindProgress:
		attempts, ran, at, zone, stamp := r.uvarint(), r.octet() == 1, r.time(), string(r.text()), r.stamp()
		if m != nil && !r.bad {
			m.Attempts, m.MayHaveRun, m.RanAt, m.RanZone, m.ranStamp = int(min(attempts, 1<<20)), ran, at, zone, stamp
		}
	case kindStarted:
		at, zone, stamp := r.time(), string(r.text()), r.stamp()
		if m != nil && !r.bad {
			m.started(at, zone, stamp)
		}
	case kindOutcome:
		ran := r.octet() == 1
		if m != nil && !r.bad {
			m.outcome(ran)
		}
	case kindEnded:
		e, retry := Status(r.octet()), time.Duration(r.varint())
		if m != nil && !r.bad {
			s.ended(m, e, retry)
		}
	case kindOver:
		known, delivered, at := r.octet() == 1, r.octet() == 1, r.time()
		if m != nil && !r.bad {
			if s.ended(m, Completed, 0); known && s.past != nil {
				s.past[m.ID] = CompletedID{m.ID, delivered, at}
			}
		}
	case kindPast:
		p := CompletedID{string(r.text()), r.octet() == 1, r.time()}
		if s.past != nil && !r.bad {
			s.past[p.ID] = p
		}
	case kindOrigin:
		owner, life := string(r.text()), r.uvarint()
		if m != nil && !r.bad {
			m.Owner, m.Incarnation = owner, life
		}
	case kindAlone:
		if m != nil {
			m.Unreplicated = true
		}
	case kindAdopted:
		return s.applyAdopted(r)
	default:
		if m != nil { // a later version's: kept with its message, and handed on
			m.extra = append(m.extra, append([]byte(nil), payload...))
		}
		return errRecord
	}
	if r.bad {
		return errRecord
	}
	return nil
}

// applyAdopted books the records of a message that was taken over, each as if it stood alone.
func (s *state) applyAdopted(r *reader) error {
	var unknown error
	for len(r.b) > 0 {
		record := r.text()
		if r.bad || len(record) == 0 || kind(record[0]) == kindAdopted {
			return errRecord
		}
		if err := s.apply(record); err != nil { // one of a later version's kind stays with its message, and the others count
			unknown = err
		}
	}
	return unknown
}
