//go:build !linux

package bootclock

import (
	"errors"
	"time"
)

// readBootClock returns an error: the boot clock is read on Linux only.
func readBootClock() (time.Duration, time.Time, error) {
	return 0, time.Time{}, errors.New("the boot clock is not supported on this platform")
}
