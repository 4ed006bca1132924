//go:build linux

// Package sysfault injects faults into the system calls of a real process, on a schedule and at random, without
// privileges. Launch runs in the process under test: it installs a seccomp filter with user notification for a fixed
// set of system calls, sends the filter's listener over a socket, and executes the program. Supervisor runs in the
// test: it answers each notification with an error, with a partial write, or lets the call continue.
package sysfault

import "golang.org/x/sys/unix"

// Call is the number of a system call that can be made to fail.
type Call int

// The system calls that the filter reports.
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

// reportedCalls are the system calls for which the filter notifies the supervisor.
var reportedCalls = []Call{
	Accept, Connect, Socket, Read, ReadAt, Write, WriteV, Open, Truncate, Rename, Unlink, Shutdown, SetOption, EpollAdd, Sync, SocketName, Receive,
}

// Place classifies the file or socket that a system call operates on.
type Place int

// The kinds of files and sockets.
const (
	Elsewhere Place = iota
	StateFile       // a file in the state folder, given by descriptor or by path
	Listener        // the listening socket
	Client          // an accepted connection
	Outgoing        // a connection to an endpoint or to discovery, or a socket that is not connected yet
)

// Rule describes which system calls fail, and how.
type Rule struct {
	Calls  []Call
	Places []Place
	Errors []unix.Errno // one of them is picked at random
	Chance float64      // the probability of a failure, from 0 to 1
	// Part makes a failing write store the first half of its bytes: before it returns an error or, where Errors is empty,
	// as a short write.
	Part bool
}
