package protocol

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// messageText is a message as text, for comparison.
type messageText struct {
	Start, Fields, Body string
	Close               bool
}

func textOf(m *Message) messageText {
	var fields []string
	for _, f := range m.fields {
		fields = append(fields, string(m.head[f.nameStart:f.nameEnd])+"="+string(m.head[f.valueStart:f.valueEnd]))
	}
	start := string(m.Start[0]) + "|" + string(m.Start[1]) + "|" + string(m.Start[2])
	return messageText{start, strings.Join(fields, "&"), string(m.Body), m.Close}
}

// parseAll feeds a parser with raw in pieces of a size, then ends the connection, and returns the messages.
func parseAll(p *Parser, raw string, size int) (out []messageText, err error) {
	for len(raw) > 0 {
		n := copy(p.Space(), raw[:min(size, len(raw))])
		p.Commit(n)
		raw = raw[n:]
		for {
			m, err := p.Next()
			if err != nil {
				return out, err
			}
			if m == nil {
				break
			}
			out = append(out, textOf(m))
		}
	}
	if m := p.Finish(true); m != nil {
		out = append(out, textOf(m))
	}
	return out, nil
}

// The parsed messages must not depend on how the input is split into reads.
func TestParser(t *testing.T) {
	long := strings.Repeat("b", 5000)
	for name, c := range map[string]struct {
		answers bool
		raw     string
		want    []messageText
		err     error
	}{
		"two requests in one piece": {false, "\r\nPOST /a HTTP/1.1\r\nA: 1\r\nContent-Length: 3\r\n\r\nxyzGET /b HTTP/1.0\r\n\r\n",
			[]messageText{{"POST|/a|HTTP/1.1", "A=1&Content-Length=3", "xyz", false}, {"GET|/b|HTTP/1.0", "", "", true}}, nil},
		"chunks": {false, "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n1388\r\n" + long + "\r\n0\r\nT: 1\r\n\r\n" +
			"GET /b HTTP/1.1\r\nconnection: Keep-Alive, Close\r\n\r\n",
			[]messageText{{"POST|/a|HTTP/1.1", "Transfer-Encoding=Chunked", "abc" + long, false},
				{"GET|/b|HTTP/1.1", "connection=Keep-Alive, Close", "", true}}, nil},
		"chunk without its end":   {false, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", nil, ErrMalformed},
		"chunk of no size":        {false, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", nil, ErrMalformed},
		"chunk above the limit":   {false, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", nil, ErrBodySize},
		"another encoding":        {false, "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", nil, ErrEncoding},
		"name with a space":       {false, "GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\n", nil, ErrMalformed},
		"folded line":             {false, "GET / HTTP/1.1\r\nA: 1\r\n b\r\n\r\n", nil, ErrMalformed},
		"four words":              {false, "GET / x HTTP/1.1\r\n\r\n", nil, ErrMalformed},
		"interim, then an answer": {true, "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 204 None\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200\r\nContent-Length: 1\r\n\r\nx", []messageText{{"HTTP/1.1|204|None", "Content-Length=9", "", false}, {"HTTP/1.1|200|", "Content-Length=1", "x", false}}, nil},
		"answer until close":      {true, "HTTP/1.1 200 OK\r\n\r\nrest", []messageText{{"HTTP/1.1|200|OK", "", "rest", true}}, nil},
		"status of two digits":    {true, "HTTP/1.1 20 OK\r\n\r\n", nil, ErrMalformed},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			parser := NewRequestParser(MaxBodyBytes)
			if c.answers {
				parser = NewAnswerParser(MaxBodyBytes)
			}
			got, err := parseAll(parser, c.raw, size)
			if diff := cmp.Diff(c.want, got); diff != "" || !errors.Is(err, c.err) {
				t.Errorf("%s in pieces of %d: %v\n%s", name, size, err, diff)
			}
		}
	}
}

// The status of a malformed or truncated answer must still be reported once its status line is complete, and must be 0
// before that.
func TestMalformedAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	interim := "HTTP/1.1 100 Go on\r\n\r\n"
	for name, c := range map[string]struct {
		raw  string
		want int
		err  error
	}{
		"truncated in status line": {ok[:14], 0, nil},
		"truncated in head":        {ok + "Content-Le", 200, nil},
		"truncated in body":        {ok + "Content-Length: 9\r\n\r\nre", 200, nil},
		"truncated after interim":  {interim + ok, 200, nil},
		"503, truncated":           {"HTTP/1.1 503 No\r\n", 503, nil},
		"garbage":                  {"\x00\x17\xff\r\n\r\n", 0, ErrMalformed},
		"garbage in head":          {ok + "\x00\x17\r\n\r\n", 200, ErrMalformed},
		"endless head":             {ok + strings.Repeat("a: b\r\n", 4000), 200, ErrHeadSize},
		"3 GB":                     {ok + "Content-Length: 3221225472\r\n\r\n", 200, ErrBodySize},
		"until close, too long":    {ok + "\r\n" + strings.Repeat("x", MaxBodyBytes+1), 200, ErrBodySize},
		"negative length":          {ok + "Content-Length: -1\r\n\r\n", 200, ErrMalformed},
		"two lengths":              {ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 200, ErrMalformed},
		"too many interim answers": {strings.Repeat(interim, maxInterimAnswers+1) + ok, 100, ErrMalformed},
		"another version":          {"HTTP/3.1 200 OK\r\n\r\n", 0, ErrMalformed},
		"chunk that is no chunk":   {ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 200, ErrMalformed},
		"leading bare LFs":         {"\n\n" + ok, 0, nil},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			parser := NewAnswerParser(MaxBodyBytes)
			got, err := parseAll(parser, c.raw, size)
			if len(got) > 0 || !errors.Is(err, c.err) || parser.Status() != c.want {
				t.Errorf("%s in pieces of %d: %v, %v, status %d", name, size, got, err, parser.Status())
			}
		}
	}
}

