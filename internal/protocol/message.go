// Package protocol implements the forwarder's wire formats: HTTP/1.1 heads and bodies, the requests and responses of
// clients and endpoints, discovery's list and the platform's delivery reports. It consumes and produces bytes and uses
// no sockets and no clock, so that any transport can drive it.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Limits on what a peer may send.
const (
	MaxHeadBytes       = 16 << 10 // bytes of a head
	MaxBodyBytes       = 64 << 10 // bytes of a message body
	maxHeadLines       = 100      // header lines of a head
	maxChunkLineBytes  = 256      // bytes of a chunk size line or of a trailer line
	initialBufferBytes = 2 << 10  // initial size of a parser's buffer

	maxInterimAnswers = 16 // 1xx answers before the final one
)

// The parse errors. ParseErrorRefusal maps them to a status.
var (
	ErrMalformed = errors.New("protocol: malformed message")
	ErrHeadSize  = errors.New("protocol: head too large")
	ErrBodySize  = errors.New("protocol: body too large")
	ErrEncoding  = errors.New("protocol: transfer encoding not supported")
)

// Field is one header field.
type Field struct{ Name, Value []byte }

// Message is a parsed message. Its slices point into the parser's buffer and are valid until Space, Next or Reset.
type Message struct {
	Start  [3][]byte // method, target and version, or version, status and reason
	Fields []Field
	Body   []byte
	Close  bool // the connection is closed after the message
	Long   bool // Body holds only what was buffered with the head; Parser.Rest returns the remainder
}

