package wal

import (
	"errors"
	"math"
	"sync"
	"time"

	"mulleinbeam/internal/routing/wal/store"
)

// gather is how long the first record that is not durable waits for others to share its sync.
const gather = 2 * time.Millisecond

var errClosed = errors.New("wal: closed before the records were durable")

// committer syncs what was appended, in a goroutine of its own, with one sync for all that came within gather. Nobody who
// appends waits for it; who promises something does.
type committer struct {
	store *store.Store
	dirty chan struct{}
	stop  chan struct{}
	ended chan struct{}
	fail  func(error) // told once

	mu      sync.Mutex
	durable uint64
	err     error
	waiting []waiter
}

// waiter is told once records up to a number are durable, or never will be in this life.
type waiter struct {
	num  uint64
	told func(error)
}

func startCommitter(s *store.Store, fail func(error)) *committer {
	c := &committer{
		store: s, dirty: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{}), fail: fail,
	}
	go c.run()
	return c
}

func (c *committer) run() {
	defer close(c.ended)
	pause := time.NewTimer(gather)
	defer pause.Stop()
	for last := false; !last; {
		select {
		case <-c.dirty:
			pause.Reset(gather)
			select {
			case <-pause.C:
			case <-c.stop:
			}
		case <-c.stop:
			last = true
		}
		c.commit()
	}
	c.mu.Lock()
	if c.err == nil {
		c.err = errClosed
	}
	c.mu.Unlock()
	c.tell()
}

func (c *committer) commit() {
	err := c.store.Commit(math.MaxUint64)
	c.mu.Lock()
	c.durable = c.store.DurableSequence()
	first := err != nil && c.err == nil
	if first {
		c.err = err
	}
	c.mu.Unlock()
	if first {
		c.fail(err)
	}
	c.tell()
}

// tell tells those whose wait is over, in the order in which they came.
func (c *committer) tell() {
	c.mu.Lock()
	durable, err := c.durable, c.err
	var over []waiter
	rest := c.waiting[:0]
	for _, w := range c.waiting {
		if w.num <= durable || err != nil {
			over = append(over, w)
		} else {
			rest = append(rest, w)
		}
	}
	clear(c.waiting[len(rest):])
	c.waiting = rest
	c.mu.Unlock()
	for _, w := range over {
		if w.num <= durable {
			w.told(nil)
		} else {
			w.told(err)
		}
	}
}

// after has told called once records up to num are durable: at once if they are.
func (c *committer) after(num uint64, told func(error)) {
	c.mu.Lock()
	switch {
	case num <= c.durable:
		c.mu.Unlock()
		told(nil)
	case c.err != nil:
		err := c.err
		c.mu.Unlock()
		told(err)
	default:
		c.waiting = append(c.waiting, waiter{num, told})
		c.mu.Unlock()
	}
}

// appended lets the next commit begin.
func (c *committer) appended() {
	select {
	case c.dirty <- struct{}{}:
	default:
	}
}

// close commits a last time and ends the goroutine.
func (c *committer) close() {
	close(c.stop)
	<-c.ended
}

// NeedsCommit says whether a record that was appended is not durable by that alone: Commit or AfterCommit tells when it is.
func (l *Log) NeedsCommit() bool { return l.commits != nil }

// Broken is closed once this life's journal can promise nothing any more, and the next life's can.
func (l *Log) Broken() <-chan struct{} { return l.store.Broken() }

// LastRecord is the number of the latest record, for Commit.
func (l *Log) LastRecord() uint64 { return l.last }

// Commit returns once the records up to a number outlast what the journal's durability says; an error says that this life
// will not know. It may be called from any goroutine.
func (l *Log) Commit(num uint64) error {
	if l.commits == nil {
		return nil
	}
	told := make(chan error, 1)
	l.commits.after(num, func(err error) { told <- err })
	return <-told
}

// AfterCommit has f called once the records up to now outlast what the journal's durability says; with an error, this life
// will not know. Where nothing has to be waited for, that is before it returns; else in another goroutine, which f must
// not hold up.
func (l *Log) AfterCommit(f func(error)) {
	if l.commits == nil {
		f(nil)
		return
	}
	l.commits.after(l.last, f)
}
