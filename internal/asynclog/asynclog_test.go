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

// pipe is a writer that may be stopped, and that may fail.
type pipe struct {
	mu   sync.Mutex // held while nobody reads
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
	return w.bytes
}

func notice(lines int64) []byte { return fmt.Appendf(nil, "dropped %d\n", lines) }

// closed closes a writer and gives what was written.
func closed(t *testing.T, w *Writer, p *pipe) string {
	t.Helper()
	if err := w.Close(time.Minute); err != nil {
		t.Fatal(err)
	}
	return p.text.String()
}

// count holds lines against what was logged: in order, whole, and every one that is missing told of in its place.
func count(t *testing.T, text string, logged int) (dropped int) {
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
			t.Fatalf("%q where line %d was to come", line, next)
		}
		next++
	}
	if next != logged {
		t.Fatalf("%d lines written or told of as dropped, of %d", next, logged)
	}
	return dropped
}

// Guards against a caller that waits for a reader that has stopped, a queue that grows without bound, and lines that are torn, out of
// order or missing without a word.
func TestAStoppedReaderHoldsUpNobody(t *testing.T) {
	p := &pipe{}
	w := New(p, notice)
	p.mu.Lock()
	const lines = 40_000
	for i := range lines {
		fmt.Fprintf(w, "line %d\n", i)
		if bytes := w.queued(); bytes > mostQueued {
			t.Fatalf("%d bytes are queued", bytes)
		}
	}
	if err := w.Close(time.Millisecond); err == nil {
		t.Error("closed, with lines that nobody has read")
	}
	p.mu.Unlock()
	if dropped := count(t, closed(t, w, p), lines); dropped == 0 || int64(dropped) != w.Dropped() {
		t.Errorf("%d lines told of as dropped, %d counted", dropped, w.Dropped())
	}
}

// Guards against lines that are lost though they are read at once.
func TestNothingIsLostWhileTheReaderKeepsUp(t *testing.T) {
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
	if dropped := count(t, closed(t, w, p), 8000); dropped != 0 {
		t.Errorf("%d lines dropped", dropped)
	}
}

// Guards against a dropped line that is not told of until the next one comes.
func TestDroppedLinesAreToldOfOnceWritingGoesOn(t *testing.T) {
	p := &pipe{}
	w := New(p, notice)
	p.mu.Lock()
	for i := range 40_000 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	p.mu.Unlock()
	for told := false; !told; {
		p.mu.Lock()
		told = strings.Contains(p.text.String(), "dropped")
		p.mu.Unlock()
		time.Sleep(time.Millisecond) // polls
	}
	_ = closed(t, w, p)
}

// Guards against a failed write that tears the next line, is not counted, or is tried without end.
func TestAFailedWriteIsCounted(t *testing.T) {
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
		time.Sleep(time.Millisecond) // polls
	}
	p.mu.Lock()
	p.fail = nil
	p.mu.Unlock()
	fmt.Fprint(w, "line 3\n")
	text := closed(t, w, p)
	if !strings.HasSuffix(text, "dropped 3\nline 3\n") {
		t.Errorf("written: %q", text)
	}
}
