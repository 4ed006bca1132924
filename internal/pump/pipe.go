// Package pump streams the request and response bodies of a long message between a client's and an endpoint's
// connection, buffering no more of either than a fixed window. Its types are state machines that are fed bytes and
// times; they use no sockets and no clock. Pipe is one direction, Exchange a whole call.
package pump

import (
	"fmt"

	"mulleinbeam/internal/protocol"
)

// MinWindowBytes is the smallest window: it fits what a parser may have buffered when it detects a long message.
const MinWindowBytes = 128 << 10

// maxQueuedPieces is the number of pieces that are queued at most: a head, a chunk head, content and a chunk end.
const maxQueuedPieces = 4

// Pipe is one direction of an exchange. Its window is filled from the source and then written out completely before
// more is read, so that the source is read no faster than the sink accepts. As long as all content received so far is
// still in the window, Rewind can restart the writing.
type Pipe struct {
	body         *protocol.Body
	outFraming   protocol.Framing
	window       []byte
	nextUnqueued int    // window[nextUnqueued:contentEnd] is not queued for writing yet
	contentEnd   int    // end of the content in the window
	rewindable   bool   // window[:contentEnd] holds all content received so far
	surplus      []byte // bytes in the window that followed the end of the body
	head         []byte
	queued       [maxQueuedPieces][]byte
	firstPiece   int // queued[firstPiece:endPiece] is to be written
	endPiece     int
	splicedBytes int  // bytes that the driver has spliced from the source and not yet to the sink
	endQueued    bool // the end of the body was queued
	written      bool // the end of the body was written
	chunkHead    [20]byte
	chunkTail    []byte
}

// NewPipe returns a pipe for a body with a window of at least MinWindowBytes. The part of the body that was received
// already, decoded content and then raw bytes, is copied into the window.
func NewPipe(window []byte, body *protocol.Body, content, raw []byte) (*Pipe, error) {
	if len(content)+len(raw) > len(window) {
		return nil, fmt.Errorf("pump: %d bytes do not fit a window of %d", len(content)+len(raw), len(window))
	}
	p := &Pipe{body: body, window: window, rewindable: true}
	p.contentEnd = copy(p.window, content)
	return p, p.Fill(copy(p.window[p.contentEnd:], raw))
}

// Start sets the head to be written first; the content follows it in the given framing.
func (p *Pipe) Start(head []byte, out protocol.Framing) { p.head, p.outFraming = head, out }

// Received returns the number of content bytes received.
func (p *Pipe) Received() int64 { return p.body.ContentBytes() }

// Complete reports whether all of the body was received.
func (p *Pipe) Complete() bool { return p.body.Complete() }

// Surplus returns the bytes that were received after the end of the body. They lie in the window. A body of known length is read
// no further than its end.
func (p *Pipe) Surplus() []byte { return p.surplus }

// Written reports whether all of the body was written.
func (p *Pipe) Written() bool { return p.written }

// Rewindable reports whether all content received so far is still in the window.
func (p *Pipe) Rewindable() bool { return p.rewindable }

// Empty reports whether there is nothing to write yet besides the head.
func (p *Pipe) Empty() bool {
	return p.nextUnqueued == p.contentEnd && !p.body.Complete() && p.firstPiece == p.endPiece
}

// Rewind restarts the writing. It returns false if the content is no longer all in the window.
func (p *Pipe) Rewind() bool {
	if !p.rewindable {
		return false
	}
	p.nextUnqueued, p.firstPiece, p.endPiece, p.endQueued, p.written = 0, 0, 0, false, false
	return true
}

// SpliceLimit returns how many bytes may now be spliced from source to sink without passing through the window. It is
// above 0 only if the body is forwarded with its Content-Length, the window was filled and all of it written, and much
// of the body remains. The driver holds the spliced bytes, at most a window's size.
func (p *Pipe) SpliceLimit() int {
	if p.outFraming != protocol.ByLength || p.firstPiece < p.endPiece || p.nextUnqueued < p.contentEnd || p.rewindable && p.contentEnd < len(p.window) ||
		p.body.Remaining() < MinWindowBytes {
		return 0
	}
	return int(min(p.body.Remaining(), int64(len(p.window))))
}

