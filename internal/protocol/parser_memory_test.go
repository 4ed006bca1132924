package protocol

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against memory that grows with what a client has sent: while a body was read, the requests in front of it stayed in a
// buffer that doubled for as long as more had arrived.
func TestParserHoldsOneRequestHoweverManyArrive(t *testing.T) {
	const requests = 200
	for name, request := range map[string][]byte{
		"known length":     fmt.Appendf(nil, "POST /api HTTP/1.1\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("b", 60_000)),
		"chunks of 60,000": chunkedRequest(60_000, 60_000),
		"chunks of 4,096":  chunkedRequest(60_000, 4096),
		"chunks of 1":      chunkedRequest(6000, 1),
		"large heads":      fmt.Appendf(nil, "POST /api HTTP/1.1\r\nContent-Length: 9\r\nX: %s\r\n\r\n123456789", strings.Repeat("x", 14<<10)),
	} {
		messages, peak, err := parseStream(NewRequestParser(MaxBodyBytes), bytes.Repeat(request, requests))
		if messages != requests || err != nil || peak > MaxRequestMemory {
			t.Errorf("%s: %d messages, %v; the parser held %d bytes, want at most %d", name, messages, err, peak, MaxRequestMemory)
		}
	}
}

// generatedRequest returns a request and the body that it carries.
func generatedRequest(t *rapid.T, random *rand.Rand) (raw, body []byte) {
	size := rapid.SampledFrom([]int{0, 1, 200, 1500, 2 << 10, 5000, 20_000, 60_000, MaxBodyBytes}).Draw(t, "size")
	body = make([]byte, size)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	filler := strings.Repeat("x", rapid.OneOf(rapid.IntRange(0, 2100), rapid.IntRange(0, 16_000)).Draw(t, "head"))
	raw = fmt.Appendf(nil, "POST /api HTTP/1.1\r\nX-Filler: %s\r\n", filler)
	if rapid.Bool().Draw(t, "known length") {
		return append(fmt.Appendf(raw, "Content-Length: %d\r\n\r\n", size), body...), body
	}
	raw = append(raw, "Transfer-Encoding: chunked\r\n\r\n"...)
	most := rapid.SampledFrom([]int{1, 7, 1000, 5000, MaxBodyBytes}).Draw(t, "chunk")
	for content := body; len(content) > 0; {
		n := min(len(content), 1+random.IntN(most))
		raw = fmt.Appendf(raw, "%x\r\n%s\r\n", n, content[:n])
		content = content[n:]
	}
	return append(raw, "0\r\nT: 1\r\n\r\n"...), body
}

// However requests are split into reads, they are parsed to the same bodies in the same order, in limited memory; a body that
// was taken stays as it was while the next requests are parsed.
func TestRequestsBehindEachOtherInLimitedMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var raw []byte
		var want, got [][]byte
		for range 1 + random.IntN(8) {
			request, body := generatedRequest(t, random)
			raw, want = append(raw, request...), append(want, body)
		}
		most := rapid.SampledFrom([]int{300, 3000, 30_000, 1 << 20}).Draw(t, "read")
		p := NewRequestParser(MaxBodyBytes)
		for len(raw) > 0 {
			held, more := p.HeldBytes(), p.SpaceBytes()
			n := copy(p.Space(), raw[:min(len(raw), 1+random.IntN(most))])
			if p.HeldBytes() > held+more {
				t.Fatalf("the parser held %d bytes and now holds %d, %d more were announced", held, p.HeldBytes(), more)
			}
			if n == 0 {
				t.Fatal("the parser gives no space")
			}
			p.Commit(n)
			raw = raw[n:]
			for {
				m, err := p.Next()
				if err != nil {
					t.Fatal(err)
				}
				if m == nil {
					break
				}
				got = append(got, m.TakeBody())
			}
			if p.HeldBytes() > MaxRequestMemory {
				t.Fatalf("the parser holds %d bytes", p.HeldBytes())
			}
		}
		if len(got) != len(want) || !p.Idle() {
			t.Fatalf("%d of %d requests, idle %v", len(got), len(want), p.Idle())
		}
		for i := range want {
			if !bytes.Equal(got[i], want[i]) {
				t.Fatalf("request %d has a body of %d bytes, want %d", i, len(got[i]), len(want[i]))
			}
		}
	})
}

// The memory of an answer has a limit, too, and an answer that follows directly is seen.
func TestAnswersInLimitedMemory(t *testing.T) {
	const second = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	chunked := string(chunkedRequest(60_000, 3))
	for name, raw := range map[string]string{
		"known length": "HTTP/1.1 500 No\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60_000) + second,
		"chunks":       "HTTP/1.1 500 No" + chunked[strings.Index(chunked, "\r\n"):] + second,
	} {
		messages, peak, err := parseStream(NewAnswerParser(MaxBodyBytes), []byte(raw))
		if messages != 2 || err != nil || peak > MaxRequestMemory+surplusBytes {
			t.Errorf("%s: %d messages, %v, %d bytes held", name, messages, err, peak)
		}
		p := NewAnswerParser(MaxBodyBytes)
		var m *Message
		for rest := []byte(raw); m == nil && len(rest) > 0; m, _ = p.Next() {
			n := copy(p.Space(), rest)
			p.Commit(n)
			rest = rest[n:]
		}
		if !strings.HasPrefix(string(p.Buffered()), "HTTP/1.1 503") {
			t.Errorf("%s: %q follows the answer", name, p.Buffered())
		}
	}
	_, peak, err := parseStream(NewAnswerParser(MaxBodyBytes), []byte("HTTP/1.1 500 No\r\n\r\n"+strings.Repeat("b", 1<<20)))
	if err == nil || peak > MaxRequestMemory {
		t.Errorf("an answer until the end of the connection: %v, %d bytes held", err, peak)
	}
}

// Guards against a driver that reads nothing for ever, or byte by byte: whatever the length of a head is, there is space behind
// it for a body in chunks.
func TestHeadsThatFillTheBuffer(t *testing.T) {
	const allowedReads = 40
	content := string(chunkedRequest(5000, 7))
	content = content[strings.Index(content, "\r\n\r\n")+4:]
	for filler := 1900; filler < 2100; filler++ {
		head := fmt.Sprintf("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX: %s\r\n\r\n", strings.Repeat("x", filler-60))
		p := NewRequestParser(MaxBodyBytes)
		rest, reads := []byte(head+content), 0
		for m, err := p.Next(); m == nil; m, err = p.Next() {
			n := copy(p.Space(), rest)
			p.Commit(n)
			rest = rest[n:]
			if reads++; err != nil || n == 0 || reads > allowedReads {
				t.Fatalf("a head of %d bytes: %d reads, the last one of %d bytes, %v", len(head), reads, n, err)
			}
		}
	}
}
