package transport

import (
	"net"
	"syscall"
)

// behindInput is what a client has sent behind a long body and was read with it: the requests that follow. It counts against
// Streams.MaxBehindBytes until it is released. A nil behindInput is empty.
type behindInput struct {
	streams  *Streams
	reserved int64
	unread   []byte
}

// reserveBehind returns room for input behind a long body, or nil if there is none.
func (p *Streams) reserveBehind(bytes int) *behindInput {
	if p.behind.Add(int64(bytes)) > p.MaxBehindBytes {
		p.behind.Add(-int64(bytes))
		return nil
	}
	return &behindInput{streams: p, reserved: int64(bytes)}
}

// empty reports whether all of it was read.
func (b *behindInput) empty() bool { return b == nil || len(b.unread) == 0 }

// read moves input to space, and releases it once all was read.
func (b *behindInput) read(space []byte) int {
	n := copy(space, b.unread)
	if b.unread = b.unread[n:]; len(b.unread) == 0 {
		b.release()
	}
	return n
}

// after returns this input behind the one given, which was read from it.
func (b *behindInput) after(earlier *behindInput) *behindInput {
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
func (b *behindInput) release() {
	if b != nil {
		b.streams.behind.Add(-b.reserved)
		b.reserved, b.unread = 0, nil
	}
}

// behindConn is a client connection from which input behind an earlier long body is read first.
type behindConn struct {
	net.Conn
	behind *behindInput
}

// Read implements net.Conn.
func (c behindConn) Read(b []byte) (int, error) {
	if !c.behind.empty() {
		return c.behind.read(b), nil
	}
	return c.Conn.Read(b)
}

// SyscallConn implements syscall.Conn for what concerns the state of the connection.
func (c behindConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// spliceable reports whether all input of a connection can be read from its socket.
func spliceable(conn net.Conn) bool {
	c, wrapped := conn.(behindConn)
	return !wrapped || c.behind.empty()
}
