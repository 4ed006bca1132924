package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpState is the TCP state of a connection, with the kernel's numbers; 0 means unknown.
type tcpState uint8

// The states of the kernel's tcp_states.h in which a connection still carries data.
const (
	tcpEstablished tcpState = 1
	tcpFinWait1    tcpState = 4 // this side has shut down writing
	tcpFinWait2    tcpState = 5 // and the peer has acknowledged that
	tcpCloseWait   tcpState = 8 // the peer has shut down writing
)

// tcpStateOf returns the TCP state of a connection, or 0 if it has none or that can't be read.
func tcpStateOf(conn net.Conn) (state tcpState) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = tcpState(info.State)
		}
	})
	return state
}

// sinceReceived returns how long ago data last arrived on a connection, by the kernel's coarse clock, and whether
// that is known.
func sinceReceived(conn net.Conn) (ago time.Duration, known bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, false
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago, known = time.Duration(info.Last_data_recv)*time.Millisecond, true
		}
	})
	return ago, known
}

// unacknowledgedBytes returns how many sent bytes the peer has not acknowledged, or -1 if that is unknown.
func unacknowledgedBytes(conn net.Conn) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return -1
	}
	bytes := -1
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}
