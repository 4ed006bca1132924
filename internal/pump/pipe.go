// Package pump moves the two bodies of a long message between a client's and an endpoint's connection, holding no more
// of either than a fixed window. Everything here is a state machine that is fed bytes and times; it knows no socket and
// no clock. Pipe is one direction, Exchange a whole call.
package pump

import (
	"fmt"

	"mulleinbeam/internal/protocol"
)

// MinWindowBytes is the smallest window: what a parser may hold of a message when it is found to be long.
const MinWindowBytes = 128 << 10

// mostPieces is how many pieces stand behind each other to be written: a head, a chunk's line, content, a chunk's end.
const mostPieces = 4

// Pipe is one direction. Its window is filled from the source and then written out whole before more is read, so that
// the source is read no faster than the sink takes. As long as all that ever came still lies in the window, Rewind can
// begin anew.
type Pipe struct {
	body    *protocol.Body
	out     protocol.Framing
	buf     []byte
	next    int  // content buf[next:end] is not queued for writing yet
	end     int  // of the content that came
	kept    bool // buf[:end] is all of it
	surplus bool // bytes came behind the body's end
	head    []byte
	queued  [mostPieces][]byte
	first   int // pieces queued[first:last] are to be written
	last    int
	kernel  int  // bytes that the driver holds unseen, on their way
	closed  bool // the body's end was queued
	written bool // and written
	frame   [20]byte
	tail    []byte
}

// NewPipe moves a body through a window of at least LeastWindow bytes. What came of it already, content and then raw
// bytes, is copied.
func NewPipe(window []byte, body *protocol.Body, content, raw []byte) (*Pipe, error) {
	if len(content)+len(raw) > len(window) {
		return nil, fmt.Errorf("pump: %d bytes do not fit a window of %d", len(content)+len(raw), len(window))
	}
	p := &Pipe{body: body, buf: window, kept: true}
	p.end = copy(p.buf, content)
	return p, p.Fill(copy(p.buf[p.end:], raw))
}

// Start begins the writing with a head; the content follows it in the given framing.
func (p *Pipe) Start(head []byte, out protocol.Framing) { p.head, p.out = head, out }

// Received is how many bytes of content have come.
func (p *Pipe) Received() int64 { return p.body.ContentBytes() }

// Complete says that all of the body has come.
func (p *Pipe) Complete() bool { return p.body.Complete() }

// Surplus says that more came than the body.
func (p *Pipe) Surplus() bool { return p.surplus }

// Written says that all of the body was written.
func (p *Pipe) Written() bool { return p.written }

// Rewindable says that all content that came still lies in the window.
func (p *Pipe) Rewindable() bool { return p.kept }

// Empty says that there is nothing to write yet beside the head.
func (p *Pipe) Empty() bool { return p.next == p.end && !p.body.Complete() && p.first == p.last }

// Rewind begins the writing anew, if all that came is kept.
func (p *Pipe) Rewind() bool {
	if !p.kept {
		return false
	}
	p.next, p.first, p.last, p.closed, p.written = 0, 0, 0, false, false
	return true
}

// SpliceLimit is how many bytes may now be moved from source to sink unseen: the body's length is told and goes on as it is,
// the window was used up and all of it written, and much is still to come. The driver holds them meanwhile, no more than a
// window.
func (p *Pipe) SpliceLimit() int {
	if p.out != protocol.ByLength || p.first < p.last || p.next < p.end || p.kept && p.end < len(p.buf) ||
		p.body.Remaining() < MinWindowBytes {
		return 0
	}
	return int(min(p.body.Remaining(), int64(len(p.buf))))
}

// SplicedIn tells that the driver took n bytes from the source unseen.
func (p *Pipe) SplicedIn(n int) {
	p.kept = false
	p.kernel += n
	p.body.Skip(int64(n))
}

// SplicedOut tells that the driver gave n of them to the sink.
func (p *Pipe) SplicedOut(n int) { p.kernel -= n }

// Space is where the source's next bytes go; nil says that what came has to be written first, or that all has come.
func (p *Pipe) Space() []byte {
	if p.body.Complete() || p.first < p.last || p.next < p.end {
		return nil
	}
	if !p.kept || p.end == len(p.buf) { // all of it was written: the room is used again, and a rewind is over
		p.next, p.end, p.kept = 0, 0, p.kept && p.end == 0
	}
	return p.buf[p.end:]
}

// Fill tells that n bytes were put into Space. An error says that they are no body; what came before it is not to be
// taken for one.
func (p *Pipe) Fill(n int) error {
	content, used, err := p.body.Decode(p.buf[p.end : p.end+n])
	p.end += content
	p.surplus = p.surplus || used < n && err == nil
	return err
}

// Finish tells that the source has ended; false says that the body is not whole.
func (p *Pipe) Finish() bool { return p.body.Finish() }

// Out gives what is to be written next, in order; nothing if more has to come first, or all was written. The pieces hold
// until Wrote.
func (p *Pipe) Out() [][]byte {
	if p.first == p.last && p.kernel == 0 {
		p.queue()
	}
	return p.queued[p.first:p.last]
}

// queue puts the content that came, and what frames it, in line.
func (p *Pipe) queue() {
	p.first, p.last = 0, 0
	push := func(b []byte) {
		if len(b) > 0 {
			p.queued[p.last] = b
			p.last++
		}
	}
	whole := p.body.Complete() && !p.closed
	if p.next == p.end && !whole {
		return
	}
	push(p.head)
	p.head = nil
	content := p.buf[p.next:p.end]
	if p.out == protocol.Chunked && len(content) > 0 {
		push(protocol.AppendChunkHead(p.frame[:0], len(content)))
	}
	push(content)
	if p.out == protocol.Chunked {
		p.tail = p.tail[:0]
		if len(content) > 0 {
			p.tail = append(p.tail, "\r\n"...)
		}
		if whole {
			p.tail = protocol.AppendLastChunk(p.tail, p.body.Trailers())
		}
		push(p.tail)
	}
	p.next = p.end
	if p.closed = p.closed || whole; p.first == p.last {
		p.written = p.closed
	}
}

// Wrote tells how many bytes of Out were written.
func (p *Pipe) Wrote(n int) {
	for n > 0 && p.first < p.last {
		piece := p.queued[p.first]
		if n < len(piece) {
			p.queued[p.first] = piece[n:]
			return
		}
		n -= len(piece)
		p.queued[p.first] = nil
		p.first++
	}
	if p.first == p.last {
		p.written = p.closed
	}
}
