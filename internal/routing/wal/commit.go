package wal

import (
	"errors"
	"math"
	"sync"
	"time"

	"mulleinbeam/internal/routing/wal/store"
)

// commitDelay is how long the first record that is not durable waits for others to share its sync.
const commitDelay = 2 * time.Millisecond

var errClosed = errors.New("wal: closed before the records were durable")

// committer syncs appended records in its own goroutine, with one sync for all records within commitDelay. Appends do
// not wait for it; callers that need durability do.
type committer struct {
	store   *store.Store
	dirty   chan struct{}
	stop    chan struct{}
	done    chan struct{}
	onError func(error) // called once

	mu          sync.Mutex
	durableUpTo uint64
	err         error
	waiters     []waiter
}

// waiter is notified once records up to a number are durable, or once it is certain that this process cannot make them
// durable.
type waiter struct {
	record uint64
	notify func(error)
}

func startCommitter(s *store.Store, onError func(error)) *committer {
	c := &committer{
		store: s, dirty: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}), onError: onError,
	}
	go c.run()
	return c
}

func (c *committer) run() {
	defer close(c.done)
	timer := time.NewTimer(commitDelay)
	defer timer.Stop()
	for stopping := false; !stopping; {
		select {
		case <-c.dirty:
			timer.Reset(commitDelay)
			select {
			case <-timer.C:
			case <-c.stop:
			}
		case <-c.stop:
			stopping = true
		}
		c.commit()
	}
	c.mu.Lock()
	if c.err == nil {
		c.err = errClosed
	}
	c.mu.Unlock()
	c.notifyWaiters()
}

func (c *committer) commit() {
	err := c.store.Commit(math.MaxUint64)
	c.mu.Lock()
	c.durableUpTo = c.store.DurableSequence()
	firstFailure := err != nil && c.err == nil
	if firstFailure {
		c.err = err
	}
	c.mu.Unlock()
	if firstFailure {
		c.onError(err)
	}
	c.notifyWaiters()
}

// notifyWaiters notifies the waiters whose records are durable or have failed, in the order in which they were added.
func (c *committer) notifyWaiters() {
	c.mu.Lock()
	durable, err := c.durableUpTo, c.err
	var ready []waiter
	remaining := c.waiters[:0]
	for _, w := range c.waiters {
		if w.record <= durable || err != nil {
			ready = append(ready, w)
		} else {
			remaining = append(remaining, w)
		}
	}
	clear(c.waiters[len(remaining):])
	c.waiters = remaining
	c.mu.Unlock()
	for _, w := range ready {
		if w.record <= durable {
			w.notify(nil)
		} else {
			w.notify(err)
		}
	}
}

// notifyAt calls notify once records up to a number are durable: at once if they already are.
func (c *committer) notifyAt(record uint64, notify func(error)) {
	c.mu.Lock()
	switch {
	case record <= c.durableUpTo:
		c.mu.Unlock()
		notify(nil)
	case c.err != nil:
		err := c.err
		c.mu.Unlock()
		notify(err)
	default:
		c.waiters = append(c.waiters, waiter{record, notify})
		c.mu.Unlock()
	}
}

// wake triggers the next commit.
func (c *committer) wake() {
	select {
	case c.dirty <- struct{}{}:
	default:
	}
}

// close commits a last time and stops the goroutine.
func (c *committer) close() {
	close(c.stop)
	<-c.done
}

// NeedsCommit reports whether appended records are durable only after a commit; Commit or AfterCommit reports when they
// are.
func (l *Log) NeedsCommit() bool { return l.committer != nil }

// Broken returns a channel that is closed once this process can no longer make records durable. The next start can.
func (l *Log) Broken() <-chan struct{} { return l.store.Broken() }

// LastRecord returns the number of the latest record, for Commit.
func (l *Log) LastRecord() uint64 { return l.lastRecord }

// Commit returns once the records up to a number are as durable as the journal's durability requires. An error means
// that this process cannot tell whether they are. It is safe for concurrent use.
func (l *Log) Commit(record uint64) error {
	if l.committer == nil {
		return nil
	}
	result := make(chan error, 1)
	l.committer.notifyAt(record, func(err error) { result <- err })
	return <-result
}

// AfterCommit has f called once the records so far are as durable as the journal's durability requires. An error means
// that this process cannot tell whether they are. If there is nothing to wait for, f is called before AfterCommit
// returns; otherwise in another goroutine. f must not block.
func (l *Log) AfterCommit(f func(error)) {
	if l.committer == nil {
		f(nil)
		return
	}
	l.committer.notifyAt(l.lastRecord, f)
}
