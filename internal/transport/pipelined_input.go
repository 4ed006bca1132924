package transport

import (
	"net"
	"syscall"
)

// pipelinedInput is what a client has sent behind a long body and was read with it: the requests that follow. It counts against
// Streams.MaxPipelinedBytes until it is released. A nil pipelinedInput is empty.
type pipelinedInput struct {
	streams  *Streams
	reserved int64
	unread   []byte
}

// reservePipelined returns room for input behind a long body, or nil if there is none.
func (p *Streams) reservePipelined(bytes int) *pipelinedInput {
	if p.pipelined.Add(int64(bytes)) > p.MaxPipelinedBytes {
		p.pipelined.Add(-int64(bytes))
		return nil
	}
	return &pipelinedInput{streams: p, reserved: int64(bytes)}
}

// empty reports whether all of it was read.
func (b *pipelinedInput) empty() bool { return b == nil || len(b.unread) == 0 }

// read moves input to space, and releases it once all was read.
func (b *pipelinedInput) read(space []byte) int {
	n := copy(space, b.unread)
	if b.unread = b.unread[n:]; len(b.unread) == 0 {
		b.release()
	}
	return n
}

// after returns this input behind the one given, which was read from it.
func (b *pipelinedInput) after(earlier *pipelinedInput) *pipelinedInput {
	switch {
	case b.empty():
		return earlier
	case earlier.empty():
		return b
	}
	earlier.reserved += b.reserved
	earlier.unread = append(earlier.unread, b.unread...)
	return earlier
}

// release gives the room back.
func (b *pipelinedInput) release() {
	if b != nil {
		b.streams.pipelined.Add(-b.reserved)
		b.reserved, b.unread = 0, nil
	}
}

// pipelinedConn is a client connection from which input behind an earlier long body is read first.
type pipelinedConn struct {
	net.Conn
	pipelined *pipelinedInput
}

// Read implements net.Conn.
func (c pipelinedConn) Read(b []byte) (int, error) {
	if !c.pipelined.empty() {
		return c.pipelined.read(b), nil
	}
	return c.Conn.Read(b)
}

// SyscallConn implements syscall.Conn for what concerns the state of the connection.
func (c pipelinedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// spliceable reports whether all input of a connection can be read from its socket.
func spliceable(conn net.Conn) bool {
	c, wrapped := conn.(pipelinedConn)
	return !wrapped || c.pipelined.empty()
}
