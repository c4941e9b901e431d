package timing

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock reads CLOCK_BOOTTIME. Deadlines, leases, ages and permissions count by it, since the steady
// clock stands still while a machine is suspended: a host that wakes would otherwise act on beliefs
// that are seconds old without knowing.
type BootClock struct{ start int64 }

// NewBootClock returns a clock that begins at zero.
func NewBootClock() *BootClock {
	c := &BootClock{}
	c.start = int64(c.Now())
	return c
}

// Now is the time since the clock was made, suspended time included.
func (c *BootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no promise on time can be kept.
		panic("no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano() - c.start)
}
