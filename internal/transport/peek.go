package transport

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// maxPeekTries is how often a failing peek is attempted.
const maxPeekTries = 8

// connectionErrors are the errors that describe the connection's state. Any other error of a peek says nothing about
// the connection.
var connectionErrors = []syscall.Errno{
	syscall.EAGAIN, syscall.ECONNRESET, syscall.EPIPE, syscall.ENOTCONN, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ETIMEDOUT,
	syscall.EBADF,
}

// peek checks for unread input on a connection without consuming it. It returns the number of bytes seen (0 at the
// end of the stream) or EAGAIN if there is no input. It does not block and ignores the connection's deadlines.
func peek(conn net.Conn) (n int, err error) {
	seen, err := peekInto(conn, make([]byte, 1))
	return len(seen), err
}

// peekInto is peek with a buffer, whose filled part it returns.
func peekInto(conn net.Conn, buffer []byte) (seen []byte, err error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	n := 0
	if cut := raw.Control(func(fd uintptr) {
		for range maxPeekTries {
			n, _, err = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !inconclusive(err) {
				return
			}
		}
	}); cut != nil {
		return nil, cut
	}
	return buffer[:max(0, n)], err
}

// inconclusive reports whether a peek failed in a way that says nothing about the connection.
func inconclusive(err error) bool {
	number := syscall.Errno(0)
	return errors.As(err, &number) && !slices.Contains(connectionErrors, number)
}
