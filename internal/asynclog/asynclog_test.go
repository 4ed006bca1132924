package asynclog

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pipe is a writer that can be blocked and made to fail.
type pipe struct {
	mu   sync.Mutex // held by a test to block writes
	text strings.Builder
	fail func(line []byte) (int, error)
}

func (p *pipe) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fail != nil {
		if n, err := p.fail(line); err != nil {
			p.text.Write(line[:n])
			return n, err
		}
	}
	p.text.Write(line)
	return len(line), nil
}

func (w *Writer) queued() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queuedBytes
}

func notice(lines int64) []byte { return fmt.Appendf(nil, "dropped %d\n", lines) }

// closeAndRead closes a Writer and returns what it wrote.
func closeAndRead(t *testing.T, w *Writer, p *pipe) string {
	t.Helper()
	if err := w.Close(time.Minute); err != nil {
		t.Fatal(err)
	}
	return p.text.String()
}

// countDropped checks that the lines are complete and in order and that notices account for all missing lines. It
// returns the number of dropped lines.
func countDropped(t *testing.T, text string, logged int) (dropped int) {
	t.Helper()
	next := 0
	for line := range strings.Lines(text) {
		n := 0
		if _, err := fmt.Sscanf(line, "dropped %d\n", &n); err == nil {
			next += n
			dropped += n
			continue
		}
		if _, err := fmt.Sscanf(line, "line %d\n", &n); err != nil || n != next {
			t.Fatalf("%q, want line %d", line, next)
		}
		next++
	}
	if next != logged {
		t.Fatalf("%d lines written or reported as dropped, want %d", next, logged)
	}
	return dropped
}

// If the reader has stopped, the caller must not block, the queue must not grow without bound, and lines must not be
// torn, out of order or missing without a notice.
func TestStoppedReaderDoesNotBlockLogging(t *testing.T) {
	p := &pipe{}
	w := New(p, notice)
	p.mu.Lock()
	const lines = 40_000
	for i := range lines {
		fmt.Fprintf(w, "line %d\n", i)
		if bytes := w.queued(); bytes > maxQueuedBytes {
			t.Fatalf("%d bytes are queued", bytes)
		}
	}
	if err := w.Close(time.Millisecond); err == nil {
		t.Error("Close succeeded with lines left")
	}
	p.mu.Unlock()
	if dropped := countDropped(t, closeAndRead(t, w, p), lines); dropped == 0 || int64(dropped) != w.Dropped() {
		t.Errorf("%d lines reported as dropped, %d counted", dropped, w.Dropped())
	}
}

// No line may be dropped while the reader keeps up.
func TestNoLinesAreDroppedWhileReaderKeepsUp(t *testing.T) {
	p := &pipe{}
	w := New(p, notice)
	var logging sync.WaitGroup
	var order sync.Mutex
	next := 0
	for range 4 {
		logging.Go(func() {
			for range 2000 {
				order.Lock()
				fmt.Fprintf(w, "line %d\n", next)
				next++
				order.Unlock()
			}
		})
	}
	logging.Wait()
	if dropped := countDropped(t, closeAndRead(t, w, p), 8000); dropped != 0 {
		t.Errorf("%d lines dropped", dropped)
	}
}

// Dropped lines must be reported once writing resumes, not only with the next line.
func TestDroppedLinesAreReportedOnceWritingResumes(t *testing.T) {
	p := &pipe{}
	w := New(p, notice)
	p.mu.Lock()
	for i := range 40_000 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	p.mu.Unlock()
	for reported := false; !reported; {
		p.mu.Lock()
		reported = strings.Contains(p.text.String(), "dropped")
		p.mu.Unlock()
		time.Sleep(time.Millisecond) // poll
	}
	_ = closeAndRead(t, w, p)
}

// A failed write must not tear the next line, must be counted, and must not be retried forever.
func TestFailedWriteIsCounted(t *testing.T) {
	p := &pipe{}
	failures := 0
	p.fail = func(line []byte) (int, error) {
		if failures++; failures%2 == 1 {
			return 0, errors.New("no room")
		}
		return min(3, len(line)-1), errors.New("no room for all")
	}
	w := New(p, notice)
	for i := range 3 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	for w.Dropped() < 3 {
		time.Sleep(time.Millisecond) // poll
	}
	p.mu.Lock()
	p.fail = nil
	p.mu.Unlock()
	fmt.Fprint(w, "line 3\n")
	text := closeAndRead(t, w, p)
	if !strings.HasSuffix(text, "dropped 3\nline 3\n") {
		t.Errorf("written: %q", text)
	}
}
