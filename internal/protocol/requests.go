package protocol

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"time"
	"unicode/utf8"
)

// Submission is a message submitted by a client. Its body belongs to the receiver, and is empty if the message is long; the
// other slices point into the parser's buffer.
type Submission struct {
	ID, Key, Class []byte
	Destination    int64
	Timeout        time.Duration // time left for the delivery, from when the client sent the request
	Body           []byte
	// ConnectionAccepted is how many messages were accepted of late on the same connection. ReadRequest does not set it.
	ConnectionAccepted int
}

// Refusal is a response to a client whose message is not accepted: a refusal, a failure or a malformed request.
type Refusal struct {
	Status          int
	Reason          string
	RetryAfter      time.Duration // with a refusal: when the client may retry
	Close           bool          // the connection is closed after the response
	Run             RunMark       // for a long message: whether the endpoint may have processed it
	malformedAnswer bool          // the message was delivered, but the endpoint's answer was malformed
}

// RunMark says whether a message that was not delivered may have been processed by an endpoint.
type RunMark int

// The values of RunMark.
const (
	RunUnknown RunMark = iota
	NeverRan
	MayHaveRun
)

// Delivered returns the response for a long message that was delivered but whose answer can't be forwarded.
func Delivered() *Refusal { return &Refusal{Status: 200, Close: true, malformedAnswer: true} }

// maxNameBytes bounds a message ID and a key, because they are kept beyond the request. An ID must also be UTF-8, since
// delivery reports carry it in JSON.
const maxNameBytes = 256

// maxTimeout bounds the timeout in a client's request; a longer one is rejected as an error. It also caps the delay
// that an endpoint's rate-limit answer asks for.
const maxTimeout = 24 * time.Hour

// RequestKind is the kind of a client's request.
type RequestKind int

// The kinds of client requests.
const (
	SubmitMessage RequestKind = iota
	CheckHealth
)

func closingRefusal(status int, reason string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Close: true}
}

// ParseErrorRefusal returns the response to a request that could not be parsed.
func ParseErrorRefusal(err error) *Refusal {
	switch {
	case errors.Is(err, ErrHeadSize):
		return closingRefusal(431, "head too large")
	case errors.Is(err, ErrBodySize):
		return closingRefusal(413, "body too large")
	}
	return closingRefusal(400, "malformed request")
}

// ReadRequest decodes a client's request. It returns a Refusal if the request is invalid.
func ReadRequest(m *Message) (RequestKind, Submission, *Refusal) {
	var submission Submission
	path, _, _ := bytes.Cut(m.Start[1], []byte("?"))
	switch string(path) {
	case "/healthz":
		if string(m.Start[0]) != "GET" {
			return CheckHealth, submission, closingRefusal(405, "only GET")
		}
		return CheckHealth, submission, nil
	case "/api":
	default:
		return SubmitMessage, submission, closingRefusal(404, "no such path")
	}
	if string(m.Start[0]) != "POST" {
		return SubmitMessage, submission, closingRefusal(405, "only POST")
	}
	if len(m.Get("Content-Length")) == 0 && len(m.Get("Transfer-Encoding")) == 0 {
		return SubmitMessage, submission, closingRefusal(411, "length required")
	}
	submission = Submission{ID: m.Get("X-Request-ID"), Key: m.Get("Idempotency-Key"), Class: m.Get("X-Priority-Class")}
	if len(submission.ID) == 0 || !utf8.Valid(submission.ID) || len(submission.ID) > maxNameBytes || len(submission.Key) > maxNameBytes {
		return SubmitMessage, submission, closingRefusal(400, "bad X-Request-ID or Idempotency-Key")
	}
	timeoutMs, ok := parseDecimal(m.Get("X-Timeout-Ms"))
	if !ok || timeoutMs > int(maxTimeout/time.Millisecond) {
		return SubmitMessage, submission, closingRefusal(400, "bad X-Timeout-Ms")
	}
	submission.Timeout = time.Duration(timeoutMs) * time.Millisecond
	destination, ok := parseDestination(m.Get("X-Addressing"))
	if !ok {
		return SubmitMessage, submission, closingRefusal(400, "bad X-Addressing")
	}
	submission.Destination = destination
	if !m.Long {
		submission.Body = m.TakeBody()
	}
	return SubmitMessage, submission, nil
}

