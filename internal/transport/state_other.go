//go:build !linux

package transport

import "net"

func halfClosed(net.Conn) bool    { return false }
func unacknowledged(net.Conn) int { return -1 }
