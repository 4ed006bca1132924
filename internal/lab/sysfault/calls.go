//go:build linux

// Package sysfault makes system calls of a real process fail, by schedule and by chance, without special rights. Launch runs in
// the process that is to be tested: it installs a seccomp filter that reports a dozen calls, hands the filter's listener over a
// socket, and becomes the program by exec. Supervisor runs in the test: it answers each report with an error, with a part of a
// write, or lets the call go on.
package sysfault

import "golang.org/x/sys/unix"

// Call is a system call that can be made to fail.
type Call int

// The calls that the filter reports.
const (
	Accept     Call = unix.SYS_ACCEPT4
	Connect    Call = unix.SYS_CONNECT
	Socket     Call = unix.SYS_SOCKET
	Read       Call = unix.SYS_READ
	ReadAt     Call = unix.SYS_PREAD64
	Write      Call = unix.SYS_WRITE
	WriteV     Call = unix.SYS_WRITEV
	Open       Call = unix.SYS_OPENAT
	Truncate   Call = unix.SYS_FTRUNCATE
	Rename     Call = unix.SYS_RENAMEAT
	Unlink     Call = unix.SYS_UNLINKAT
	Shutdown   Call = unix.SYS_SHUTDOWN
	SetOption  Call = unix.SYS_SETSOCKOPT
	EpollAdd   Call = unix.SYS_EPOLL_CTL
	Sync       Call = unix.SYS_FSYNC
	SocketName Call = unix.SYS_GETSOCKNAME
	Receive    Call = unix.SYS_RECVFROM
)

// reported are the calls of the filter.
var reported = []Call{
	Accept, Connect, Socket, Read, ReadAt, Write, WriteV, Open, Truncate, Rename, Unlink, Shutdown, SetOption, EpollAdd, Sync, SocketName, Receive,
}

// Place is what a call works on.
type Place int

// The places.
const (
	Elsewhere Place = iota
	StateFile       // a file in the state folder, by its descriptor or its path
	Listener        // the socket that takes connections
	Client          // a connection that was accepted
	Outgoing        // a connection to an endpoint or to discovery, and a socket that may become one
)

// Rule is one way in which calls fail.
type Rule struct {
	Calls  []Call
	Places []Place
	Errors []unix.Errno // one of these, by chance
	Chance float64      // from 0 to 1
	// Part has a write that fails leave a part of its bytes before it does: with an error, or as a short write where Errors is
	// empty.
	Part bool
}
