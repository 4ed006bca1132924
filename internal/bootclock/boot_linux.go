package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot reads the boot's clock, and this process's at the same instant.
func sinceBoot() (passed time.Duration, at time.Time, err error) {
	least := time.Duration(0)
	for i := range readings {
		before := time.Now()
		var spec unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
			return 0, time.Time{}, err
		}
		if took := time.Since(before); i == 0 || took < least {
			least, passed, at = took, time.Duration(spec.Nano()), before.Add(took/2)
		}
	}
	return passed, at, nil
}
