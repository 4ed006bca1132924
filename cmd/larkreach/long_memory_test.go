package main

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

// Guards against windows beyond [bodies] total: a long message that had ended without a delivery kept its windows while its
// connection was drained, up to 3 s, and others had theirs meanwhile.
func TestEndedLongMessagesHoldNoWindow(t *testing.T) {
	const messages = 12
	l := newLongBodyTest(t, 20*time.Second)
	go func() {
		for call := range l.calls {
			call.end(call.ReadAll(0) == nil && call.Answer(500, "") == nil)
		}
	}()
	for i := range messages {
		c, err := lab.Dial(l.f.Address())
		must(t, err)
		defer c.Close() // stays open beyond its answer
		h := upload(fmt.Sprintf("ended-%d", i), "unsafe", 100<<10)
		_, err = c.Conn.Write(requestText(t, h))
		must(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(c.Conn), nil)
		must(t, err)
		l.check.Handed(h, lab.Answer{Status: answer.StatusCode, Whole: true, Header: answer.Header, Sent: h.Body.Size})
		counters, err := l.f.Counters("long calls")
		must(t, err)
		if counters["window_bytes"] != 0 {
			t.Fatalf("%d bytes of windows are in use after the answer %d to message %d", counters["window_bytes"], answer.StatusCode, i)
		}
	}
}
