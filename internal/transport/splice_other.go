//go:build !linux

package transport

import (
	"net"

	"mulleinbeam/internal/pump"
)

// splicePipe is not supported on this platform.
type splicePipe struct{}

func newSplicePipe(net.Conn, net.Conn, int) (*splicePipe, error) { return nil, pump.ErrNoSplice }

func (*splicePipe) pull(int) (int, error) { return 0, pump.ErrNoSplice }

func (*splicePipe) push(int) (int, error) { return 0, pump.ErrNoSplice }

func (*splicePipe) close() {}
