// Package wal is the lasting journal: what the forwarder has taken on and not yet ended, in one file of
// checksummed records that are only ever appended. A write to the file outlasts the process, so nothing is synced.
//
// Space is bounded. When the file has no room for the next record, what is still live is written to a new file
// that replaces it; both count while that lasts, so what is live may fill half of the space at the most.
package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Ending is how a message ended.
type Ending byte

// The endings. A message that was refused or failed stays live until its notice is acknowledged.
const (
	Unended Ending = iota
	Over           // delivered, withdrawn, or its notice acknowledged: nothing more is owed
	Refused
	Failed
	Closed // its end was told; only its id is kept, until Over
)

// Message is what the journal knows of one that is not over.
type Message struct {
	Seq         uint64 // its number, which no other message in the file has
	Deadline    time.Time
	Destination int64
	ID, Key     string
	Class       string
	Body        []byte
	Attempts    int  // those with an outcome, and the one that is out
	MayRun      bool // an attempt may have run
	RanAt       time.Time
	RanZone     string
	Ending      Ending
	RetryAfter  time.Duration
	Long        bool // its body was passed on, and is not here

	out     bool // an attempt is out
	outAt   time.Time
	outZone string
}

func (m *Message) started(at time.Time, zone string) {
	m.Attempts++
	m.out, m.outAt, m.outZone = true, at, zone
}

func (m *Message) outcome(mayRun bool) {
	if mayRun && m.out && !m.MayRun {
		m.MayRun, m.RanAt, m.RanZone = true, m.outAt, m.outZone
	}
	m.out = false
}

// state is the journal's content.
type state struct {
	live map[uint64]*Message
	next uint64
}

func (s *state) ended(m *Message, e Ending, retry time.Duration) {
	if e == Over {
		delete(s.live, m.Seq)
		return
	}
	m.Ending, m.RetryAfter, m.Body = e, retry, nil // a notice needs no body
}

// ErrFull is given when a message does not fit.
var ErrFull = errors.New("wal: no room")

const (
	fileName = "messages.wal"
	newName  = "messages.wal.new"
	block    = 512       // files are counted in whole blocks
	leastGap = 64 << 10  // what small records may add between two compactions, at least
	ownCost  = 160       // what a live message takes beside its texts, at the most
	mostSize = 32 << 20  // however large the disk, files count as memory
	slack    = 16 * 1024 // never used: the folder itself, and rounding
)

// Log is the open journal. It is not safe for concurrent use.
type Log struct {
	state
	dir       string
	file      *os.File
	size      int64 // the file's
	liveSize  int64 // what the live messages would take in a new file, at the most
	most      int64 // all files together
	buf       []byte
	Compacted int // how often the file was replaced
}

// Open reads the journal in a folder that may hold most bytes. A torn tail is cut off; any other damage is told to
// report and passed over.
func Open(dir string, most int64, report func(string)) (*Log, error) {
	l := &Log{state: state{live: map[uint64]*Message{}, next: 1}, dir: dir, most: min(most, mostSize) - slack}
	if l.most < 4*leastGap {
		return nil, fmt.Errorf("wal: %d bytes of disk are too few", most)
	}
	if err := os.Remove(filepath.Join(dir, newName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("wal: leftover file: %w", err)
	}
	data, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("wal: read: %w", err)
	}
	l.replay(data, report)
	for _, m := range l.live { // a call that was out when the process ended may have run
		m.outcome(true)
		l.liveSize += m.cost()
	}
	if err := l.rewrite(); err != nil {
		return nil, err
	}
	return l, nil
}

// replay applies all readable records. Unreadable bytes are passed over up to the next readable record; where none
// follows they are a torn tail, the mark of a process killed while it wrote.
func (l *Log) replay(data []byte, report func(string)) {
	for at := 0; at < len(data); {
		payload, size := unseal(data[at:])
		if size > 0 {
			if err := l.apply(payload); err != nil {
				report(fmt.Sprintf("journal: record at %d of %d bytes has no known form, passed over", at, size))
			}
			at += size
			continue
		}
		from := at
		for at++; at < len(data); at++ {
			if _, size = unseal(data[at:]); size > 0 {
				break
			}
		}
		if at < len(data) {
			report(fmt.Sprintf("journal: %d damaged bytes at %d passed over", at-from, from))
		} else {
			report(fmt.Sprintf("journal: torn tail of %d bytes at %d cut off", len(data)-from, from))
		}
	}
}

