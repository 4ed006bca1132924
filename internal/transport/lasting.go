package transport

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// ioRetryFor is how long a read or a write that fails on a living connection is tried again: a client waits for 400 ms for its answer.
	ioRetryFor   = 400 * time.Millisecond
	ioRetryFirst = time.Millisecond // the pause before the second try; it doubles
	ioRetryMost  = 16 * time.Millisecond
)

// lastingConn is a connection whose reads and writes go on behind an error of the system call, as long as the connection itself lives.
// Time-outs, its end and its close are given as they come.
type lastingConn struct{ net.Conn }

// Read reads as net.Conn does.
func (c lastingConn) Read(b []byte) (n int, err error) {
	err = c.retry(c.mayRead, func() error {
		n, err = c.Conn.Read(b)
		return err
	})
	return n, err
}

// Write writes all of b, or gives how much of it was written.
func (c lastingConn) Write(b []byte) (written int, err error) {
	err = c.retry(c.mayWrite, func() error {
		n, err := c.Conn.Write(b[written:])
		written += n
		return err
	})
	return written, err
}

// closeWrite ends the sending; one that has no such thing is left as it is.
func (c lastingConn) closeWrite() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok {
		_ = c.retry(c.mayWrite, half.CloseWrite)
	}
}

// retry does something until it works, fails for good, or the connection has no more use for it.
func (c lastingConn) retry(useful func() bool, do func() error) error {
	err := do()
	if err == nil || !ofSystemCall(err) || !useful() {
		return err
	}
	began := time.Now()
	for wait := ioRetryFirst; time.Since(began) < ioRetryFor; wait = min(2*wait, ioRetryMost) {
		time.Sleep(wait)
		if err = do(); err == nil || !ofSystemCall(err) || !useful() {
			return err
		}
	}
	return err
}

// ofSystemCall tells an error of a system call from a time-out, the connection's end and its close.
func ofSystemCall(err error) bool {
	number := syscall.Errno(0)
	return errors.As(err, &number)
}

// mayRead says whether something may come yet, or has. The kernel's word on the connection comes first: a look at it is a call that may fail
// as well. A connection that has ended or was reset reads as ended, or as reset once more.
func (c lastingConn) mayRead() bool {
	switch stateOf(c.Conn) {
	case tcpEstablished, tcpFinWait1, tcpFinWait2, tcpCloseWait:
		return true
	case 0:
		n, err := peek(c.Conn)
		return n > 0 || errors.Is(err, syscall.EAGAIN) || unclear(err)
	}
	return false
}

// mayWrite says the same of writing, which goes on where only the other side has ended its sending.
func (c lastingConn) mayWrite() bool {
	switch stateOf(c.Conn) {
	case tcpEstablished, tcpCloseWait:
		return true
	case 0:
		return c.mayRead()
	}
	return false
}
