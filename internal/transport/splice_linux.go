package transport

import (
	"io"
	"net"
	"os"
	"syscall"

	"mulleinbeam/internal/pump"
)

// splicePipe moves bytes from one socket to another through a kernel pipe with splice(2), without copying them into
// this process. Bytes in the pipe stay there across a timeout, so a timeout loses nothing.
type splicePipe struct {
	readEnd, writeEnd int // the two ends of the pipe
	source, sink      syscall.RawConn
	moved             int // by the current step
	err               error
	limit             int
	doPull            func(fd uintptr) bool
	doPush            func(fd uintptr) bool
}

const (
	setPipeSize    = 1031 // F_SETPIPE_SZ, fcntl(2)
	spliceMove     = 1    // SPLICE_F_MOVE
	spliceNonblock = 2    // SPLICE_F_NONBLOCK
)

// newSplicePipe opens a pipe with room for size bytes, or for as many as the kernel grants. It returns
// pump.ErrNoSplice if the connections cannot be spliced.
func newSplicePipe(source, sink net.Conn, size int) (*splicePipe, error) {
	sourceConn, sourceOK := source.(syscall.Conn)
	sinkConn, sinkOK := sink.(syscall.Conn)
	if !sourceOK || !sinkOK {
		return nil, pump.ErrNoSplice
	}
	pipe := &splicePipe{}
	var err error
	if pipe.source, err = sourceConn.SyscallConn(); err != nil {
		return nil, pump.ErrNoSplice
	}
	if pipe.sink, err = sinkConn.SyscallConn(); err != nil {
		return nil, pump.ErrNoSplice
	}
	var ends [2]int
	if syscall.Pipe2(ends[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK) != nil {
		return nil, pump.ErrNoSplice
	}
	pipe.readEnd, pipe.writeEnd = ends[0], ends[1]
	_, _, _ = syscall.Syscall(syscall.SYS_FCNTL, uintptr(pipe.writeEnd), setPipeSize, uintptr(size)) // else 64 KiB
	pipe.doPull = func(fd uintptr) bool { return pipe.splice(int(fd), pipe.writeEnd) }
	pipe.doPush = func(fd uintptr) bool { return pipe.splice(pipe.readEnd, int(fd)) }
	return pipe, nil
}

// splice moves bytes once. It returns false if the socket is not ready.
func (u *splicePipe) splice(from, to int) bool {
	for {
		n, err := syscall.Splice(from, nil, to, nil, u.limit, spliceMove|spliceNonblock)
		switch err {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			return false
		}
		u.moved, u.err = int(max(0, n)), err
		return true
	}
}

// pull moves up to most bytes from the source into the pipe, which has to be empty.
func (u *splicePipe) pull(most int) (int, error) {
	u.moved, u.err, u.limit = 0, nil, most
	err := u.source.Read(u.doPull)
	switch {
	case err != nil:
		return 0, err
	case u.err == syscall.EINVAL:
		return 0, pump.ErrNoSplice
	case u.err != nil:
		return 0, os.NewSyscallError("splice", u.err)
	case u.moved == 0:
		return 0, io.EOF
	}
	return u.moved, nil
}

// push moves up to most bytes from the pipe to the sink.
func (u *splicePipe) push(most int) (int, error) {
	u.moved, u.err, u.limit = 0, nil, most
	if err := u.sink.Write(u.doPush); err != nil {
		return 0, err
	}
	if u.err != nil {
		return 0, os.NewSyscallError("splice", u.err)
	}
	return u.moved, nil
}

func (u *splicePipe) close() {
	if u != nil {
		_ = syscall.Close(u.readEnd)
		_ = syscall.Close(u.writeEnd)
	}
}
