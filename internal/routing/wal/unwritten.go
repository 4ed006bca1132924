package wal

import (
	"errors"
	"fmt"
	"slices"

	"mulleinbeam/internal/routing/wal/store"
)

// Records that end attempts and messages describe what has already happened, so a record that cannot be written now is
// written later. Records of one message are written in order; records of other messages do not wait for them. The
// number of queued records is bounded by the messages held: no attempt starts while a record of its message is queued,
// and no message is accepted while any record is.

// unwrittenRecord is a record that could not be written yet.
type unwrittenRecord struct {
	seq       uint64
	payload   []byte        // nil is the message's end
	onWritten []func(error) // called after the record is written
}

// unwrittenRecords is a queue of records in the order in which they were added.
type unwrittenRecords struct {
	list       []unwrittenRecord
	countBySeq map[uint64]int // queued records by message
}

func (w *unwrittenRecords) any() bool { return len(w.list) > 0 }

// has reports whether a record of a message is queued.
func (w *unwrittenRecords) has(seq uint64) bool { return w.countBySeq[seq] > 0 }

// add appends a record. The end of a message supersedes its queued records and inherits their callbacks.
func (w *unwrittenRecords) add(r unwrittenRecord) {
	if r.payload == nil && w.has(r.seq) {
		w.list = slices.DeleteFunc(w.list, func(old unwrittenRecord) bool {
			if old.seq != r.seq {
				return false
			}
			r.onWritten = append(r.onWritten, old.onWritten...)
			return true
		})
		delete(w.countBySeq, r.seq)
	}
	w.list = append(w.list, r)
	if w.countBySeq == nil {
		w.countBySeq = map[uint64]int{}
	}
	w.countBySeq[r.seq]++
}

// afterLatest has f called once the latest queued record of a message is written; it returns false if none is queued.
func (w *unwrittenRecords) afterLatest(seq uint64, f func(error)) bool {
	for i := len(w.list) - 1; i >= 0; i-- {
		if w.list[i].seq == seq {
			w.list[i].onWritten = append(w.list[i].onWritten, f)
			return true
		}
	}
	return false
}

// flush tries to write each record in turn and keeps those that fail. A full store holds up only the records of the
// same message; any other error ends the round.
func (w *unwrittenRecords) flush(write func(seq uint64, payload []byte) error) (written []unwrittenRecord, err error) {
	var remaining []unwrittenRecord
	blocked := map[uint64]bool{}
	for i, r := range w.list {
		if blocked[r.seq] {
			remaining = append(remaining, r)
			continue
		}
		writeErr := write(r.seq, r.payload)
		if writeErr == nil {
			written = append(written, r)
			w.removed(r.seq)
			continue
		}
		if !errors.Is(writeErr, store.ErrFull) {
			remaining, err = append(remaining, w.list[i:]...), writeErr
			break
		}
		blocked[r.seq] = true
		remaining = append(remaining, r)
	}
	w.list = remaining
	return written, err
}

func (w *unwrittenRecords) removed(seq uint64) {
	if w.countBySeq[seq]--; w.countBySeq[seq] == 0 {
		delete(w.countBySeq, seq)
	}
}

// UnwrittenRecords returns how many records could not be written yet.
func (l *Log) UnwrittenRecords() int { return len(l.unwritten.list) }

// Flush tries to write the queued records. It returns an error of the disk; that the store is full is no error, and
// those records stay queued.
func (l *Log) Flush() error {
	if !l.unwritten.any() {
		return nil
	}
	written, err := l.unwritten.flush(l.write)
	for _, r := range written {
		for _, f := range r.onWritten {
			l.AfterCommit(f)
		}
	}
	if l.unwritten.any() {
		l.wake()
	}
	return err
}

// AfterMessageCommit has f called once all records of a message so far are written and as durable as the journal's
// durability requires. An error means that this process cannot tell whether they are. If there is nothing to wait for,
// f is called before AfterMessageCommit returns; otherwise within Flush, within a call that writes, or in another
// goroutine. f must not block.
func (l *Log) AfterMessageCommit(seq uint64, f func(error)) {
	if !l.unwritten.afterLatest(seq, f) {
		l.AfterCommit(f)
	}
}

// endsMessage reports whether a record sets the final status of a message, for which room is reserved.
func endsMessage(payload []byte) bool { return len(payload) > 0 && kind(payload[0]) == kindEnded }

// dispensable reports whether a record may be dropped if the store is full. Without its outcome, an attempt counts as
// one that may have run.
func dispensable(payload []byte) bool { return len(payload) > 0 && kind(payload[0]) == kindOutcome }

// writeOrQueue writes a record of a message, or its end if payload is nil. If it cannot be written now, it is queued
// and the error is returned.
func (l *Log) writeOrQueue(seq uint64, payload []byte) error {
	err := l.Flush()
	if err == nil && !l.unwritten.has(seq) {
		err = l.write(seq, payload)
		if err == nil || dispensable(payload) && errors.Is(err, store.ErrFull) {
			return nil
		}
	}
	if err == nil {
		err = ErrFull
	}
	l.unwritten.add(unwrittenRecord{seq: seq, payload: slices.Clone(payload)})
	return err
}

// write writes a record of a message, or its end if payload is nil. That the message has already ended is no error.
func (l *Log) write(seq uint64, payload []byte) error {
	write := l.store.Add
	switch {
	case payload == nil:
		write = func(seq uint64, _ []byte) (uint64, error) { return l.store.Delete(seq) }
	case endsMessage(payload):
		write = l.store.AddReserved
	}
	number, err := write(seq, payload)
	l.recordWritten(number, max(len(payload), store.MaxTombstoneSize))
	if err != nil && !errors.Is(err, store.ErrUnknownKey) {
		return fmt.Errorf("wal: %w", err)
	}
	return nil
}
