package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

// requestText returns a request as it goes over the connection.
func requestText(t *testing.T, h lab.Handover) []byte {
	t.Helper()
	var text bytes.Buffer
	text.WriteString(h.Head())
	content, err := io.ReadAll(h.Body.Reader())
	must(t, err)
	if !h.Chunked {
		text.Write(content)
		return text.Bytes()
	}
	const chunk = 7000
	for len(content) > 0 {
		n := min(chunk, len(content))
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, content[:n])
		content = content[n:]
	}
	text.WriteString("0\r\n\r\n")
	return text.Bytes()
}

// Guards against a long body that is refused because short requests were sent at once with it (400 behind 25 of them), and against
// requests behind a long body that get no answer: all are answered, in order, on one connection.
func TestLongBodiesAmongShortOnes(t *testing.T) {
	const before, behind = 25, 8
	for name, chunked := range map[string]func(number int) bool{
		"known lengths": func(int) bool { return false },
		"chunks":        func(int) bool { return true },
		"in turn":       func(number int) bool { return number%2 == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			l := newLongBodyTest(t, 20*time.Second)
			go func() {
				for call := range l.calls {
					call.end(call.ReadAll(0) == nil && call.Answer(200, "") == nil)
				}
			}()
			var handed []lab.Handover
			add := func(id string, size int64) {
				h := upload(id, "safe", size)
				h.Chunked = chunked(len(handed))
				handed = append(handed, h)
			}
			for i := range before {
				add(fmt.Sprintf("before-%d", i), 60_000)
			}
			add("long", 300_000)
			for i := range behind {
				add(fmt.Sprintf("behind-%d", i), 60_000)
			}
			add("long again", 100_000)
			add("long and directly behind it", 70_000)
			add("small", 20)
			add("long behind a small one", 70_000)
			add("small again", 20)
			add("long at the end", 300_000)
			add("last", 20)
			c, err := lab.Dial(l.f.Address())
			must(t, err)
			defer c.Close()
			var text []byte
			for _, h := range handed {
				text = append(text, requestText(t, h)...)
			}
			go func() { _, _ = c.Conn.Write(text) }()
			reader := bufio.NewReader(c.Conn)
			for _, h := range handed {
				answer, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("%s: %v", h.ID, err)
				}
				_, err = io.Copy(io.Discard, answer.Body)
				must(t, err)
				want := http.StatusAccepted
				if h.Body.Size > 64<<10 {
					want = http.StatusOK
				}
				if answer.StatusCode != want || answer.Close {
					t.Errorf("%s: answered %d, want %d; closes %v", h.ID, answer.StatusCode, want, answer.Close)
				}
				l.check.Handed(h, lab.Answer{Status: answer.StatusCode, Whole: true, Header: answer.Header, Sent: h.Body.Size})
			}
			l.awaitIdle()
			must(t, l.f.AwaitCounter("in", "held", 0))
		})
	}
}
