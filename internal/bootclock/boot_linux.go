package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// readBootClock returns the time since the boot and this process's time at the same instant.
func readBootClock() (uptime time.Duration, at time.Time, err error) {
	fastest := time.Duration(0)
	for i := range clockReadings {
		before := time.Now()
		var spec unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
			return 0, time.Time{}, err
		}
		if took := time.Since(before); i == 0 || took < fastest {
			fastest, uptime, at = took, time.Duration(spec.Nano()), before.Add(took/2)
		}
	}
	return uptime, at, nil
}
