// Package protocol holds the forwarder's wire formats: HTTP/1.1 heads and bodies, the clients' and endpoints'
// messages in them, discovery's list and the platform's notices. Everything here is fed bytes and gives bytes; it
// knows no socket and no clock, so that a transport of any kind can drive it.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Bounds of what a peer may send.
const (
	MaxHeadBytes = 16 << 10 // bytes of a head
	MaxBodyBytes = 64 << 10 // bytes of a message's body
	mostLines    = 100      // lines of a head
	mostChunk    = 256      // bytes of a chunk's size line, or of a trailer line
	firstRoom    = 2 << 10  // bytes a parser starts with

	mostInterim = 16 // answers with 1xx in front of one
)

// The errors of a message that can't be read. A Refusal's status follows from them.
var (
	ErrMalformed = errors.New("protocol: malformed message")
	ErrHeadSize  = errors.New("protocol: head too large")
	ErrBodySize  = errors.New("protocol: body too large")
	ErrEncoding  = errors.New("protocol: transfer encoding not supported")
)

// Field is one line of a head.
type Field struct{ Name, Value []byte }

// Message is one that was read whole. Its slices lie in the parser's buffer and hold until the parser moves on.
type Message struct {
	Start  [3][]byte // method, target and version, or version, status and reason
	Fields []Field
	Body   []byte
	Close  bool // the connection ends with it
	Long   bool // Body is only what came with the head; Parser.Rest gives what goes on
}

// Get is the value of a head's field; nil if there is none.
func (m *Message) Get(name string) []byte {
	for _, f := range m.Fields {
		if equalFold(f.Name, name) {
			return f.Value
		}
	}
	return nil
}

// Status is the code of an answer.
func (m *Message) Status() int {
	n, err := strconv.Atoi(string(m.Start[1]))
	if err != nil {
		return 0
	}
	return n
}

type phase int

const (
	inHead  phase = iota
	inBody        // of a told length
	inChunk       // before a chunk's size line
	inData        // within a chunk and its line end
	inTail        // after the last chunk
	toEnd         // an answer's body that lasts until the connection ends
)

// Parser reads the messages of one connection. Its driver reads into Space, tells Commit how much came, and takes
// messages from Next until there are none. Heads are parsed where they lie; chunked bodies are drawn together in
// place.
type Parser struct {
	answers  bool // reads answers, not requests
	mostBody int
	buf      []byte
	r, w     int // what is unread: buf[r:w]
	phase    phase
	scanned  int // bytes of the head already searched for its end
	head     int // the head's length, its empty line included
	body     int // the body's bytes read into place
	need     int // what is left of the body, or of the chunk with its line end
	long     Streaming
	framing  Framing
	interim  int // answers with 1xx in front of the one that is read
	expects  bool
	msg      Message
	err      error
}

// Streaming says which messages Next gives with their heads alone, the rest of their bodies being read piece by piece.
type Streaming int

// The kinds of messages that are not drawn together.
const (
	StreamNone     Streaming = iota
	StreamLong               // requests whose body is longer than the most, or is awaited and of no told length
	StreamAnswered           // answers with 200
)

// Stream sets which messages are not drawn together. A length that no body may have is still an error.
func (p *Parser) Stream(s Streaming) { p.long = s }

// NewRequestParser reads requests with bodies of most bytes at the most.
func NewRequestParser(most int) *Parser { return &Parser{mostBody: most} }

// NewAnswerParser reads answers with bodies of most bytes at the most.
func NewAnswerParser(most int) *Parser { return &Parser{mostBody: most, answers: true} }

// Idle says that nothing of a next message has come yet.
func (p *Parser) Idle() bool { return p.phase == inHead && p.r == p.w && p.err == nil }

// Space is where the next bytes go; it is never empty.
func (p *Parser) Space() []byte {
	if p.r > 0 && p.phase == inHead { // a message was taken: what is left moves to the front
		p.w = copy(p.buf, p.buf[p.r:p.w])
		p.r = 0
	}
	if p.w == len(p.buf) {
		grown := make([]byte, max(firstRoom, 2*len(p.buf)))
		copy(grown, p.buf[:p.w])
		p.buf = grown
		p.relocate()
	}
	return p.buf[p.w:]
}

// Shrink gives up the room that a large message took; the parser has to be idle.
func (p *Parser) Shrink() {
	if len(p.buf) > firstRoom && p.Idle() {
		p.buf, p.r, p.w = nil, 0, 0
	}
}

// Commit tells how many bytes were put into Space.
func (p *Parser) Commit(n int) { p.w += n }

// relocate parses a head again after its buffer has moved.
func (p *Parser) relocate() {
	if p.phase != inHead {
		_, _ = p.parseHead(p.buf[p.r : p.r+p.head]) // it was read before
	}
}

// Next gives the next whole message, or nil if more bytes are needed. An error is final.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	m, err := p.next()
	p.err = err
	return m, err
}

