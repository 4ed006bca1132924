// Package asynclog hands the lines of a log to a writer that may block for ever, such as a pipe that nobody reads, without
// letting whoever logs wait for it.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// mostQueued bounds the bytes of lines that wait to be written. A reader that keeps up leaves next to nothing waiting.
const mostQueued = 256 << 10

// entry is a queued line.
type entry struct {
	line    []byte
	dropped int64 // of a notice: how many lines it tells of
}

// Writer queues lines and writes them, in order and each with one call, from a goroutine of its own. What finds the queue full is
// dropped whole and counted; a line made by the notice stands in its place once the queue is half empty. Its methods may be called
// from any goroutine.
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}
	torn bool // the goroutine's: what was written last ends in the middle of a line

	mu      sync.Mutex
	notice  func(lines int64) []byte
	queue   []entry
	bytes   int
	untold  int64 // lines dropped since the latest notice
	dropped int64
	failing bool // the latest write has failed
	closed  bool
}

// New starts a writer to out. notice makes the line that tells of dropped lines.
func New(out io.Writer, notice func(lines int64) []byte) *Writer {
	w := &Writer{out: out, notice: notice, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// SetNotice replaces the maker of the line that tells of dropped lines.
func (w *Writer) SetNotice(notice func(lines int64) []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice = notice
}

// Write queues a line, or drops it. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := mostQueued
	if w.untold > 0 { // else a slow reader would be told of one dropped line between any two others
		most = mostQueued / 2
	}
	if w.closed || w.bytes+len(line) > most {
		w.untold++
		w.dropped++
		return len(line), nil
	}
	w.tellDropped()
	w.push(entry{line: bytes.Clone(line)})
	return len(line), nil
}

// tellDropped queues a notice if one is due; w.mu is held.
func (w *Writer) tellDropped() {
	if w.untold > 0 {
		w.push(entry{line: w.notice(w.untold), dropped: w.untold})
		w.untold = 0
	}
}

// push queues an entry; w.mu is held.
func (w *Writer) push(e entry) {
	w.queue = append(w.queue, e)
	w.bytes += len(e.line)
	w.signal()
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes what is queued until the writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	for {
		e, found, closed := w.next()
		switch {
		case found:
			w.finish(e, w.write(e.line))
		case closed:
			return
		default:
			<-w.wake
		}
	}
}

// next takes the first entry of the queue; closed says that the queue is empty for good.
func (w *Writer) next() (e entry, found, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 && !w.failing { // else the notice would fail too, again and again
		w.tellDropped()
	}
	if len(w.queue) == 0 {
		w.queue = nil // its array has grown with the longest queue
		return entry{}, false, w.closed
	}
	e = w.queue[0]
	w.queue[0] = entry{}
	w.queue = w.queue[1:]
	return e, true, false
}

// write writes a line, and says whether it has gone out whole.
func (w *Writer) write(line []byte) bool {
	if w.torn {
		line = append([]byte{'\n'}, line...)
	}
	for {
		n, err := w.out.Write(line)
		if err == nil {
			w.torn = false
			return true
		}
		if n <= 0 || n >= len(line) {
			return false
		}
		w.torn = true
		line = line[n:]
	}
}

// finish books how the writing of an entry has gone. It took room in the queue until here.
func (w *Writer) finish(e entry, written bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes -= len(e.line)
	w.failing = !written
	switch {
	case written:
	case e.dropped > 0: // what it tells of is still to be told
		w.untold += e.dropped
	default:
		w.untold++
		w.dropped++
	}
}

// Dropped is how many lines were dropped so far, for want of room or because their writing has failed.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is queued, for so long at the most; its error says how many lines are left. Later lines are dropped. A write that is
// out when the time is up is left to the end of the process.
func (w *Writer) Close(within time.Duration) error {
	w.mu.Lock()
	w.closed = true
	w.signal()
	w.mu.Unlock()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-w.done:
		return nil
	case <-timer.C:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Errorf("asynclog: %d lines are not written", len(w.queue)+1)
}