// No input may make a parser panic or buffer more than its limits.
func FuzzParser(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), uint8(3), true)
	f.Fuzz(func(t *testing.T, raw []byte, size uint8, answers bool) {
		parser := NewRequestParser(64)
		if answers {
			parser = NewAnswerParser(64)
		}
		got, _ := parseAll(parser, string(raw), int(size)+1)
		for _, m := range got {
			if len(m.Body) > 64 && !m.Close {
				t.Errorf("body of %d bytes", len(m.Body))
			}
		}
	})
}

// Encoded requests and responses must parse to the values they were encoded from.
func TestEncodedMessagesParse(t *testing.T) {
	joined := func(b net.Buffers) (s string) {
		for _, piece := range b {
			s += string(piece)
		}
		return s
	}
	report, err := AppendReport(nil, "d:1", []DeliveryReport{{ID: `a"b`}, {ID: "c", Returned: true, RetryAfter: 1500 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		answers bool
		raw     string
		want    messageText
	}{
		"call": {false, joined(Call{ID: "i", Key: "k", Timeout: 1500 * time.Millisecond, Host: "h:1", Body: []byte("b")}.Buffers()),
			messageText{"POST|/v1/messages|HTTP/1.1", "Host=h:1&X-Timeout-Ms=1500&Content-Length=1&X-Request-ID=i&Idempotency-Key=k", "b", false}},
		"call with a fractional millisecond": {false, joined(Call{ID: "i", Timeout: 1500*time.Millisecond + time.Microsecond, Host: "h"}.Buffers()),
			messageText{"POST|/v1/messages|HTTP/1.1", "Host=h&X-Timeout-Ms=1501&Content-Length=0&X-Request-ID=i", "", false}},
		"call with no key or body": {false, joined(Call{ID: "i", Host: "h"}.Buffers()),
			messageText{"POST|/v1/messages|HTTP/1.1", "Host=h&X-Timeout-Ms=1&Content-Length=0&X-Request-ID=i", "", false}},
		"accepted": {true, string(AppendAnswer(nil, 202, nil, false)), messageText{"HTTP/1.1|202|Accepted", "Content-Length=0", "", false}},
		"refused": {true, string(AppendAnswer(nil, 0, &Refusal{Status: 503, Reason: "later", RetryAfter: 1200400 * time.Microsecond}, true)),
			messageText{"HTTP/1.1|503|Service Unavailable", "Retry-After=1.201&Connection=close&Content-Length=5", "later", true}},
		"report": {false, string(report), messageText{"POST|/reports|HTTP/1.1", "Host=d:1&Content-Type=application/json&Content-Length=99",
			`{"message":"a\"b","outcome":"given_up"}` + "\n" + `{"message":"c","outcome":"handed_back","retry_in_ms":1500}` + "\n", false}},
		"watch": {false, string(AppendWatch(nil, "d", 41, 20*time.Second)),
			messageText{"GET|/v1/servers?since=41&timeout_ms=20000|HTTP/1.1", "Host=d", "", false}},
		"whole list": {false, string(AppendWatch(nil, "d", -1, 0)), messageText{"GET|/v1/servers|HTTP/1.1", "Host=d", "", false}},
	} {
		parser := NewRequestParser(MaxBodyBytes)
		if c.answers {
			parser = NewAnswerParser(MaxBodyBytes)
		}
		got, err := parseAll(parser, c.raw, 1)
		if diff := cmp.Diff([]messageText{c.want}, got); diff != "" || err != nil {
			t.Errorf("%s: %v\n%s", name, err, diff)
		}
	}
}

// Replies and lists must be decoded, also with a malformed load report; invalid lists must be rejected.
func TestDecodeRepliesAndLists(t *testing.T) {
	for raw, want := range map[string]Reply{
		"HTTP/1.1 429 No\r\nx-ratelimit-wait-ms: 250\r\nContent-Length: 0\r\n\r\n":              {Status: 429, RetryAfter: 250 * time.Millisecond},
		"HTTP/1.1 503 No\r\nX-Over-Slots: 1\r\nContent-Length: 0\r\n\r\n":                       {Status: 503, OverSlots: true},
		"HTTP/1.1 200 OK\r\nX-Server-Load: {\"x0\":0.4,\"x1\":25}\r\nContent-Length: 0\r\n\r\n": {Status: 200, Load: []byte(`{"x0":0.4,"x1":25}`)},
		"HTTP/1.1 200 OK\r\nX-Server-Load: \x01{\x7f\r\nContent-Length: 0\r\n\r\n":              {Status: 200, Load: []byte("\x01{\x7f")},
	} {
		parser := NewAnswerParser(0)
		parser.Commit(copy(parser.Space(), raw))
		m, err := parser.Next()
		if err != nil || m == nil {
			t.Fatalf("%q: %v", raw, err)
		}
		if diff := cmp.Diff(want, ReadReply(m)); diff != "" {
			t.Errorf("%q:\n%s", raw, diff)
		}
	}
	got, err := ParseList([]byte(`{"index":41,"snapshot":true,"more":1,"endpoints":[
		{"name":"s","address":"a:1","zone":"z","type":"m2","group":3,"status":"DRAINING","weight":1.5,"since_ms":1764917709836}]}`))
	want := List{41, true, []Endpoint{{"s", "a:1", "z", "m2", 3, Draining, 1.5, 1764917709836}}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("list: %v\n%s", err, diff)
	}
	for _, started := range []string{`"soon"`, "-1", "null", "1e300"} { // the list is of use without it
		got, err := ParseList(fmt.Appendf(nil, `{"endpoints":[{"name":"s","status":"SERVING","since_ms":%s}]}`, started))
		if err != nil || got.Endpoints[0].StartedAt != 0 {
			t.Errorf("since_ms %s: %+v, %v", started, got, err)
		}
	}
	for _, raw := range []string{"", "[]", `{"endpoints":[{"name":"s","status":"ODD"}]}`, `{"endpoints":[{"status":"SERVING"}]}`} {
		if _, err := ParseList([]byte(raw)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", raw, err)
		}
	}
}