// Finish tells that no more bytes come. Where the connection has ended, an answer whose body lasts until then is whole.
func (p *Parser) Finish(closed bool) *Message {
	if !closed || p.err != nil || p.phase != toEnd {
		return nil
	}
	p.body = p.w - p.r - p.head
	m := p.finish(p.w)
	m.Close = true
	return m
}

// Status is what the first line says of an answer that has begun, also of one that can't be read further; 0 until that
// line is there.
func (p *Parser) Status() int {
	if p.phase == inHead {
		line, _, ok := bytes.Cut(p.buf[p.r:p.w], []byte("\r\n"))
		if !ok || p.startLine(line) != nil {
			return 0
		}
	}
	return p.msg.Status()
}

// Reset makes the parser ready for another connection.
func (p *Parser) Reset() {
	buf := p.buf
	if len(buf) > firstRoom {
		buf = nil
	}
	*p = Parser{answers: p.answers, mostBody: p.mostBody, long: p.long, buf: buf, msg: Message{Fields: p.msg.Fields[:0]}}
}

// Continue says, once, that a peer waits to be told to go on with its body.
func (p *Parser) Continue() bool {
	expects := p.phase != inHead && p.w == p.r+p.head && p.expects
	p.expects = false
	return expects
}

func (p *Parser) next() (*Message, error) {
	for {
		switch p.phase {
		case inHead:
			ok, err := p.findHead()
			if !ok || err != nil {
				return nil, err
			}
			if p.streams() {
				return p.longMessage(), nil
			}
			if p.need > p.mostBody {
				return nil, ErrBodySize
			}
		case inBody:
			if p.w-p.r-p.head < p.need {
				return nil, nil
			}
			p.body = p.need
			return p.finish(p.r + p.head + p.need), nil
		case toEnd:
			if p.w-p.r-p.head > p.mostBody {
				return nil, ErrBodySize
			}
			return nil, nil
		default:
			m, more, err := p.chunk()
			if m != nil || more || err != nil {
				return m, err
			}
		}
	}
}

// finish hands a message out; the unread bytes start at end.
func (p *Parser) finish(end int) *Message {
	at := p.r + p.head
	p.msg.Body = p.buf[at : at+p.body : at+p.body]
	p.r, p.phase, p.scanned, p.head, p.body, p.need = end, inHead, 0, 0, 0, 0
	return &p.msg
}

// findHead looks for a whole head and starts on its body.
func (p *Parser) findHead() (bool, error) {
	for p.scanned == 0 && p.r < p.w && (p.buf[p.r] == '\r' || p.buf[p.r] == '\n') && !p.answers {
		p.r++ // empty lines before a request are passed over
	}
	unread := p.buf[p.r:p.w]
	from := max(0, p.scanned-3)
	at := bytes.Index(unread[from:], []byte("\r\n\r\n"))
	if at < 0 {
		if p.scanned = len(unread); p.scanned > MaxHeadBytes {
			return false, ErrHeadSize
		}
		return false, nil
	}
	p.head = from + at + 4
	if p.head > MaxHeadBytes {
		return false, ErrHeadSize
	}
	next, err := p.parseHead(unread[:p.head])
	if err != nil {
		return false, err
	}
	if status := p.msg.Status(); p.answers && status < 200 { // interim: the answer proper follows
		if p.interim++; p.interim > mostInterim || status < 100 || status == 101 {
			return false, fmt.Errorf("%w: interim answers", ErrMalformed)
		}
		p.r += p.head
		p.scanned, p.head = 0, 0
		return p.findHead()
	}
	p.interim = 0
	p.phase = next
	return true, nil
}

// streams says that the body of the message whose head was read is not to be drawn together.
func (p *Parser) streams() bool {
	switch p.long {
	case StreamLong:
		return p.need > p.mostBody || p.framing == Chunked && p.expects
	case StreamAnswered:
		return p.msg.Status() == 200
	}
	return false
}

// longMessage hands out a message whose body is not drawn together.
func (p *Parser) longMessage() *Message {
	p.msg.Long = true
	at := p.r + p.head
	p.msg.Body = p.buf[at : at+p.body : at+p.body]
	return &p.msg
}

// Rest says how the body of a message with Long goes on, of most bytes in all: what follows Message.Body, and the bytes
// of that which have come, which hold until the parser's next move. It reads nothing further until Reset.
func (p *Parser) Rest(most int64) (body *Body, raw []byte, err error) {
	if body, err = NewBody(p.framing, int64(p.need), most); err != nil {
		return nil, nil, err
	}
	if p.phase == inData { // it was found to be long on the way, just behind a chunk's size line
		body.phase, body.left, body.content = bodyData, int64(p.need-2), int64(p.body)
		if body.left > most-body.content {
			return nil, nil, ErrBodySize
		}
	}
	return body, p.buf[p.r+p.head+p.body : p.w], nil
}

