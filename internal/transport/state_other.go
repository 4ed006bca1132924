//go:build !linux

package transport

import (
	"net"
	"time"
)

// tcpState is the TCP state of a connection; on this platform it is always 0, unknown.
type tcpState uint8

const (
	tcpEstablished tcpState = 1 + iota
	tcpFinWait1
	tcpFinWait2
	tcpCloseWait
)

func tcpStateOf(net.Conn) tcpState     { return 0 }
func unacknowledgedBytes(net.Conn) int { return -1 }

func sinceReceived(net.Conn) (ago time.Duration, known bool) { return 0, false }
