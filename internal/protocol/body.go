package protocol

import (
	"bytes"
	"fmt"
	"strconv"
)

// Framing says how the end of a body is told (RFC 9112, section 6.3).
type Framing int

// The framings.
const (
	ByLength   Framing = iota // Content-Length
	Chunked                   // Transfer-Encoding: chunked
	UntilClose                // an answer's body that lasts until its connection ends
)

const (
	mostTrailer  = 4 << 10 // bytes of all trailer lines together
	mostTrailers = 32      // lines of them
	sizeDigits   = 15      // hexadecimal digits of a chunk's size; more can't be meant
)

type bodyPhase int

const (
	bodyData    bodyPhase = iota // content, of a length or of a chunk
	bodyDataEnd                  // the line end behind a chunk's content
	bodySize                     // a chunk's size line
	bodyTrailer                  // a line behind the last chunk
	bodyWhole
)

// Body reads a body piece by piece: the streaming form of what Parser draws together. It is fed the connection's bytes
// behind the head and keeps none of its content.
type Body struct {
	framing  Framing
	phase    bodyPhase
	most     int64 // of content
	left     int64 // of the length, or of the chunk
	content  int64 // so far
	line     [mostChunk + 2]byte
	lineLen  int // of a line that is not whole yet
	trailers []byte
	trailing int // lines of them
}

// NewBody reads a body of most bytes of content at the most; length counts with ByLength only.
func NewBody(f Framing, length, most int64) (*Body, error) {
	b := &Body{framing: f, most: most}
	switch {
	case f == Chunked:
		b.phase = bodySize
	case f == ByLength && length > most:
		return nil, ErrBodySize
	case f == ByLength:
		if b.left = length; length == 0 {
			b.phase = bodyWhole
		}
	}
	return b, nil
}

// Complete says that the body's end was read.
func (b *Body) Complete() bool { return b.phase == bodyWhole }

// ContentBytes is how many bytes of content were read.
func (b *Body) ContentBytes() int64 { return b.content }

// Remaining is how many bytes of a body of told length are still to come; 0 with other framings.
func (b *Body) Remaining() int64 {
	if b.framing != ByLength {
		return 0
	}
	return b.left
}

// Skip tells that n bytes of a body of told length, Left at the most, were moved on unseen.
func (b *Body) Skip(n int64) {
	b.content += n
	if b.left -= n; b.left == 0 {
		b.phase = bodyWhole
	}
}

// Trailers are the lines behind the last chunk, each with its line end.
func (b *Body) Trailers() []byte { return b.trailers }

// Decode reads raw bytes and moves the content among them to their front: raw[:content] is content, raw[used:] is not
// the body's. All of raw is used until the body is whole. An error is final.
func (b *Body) Decode(raw []byte) (content, used int, err error) {
	for used < len(raw) && b.phase != bodyWhole {
		switch b.phase {
		case bodyData:
			n := len(raw) - used
			if b.framing != UntilClose {
				n = int(min(int64(n), b.left))
				b.left -= int64(n)
			}
			if b.content += int64(n); b.content > b.most {
				return content, used, ErrBodySize
			}
			if content != used {
				copy(raw[content:], raw[used:used+n])
			}
			content, used = content+n, used+n
			switch {
			case b.left > 0 || b.framing == UntilClose:
			case b.framing == ByLength:
				b.phase = bodyWhole
			default:
				b.phase = bodyDataEnd
			}
		default:
			n, line, err := b.readLine(raw[used:])
			if used += n; err != nil {
				return content, used, err
			}
			if line == nil {
				return content, used, nil
			}
			if err := b.takeLine(line); err != nil {
				return content, used, err
			}
		}
	}
	return content, used, nil
}

// Finish tells that the connection has ended; false says that the body is not whole.
func (b *Body) Finish() bool {
	if b.framing == UntilClose && b.phase == bodyData {
		b.phase = bodyWhole
	}
	return b.phase == bodyWhole
}

// readLine collects one line, without its line end; nil asks for more bytes.
func (b *Body) readLine(raw []byte) (used int, line []byte, err error) {
	room := b.line[b.lineLen:]
	at := bytes.IndexByte(raw, '\n')
	n := at + 1
	if at < 0 {
		n = len(raw)
	}
	if n > len(room) {
		return 0, nil, fmt.Errorf("%w: line in a body too long", ErrMalformed)
	}
	b.lineLen += copy(room, raw[:n])
	if at < 0 {
		return n, nil, nil
	}
	line, b.lineLen = b.line[:b.lineLen], 0
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || !isText(line) { // a bare line feed, too: others may read it as no line end
		return n, nil, fmt.Errorf("%w: line in a body", ErrMalformed)
	}
	return n, line, nil
}