// SplicedIn records that the driver spliced n bytes from the source.
func (p *Pipe) SplicedIn(n int) {
	p.rewindable = false
	p.splicedBytes += n
	p.body.Skip(int64(n))
}

// SplicedOut records that the driver spliced n bytes to the sink.
func (p *Pipe) SplicedOut(n int) { p.splicedBytes -= n }

// Space returns the buffer for the source's next bytes. It is nil if pending content has to be written first, or if the
// body is complete.
func (p *Pipe) Space() []byte {
	if p.body.Complete() || p.firstPiece < p.endPiece || p.nextUnqueued < p.contentEnd {
		return nil
	}
	if !p.rewindable || p.contentEnd == len(p.window) { // all was written: the window is reused and can no longer be rewound
		p.nextUnqueued, p.contentEnd, p.rewindable = 0, 0, p.rewindable && p.contentEnd == 0
	}
	space := p.window[p.contentEnd:]
	if remaining := p.body.Remaining(); remaining > 0 && remaining < int64(len(space)) {
		space = space[:remaining]
	}
	return space
}

// Fill records that n bytes were read into Space. An error means that the body is malformed; the content received
// before it must not be treated as a complete body.
func (p *Pipe) Fill(n int) error {
	received := p.window[p.contentEnd : p.contentEnd+n]
	content, used, err := p.body.Decode(received)
	p.contentEnd += content
	if err == nil && used < n {
		p.surplus = received[used:]
	}
	return err
}

// Finish records the end of the source and reports whether the body is complete.
func (p *Pipe) Finish() bool { return p.body.Finish() }

// Out returns the pieces to be written next, in order; none if more has to be received first or all was written. The
// pieces are valid until Wrote.
func (p *Pipe) Out() [][]byte {
	if p.firstPiece == p.endPiece && p.splicedBytes == 0 {
		p.queueContent()
	}
	return p.queued[p.firstPiece:p.endPiece]
}

// queueContent queues the received content and its framing for writing.
func (p *Pipe) queueContent() {
	p.firstPiece, p.endPiece = 0, 0
	push := func(b []byte) {
		if len(b) > 0 {
			p.queued[p.endPiece] = b
			p.endPiece++
		}
	}
	endsBody := p.body.Complete() && !p.endQueued
	if p.nextUnqueued == p.contentEnd && !endsBody {
		return
	}
	push(p.head)
	p.head = nil
	content := p.window[p.nextUnqueued:p.contentEnd]
	if p.outFraming == protocol.Chunked && len(content) > 0 {
		push(protocol.AppendChunkHead(p.chunkHead[:0], len(content)))
	}
	push(content)
	if p.outFraming == protocol.Chunked {
		p.chunkTail = p.chunkTail[:0]
		if len(content) > 0 {
			p.chunkTail = append(p.chunkTail, "\r\n"...)
		}
		if endsBody {
			p.chunkTail = protocol.AppendLastChunk(p.chunkTail, p.body.Trailers())
		}
		push(p.chunkTail)
	}
	p.nextUnqueued = p.contentEnd
	if p.endQueued = p.endQueued || endsBody; p.firstPiece == p.endPiece {
		p.written = p.endQueued
	}
}

// Wrote records that n bytes of Out were written.
func (p *Pipe) Wrote(n int) {
	for n > 0 && p.firstPiece < p.endPiece {
		piece := p.queued[p.firstPiece]
		if n < len(piece) {
			p.queued[p.firstPiece] = piece[n:]
			return
		}
		n -= len(piece)
		p.queued[p.firstPiece] = nil
		p.firstPiece++
	}
	if p.firstPiece == p.endPiece {
		p.written = p.endQueued
	}
}
