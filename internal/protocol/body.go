package protocol

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Framing is how the end of a body is determined (RFC 9112, section 6.3).
type Framing int

// The values of Framing.
const (
	ByLength   Framing = iota // Content-Length
	Chunked                   // Transfer-Encoding: chunked
	UntilClose                // a response body that extends to the end of the connection
)

const (
	maxTrailerBytes    = 4 << 10 // bytes of all trailer lines that are forwarded with a body; dropped ones have a head's limits
	maxTrailerLines    = 32      // lines of these
	maxChunkSizeDigits = 15      // hexadecimal digits of a chunk size, so that it fits an int64

	maxWholeChunkDigits = 6 // hexadecimal digits of the size of a chunk that is decoded whole
)

var errMissingLineEnd = fmt.Errorf("%w: missing line end after chunk", ErrMalformed)

type bodyPhase int

const (
	bodyData      bodyPhase = iota // content of a ByLength body or of a chunk
	bodyDataEnd                    // the line end after a chunk's content
	bodyChunkSize                  // the size line of a chunk
	bodyTrailer                    // a trailer line after the last chunk
	bodyComplete
)

// Body decodes a body incrementally, where Parser buffers it whole. It is fed the bytes that follow the head on the
// connection and keeps none of the content.
type Body struct {
	framing      Framing
	phase        bodyPhase
	maxContent   int64 // limit on contentBytes
	remaining    int64 // bytes left of the ByLength body or of the current chunk
	contentBytes int64 // content bytes decoded so far
	line         [maxChunkLineBytes + 2]byte
	lineLen      int // bytes of the incomplete line in line
	trailers     []byte
	trailerBytes int  // bytes of all trailer lines
	trailerLines int  // number of trailer lines
	dropTrailers bool // trailers are counted against their limits, and neither checked nor kept
}

// NewBody returns a decoder for a body of up to maxContent bytes of content. The length is used with ByLength only.
func NewBody(framing Framing, length, maxContent int64) (*Body, error) {
	b := &Body{framing: framing, maxContent: maxContent}
	switch {
	case framing == Chunked:
		b.phase = bodyChunkSize
	case framing == ByLength && length > maxContent:
		return nil, ErrBodySize
	case framing == ByLength:
		if b.remaining = length; length == 0 {
			b.phase = bodyComplete
		}
	}
	return b, nil
}

// Complete reports whether the end of the body was reached.
func (b *Body) Complete() bool { return b.phase == bodyComplete }

// ContentBytes returns the number of content bytes decoded so far.
func (b *Body) ContentBytes() int64 { return b.contentBytes }

// Remaining returns the number of bytes still to come of a ByLength body; it is 0 with other framings.
func (b *Body) Remaining() int64 {
	if b.framing != ByLength {
		return 0
	}
	return b.remaining
}

// Skip records that n bytes of a ByLength body, Remaining at most, were forwarded without being decoded.
func (b *Body) Skip(n int64) {
	b.contentBytes += n
	if b.remaining -= n; b.remaining == 0 {
		b.phase = bodyComplete
	}
}

// Trailers returns the trailer lines after the last chunk, each with its line end.
func (b *Body) Trailers() []byte { return b.trailers }

// Decode decodes raw bytes in place: on return raw[:content] holds the content, and raw[used:] does not belong to the
// body. All of raw is used unless the body is complete. An error is final.
func (b *Body) Decode(raw []byte) (content, used int, err error) {
	for used < len(raw) && b.phase != bodyComplete {
		switch b.phase {
		case bodyData:
			n := len(raw) - used
			if b.framing != UntilClose {
				n = int(min(int64(n), b.remaining))
				b.remaining -= int64(n)
			}
			if b.contentBytes += int64(n); b.contentBytes > b.maxContent {
				return content, used, ErrBodySize
			}
			if content != used {
				copy(raw[content:], raw[used:used+n])
			}
			content, used = content+n, used+n
			switch {
			case b.remaining > 0 || b.framing == UntilClose:
			case b.framing == ByLength:
				b.phase = bodyComplete
			default:
				b.phase = bodyDataEnd
			}
		default:
			if b.phase == bodyChunkSize && b.lineLen == 0 {
				content, used = b.decodeWholeChunks(raw, content, used)
			}
			n, line, err := b.readLine(raw[used:])
			if used += n; err != nil {
				return content, used, err
			}
			if line == nil {
				return content, used, nil
			}
			if err := b.handleLine(line); err != nil {
				return content, used, err
			}
		}
	}
	return content, used, nil
}

