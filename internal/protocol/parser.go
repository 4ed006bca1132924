package protocol

import (
	"bytes"
	"errors"
	"unsafe"
)

// The memory of a parser. A request's body that does not fit the buffer gets memory of its own and is read no further than its
// end, so that nothing is held of the requests behind it, however many have arrived.
const (
	initialBufferBytes = 2 << 10                           // initial size of the buffer
	maxHeadBuffer      = MaxHeadBytes + initialBufferBytes // size of the buffer for the largest head
	readAheadBytes     = 8 << 10                           // bytes behind a chunk that are read with it: small chunks need fewer reads
	surplusBytes       = 512                               // bytes behind an answer that are read with it, to recognize a second one
	minBodyBuffer      = 8 << 10                           // initial memory of a body of unknown length
	minSpaceBytes      = 512                               // least space for a read into a body of unknown length

	// MaxRequestMemory is the most memory that a parser of requests holds, with bodies of up to MaxBodyBytes.
	MaxRequestMemory = MaxHeadBytes + readAheadBytes + MaxBodyBytes + readAheadBytes + maxFieldsBytes
	maxFieldsBytes   = 1 << 10 // of maxHeadLines header fields, in a slice that has grown
)

type phase int

const (
	inHead           phase = iota
	inBody                 // a body of known length
	inChunkedBody          // a chunked body, with its trailers
	inBodyUntilClose       // an answer's body that extends to the end of the connection
)

