package transport

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// peekTries is how often a look that fails is made.
const peekTries = 8

// connectionErrors are those that tell of the connection. Any other error of a look at it tells nothing.
var connectionErrors = []syscall.Errno{
	syscall.EAGAIN, syscall.ECONNRESET, syscall.EPIPE, syscall.ENOTCONN, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ETIMEDOUT,
	syscall.EBADF,
}

// peek looks for bytes that have come on a connection and takes none: how many, none for its end, EAGAIN for nothing at all. No
// deadline of the connection holds it up.
func peek(conn net.Conn) (n int, err error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	if cut := raw.Control(func(fd uintptr) {
		for range peekTries {
			n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !unclear(err) {
				return
			}
		}
	}); cut != nil {
		return 0, cut
	}
	return max(0, n), err
}

// unclear says that a look has failed, and tells nothing of the connection.
func unclear(err error) bool {
	number := syscall.Errno(0)
	return errors.As(err, &number) && !slices.Contains(connectionErrors, number)
}
