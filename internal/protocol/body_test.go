package protocol

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// decode feeds a Body with raw in pieces of a size. It returns the content, the bytes after the body, and the error.
func decode(b *Body, raw []byte, size int) (content, rest []byte, err error) {
	for len(raw) > 0 && !b.Complete() {
		piece := bytes.Clone(raw[:min(size, len(raw))])
		n, used, err := b.Decode(piece)
		content = append(content, piece[:n]...)
		raw = raw[used:]
		if err != nil {
			return content, raw, err
		}
		if !b.Complete() && used < len(piece) {
			return content, raw, errors.New("bytes left over in the middle of a body")
		}
	}
	return content, raw, nil
}

// However the input is split into reads, a body must decode to the same content, end at the same byte and keep its
// trailers.
func TestBodySplitAnywhere(t *testing.T) {
	const chunked = "3\r\nabc\r\n00A;x=\"y\" \r\n0123456789\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n"
	for name, c := range map[string]struct {
		framing   Framing
		length    int64
		raw, want string
		trailers  string
	}{
		"length":  {ByLength, 5, "abcde", "abcde", ""},
		"empty":   {ByLength, 0, "", "", ""},
		"chunked": {Chunked, 0, chunked, "abc0123456789", "X-A: 1\r\nX-B: 2\r\n"},
		"none":    {Chunked, 0, "0\r\n\r\n", "", ""},
	} {
		for size := 1; size < len(c.raw)+8; size++ {
			b, err := NewBody(c.framing, c.length, 100)
			if err != nil {
				t.Fatal(err)
			}
			content, rest, err := decode(b, []byte(c.raw+"behind"), size)
			got := []any{string(content), string(rest), err, b.Complete(), string(b.Trailers()), b.ContentBytes()}
			want := []any{c.want, "behind", error(nil), true, c.trailers, int64(len(c.want))}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("%s in pieces of %d:\n%s", name, size, diff)
			}
		}
	}
	b, _ := NewBody(UntilClose, 0, 100)
	if content, _, err := decode(b, []byte("abc"), 2); string(content) != "abc" || err != nil || b.Complete() || !b.Finish() || !b.Complete() {
		t.Errorf("until close: %q, %v", content, err)
	}
	b, _ = NewBody(Chunked, 0, 100)
	if _, _, err := decode(b, []byte("3\r\nabc\r\n"), 3); err != nil || b.Finish() {
		t.Errorf("truncated between chunks: %v, complete %v", err, b.Complete())
	}
}

// A body that another parser could interpret differently must be rejected.
func TestMalformedBodies(t *testing.T) {
	for name, c := range map[string]struct {
		raw  string
		want error
	}{
		"no size":             {"\r\n", ErrMalformed},
		"sign":                {"+3\r\nabc\r\n", ErrMalformed},
		"prefix":              {"0x3\r\nabc\r\n", ErrMalformed},
		"overflow":            {"10000000000000000\r\n", ErrMalformed},
		"above the limit":     {"65\r\n", ErrBodySize},
		"sum above the limit": {"60\r\n" + strings.Repeat("x", 0x60) + "\r\n5\r\n", ErrBodySize},
		"bare line feed":      {"3\nabc\r\n", ErrMalformed},
		"bare return":         {"3\r;\r\nabc\r\n", ErrMalformed},
		"chunk too short":     {"2\r\nabc\r\n", ErrMalformed},
		"endless extension":   {"3;" + strings.Repeat("x", maxChunkLineBytes) + "\r\n", ErrMalformed},
		"trailer: no colon":   {"0\r\nabc\r\n\r\n", ErrMalformed},
		"trailer: length":     {"0\r\ncontent-length: 1\r\n\r\n", ErrMalformed},
		"trailer: id":         {"0\r\nX-Request-ID: 1\r\n\r\n", ErrMalformed},
		"trailer: folded":     {"0\r\nX: 1\r\n 2\r\n\r\n", ErrMalformed},
		"too many trailers":   {"0\r\n" + strings.Repeat("X: 1\r\n", maxTrailerLines+1), ErrMalformed},
		"trailers too large":  {"0\r\n" + strings.Repeat("X: "+strings.Repeat("y", 200)+"\r\n", 22), ErrMalformed},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			b, err := NewBody(Chunked, 0, 100)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := decode(b, []byte(c.raw), size); !errors.Is(err, c.want) || b.Complete() {
				t.Errorf("%s in pieces of %d: %v, complete %v", name, size, err, b.Complete())
			}
		}
	}
	if _, err := NewBody(ByLength, 101, 100); !errors.Is(err, ErrBodySize) {
		t.Errorf("a length above the limit: %v", err)
	}
}