// Finish records the end of the connection and reports whether the body is complete.
func (b *Body) Finish() bool {
	if b.framing == UntilClose && b.phase == bodyData {
		b.phase = bodyComplete
	}
	return b.phase == bodyComplete
}

// decodeWholeChunks decodes the chunks at raw[used:] that are there whole, within the limit, and have size lines with nothing
// but the size; it leaves others to readLine. It returns the new ends of the content and of the decoded bytes. In small
// chunks most bytes are framing.
func (b *Body) decodeWholeChunks(raw []byte, content, used int) (newContent, newUsed int) {
	for {
		size, next := 0, used
		for next < min(used+maxWholeChunkDigits, len(raw)) && hexValues[raw[next]] >= 0 {
			size = size<<4 | int(hexValues[raw[next]])
			next++
		}
		data := next + 2
		end := data + size
		if size == 0 || len(raw) < end+2 || raw[next] != '\r' || raw[next+1] != '\n' || raw[end] != '\r' || raw[end+1] != '\n' ||
			int64(size) > b.maxContent-b.contentBytes {
			return content, used
		}
		if size == 1 {
			raw[content] = raw[data]
		} else {
			copy(raw[content:], raw[data:end])
		}
		b.contentBytes += int64(size)
		content, used = content+size, end+2
	}
}

// readLine collects one line and returns it without its line end, or nil if more bytes are needed.
func (b *Body) readLine(raw []byte) (used int, line []byte, err error) {
	free := b.line[b.lineLen:]
	lineFeed := bytes.IndexByte(raw, '\n')
	n := lineFeed + 1
	if lineFeed < 0 {
		n = len(raw)
	}
	if n > len(free) {
		return 0, nil, fmt.Errorf("%w: line in chunked body too long", ErrMalformed)
	}
	b.lineLen += copy(free, raw[:n])
	if b.phase == bodyDataEnd && !strings.HasPrefix("\r\n", string(b.line[:b.lineLen])) {
		return n, nil, errMissingLineEnd
	}
	if lineFeed < 0 {
		return n, nil, nil
	}
	line, b.lineLen = b.line[:b.lineLen], 0
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || !isText(line) { // also rejects a bare LF: other parsers may not take it for a line end
		return n, nil, fmt.Errorf("%w: invalid line in chunked body", ErrMalformed)
	}
	return n, line, nil
}

// handleLine processes a complete line.
func (b *Body) handleLine(line []byte) error {
	switch b.phase {
	case bodyDataEnd:
		b.phase = bodyChunkSize
	case bodyChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, ok := parseHex(bytes.TrimRight(size, " \t"))
		switch {
		case !ok:
			return fmt.Errorf("%w: invalid chunk size", ErrMalformed)
		case n == 0:
			b.phase = bodyTrailer
		default:
			b.phase, b.remaining = bodyData, n
			return b.checkLimit()
		}
	case bodyTrailer:
		if len(line) == 0 {
			b.phase = bodyComplete
			return nil
		}
		return b.addTrailer(line)
	}
	return nil
}

// addTrailer processes a trailer line.
func (b *Body) addTrailer(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !b.dropTrailers && (!ok || !isToken(name) || forbiddenInTrailer(name)) {
		return fmt.Errorf("%w: invalid trailer", ErrMalformed)
	}
	b.trailerLines++
	b.trailerBytes += len(line) + 2
	maxLines, maxBytes := maxTrailerLines, maxTrailerBytes
	if b.dropTrailers { // none is held
		maxLines, maxBytes = maxHeadLines, MaxHeadBytes
	}
	if b.trailerLines > maxLines || b.trailerBytes > maxBytes {
		return fmt.Errorf("%w: trailers too large", ErrMalformed)
	}
	if !b.dropTrailers {
		b.trailers = append(append(b.trailers, line...), "\r\n"...)
	}
	return nil
}

