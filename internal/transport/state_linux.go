package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpState is where a connection stands, in the kernel's numbers; 0 is not told.
type tcpState uint8

// The states of the kernel's tcp_states.h in which a connection still carries bytes.
const (
	tcpEstablished tcpState = 1
	tcpFinWait1    tcpState = 4 // this side has ended its sending,
	tcpFinWait2    tcpState = 5 // and the other side knows
	tcpCloseWait   tcpState = 8 // the other side has ended its sending
)

// stateOf asks the kernel where a connection stands.
func stateOf(conn net.Conn) (state tcpState) {
	raw, err := conn.(syscall.Conn).SyscallConn()
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

// sinceReceived is how long ago the last bytes have come on a connection, in the kernel's coarse clock; false where that is not told.
func sinceReceived(conn net.Conn) (ago time.Duration, told bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, false
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago, told = time.Duration(info.Last_data_recv)*time.Millisecond, true
		}
	})
	return ago, told
}

// unacknowledged is how many bytes the other side of a connection has not acknowledged; below zero where that is not told.
func unacknowledged(conn net.Conn) int {
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
