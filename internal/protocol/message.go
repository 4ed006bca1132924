// Package protocol implements the forwarder's wire formats: HTTP/1.1 heads and bodies, the requests and responses of
// clients and endpoints, discovery's list and the platform's delivery reports. It consumes and produces bytes and uses
// no sockets and no clock, so that any transport can drive it.
package protocol

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits on what a peer may send.
const (
	MaxHeadBytes      = 16 << 10 // bytes of a head
	MaxBodyBytes      = 64 << 10 // bytes of a message body
	maxHeadLines      = 100      // header lines of a head
	maxChunkLineBytes = 256      // bytes of a chunk size line or of a trailer line
	maxInterimAnswers = 16       // 1xx answers before the final one
)

// The parse errors. ParseErrorRefusal maps them to a status.
var (
	ErrMalformed = errors.New("protocol: malformed message")
	ErrHeadSize  = errors.New("protocol: head too large")
	ErrBodySize  = errors.New("protocol: body too large")
	ErrEncoding  = errors.New("protocol: transfer encoding not supported")
)

// headerField is the position of a header field's name and value in their head. It takes a sixth of what two slices do, and there may
// be maxHeadLines of them on each connection while a body is read.
type headerField struct{ nameStart, nameEnd, valueStart, valueEnd uint16 }

// Message is a parsed message. Its slices are the parser's and valid until Space, Next or Reset, but for a body that TakeBody
// has returned.
type Message struct {
	Start [3][]byte // method, target and version, or version, status and reason
	Body  []byte
	Close bool // the connection is closed after the message
	Long  bool // Body holds only what was buffered with the head; Parser.Rest returns the remainder

	head         []byte
	fields       []headerField
	bodyInBuffer bool // Body lies in the parser's buffer, which is used again
}

// maxBodySlack is the share of a body's length that may be unused behind it when its memory is given away.
const maxBodySlack = 4

// TakeBody returns the body in memory that belongs to the caller; the message no longer has it.
func (m *Message) TakeBody() []byte {
	body := m.Body
	m.Body = nil
	if m.bodyInBuffer || cap(body) > len(body)+len(body)/maxBodySlack {
		return bytes.Clone(body)
	}
	return body
}

// Get returns the value of a header field, or nil if there is none.
func (m *Message) Get(name string) []byte {
	for _, field := range m.fields {
		if equalFold(m.head[field.nameStart:field.nameEnd], name) {
			return m.head[field.valueStart:field.valueEnd]
		}
	}
	return nil
}

// Status returns the status code of an answer.
func (m *Message) Status() int {
	n, err := strconv.Atoi(string(m.Start[1]))
	if err != nil {
		return 0
	}
	return n
}