// checkLimit returns ErrBodySize if the current chunk exceeds the limit.
func (b *Body) checkLimit() error {
	if b.remaining > b.maxContent-b.contentBytes {
		return ErrBodySize
	}
	return nil
}

// raiseLimit continues a body whose current chunk has exceeded its limit with a higher one.
func (b *Body) raiseLimit(maxContent int64) error {
	b.maxContent = maxContent
	return b.checkLimit()
}

// forbiddenInTrailer reports whether a field must not be sent as a trailer (RFC 9110, section 6.5.1): a recipient that
// merges trailers into the header would read a different message.
func forbiddenInTrailer(name []byte) bool {
	for _, f := range []string{"Content-Length", "Transfer-Encoding", "Host", "Connection", "Trailer", "X-Request-ID", "Idempotency-Key"} {
		if equalFold(name, f) {
			return true
		}
	}
	return false
}

// parseHex parses a chunk size.
func parseHex(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > maxChunkSizeDigits {
		return 0, false
	}
	n := int64(0)
	for _, c := range b {
		if hexValues[c] < 0 {
			return 0, false
		}
		n = n<<4 | int64(hexValues[c])
	}
	return n, true
}

// hexValues are the values of the hexadecimal digits, and below 0 for other bytes.
var hexValues = func() (values [256]int8) {
	for c := range values {
		values[c] = int8(bytes.IndexByte([]byte("0123456789abcdef"), toLower(byte(c))))
	}
	return values
}()

// AppendChunkHead appends the size line of a chunk of n bytes. The caller writes the line end after the chunk.
func AppendChunkHead(b []byte, n int) []byte {
	return append(strconv.AppendInt(b, int64(n), 16), "\r\n"...)
}

// AppendLastChunk appends the last chunk and the trailers of a chunked body.
func AppendLastChunk(b, trailers []byte) []byte {
	return append(append(append(b, "0\r\n"...), trailers...), "\r\n"...)
}

// Framing returns the framing of the body of the message that Next returned last, and its length with ByLength.
func (p *Parser) Framing() (Framing, int64) { return p.framing, int64(p.remaining) }

// forwardedFields lists the fields of an endpoint's answer that are forwarded to the client: those describing the body.
var forwardedFields = []string{"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition", "Last-Modified", "ETag"}

// AppendDelivered appends the head of the response that reports a delivery to a client. The answer is the endpoint's,
// whose body follows; nil stands for one that could not be parsed after its status line.
func AppendDelivered(b []byte, answer *Message, framing Framing, length int64, closeConn bool) []byte {
	b = append(b, "HTTP/1.1 200 OK"...)
	if answer == nil {
		b = append(b, "\r\nX-Answer-Spoilt: 1"...)
	} else {
		for _, name := range forwardedFields {
			if value := answer.Get(name); value != nil {
				b = append(append(append(append(b, "\r\n"...), name...), ": "...), value...)
			}
		}
	}
	switch framing {
	case ByLength:
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), length, 10)
	case Chunked:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case UntilClose:
		closeConn = true
	}
	if closeConn {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}

// StreamHead is the head of a call whose body is streamed after it.
type StreamHead struct {
	Call
	Framing Framing
	Length  int64 // with ByLength
}

// AppendStreamHead appends the head of a streamed call.
func AppendStreamHead(b []byte, head StreamHead) []byte {
	b = append(append(b, "POST /v1/messages HTTP/1.1\r\nHost: "...), head.Host...)
	b = appendTimeout(b, head.Timeout)
	if head.Framing == Chunked {
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	} else {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), head.Length, 10)
	}
	b = append(append(b, "\r\nX-Request-ID: "...), head.ID...)
	if head.Key != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), head.Key...)
	}
	return append(b, "\r\n\r\n"...)
}