// Get returns the value of a header field, or nil if there is none.
func (m *Message) Get(name string) []byte {
	for _, f := range m.Fields {
		if equalFold(f.Name, name) {
			return f.Value
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

type phase int

const (
	inHead           phase = iota
	inBody                 // a body of known length
	inChunkedBody          // a chunked body, with its trailers
	inBodyUntilClose       // an answer's body that extends to the end of the connection
)

// Parser parses the messages of one connection. Its driver reads into Space, passes the number of bytes to Commit, and
// calls Next until it returns nil. Heads are parsed in place; chunked bodies are joined in place.
type Parser struct {
	readsAnswers    bool // parses answers instead of requests
	maxBody         int
	buf             []byte
	start, end      int // buf[start:end] is unparsed
	phase           phase
	scanned         int  // bytes already searched for the end of the head
	headLen         int  // length of the head, including its empty line
	bodyLen         int  // bytes of the body that are in place
	remaining       int  // length of a body of known length
	decoder         Body // of a chunked body
	streaming       Streaming
	framing         Framing
	interimAnswers  int // 1xx answers before the current one
	expectsContinue bool
	msg             Message
	err             error
}

// Streaming selects the messages that Next returns as soon as the head is parsed; their bodies are read with Body.
type Streaming int

// The values of Streaming.
const (
	StreamNone     Streaming = iota
	StreamLong               // requests whose body exceeds the limit, and chunked ones with Expect: 100-continue
	StreamAnswered           // answers with 200
)

// Stream sets which messages are streamed instead of buffered. An invalid length is still an error.
func (p *Parser) Stream(s Streaming) { p.streaming = s }

// NewRequestParser returns a parser of requests with bodies of up to maxBody bytes.
func NewRequestParser(maxBody int) *Parser { return &Parser{maxBody: maxBody} }

// NewAnswerParser returns a parser of answers with bodies of up to maxBody bytes.
func NewAnswerParser(maxBody int) *Parser { return &Parser{maxBody: maxBody, readsAnswers: true} }

// Idle reports whether no byte of the next message was received yet.
func (p *Parser) Idle() bool { return p.phase == inHead && p.start == p.end && p.err == nil }

// Buffered returns the bytes behind the latest message. They are valid until Space, Next or Reset.
func (p *Parser) Buffered() []byte { return p.buf[p.start:p.end] }

// Space returns the buffer for the next bytes; it is never empty.
func (p *Parser) Space() []byte {
	if p.start > 0 && p.phase == inHead { // a message was consumed: move the unparsed bytes to the front
		p.end = copy(p.buf, p.buf[p.start:p.end])
		p.start = 0
	}
	if p.end == len(p.buf) {
		grown := make([]byte, max(initialBufferBytes, 2*len(p.buf)))
		copy(grown, p.buf[:p.end])
		p.buf = grown
		p.reparseHead()
	}
	return p.buf[p.end:]
}

// HeldBytes returns the memory of the parser's buffer.
func (p *Parser) HeldBytes() int { return cap(p.buf) }

// Shrink releases the buffer of a large message if the parser is idle.
func (p *Parser) Shrink() {
	if len(p.buf) > initialBufferBytes && p.Idle() {
		p.buf, p.start, p.end = nil, 0, 0
	}
}

// Commit records that n bytes were written into Space.
func (p *Parser) Commit(n int) { p.end += n }

// reparseHead parses the head again after the buffer was reallocated.
func (p *Parser) reparseHead() {
	if p.phase != inHead {
		_, _ = p.parseHead(p.buf[p.start : p.start+p.headLen]) // the head was valid before
	}
}

// Next returns the next complete message, or nil if more bytes are needed. An error is final.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	m, err := p.next()
	p.err = err
	return m, err
}

// Finish records that no more bytes follow. If the connection was closed, an answer whose body extends to the end of
// the connection is complete and is returned.
func (p *Parser) Finish(closed bool) *Message {
	if !closed || p.err != nil || p.phase != inBodyUntilClose {
		return nil
	}
	p.bodyLen = p.end - p.start - p.headLen
	m := p.completeMessage(p.end)
	m.Close = true
	return m
}

// Status returns the status code of the answer being parsed, even if its remainder is malformed. It is 0 until the
// status line is complete.
func (p *Parser) Status() int {
	if p.phase == inHead {
		line, _, ok := bytes.Cut(p.buf[p.start:p.end], []byte("\r\n"))
		if !ok || p.parseStartLine(line) != nil {
			return 0
		}
	}
	return p.msg.Status()
}

// Reset prepares the parser for another connection.
func (p *Parser) Reset() {
	buf := p.buf
	if len(buf) > initialBufferBytes {
		buf = nil
	}
	*p = Parser{readsAnswers: p.readsAnswers, maxBody: p.maxBody, streaming: p.streaming, buf: buf, msg: Message{Fields: p.msg.Fields[:0]}}
}

// Continue reports, once per message, that the peer waits for a 100 Continue response before sending its body.
func (p *Parser) Continue() bool {
	waiting := p.phase != inHead && p.end == p.start+p.headLen && p.expectsContinue
	p.expectsContinue = false
	return waiting
}

func (p *Parser) next() (*Message, error) {
	for {
		switch p.phase {
		case inHead:
			ok, err := p.findHead()
			if !ok || err != nil {
				return nil, err
			}
			if p.streamsBody() {
				return p.streamedMessage(), nil
			}
			if p.remaining > p.maxBody {
				return nil, ErrBodySize
			}
		case inBody:
			if p.end-p.start-p.headLen < p.remaining {
				return nil, nil
			}
			p.bodyLen = p.remaining
			return p.completeMessage(p.start + p.headLen + p.remaining), nil
		case inBodyUntilClose:
			if p.end-p.start-p.headLen > p.maxBody {
				return nil, ErrBodySize
			}
			return nil, nil
		default:
			return p.decodeChunks()
		}
	}
}

// completeMessage returns the parsed message; the unparsed bytes start at next.
func (p *Parser) completeMessage(next int) *Message {
	bodyStart := p.start + p.headLen
	p.msg.Body = p.buf[bodyStart : bodyStart+p.bodyLen : bodyStart+p.bodyLen]
	p.start, p.phase, p.scanned, p.headLen, p.bodyLen, p.remaining = next, inHead, 0, 0, 0, 0
	return &p.msg
}

// findHead searches for a complete head, parses it and sets the phase for its body.
func (p *Parser) findHead() (bool, error) {
	for p.scanned == 0 && p.start < p.end && (p.buf[p.start] == '\r' || p.buf[p.start] == '\n') && !p.readsAnswers {
		p.start++ // skip empty lines before a request
	}
	unread := p.buf[p.start:p.end]
	searchFrom := max(0, p.scanned-3)
	index := bytes.Index(unread[searchFrom:], []byte("\r\n\r\n"))
	if index < 0 {
		if p.scanned = len(unread); p.scanned > MaxHeadBytes {
			return false, ErrHeadSize
		}
		return false, nil
	}
	p.headLen = searchFrom + index + 4
	if p.headLen > MaxHeadBytes {
		return false, ErrHeadSize
	}
	nextPhase, err := p.parseHead(unread[:p.headLen])
	if err != nil {
		return false, err
	}
	if status := p.msg.Status(); p.readsAnswers && status < 200 { // interim: the final answer follows
		if p.interimAnswers++; p.interimAnswers > maxInterimAnswers || status < 100 || status == 101 {
			return false, fmt.Errorf("%w: too many or unsupported interim answers", ErrMalformed)
		}
		p.start += p.headLen
		p.scanned, p.headLen = 0, 0
		return p.findHead()
	}
	p.interimAnswers = 0
	if p.phase = nextPhase; nextPhase == inChunkedBody {
		p.decoder = Body{framing: Chunked, phase: bodyChunkSize, maxContent: int64(p.maxBody), dropTrailers: true}
	}
	return true, nil
}

// streamsBody reports whether the message whose head was parsed is returned without buffering its body.
func (p *Parser) streamsBody() bool {
	switch p.streaming {
	case StreamLong:
		return p.remaining > p.maxBody || p.framing == Chunked && p.expectsContinue
	case StreamAnswered:
		return p.msg.Status() == 200
	}
	return false
}

// streamedMessage returns a message whose body is read with Rest.
func (p *Parser) streamedMessage() *Message {
	p.msg.Long = true
	bodyStart := p.start + p.headLen
	p.msg.Body = p.buf[bodyStart : bodyStart+p.bodyLen : bodyStart+p.bodyLen]
	return &p.msg
}

// Rest returns a decoder for the body of a message with Long set, up to maxContent bytes in all, that continues after
// Message.Body, and the raw bytes that are already buffered, which are valid until Reset. The parser parses nothing
// further until then.
func (p *Parser) Rest(maxContent int64) (body *Body, raw []byte, err error) {
	if p.framing == Chunked {
		decoder := p.decoder
		decoder.dropTrailers = false
		body, err = &decoder, decoder.raiseLimit(maxContent)
	} else {
		body, err = NewBody(p.framing, int64(p.remaining), maxContent)
	}
	if err != nil {
		return nil, nil, err
	}
	return body, p.buf[p.start+p.headLen+p.bodyLen : p.end], nil
}

// parseHead parses a head in place and returns the phase for its body.
func (p *Parser) parseHead(head []byte) (phase, error) {
	msg := &p.msg
	msg.Fields, msg.Close, msg.Long, p.expectsContinue, p.framing = msg.Fields[:0], false, false, false, ByLength
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	if err := p.parseStartLine(line); err != nil {
		return 0, err
	}
	length, chunked := -1, false
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || len(msg.Fields) == maxHeadLines || !isText(value) && !(p.readsAnswers && equalFold(name, loadReportHeader)) {
			return 0, fmt.Errorf("%w: invalid header line", ErrMalformed)
		}
		f := Field{Name: name, Value: bytes.Trim(value, " \t")}
		msg.Fields = append(msg.Fields, f)
		switch {
		case equalFold(name, "Content-Length"):
			number, ok := parseDecimal(f.Value)
			if !ok || length >= 0 { // also rejects a repeated one: other parsers may use another of the values
				return 0, fmt.Errorf("%w: invalid Content-Length", ErrMalformed)
			}
			length = number
		case equalFold(name, "Transfer-Encoding"):
			if chunked || !equalFold(f.Value, "chunked") {
				return 0, ErrEncoding
			}
			chunked = true
		case equalFold(name, "Expect"):
			p.expectsContinue = equalFold(f.Value, "100-continue")
		case equalFold(name, "Connection"):
			for token := range bytes.SplitSeq(f.Value, []byte(",")) {
				msg.Close = msg.Close || equalFold(bytes.Trim(token, " \t"), "close")
			}
		}
	}
	switch {
	case chunked && length >= 0: // would allow request smuggling past a proxy
		return 0, fmt.Errorf("%w: both Content-Length and Transfer-Encoding", ErrMalformed)
	case p.readsAnswers && hasNoBody(msg.Status()):
		p.remaining = 0
		return inBody, nil
	case chunked:
		p.framing = Chunked
		return inChunkedBody, nil
	case length < 0 && p.readsAnswers:
		msg.Close, p.framing = true, UntilClose
		return inBodyUntilClose, nil
	}
	p.remaining = max(0, length)
	return inBody, nil
}

func (p *Parser) parseStartLine(line []byte) error {
	first, rest, ok := bytes.Cut(line, []byte(" "))
	second, third, hasThird := bytes.Cut(rest, []byte(" "))
	version := third
	if p.readsAnswers {
		version = first
	}
	switch {
	case !ok || !isText(line):
		return fmt.Errorf("%w: invalid start line", ErrMalformed)
	case string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0":
		return fmt.Errorf("%w: unsupported version", ErrMalformed)
	case p.readsAnswers && (len(second) != 3 || !isDigits(second)):
		return fmt.Errorf("%w: invalid status", ErrMalformed)
	case !p.readsAnswers && (!hasThird || !isToken(first) || len(second) == 0 || bytes.IndexByte(third, ' ') >= 0):
		return fmt.Errorf("%w: invalid start line", ErrMalformed)
	}
	p.msg.Close = version[7] == '0'
	p.msg.Start = [3][]byte{first, second, third}
	return nil
}

// decodeChunks decodes what was received of a chunked body, in place and in one pass. The content lies behind the head, without
// a gap, and what is not content is dropped.
func (p *Parser) decodeChunks() (*Message, error) {
	contentEnd := p.start + p.headLen + p.bodyLen // all bytes before have been decoded
	content, used, err := p.decoder.Decode(p.buf[contentEnd:p.end])
	p.bodyLen += content
	switch {
	case errors.Is(err, ErrBodySize) && p.streaming == StreamLong:
		p.end = contentEnd + content + copy(p.buf[contentEnd+content:], p.buf[contentEnd+used:p.end])
		return p.streamedMessage(), nil
	case err != nil:
		return nil, err
	case p.decoder.Complete():
		return p.completeMessage(contentEnd + used), nil
	}
	p.end = contentEnd + content
	return nil, nil
}

// hasNoBody reports whether answers with a status never have a body.
func hasNoBody(status int) bool { return status < 200 || status == 204 || status == 304 }

// equalFold reports whether two ASCII texts are equal, ignoring case.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if toLower(b[i]) != toLower(s[i]) {
			return false
		}
	}
	return true
}

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// parseDecimal parses a decimal number of up to 15 digits, without sign or space.
func parseDecimal(b []byte) (int, bool) {
	if !isDigits(b) || len(b) > 15 {
		return 0, false
	}
	n, err := strconv.Atoi(string(b))
	return n, err == nil
}

func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether a line has no control bytes. Other parsers treat these, a bare CR or LF above all,
// differently.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
