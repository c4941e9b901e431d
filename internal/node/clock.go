package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads CLOCK_BOOTTIME. Deadlines, ages and permissions count by it, since the steady
// clock stands still while a machine is suspended: a host that wakes would otherwise act on beliefs
// that are seconds old without knowing.
type bootClock struct{ start int64 }

func newBootClock() *bootClock {
	c := &bootClock{}
	c.start = int64(c.Now())
	return c
}

// Now is the time since the clock was made, suspended time included.
func (c *bootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no promise on time can be kept.
		panic("no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano() - c.start)
}
