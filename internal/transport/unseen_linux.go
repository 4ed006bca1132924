package transport

import (
	"io"
	"net"
	"os"
	"syscall"

	"mulleinbeam/internal/pump"
)

// unseen moves bytes from one socket to another through a pipe of the kernel's, by splice(2): they are never copied into
// this process. What is in the pipe stays there over a time-out, so nothing is lost by one.
type unseen struct {
	r, w         int // the pipe's ends
	source, sink syscall.RawConn
	n            int // of the step that is under way
	err          error
	most         int
	doPull       func(fd uintptr) bool
	doPush       func(fd uintptr) bool
}

const (
	setPipeSize = 1031 // F_SETPIPE_SZ, fcntl(2)
	spliceMove  = 1    // SPLICE_F_MOVE
	spliceNow   = 2    // SPLICE_F_NONBLOCK
)

// newUnseen opens a pipe that holds size bytes, or what the kernel gives. Its error says that there is no such way.
func newUnseen(source, sink net.Conn, size int) (*unseen, error) {
	from, ok := source.(syscall.Conn)
	to, also := sink.(syscall.Conn)
	if !ok || !also {
		return nil, pump.ErrNoSplice
	}
	u := &unseen{}
	var err error
	if u.source, err = from.SyscallConn(); err != nil {
		return nil, pump.ErrNoSplice
	}
	if u.sink, err = to.SyscallConn(); err != nil {
		return nil, pump.ErrNoSplice
	}
	var ends [2]int
	if syscall.Pipe2(ends[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK) != nil {
		return nil, pump.ErrNoSplice
	}
	u.r, u.w = ends[0], ends[1]
	_, _, _ = syscall.Syscall(syscall.SYS_FCNTL, uintptr(u.w), setPipeSize, uintptr(size)) // else it is 64 KiB
	u.doPull = func(fd uintptr) bool { return u.splice(int(fd), u.w) }
	u.doPush = func(fd uintptr) bool { return u.splice(u.r, int(fd)) }
	return u, nil
}

// splice moves once; false waits for the socket.
func (u *unseen) splice(from, to int) bool {
	for {
		n, err := syscall.Splice(from, nil, to, nil, u.most, spliceMove|spliceNow)
		switch err {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			return false
		}
		u.n, u.err = int(max(0, n)), err
		return true
	}
}

// pull takes up to most bytes from the source into the pipe, which has to be empty.
func (u *unseen) pull(most int) (int, error) {
	u.n, u.err, u.most = 0, nil, most
	err := u.source.Read(u.doPull)
	switch {
	case err != nil:
		return 0, err
	case u.err == syscall.EINVAL:
		return 0, pump.ErrNoSplice
	case u.err != nil:
		return 0, os.NewSyscallError("splice", u.err)
	case u.n == 0:
		return 0, io.EOF
	}
	return u.n, nil
}

// push gives up to most bytes from the pipe to the sink.
func (u *unseen) push(most int) (int, error) {
	u.n, u.err, u.most = 0, nil, most
	if err := u.sink.Write(u.doPush); err != nil {
		return 0, err
	}
	if u.err != nil {
		return 0, os.NewSyscallError("splice", u.err)
	}
	return u.n, nil
}

func (u *unseen) close() {
	if u != nil {
		_ = syscall.Close(u.r)
		_ = syscall.Close(u.w)
	}
}
