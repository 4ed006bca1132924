// Package asynclog writes log lines to a writer that may block forever, such as a pipe that nobody reads, without
// blocking the caller.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedBytes bounds the size of the queued lines. The queue stays almost empty while the reader keeps up.
const maxQueuedBytes = 256 << 10

// entry is a queued line.
type entry struct {
	line    []byte
	dropped int64 // number of dropped lines that the line reports; 0 unless it is a notice
}

// Writer queues lines and writes them from its own goroutine, in order and with one call each. A line that does not fit
// into the queue is dropped as a whole and counted. A notice, which reports the number of dropped lines, takes their
// place once the queue is half empty. Writer is safe for concurrent use.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	done    chan struct{}
	midLine bool // the latest write ended within a line; used by the goroutine only

	mu          sync.Mutex
	notice      func(lines int64) []byte
	queue       []entry
	queuedBytes int
	unreported  int64 // lines dropped since the latest notice was queued
	dropped     int64
	failing     bool // the latest write failed
	closed      bool
}

// New starts a Writer that writes to out. notice returns the line that reports a number of dropped lines.
func New(out io.Writer, notice func(lines int64) []byte) *Writer {
	w := &Writer{out: out, notice: notice, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// SetNotice replaces the function that returns the line for dropped lines.
func (w *Writer) SetNotice(notice func(lines int64) []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice = notice
}

// Write queues a line, or drops it if the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := maxQueuedBytes
	if w.unreported > 0 { // otherwise a slow reader would get a notice after every single line
		limit = maxQueuedBytes / 2
	}
	if w.closed || w.queuedBytes+len(line) > limit {
		w.unreported++
		w.dropped++
		return len(line), nil
	}
	w.queueNotice()
	w.enqueue(entry{line: bytes.Clone(line)})
	return len(line), nil
}

// queueNotice queues a notice if lines were dropped; w.mu must be held.
func (w *Writer) queueNotice() {
	if w.unreported > 0 {
		w.enqueue(entry{line: w.notice(w.unreported), dropped: w.unreported})
		w.unreported = 0
	}
}

// enqueue queues an entry; w.mu must be held.
func (w *Writer) enqueue(e entry) {
	w.queue = append(w.queue, e)
	w.queuedBytes += len(e.line)
	w.wakeUp()
}

func (w *Writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes queued entries until the Writer is closed and the queue is empty.
func (w *Writer) run() {
	defer close(w.done)
	for {
		e, found, closed := w.next()
		switch {
		case found:
			w.complete(e, w.write(e.line))
		case closed:
			return
		default:
			<-w.wake
		}
	}
}

// next removes and returns the first entry of the queue; closed reports that the queue is empty and the Writer closed.
func (w *Writer) next() (e entry, found, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 && !w.failing { // otherwise the notice would be retried in a loop while writes fail
		w.queueNotice()
	}
	if len(w.queue) == 0 {
		w.queue = nil // frees the backing array, which has grown with the longest queue
		return entry{}, false, w.closed
	}
	e = w.queue[0]
	w.queue[0] = entry{}
	w.queue = w.queue[1:]
	return e, true, false
}

// write writes a line and reports whether it was written completely.
func (w *Writer) write(line []byte) bool {
	if w.midLine {
		line = append([]byte{'\n'}, line...)
	}
	for {
		n, err := w.out.Write(line)
		if err == nil {
			w.midLine = false
			return true
		}
		if n <= 0 || n >= len(line) {
			return false
		}
		w.midLine = true
		line = line[n:]
	}
}

// complete records the result of writing an entry, whose bytes count as queued until now.
func (w *Writer) complete(e entry, written bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queuedBytes -= len(e.line)
	w.failing = !written
	switch {
	case written:
	case e.dropped > 0: // the dropped lines have not been reported yet
		w.unreported += e.dropped
	default:
		w.unreported++
		w.dropped++
	}
}

// Dropped returns the number of lines dropped so far because the queue was full or a write failed.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close waits up to timeout until the queued lines are written; its error tells how many are left. Later lines are
// dropped. A write still blocked after the timeout is abandoned.
func (w *Writer) Close(timeout time.Duration) error {
	w.mu.Lock()
	w.closed = true
	w.wakeUp()
	w.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return nil
	case <-timer.C:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Errorf("asynclog: %d lines were not written", len(w.queue)+1)
}
