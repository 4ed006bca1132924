package protocol

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"time"
	"unicode/utf8"
)

// Submission is a message that a client hands in. Its slices lie in the parser's buffer.
type Submission struct {
	ID, Key, Class []byte
	Destination    int64
	Timeout        time.Duration // how long it may still be delivered, from when it was sent
	Body           []byte
}

// Refusal is an answer that does not take a message on: a refusal, a failure or an unreadable request.
type Refusal struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // with a refusal: when to come again
	Close      bool          // the connection ends with it
	Run        RunMark       // of a long message: whether it may have run
	spoilt     bool          // the endpoint's answer was
}

// RunMark says whether a message that was not delivered may have run.
type RunMark int

// The marks.
const (
	RunUnknown RunMark = iota
	NeverRan
	MayHaveRun
)

// Delivered is the answer to a long message that was delivered and whose endpoint's answer can't be passed on.
func Delivered() *Refusal { return &Refusal{Status: 200, Close: true, spoilt: true} }

// mostName bounds an id and a key: they are kept beyond the request. An id is UTF-8 as well, since notices name it in
// JSON.
const mostName = 256

// mostLeft bounds a client's time; more is taken for an error.
const mostLeft = 24 * time.Hour

// RequestKind is what a client's request wants.
type RequestKind int

// The requests of a client.
const (
	SubmitMessage RequestKind = iota
	CheckHealth
)

func bad(status int, reason string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Close: true}
}

// ParseErrorRefusal is the answer to a request that the parser gave up on.
func ParseErrorRefusal(err error) *Refusal {
	switch {
	case errors.Is(err, ErrHeadSize):
		return bad(431, "head too large")
	case errors.Is(err, ErrBodySize):
		return bad(413, "body too large")
	}
	return bad(400, "malformed request")
}

// ReadRequest tells what a client's request wants, or why it can't be had.
func ReadRequest(m *Message) (RequestKind, Submission, *Refusal) {
	var h Submission
	path, _, _ := bytes.Cut(m.Start[1], []byte("?"))
	switch string(path) {
	case "/healthz":
		if string(m.Start[0]) != "GET" {
			return CheckHealth, h, bad(405, "only GET")
		}
		return CheckHealth, h, nil
	case "/api":
	default:
		return SubmitMessage, h, bad(404, "no such path")
	}
	if string(m.Start[0]) != "POST" {
		return SubmitMessage, h, bad(405, "only POST")
	}
	if len(m.Get("Content-Length")) == 0 && len(m.Get("Transfer-Encoding")) == 0 {
		return SubmitMessage, h, bad(411, "length required")
	}
	h = Submission{ID: m.Get("X-Request-ID"), Key: m.Get("Idempotency-Key"), Class: m.Get("X-Priority-Class"), Body: m.Body}
	if len(h.ID) == 0 || !utf8.Valid(h.ID) || len(h.ID) > mostName || len(h.Key) > mostName {
		return SubmitMessage, h, bad(400, "bad X-Request-ID or Idempotency-Key")
	}
	ms, ok := number(m.Get("X-Timeout-Ms"))
	if !ok || ms > int(mostLeft/time.Millisecond) {
		return SubmitMessage, h, bad(400, "bad X-Timeout-Ms")
	}
	h.Timeout = time.Duration(ms) * time.Millisecond
	dest, ok := destination(m.Get("X-Addressing"))
	if !ok {
		return SubmitMessage, h, bad(400, "bad X-Addressing")
	}
	h.Destination = dest
	return SubmitMessage, h, nil
}

// destination finds dest=N among the parts of an X-Addressing value.
func destination(value []byte) (int64, bool) {
	parts := bytes.FieldsFunc(value, func(r rune) bool { return r == ';' || r == ',' || r == ' ' || r == '\t' })
	for _, part := range parts {
		if n, found := bytes.CutPrefix(part, []byte("dest=")); found {
			id, ok := number(n)
			return int64(id), ok
		}
	}
	return 0, false
}

// ContinueResponse tells a peer that waits to send its body.
const ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

var reasons = map[int]string{
	200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large", 422: "Unprocessable Content",
	431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendAnswer writes an answer without a body; r nil stands for the plain status.
func AppendAnswer(b []byte, status int, r *Refusal, last bool) []byte {
	text := ""
	if r != nil {
		status, text, last = r.Status, r.Reason, last || r.Close
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasons[status]...)
	if r != nil && r.RetryAfter > 0 { // decimal seconds, rounded up to whole milliseconds
		ms := (r.RetryAfter + time.Millisecond - 1) / time.Millisecond
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, float64(ms)/1000, 'f', -1, 64)
	}
	if r != nil && r.Run != RunUnknown {
		b = append(b, "\r\nX-May-Have-Run: "...)
		b = append(b, "01"[r.Run-NeverRan])
	}
	if r != nil && r.spoilt {
		b = append(b, "\r\nX-Answer-Spoilt: 1"...)
	}
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(text)), 10)
	return append(append(b, "\r\n\r\n"...), text...)
}

// Call is what goes to an endpoint. Id, key and body go on byte for byte.
type Call struct {
	ID, Key string
	Timeout time.Duration // how long the forwarder will wait
	Host    string
	Body    []byte
}

// appendTimeout writes how long the forwarder will wait, in whole milliseconds and one at the least. It is rounded up: an endpoint may take
// an answer for too late as soon as the told time is over, and must not do so while the forwarder still waits.
func appendTimeout(b []byte, wait time.Duration) []byte {
	milliseconds := (wait + time.Millisecond - 1) / time.Millisecond
	b = append(b, "\r\nX-Timeout-Ms: "...)
	return strconv.AppendInt(b, max(1, int64(milliseconds)), 10)
}

// Buffers gives the call's pieces for a gathered write; nothing of the message is copied.
func (c Call) Buffers() net.Buffers {
	head := make([]byte, 0, 128)
	head = append(append(head, "POST /v1/messages HTTP/1.1\r\nHost: "...), c.Host...)
	head = appendTimeout(head, c.Timeout)
	head = append(head, "\r\nContent-Length: "...)
	head = strconv.AppendInt(head, int64(len(c.Body)), 10)
	head = append(head, "\r\nX-Request-ID: "...)
	b := net.Buffers{head, []byte(c.ID)}
	if c.Key != "" {
		b = append(b, []byte("\r\nIdempotency-Key: "), []byte(c.Key))
	}
	b = append(b, []byte("\r\n\r\n"))
	if len(c.Body) > 0 {
		b = append(b, c.Body)
	}
	return b
}

// Reply is what an endpoint's answer to a call says.
type Reply struct {
	Status     int
	RetryAfter time.Duration // with 429: how long it told to wait
	OverSlots  bool          // with 503: not sent, all slots were taken
	Load       []byte        // a load report as JSON, if there is one
}

// loadReport is the field in which an endpoint may tell of its load. What stands there is its own affair: an answer is
// good whether or not it can be read.
const loadReport = "X-Server-Load"

// ReadReply reads an endpoint's answer.
func ReadReply(m *Message) Reply {
	r := Reply{Status: m.Status(), Load: bytes.Clone(m.Get(loadReport))}
	if ms, ok := number(m.Get("X-RateLimit-Wait-Ms")); ok {
		r.RetryAfter = min(time.Duration(ms)*time.Millisecond, mostLeft)
	}
	r.OverSlots = string(m.Get("X-Over-Slots")) == "1"
	return r
}
