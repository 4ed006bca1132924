package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"
)

// chunkedRequest returns a request whose body has size bytes, in chunks.
func chunkedRequest(size, chunk int) []byte {
	raw := []byte("POST /api HTTP/1.1\r\nHost: origin.svc\r\nTransfer-Encoding: chunked\r\n\r\n")
	content := bytes.Repeat([]byte("b"), size)
	for len(content) > 0 {
		n := min(chunk, len(content))
		raw = fmt.Appendf(raw, "%x\r\n%s\r\n", n, content[:n])
		content = content[n:]
	}
	return append(raw, "0\r\n\r\n"...)
}

var errNoSpace = errors.New("the parser gives no space")

// parseStream feeds a parser as a driver does with a connection on which all of raw has arrived, and returns the number of
// messages and the most memory that the parser held.
func parseStream(p *Parser, raw []byte) (messages, peakBytes int, err error) {
	for {
		m, err := p.Next()
		if m != nil {
			messages++
			continue
		}
		if err != nil || len(raw) == 0 {
			return messages, peakBytes, err
		}
		n := copy(p.Space(), raw)
		if n == 0 {
			return messages, peakBytes, errNoSpace
		}
		p.Commit(n)
		raw = raw[n:]
		peakBytes = max(peakBytes, p.HeldBytes())
	}
}

// Guards against processor time that grows with the square of what a client has sent: small chunks cost the more for each
// byte the more had arrived behind them, since each one moved all of it.
func TestSmallChunksCostTheSameWhateverArrivesBehind(t *testing.T) {
	const content, chunk, together, rounds, allowedRatio = 16 << 10, 1, 16, 5, 3
	request := chunkedRequest(content, chunk)
	fastest := func(raw []byte, requests int) time.Duration {
		best := time.Duration(1 << 62)
		for range rounds {
			began := time.Now()
			if messages, _, err := parseStream(NewRequestParser(MaxBodyBytes), raw); messages != requests || err != nil {
				t.Fatalf("%d messages, %v", messages, err)
			}
			best = min(best, time.Since(began))
		}
		return best
	}
	alone, all := fastest(request, 1), fastest(bytes.Repeat(request, together), together)
	if all > allowedRatio*together*alone {
		t.Errorf("a request takes %v alone, and %v beside %d others", alone, all/together, together-1)
	}
}

// Guards against trailers without end: those of a body that is buffered have the limits of a head.
func TestTrailersOfBufferedBodiesAreLimited(t *testing.T) {
	const head = "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
	for name, c := range map[string]struct {
		lines int
		want  int
		ends  bool
	}{"as many as allowed": {maxHeadLines, 1, true}, "one more": {maxHeadLines + 1, 0, false}} {
		raw := []byte(head)
		for range c.lines {
			raw = append(raw, "T: 1\r\n"...)
		}
		messages, _, err := parseStream(NewRequestParser(MaxBodyBytes), append(raw, "\r\n"...))
		if messages != c.want || (err == nil) != c.ends {
			t.Errorf("%s: %d messages, %v", name, messages, err)
		}
	}
}

// BenchmarkParserChunks shows the time for a byte of a chunked request, by the size of its chunks.
func BenchmarkParserChunks(b *testing.B) {
	for _, chunk := range []int{1, 16, 256, 1 << 10, 4 << 10, 16 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("%dB", chunk), func(b *testing.B) { benchmarkStream(b, chunkedRequest(MaxBodyBytes, chunk)) })
	}
}

// BenchmarkParserRequests shows the time for a byte of requests that arrive together, by their number.
func BenchmarkParserRequests(b *testing.B) {
	for _, size := range []int{200, 60_000} {
		request := fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: %d\r\n\r\n%s", size, bytes.Repeat([]byte("b"), size))
		for _, requests := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%dB/%d", size, requests), func(b *testing.B) { benchmarkStream(b, bytes.Repeat(request, requests)) })
		}
	}
}

func benchmarkStream(b *testing.B, raw []byte) {
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := parseStream(NewRequestParser(MaxBodyBytes), raw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(raw)), "ns/byte")
}