// parseHead reads a head where it lies and tells how its body goes on.
func (p *Parser) parseHead(head []byte) (phase, error) {
	m := &p.msg
	m.Fields, m.Close, m.Long, p.expects, p.framing = m.Fields[:0], false, false, false, ByLength
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	if err := p.startLine(line); err != nil {
		return 0, err
	}
	length, chunked := -1, false
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || len(m.Fields) == mostLines || !isText(value) && !(p.answers && equalFold(name, loadReport)) {
			return 0, fmt.Errorf("%w: head line", ErrMalformed)
		}
		f := Field{Name: name, Value: bytes.Trim(value, " \t")}
		m.Fields = append(m.Fields, f)
		switch {
		case equalFold(name, "Content-Length"):
			n, ok := number(f.Value)
			if !ok || length >= 0 { // a repeated one, too: others may read another of them
				return 0, fmt.Errorf("%w: length", ErrMalformed)
			}
			length = n
		case equalFold(name, "Transfer-Encoding"):
			if chunked || !equalFold(f.Value, "chunked") {
				return 0, ErrEncoding
			}
			chunked = true
		case equalFold(name, "Expect"):
			p.expects = equalFold(f.Value, "100-continue")
		case equalFold(name, "Connection"):
			for token := range bytes.SplitSeq(f.Value, []byte(",")) {
				m.Close = m.Close || equalFold(bytes.Trim(token, " \t"), "close")
			}
		}
	}
	switch {
	case chunked && length >= 0: // two lengths: a way to smuggle a request past a front
		return 0, fmt.Errorf("%w: two lengths", ErrMalformed)
	case p.answers && bodyless(m.Status()):
		p.need = 0
		return inBody, nil
	case chunked:
		p.framing = Chunked
		return inChunk, nil
	case length < 0 && p.answers:
		m.Close, p.framing = true, UntilClose
		return toEnd, nil
	}
	p.need = max(0, length)
	return inBody, nil
}

func (p *Parser) startLine(line []byte) error {
	a, rest, ok := bytes.Cut(line, []byte(" "))
	b, c, more := bytes.Cut(rest, []byte(" "))
	version := c
	if p.answers {
		version = a
	}
	switch {
	case !ok || !isText(line):
		return fmt.Errorf("%w: start line", ErrMalformed)
	case string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0":
		return fmt.Errorf("%w: version", ErrMalformed)
	case p.answers && (len(b) != 3 || !digits(b)):
		return fmt.Errorf("%w: status", ErrMalformed)
	case !p.answers && (!more || !isToken(a) || len(b) == 0 || bytes.IndexByte(c, ' ') >= 0):
		return fmt.Errorf("%w: start line", ErrMalformed)
	}
	p.msg.Close = version[7] == '0'
	p.msg.Start = [3][]byte{a, b, c}
	return nil
}

// chunk takes one step of a chunked body; more asks for further bytes.
func (p *Parser) chunk() (m *Message, more bool, err error) {
	at := p.r + p.head + p.body // where the body's next byte goes, and where the unread ones start
	unread := p.buf[at:p.w]
	switch p.phase {
	case inData:
		n := min(len(unread), p.need-2)
		if n > 0 {
			p.body += n
			p.need -= n
			return nil, false, nil
		}
		if len(unread) < p.need {
			return nil, true, nil
		}
		if string(unread[:p.need]) != "\r\n" {
			return nil, false, fmt.Errorf("%w: chunk end", ErrMalformed)
		}
		p.drop(at, 2)
		p.phase = inChunk
		return nil, false, nil
	}
	line, _, ok := bytes.Cut(unread, []byte("\r\n"))
	if !ok {
		if len(unread) > mostChunk {
			return nil, false, fmt.Errorf("%w: chunk line", ErrMalformed)
		}
		return nil, true, nil
	}
	if p.phase == inTail {
		if len(line) > 0 { // a trailer
			p.drop(at, len(line)+2)
			return nil, false, nil
		}
		return p.finish(at + 2), false, nil
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, ok := hexNumber(bytes.Trim(size, " \t"))
	if !ok {
		return nil, false, fmt.Errorf("%w: chunk size", ErrMalformed)
	}
	long := int(n) > p.mostBody-p.body
	if long && p.long != StreamLong {
		return nil, false, ErrBodySize
	}
	p.drop(at, len(line)+2)
	if p.phase, p.need = inData, int(n)+2; n == 0 {
		p.phase, p.need = inTail, 0
	}
	if long {
		return p.longMessage(), false, nil
	}
	return nil, false, nil
}

// drop takes n bytes out of the buffer at a place, so that a chunked body lies in one piece.
func (p *Parser) drop(at, n int) {
	copy(p.buf[at:], p.buf[at+n:p.w])
	p.w -= n
}

// bodyless are the answers that never have a body.
func bodyless(status int) bool { return status < 200 || status == 204 || status == 304 }

// equalFold compares ASCII text without regard to case.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(s[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

func digits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// number reads a plain decimal of up to 15 digits: no sign, no space.
func number(b []byte) (int, bool) {
	if !digits(b) || len(b) > 15 {
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

// isText says that a line holds no control bytes (a bare CR or LF above all), which other parsers read otherwise.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