// The parser must return a long message as soon as its head is parsed and leave the remainder to Body, however much was
// buffered by then; short messages must still be returned whole.
func TestParserStreamsLongMessages(t *testing.T) {
	filler := strings.Repeat("0123456789abcdef", 8)
	for name, c := range map[string]struct {
		head, body string
		long       bool
	}{
		"short":          {"Content-Length: 16\r\n", filler[:16], false},
		"long":           {"Content-Length: 128\r\n", filler, true},
		"short chunks":   {"Transfer-Encoding: chunked\r\n", "8\r\n" + filler[:8] + "\r\n8\r\n" + filler[8:16] + "\r\n0\r\n\r\n", false},
		"one long chunk": {"Transfer-Encoding: chunked\r\n", "80\r\n" + filler + "\r\n0\r\n\r\n", true},
		"chunks grow":    {"Transfer-Encoding: chunked\r\n", "8\r\n" + filler[:8] + "\r\n78\r\n" + filler[8:] + "\r\n0\r\n\r\n", true},
		"expect, chunks": {"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n", "8\r\n" + filler[:8] + "\r\n0\r\n\r\n", true},
	} {
		want := filler
		if strings.Contains(name, "short") {
			want = filler[:16]
		} else if strings.HasPrefix(name, "expect") {
			want = filler[:8]
		}
		raw := []byte("POST /api HTTP/1.1\r\n" + c.head + "\r\n" + c.body)
		for size := 1; size <= len(raw); size++ {
			p := NewRequestParser(32)
			p.Stream(StreamLong)
			var m *Message
			rest := raw
			for m == nil {
				n := copy(p.Space(), rest[:min(size, len(rest))])
				if p.Commit(n); n == 0 {
					t.Fatalf("%s in pieces of %d: no message after the whole input", name, size)
				}
				rest = rest[n:]
				var err error
				if m, err = p.Next(); err != nil {
					t.Fatalf("%s in pieces of %d: %v", name, size, err)
				}
			}
			if m.Long != c.long {
				t.Fatalf("%s in pieces of %d: long %v", name, size, m.Long)
			}
			got := bytes.Clone(m.Body)
			if m.Long {
				body, came, err := p.Rest(1000)
				if err != nil {
					t.Fatal(err)
				}
				content, _, err := decode(body, append(bytes.Clone(came), rest...), size)
				if got = append(got, content...); err != nil || !body.Complete() || body.ContentBytes() != int64(len(want)) {
					t.Fatalf("%s in pieces of %d: %v, complete %v, %d bytes", name, size, err, body.Complete(), body.ContentBytes())
				}
			}
			if string(got) != want {
				t.Fatalf("%s in pieces of %d: %q", name, size, got)
			}
		}
	}
	p := NewRequestParser(32) // without Stream, a long message must be rejected
	p.Commit(copy(p.Space(), "POST /api HTTP/1.1\r\nContent-Length: 33\r\n\r\n"))
	if _, err := p.Next(); !errors.Is(err, ErrBodySize) {
		t.Errorf("without Stream: %v", err)
	}
}

// FuzzBody feeds arbitrary bytes in pieces: nothing may panic, the result must not depend on the pieces, and what
// decodes as a complete body must decode to the same content with the standard library.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{"3\r\nabc\r\n0\r\n\r\n", "a;b=c\r\n0123456789\r\n0\r\nX: y\r\n\r\nGET", "0\r\n\r\n", "ffffffffff\r\n", " 0\r\n\r\n"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, raw []byte, size int) {
		if size <= 0 {
			size = 1 + len(raw)
		}
		single, _ := NewBody(Chunked, 0, 1<<20)
		content, rest, err := decode(single, raw, len(raw)+1)
		split, _ := NewBody(Chunked, 0, 1<<20)
		splitContent, splitRest, splitErr := decode(split, raw, size)
		if !bytes.Equal(content, splitContent) || single.Complete() != split.Complete() || (err == nil) != (splitErr == nil) ||
			err == nil && !bytes.Equal(rest, splitRest) {
			t.Fatalf("in one piece %q, %v; in pieces of %d %q, %v", content, err, size, splitContent, splitErr)
		}
		if single.Complete() {
			got, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(raw)))
			if err != nil || !bytes.Equal(got, content) {
				t.Fatalf("read as %q; the standard library reads %q, %v", content, got, err)
			}
		}
	})
}