// parseDestination finds dest=N among the parts of an X-Addressing value.
func parseDestination(value []byte) (int64, bool) {
	parts := bytes.FieldsFunc(value, func(r rune) bool { return r == ';' || r == ',' || r == ' ' || r == '\t' })
	for _, part := range parts {
		if n, found := bytes.CutPrefix(part, []byte("dest=")); found {
			id, ok := parseDecimal(n)
			return int64(id), ok
		}
	}
	return 0, false
}

// ContinueResponse tells a client that sent Expect: 100-continue to send its body.
const ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

var reasonPhrases = map[int]string{
	200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large", 422: "Unprocessable Content",
	431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// AppendAnswer appends the response to a client: the refusal, or the plain status if refusal is nil.
func AppendAnswer(b []byte, status int, refusal *Refusal, closeConn bool) []byte {
	body := ""
	if refusal != nil {
		status, body, closeConn = refusal.Status, refusal.Reason, closeConn || refusal.Close
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasonPhrases[status]...)
	if refusal != nil && refusal.RetryAfter > 0 { // decimal seconds, rounded up to whole milliseconds
		ms := (refusal.RetryAfter + time.Millisecond - 1) / time.Millisecond
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, float64(ms)/1000, 'f', -1, 64)
	}
	if refusal != nil && refusal.Run != RunUnknown {
		b = append(b, "\r\nX-May-Have-Run: "...)
		b = append(b, "01"[refusal.Run-NeverRan])
	}
	if refusal != nil && refusal.malformedAnswer {
		b = append(b, "\r\nX-Answer-Spoilt: 1"...)
	}
	if closeConn {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// Call is a request to an endpoint. ID, key and body are forwarded byte for byte.
type Call struct {
	ID, Key string
	Timeout time.Duration // how long the forwarder waits for the answer
	Host    string
	Body    []byte
}

// appendTimeout appends how long the forwarder waits, in whole milliseconds and at least one. The time is rounded up:
// an endpoint may drop an answer as too late once the given time is over, and must not do so while the forwarder waits.
func appendTimeout(b []byte, wait time.Duration) []byte {
	milliseconds := (wait + time.Millisecond - 1) / time.Millisecond
	b = append(b, "\r\nX-Timeout-Ms: "...)
	return strconv.AppendInt(b, max(1, int64(milliseconds)), 10)
}

// Buffers returns the call as buffers for a vectored write; the body is not copied.
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

// Reply is the decoded answer of an endpoint to a call.
type Reply struct {
	Status     int
	RetryAfter time.Duration // with 429: the delay that the endpoint asked for
	OverSlots  bool          // with 503: the call was rejected because all slots were in use
	Load       []byte        // a load report as JSON, if there is one
}

// loadReportHeader is the field in which an endpoint may report its load. A malformed value does not make the answer
// invalid.
const loadReportHeader = "X-Server-Load"

// The statuses that settle a message: it gets no further call.
const (
	StatusDelivered      = 200 // the message was delivered
	StatusOver           = 410 // the message is withdrawn or out of time
	StatusNoAttemptsLeft = 504 // the message has had all its attempts
)

// EndsMessage reports whether a status says that the message did not run and gets no further call.
func EndsMessage(status int) bool { return status == StatusOver || status == StatusNoAttemptsLeft }

// SettlesMessage reports whether the first line of an answer with the status decides on the message, however the answer
// goes on.
func SettlesMessage(status int) bool { return status == StatusDelivered || EndsMessage(status) }

// ReadReply decodes an endpoint's answer.
func ReadReply(m *Message) Reply {
	reply := Reply{Status: m.Status(), Load: bytes.Clone(m.Get(loadReportHeader))}
	if waitMs, ok := parseDecimal(m.Get("X-RateLimit-Wait-Ms")); ok {
		reply.RetryAfter = min(time.Duration(waitMs)*time.Millisecond, maxTimeout)
	}
	reply.OverSlots = string(m.Get("X-Over-Slots")) == "1"
	return reply
}
