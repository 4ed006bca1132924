package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const tcpCloseWait = 8 // TCP_CLOSE_WAIT of the kernel's tcp_states.h

// halfClosed says whether the other side of a connection has ended its sending and still reads.
func halfClosed(conn net.Conn) (half bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		half = err == nil && info.State == tcpCloseWait
	})
	return half
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
