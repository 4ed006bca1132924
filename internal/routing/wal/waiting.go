package wal

import (
	"errors"
	"fmt"
	"slices"

	"mulleinbeam/internal/routing/wal/store"
)

// Records that end attempts and messages tell what has happened already, so one that cannot be written now is written later. Records
// of one message are written in the order in which they came; those of others do not wait for them. What waits is bounded by the
// messages that are held: no attempt starts behind a record of its message that waits, and no message is accepted while any does.

// waitingRecord is one that could not be written yet.
type waitingRecord struct {
	seq     uint64
	payload []byte        // nil: the message's end
	written []func(error) // called once it is written
}

// waitingRecords are in the order in which they came.
type waitingRecords struct {
	list  []waitingRecord
	count map[uint64]int // by message
}

func (w *waitingRecords) any() bool { return len(w.list) > 0 }

// of says whether a record of a message waits.
func (w *waitingRecords) of(seq uint64) bool { return w.count[seq] > 0 }

// add appends a record. An end makes those before it needless, and takes over whoever waits for them.
func (w *waitingRecords) add(r waitingRecord) {
	if r.payload == nil && w.of(r.seq) {
		w.list = slices.DeleteFunc(w.list, func(old waitingRecord) bool {
			if old.seq != r.seq {
				return false
			}
			r.written = append(r.written, old.written...)
			return true
		})
		delete(w.count, r.seq)
	}
	w.list = append(w.list, r)
	if w.count == nil {
		w.count = map[uint64]int{}
	}
	w.count[r.seq]++
}

// await has f called once the latest record of a message that waits is written; false says that none waits.
func (w *waitingRecords) await(seq uint64, f func(error)) bool {
	for i := len(w.list) - 1; i >= 0; i-- {
		if w.list[i].seq == seq {
			w.list[i].written = append(w.list[i].written, f)
			return true
		}
	}
	return false
}

// flush tries each record in turn and keeps those that are not written. A full store holds up only the records of the same message;
// any other error ends the round.
func (w *waitingRecords) flush(write func(seq uint64, payload []byte) error) (written []waitingRecord, err error) {
	var kept []waitingRecord
	full := map[uint64]bool{}
	for i, r := range w.list {
		if full[r.seq] {
			kept = append(kept, r)
			continue
		}
		failed := write(r.seq, r.payload)
		if failed == nil {
			written = append(written, r)
			w.written(r.seq)
			continue
		}
		if !errors.Is(failed, store.ErrFull) {
			kept, err = append(kept, w.list[i:]...), failed
			break
		}
		full[r.seq] = true
		kept = append(kept, r)
	}
	w.list = kept
	return written, err
}

func (w *waitingRecords) written(seq uint64) {
	if w.count[seq]--; w.count[seq] == 0 {
		delete(w.count, seq)
	}
}

// UnwrittenRecords is how many records could not be written yet.
func (l *Log) UnwrittenRecords() int { return len(l.waiting.list) }

// Flush tries to write the records that wait. Its error is the disk's; a store that is full is none, and its records go on waiting.
func (l *Log) Flush() error {
	if !l.waiting.any() {
		return nil
	}
	written, err := l.waiting.flush(l.write)
	for _, r := range written {
		for _, f := range r.written {
			l.AfterCommit(f)
		}
	}
	if l.waiting.any() {
		l.wake()
	}
	return err
}

// AfterMessageCommit has f called once all records of a message up to now are written and outlast what the journal's durability says; with
// an error, this life will not know. Where nothing has to be waited for, that is before it returns; else within Flush or a call that
// writes, or in another goroutine, which f must not hold up.
func (l *Log) AfterMessageCommit(seq uint64, f func(error)) {
	if !l.waiting.await(seq, f) {
		l.AfterCommit(f)
	}
}

// ends says whether a record is one that ends a message, for which room is set aside.
func ends(payload []byte) bool { return len(payload) > 0 && kind(payload[0]) == kindEnded }

// dispensable says whether a record may be left out where the store is full: without its outcome an attempt counts as one that may
// have run.
func dispensable(payload []byte) bool { return len(payload) > 0 && kind(payload[0]) == kindOutcome }

// change writes a record of a message, or its end where payload is nil. What can't be written now is written later, and the error
// says so.
func (l *Log) change(seq uint64, payload []byte) error {
	err := l.Flush()
	if err == nil && !l.waiting.of(seq) {
		err = l.write(seq, payload)
		if err == nil || dispensable(payload) && errors.Is(err, store.ErrFull) {
			return nil
		}
	}
	if err == nil {
		err = ErrFull
	}
	l.waiting.add(waitingRecord{seq: seq, payload: slices.Clone(payload)})
	return err
}

// write writes a record of a message, or its end where payload is nil. That it has ended already is no error.
func (l *Log) write(seq uint64, payload []byte) error {
	write := l.store.Add
	switch {
	case payload == nil:
		write = func(seq uint64, _ []byte) (uint64, error) { return l.store.Delete(seq) }
	case ends(payload):
		write = l.store.AddReserved
	}
	number, err := write(seq, payload)
	l.wrote(number, max(len(payload), store.MaxTombstoneSize))
	if err != nil && !errors.Is(err, store.ErrUnknownKey) {
		return fmt.Errorf("wal: %w", err)
	}
	return nil
}