// takeLine goes on with a whole line.
func (b *Body) takeLine(line []byte) error {
	switch b.phase {
	case bodyDataEnd:
		if len(line) != 0 {
			return fmt.Errorf("%w: chunk end", ErrMalformed)
		}
		b.phase = bodySize
	case bodySize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, ok := hexNumber(bytes.Trim(size, " \t"))
		switch {
		case !ok:
			return fmt.Errorf("%w: chunk size", ErrMalformed)
		case n > b.most-b.content:
			return ErrBodySize
		case n == 0:
			b.phase = bodyTrailer
		default:
			b.phase, b.left = bodyData, n
		}
	case bodyTrailer:
		if len(line) == 0 {
			b.phase = bodyWhole
			return nil
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || framingField(name) {
			return fmt.Errorf("%w: trailer", ErrMalformed)
		}
		if b.trailing++; b.trailing > mostTrailers || len(b.trailers)+len(line) > mostTrailer {
			return fmt.Errorf("%w: trailers too large", ErrMalformed)
		}
		b.trailers = append(append(b.trailers, line...), "\r\n"...)
	}
	return nil
}

// framingField names the fields that must not stand behind a body (RFC 9110, section 6.5.1): whoever merged them into
// the head would read another message.
func framingField(name []byte) bool {
	for _, f := range []string{"Content-Length", "Transfer-Encoding", "Host", "Connection", "Trailer", "X-Request-ID", "Idempotency-Key"} {
		if equalFold(name, f) {
			return true
		}
	}
	return false
}

// hexNumber reads a chunk's size.
func hexNumber(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > sizeDigits {
		return 0, false
	}
	n := int64(0)
	for _, c := range b {
		switch c = lower(c); {
		case '0' <= c && c <= '9':
			n = n<<4 | int64(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<4 | int64(c-'a'+10)
		default:
			return 0, false
		}
	}
	return n, true
}

// AppendChunkHead writes the line in front of a chunk of n bytes; behind them stands a line end.
func AppendChunkHead(b []byte, n int) []byte {
	return append(strconv.AppendInt(b, int64(n), 16), "\r\n"...)
}

// AppendLastChunk writes the end of a chunked body.
func AppendLastChunk(b, trailers []byte) []byte {
	return append(append(append(b, "0\r\n"...), trailers...), "\r\n"...)
}

// Framing tells how the body of the message that Next gave last is framed, and its length with ByLength.
func (p *Parser) Framing() (Framing, int64) { return p.framing, int64(p.need) }

// passedOn are the fields of an endpoint's answer that its client gets: what describes the body.
var passedOn = []string{"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition", "Last-Modified", "ETag"}

// AppendDelivered writes the head of the answer that tells a client of a delivery. m is the endpoint's answer whose body
// follows; nil stands for one that could not be read behind its first line.
func AppendDelivered(b []byte, m *Message, f Framing, length int64, last bool) []byte {
	b = append(b, "HTTP/1.1 200 OK"...)
	if m == nil {
		b = append(b, "\r\nX-Answer-Spoilt: 1"...)
	} else {
		for _, name := range passedOn {
			if v := m.Get(name); v != nil {
				b = append(append(append(append(b, "\r\n"...), name...), ": "...), v...)
			}
		}
	}
	switch f {
	case ByLength:
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), length, 10)
	case Chunked:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case UntilClose:
		last = true
	}
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, "\r\n\r\n"...)
}

// StreamHead is the head of a call whose body is passed on behind it.
type StreamHead struct {
	Call
	Framing Framing
	Length  int64 // with ByLength
}

// AppendStreamHead writes it.
func AppendStreamHead(b []byte, p StreamHead) []byte {
	b = append(append(b, "POST /v1/messages HTTP/1.1\r\nHost: "...), p.Host...)
	b = appendTimeout(b, p.Timeout)
	if p.Framing == Chunked {
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	} else {
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), p.Length, 10)
	}
	b = append(append(b, "\r\nX-Request-ID: "...), p.ID...)
	if p.Key != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), p.Key...)
	}
	return append(b, "\r\n\r\n"...)
}
