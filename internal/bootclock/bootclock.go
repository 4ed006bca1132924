// Package bootclock tells points in time so that they hold over the processes of one boot of the machine, however the wall clock is
// set meanwhile. A Stamp goes by the boot's own clock, which never steps; beside it stands the wall clock's time for readers behind
// another boot, who have nothing better.
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

// Stamp is a point in time by the clock of one boot. The zero value is none.
type Stamp struct {
	Boot uint64        // which boot; 0 is none
	At   time.Duration // since that boot began
}

// Clock reads stamps. It is fixed when it is made and goes on by the process's own monotonic clock; it may be used from any goroutine.
type Clock struct {
	boot    uint64
	at      time.Duration // of started, since the boot began
	started time.Time
}

const (
	bootIDPath = "/proc/sys/kernel/random/boot_id"
	mostTries  = 50
	tryAgain   = 10 * time.Millisecond
	readings   = 5 // of the boot's clock; the one that took the least time counts
	// agreement is how far the two clocks may be apart and still tell the same: readings are not taken at one instant.
	agreement = 10 * time.Millisecond
)

// New is the clock of a boot by its id, "" for none, of which so much had passed at a time of this process.
func New(bootID string, passed time.Duration, at time.Time) *Clock {
	c := &Clock{at: passed, started: at}
	if bootID != "" {
		c.boot = max(1, xxh3.HashString(bootID))
	}
	return c
}

// System is the clock of this boot. With an error its stamps are none, and points in time go by the wall clock.
func System() (*Clock, error) {
	id, err := os.ReadFile(bootIDPath)
	for tries := 1; err != nil && !errors.Is(err, fs.ErrNotExist) && tries < mostTries; tries++ {
		time.Sleep(tryAgain)
		id, err = os.ReadFile(bootIDPath)
	}
	if err != nil {
		return New("", 0, time.Now()), fmt.Errorf("bootclock: %w", err)
	}
	passed, at, err := sinceBoot()
	if err != nil {
		return New("", 0, time.Now()), fmt.Errorf("bootclock: %w", err)
	}
	return New(strings.TrimSpace(string(id)), passed, at), nil
}

// Stamp tells a point in time by the boot's clock.
func (c *Clock) Stamp(t time.Time) Stamp {
	if c.boot == 0 || t.IsZero() {
		return Stamp{}
	}
	return Stamp{Boot: c.boot, At: c.at + t.Sub(c.started)}
}

// Time gives a point in time of which the wall clock's time and a stamp were noted, by this process's monotonic clock. stepped is how far the
// wall clock was set since; a stamp of another boot tells nothing of that.
func (c *Clock) Time(wall time.Time, s Stamp) (t time.Time, stepped time.Duration) {
	now := time.Now()
	byWall := now.Add(wall.Sub(now))
	if s.Boot == 0 || s.Boot != c.boot {
		return byWall, 0
	}
	byBoot := c.started.Add(s.At - c.at)
	if apart := byBoot.Sub(byWall); apart.Abs() > agreement {
		return byBoot, apart
	}
	return byWall, 0
}