// Live gives the messages that are not over, in the order in which they were accepted.
func (l *Log) Live() []*Message {
	return slices.SortedFunc(maps.Values(l.live), func(a, b *Message) int {
		if a.Seq < b.Seq {
			return -1
		}
		return 1
	})
}

// Next is the number of the next message.
func (l *Log) Next() uint64 { return l.next }

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }

// cost is what a message takes in a new file, at the most.
func (m *Message) cost() int64 {
	return int64(ownCost + len(m.ID) + len(m.Key) + len(m.Class) + len(m.Body) + 2*len(m.RanZone) + len(m.outZone))
}

// Fits says whether a message can be accepted: the live ones twice, as while compacting, and some small records.
func (l *Log) Fits(m *Message) bool { return 2*(l.liveSize+m.cost())+leastGap+2*block <= l.most }

// Accept journals a message under its number, which must be Next.
func (l *Log) Accept(m *Message) error {
	if !l.Fits(m) {
		return ErrFull
	}
	if err := l.append(func(b []byte) []byte { return appendAccepted(b, m) }); err != nil {
		return err
	}
	l.live[m.Seq] = m
	l.liveSize += m.cost()
	l.next = m.Seq + 1
	return nil
}

// Started journals that an attempt's first byte is about to be written.
func (l *Log) Started(seq uint64, at time.Time, zone string) error {
	return l.change(seq, func(b []byte) []byte { return appendStarted(b, seq, at, zone) },
		func(m *Message) { m.started(at, zone) })
}

// Outcome journals the end of the attempt that is out.
func (l *Log) Outcome(seq uint64, mayRun bool) error {
	return l.change(seq, func(b []byte) []byte { return appendOutcome(b, seq, mayRun) },
		func(m *Message) { m.outcome(mayRun) })
}

// End journals a message's ending; Over drops it.
func (l *Log) End(seq uint64, e Ending, retry time.Duration) error {
	return l.change(seq, func(b []byte) []byte { return appendEnded(b, seq, e, retry) },
		func(m *Message) { l.ended(m, e, retry) })
}

// change appends a record of a live message and books it.
func (l *Log) change(seq uint64, build func([]byte) []byte, book func(*Message)) error {
	m := l.live[seq]
	if m == nil {
		return nil
	}
	err := l.append(build)
	before := m.cost()
	book(m) // also when it could not be written: the next new file will hold it
	l.liveSize -= before
	if l.live[seq] != nil {
		l.liveSize += m.cost()
	}
	return err
}

// append writes one record, after compacting where it would leave too little room for that.
func (l *Log) append(build func([]byte) []byte) error {
	l.buf = build(l.buf[:0])
	need := int64(len(l.buf))
	if l.size+need+l.liveSize+need+2*block > l.most {
		if err := l.rewrite(); err != nil {
			return err
		}
		l.buf = build(l.buf[:0])
	}
	n, err := l.file.Write(l.buf)
	if err != nil {
		if n > 0 { // no half record may stand before the next one
			err = errors.Join(err, l.file.Truncate(l.size))
		}
		return fmt.Errorf("wal: write: %w", err)
	}
	l.size += need
	return nil
}

// rewrite puts what is live into a new file, which takes the old one's place.
func (l *Log) rewrite() error {
	var b []byte
	for _, m := range l.Live() {
		b = appendAccepted(b, m)
		if ended := m.Attempts; ended > 0 {
			done := *m
			if m.out {
				done.Attempts--
			}
			b = appendProgress(b, &done)
		}
		if m.out {
			b = appendStarted(b, m.Seq, m.outAt, m.outZone)
		}
		if m.Ending != Unended {
			b = appendEnded(b, m.Seq, m.Ending, m.RetryAfter)
		}
	}
	name := filepath.Join(l.dir, newName)
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("wal: new file: %w", err)
	}
	if _, err = file.Write(b); err == nil {
		err = os.Rename(name, filepath.Join(l.dir, fileName))
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: new file: %w", err), file.Close(), os.Remove(name))
	}
	if l.file != nil {
		_ = l.file.Close() // replaced: nothing in it is needed
	}
	l.file, l.size = file, int64(len(b))
	l.Compacted++
	return nil
}
