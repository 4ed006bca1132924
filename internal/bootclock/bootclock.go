// Package bootclock stores points in time so that they remain valid across the processes of one boot of the machine,
// even if the wall clock is set in between. A Stamp is measured by the boot clock, which never steps. It is stored
// together with the wall clock's time, which a process of another boot has to use instead.
package bootclock

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Stamp is a point in time on the clock of one boot. The zero value is no stamp.
type Stamp struct {
	Boot uint64        // identifies the boot; 0 is no stamp
	At   time.Duration // time since that boot
}

// Clock converts between points in time and stamps. It reads the boot clock once, when it is created, and continues by
// the process's monotonic clock. It is safe for concurrent use.
type Clock struct {
	boot    uint64
	uptime  time.Duration // time from the boot to started
	started time.Time
}

const (
	bootIDPath      = "/proc/sys/kernel/random/boot_id"
	maxReadAttempts = 50 // attempts to read the boot id
	retryDelay      = 10 * time.Millisecond
	clockReadings   = 5 // readings of the boot clock, of which the fastest is used
	// clockTolerance is the difference up to which the two clocks count as equal, because they are not read at the same
	// instant.
	clockTolerance = 10 * time.Millisecond
)

// New returns the clock of the boot with the given id; uptime is the time since the boot at the given time of this
// process. With an empty id, the clock creates no stamps.
func New(bootID string, uptime time.Duration, at time.Time) *Clock {
	c := &Clock{uptime: uptime, started: at}
	if bootID != "" {
		c.boot = max(1, xxh3.HashString(bootID))
	}
	return c
}

// System returns the clock of the current boot. On error it also returns a clock that creates no stamps and uses the
// wall clock.
func System() (*Clock, error) {
	id, err := os.ReadFile(bootIDPath)
	for attempt := 1; err != nil && !errors.Is(err, fs.ErrNotExist) && attempt < maxReadAttempts; attempt++ {
		time.Sleep(retryDelay)
		id, err = os.ReadFile(bootIDPath)
	}
	if err != nil {
		return New("", 0, time.Now()), fmt.Errorf("bootclock: %w", err)
	}
	uptime, at, err := readBootClock()
	if err != nil {
		return New("", 0, time.Now()), fmt.Errorf("bootclock: %w", err)
	}
	return New(strings.TrimSpace(string(id)), uptime, at), nil
}

// Stamp returns the stamp of a point in time, or the zero Stamp if t is zero or the boot is unknown.
func (c *Clock) Stamp(t time.Time) Stamp {
	if c.boot == 0 || t.IsZero() {
		return Stamp{}
	}
	return Stamp{Boot: c.boot, At: c.uptime + t.Sub(c.started)}
}

// Time returns the point in time that was stored as a wall clock time and a stamp, on this process's monotonic clock.
// stepped is how far the wall clock was set since; it is 0 if the stamp is of another boot.
func (c *Clock) Time(wall time.Time, s Stamp) (t time.Time, stepped time.Duration) {
	now := time.Now()
	byWallClock := now.Add(wall.Sub(now))
	if s.Boot == 0 || s.Boot != c.boot {
		return byWallClock, 0
	}
	byBootClock := c.started.Add(s.At - c.uptime)
	if difference := byBootClock.Sub(byWallClock); difference.Abs() > clockTolerance {
		return byBootClock, difference
	}
	return byWallClock, 0
}
