package transport

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// ioRetryTimeout is how long a failed read or write on an open connection is retried: a client waits 400 ms for
	// its answer.
	ioRetryTimeout      = 400 * time.Millisecond
	ioRetryInitialDelay = time.Millisecond // delay before the first retry; it doubles with each one
	ioRetryMaxDelay     = 16 * time.Millisecond
)

// retryConn is a connection that retries reads and writes after an error of the system call for as long as the
// connection itself is open. Timeouts, the end of the stream and a local close are returned unchanged.
type retryConn struct{ net.Conn }

// Read implements net.Conn.
func (c retryConn) Read(b []byte) (n int, err error) {
	err = c.retry(c.canRead, func() error {
		n, err = c.Conn.Read(b)
		return err
	})
	return n, err
}

// Write implements net.Conn. It writes all of b unless it returns an error.
func (c retryConn) Write(b []byte) (written int, err error) {
	err = c.retry(c.canWrite, func() error {
		n, err := c.Conn.Write(b[written:])
		written += n
		return err
	})
	return written, err
}

// closeWrite shuts down the writing side, if the connection supports that.
func (c retryConn) closeWrite() {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if ok {
		_ = c.retry(c.canWrite, halfCloser.CloseWrite)
	}
}

// retry calls do until it succeeds, fails with an error that is not a system call's, useful returns false, or
// ioRetryTimeout has passed.
func (c retryConn) retry(useful func() bool, do func() error) error {
	err := do()
	if err == nil || !isSyscallError(err) || !useful() {
		return err
	}
	began := time.Now()
	for wait := ioRetryInitialDelay; time.Since(began) < ioRetryTimeout; wait = min(2*wait, ioRetryMaxDelay) {
		time.Sleep(wait)
		if err = do(); err == nil || !isSyscallError(err) || !useful() {
			return err
		}
	}
	return err
}

// isSyscallError reports whether err comes from a system call rather than from a timeout, the end of the stream or a
// local close.
func isSyscallError(err error) bool {
	number := syscall.Errno(0)
	return errors.As(err, &number)
}

// canRead reports whether input has arrived or may still arrive. The kernel's TCP state is asked first, since a peek
// is a system call that may fail as well. A connection that has ended or was reset reads as ended, or as reset once
// more.
func (c retryConn) canRead() bool {
	switch tcpStateOf(c.Conn) {
	case tcpEstablished, tcpFinWait1, tcpFinWait2, tcpCloseWait:
		return true
	case 0:
		n, err := peek(c.Conn)
		return n > 0 || errors.Is(err, syscall.EAGAIN) || inconclusive(err)
	}
	return false
}

// canWrite reports whether output can still be sent, as it can be when only the peer has shut down its writing side.
func (c retryConn) canWrite() bool {
	switch tcpStateOf(c.Conn) {
	case tcpEstablished, tcpCloseWait:
		return true
	case 0:
		return c.canRead()
	}
	return false
}