// Parser parses the messages of one connection. Its driver reads into Space, passes the number of bytes to Commit, and
// calls Next until it returns nil. Heads are parsed in place, in a buffer; a body stays there if it fits, and has memory of its
// own otherwise. Chunked bodies are joined in place.
type Parser struct {
	readsAnswers    bool // parses answers instead of requests
	maxBody         int
	buf             []byte
	start, end      int    // buf[start:end] is unparsed: the current message from its head on, as far as it is not in body
	body            []byte // memory of the current body if it does not fit buf, as far as it was received; otherwise nil
	phase           phase
	scanned         int    // bytes already searched for the end of the head
	headLen         int    // length of the head, including its empty line
	bodyLen         int    // content bytes of a chunked body that were decoded
	remaining       int    // length of a body of known length
	decoder         Body   // of a chunked body
	rest            []byte // raw bytes of a streamed message that are not decoded
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

// HeldBytes returns the memory that the parser holds. The body of a message that Next has returned no longer counts.
func (p *Parser) HeldBytes() int {
	return cap(p.buf) + cap(p.body) + cap(p.msg.fields)*int(unsafe.Sizeof(headerField{}))
}

// SpaceBytes returns how much more memory the parser holds at the most once Space was called.
func (p *Parser) SpaceBytes() int {
	switch {
	case p.body != nil:
		return p.bodyGrowthBytes()
	case p.bodyOutgrowsBuffer():
		return p.separateBodySize() + p.readAheadGrowth(p.headLen)
	case p.end-p.start == len(p.buf):
		return p.nextBufferSize() - len(p.buf)
	}
	return 0
}

// nextBufferSize returns the size of the buffer after it has grown.
func (p *Parser) nextBufferSize() int {
	return min(max(initialBufferBytes, 2*len(p.buf)), maxHeadBuffer)
}

// readAheadGrowth returns by how much the buffer grows, if it does, to hold what is read behind the chunks of a body.
func (p *Parser) readAheadGrowth(used int) int {
	if p.phase != inChunkedBody {
		return 0
	}
	return max(0, used+readAheadBytes-len(p.buf))
}

// Space returns the buffer for the next bytes; it is never empty. What was returned of the latest message is no longer valid.
func (p *Parser) Space() []byte {
	p.msg.Body = nil
	if p.body == nil && p.bodyOutgrowsBuffer() {
		p.moveBodyOut()
	}
	if p.body != nil {
		return p.bodySpace()
	}
	if p.phase == inHead || len(p.buf)-p.end < minSpaceBytes {
		p.moveToFront()
	}
	if p.end == len(p.buf) {
		p.growBuffer(p.nextBufferSize())
	}
	return p.buf[p.end:]
}

// bodyOutgrowsBuffer reports whether the current body has to be read into memory of its own.
func (p *Parser) bodyOutgrowsBuffer() bool {
	switch p.phase {
	case inHead:
		return false
	case inBody:
		return p.headLen+p.remaining > len(p.buf)
	}
	return len(p.buf)-(p.end-p.start) < minSpaceBytes
}

// moveBodyOut gives the current body memory of its own.
func (p *Parser) moveBodyOut() {
	received := p.buf[p.start+p.headLen : p.end]
	p.body = append(make([]byte, 0, p.separateBodySize()), received...)
	p.end = p.start + p.headLen
	p.moveToFront()
	if p.phase == inChunkedBody && len(p.buf)-p.end < minSpaceBytes {
		p.growBuffer(p.end + readAheadBytes)
	}
}

// separateBodySize returns the memory that a body is given once it outgrows the buffer.
func (p *Parser) separateBodySize() int {
	switch {
	case p.phase != inBody:
		return max(minBodyBuffer, 2*(p.end-p.start-p.headLen))
	case p.readsAnswers:
		return p.remaining + surplusBytes
	}
	return p.remaining
}

// bodySpace returns the space for the next bytes of a body with memory of its own. What may be read behind the body fits the
// buffer.
func (p *Parser) bodySpace() []byte {
	p.growBody()
	received, bufferSpace := len(p.body), len(p.buf)-p.end
	limit := cap(p.body)
	switch p.phase {
	case inBody:
		limit = min(limit, p.remaining+bufferSpace)
	case inChunkedBody:
		limit = min(limit, received+int(p.decoder.remaining)+bufferSpace)
	}
	return p.body[received:limit]
}

// grownBodySize returns the memory that a body of unknown length is given once less than minSpaceBytes of it are left: room for as
// many bytes as are expected, up to a limit that always leaves it minSpaceBytes. It is the present size while nothing changes.
func (p *Parser) grownBodySize() int {
	expected, limit := 0, p.maxBody+minSpaceBytes
	if p.phase == inChunkedBody {
		expected, limit = int(min(p.decoder.remaining, int64(p.maxBody))), p.maxBody+readAheadBytes
	}
	if p.phase == inBody || cap(p.body)-len(p.body) >= minSpaceBytes {
		return cap(p.body)
	}
	return min(max(2*cap(p.body), len(p.body)+expected+minSpaceBytes), limit)
}

// bodyGrowthBytes returns how much more memory growBody takes.
func (p *Parser) bodyGrowthBytes() int {
	size := p.grownBodySize()
	if size == cap(p.body) {
		return 0
	}
	return size - cap(p.body) + p.readAheadGrowth(p.end)
}

// growBody enlarges the memory of a body of unknown length if little is left of it. More is read behind the chunks of a body that
// grows.
func (p *Parser) growBody() {
	size := p.grownBodySize()
	if size == cap(p.body) {
		return
	}
	p.body = append(make([]byte, 0, size), p.body...)
	if p.readAheadGrowth(p.end) > 0 {
		p.growBuffer(p.end + readAheadBytes)
	}
}

// moveToFront moves the unparsed bytes to the front of the buffer.
func (p *Parser) moveToFront() {
	if p.start > 0 {
		p.end = copy(p.buf, p.buf[p.start:p.end])
		p.start = 0
		p.reparseHead()
	}
}

// growBuffer enlarges the buffer.
func (p *Parser) growBuffer(size int) {
	grown := make([]byte, size)
	copy(grown, p.buf[:p.end])
	p.buf = grown
	p.reparseHead()
}

// reparseHead parses the head of the current message again after it was moved.
func (p *Parser) reparseHead() {
	if p.phase != inHead {
		expectsContinue := p.expectsContinue
		_, _ = p.parseHead(p.buf[p.start : p.start+p.headLen]) // the head was valid before
		p.expectsContinue = expectsContinue
	}
}

// Shrink releases the memory of a large message if the parser is idle. The message is no longer valid.
func (p *Parser) Shrink() {
	if !p.Idle() {
		return
	}
	p.msg.Body = nil
	if len(p.buf) > initialBufferBytes {
		p.buf, p.start, p.end = nil, 0, 0
	}
}

// Commit records that n bytes were written into Space.
func (p *Parser) Commit(n int) {
	if p.body != nil {
		p.body = p.body[:len(p.body)+n]
		return
	}
	p.end += n
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
	m := p.completeBody(p.received(), nil)
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

// Release releases the parser's memory. It prepares the parser for another connection.
func (p *Parser) Release() {
	p.Reset()
	p.buf, p.msg.fields = nil, nil
}

// Reset prepares the parser for another connection.
func (p *Parser) Reset() {
	buf := p.buf
	if len(buf) > initialBufferBytes {
		buf = nil
	}
	*p = Parser{readsAnswers: p.readsAnswers, maxBody: p.maxBody, streaming: p.streaming, buf: buf, msg: Message{fields: p.msg.fields[:0]}}
}

// Continue reports, once per message, that the peer waits for a 100 Continue response before sending its body.
func (p *Parser) Continue() bool {
	waiting := p.phase != inHead && len(p.received()) == 0 && p.expectsContinue
	p.expectsContinue = false
	return waiting
}

// received returns what was received of the current body: the content that was decoded, and what is not decoded yet.
func (p *Parser) received() []byte {
	if p.body != nil {
		return p.body
	}
	return p.buf[p.start+p.headLen : p.end]
}

func (p *Parser) next() (*Message, error) {
	if p.phase == inHead {
		ok, err := p.findHead()
		if !ok || err != nil {
			return nil, err
		}
		if p.streamsBody() {
			return p.streamedMessage(p.received()), nil
		}
		if p.remaining > p.maxBody {
			return nil, ErrBodySize
		}
	}
	switch received := p.received(); {
	case p.phase == inChunkedBody:
		return p.decodeChunks(received)
	case p.phase == inBodyUntilClose && len(received) > p.maxBody:
		return nil, ErrBodySize
	case p.phase == inBody && len(received) >= p.remaining:
		return p.completeBody(received[:p.remaining], received[p.remaining:]), nil
	}
	return nil, nil
}

// decodeChunks decodes what was received of a chunked body, in place and in one pass. What is not content is dropped.
func (p *Parser) decodeChunks(received []byte) (*Message, error) {
	content, used, err := p.decoder.Decode(received[p.bodyLen:])
	undecoded := received[p.bodyLen+used:]
	p.bodyLen += content
	switch {
	case errors.Is(err, ErrBodySize) && p.streaming == StreamLong:
		return p.streamedMessage(undecoded), nil
	case err != nil:
		return nil, err
	case p.decoder.Complete():
		return p.completeBody(received[:p.bodyLen], undecoded), nil
	}
	if p.body != nil {
		p.body = received[:p.bodyLen]
	} else {
		p.end = p.start + p.headLen + p.bodyLen
	}
	return nil, nil
}

// completeBody returns the current message, whose body is complete. What was read behind the body is unparsed.
func (p *Parser) completeBody(body, behind []byte) *Message {
	p.msg.Body, p.msg.bodyInBuffer = body[:len(body):len(body)], p.body == nil
	if p.body == nil {
		p.start = p.end - len(behind)
	} else {
		p.start = p.end
		p.end += copy(p.buf[p.end:], behind)
		p.msg.Body = body
	}
	p.body, p.phase, p.scanned, p.headLen, p.bodyLen, p.remaining = nil, inHead, 0, 0, 0, 0
	return &p.msg
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

// streamedMessage returns a message whose body is read with Rest. The undecoded bytes are those received of it besides the
// content that was decoded.
func (p *Parser) streamedMessage(undecoded []byte) *Message {
	p.msg.Long = true
	p.msg.Body, p.msg.bodyInBuffer = p.received()[:p.bodyLen:p.bodyLen], true
	p.rest = undecoded
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
	return body, p.rest, nil
}
