package timing

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock reads CLOCK_BOOTTIME. Deadlines, leases, ages and permissions are measured on it because
// CLOCK_MONOTONIC stops while a machine is suspended: after a resume, a host would act on state that
// is seconds old without noticing.
type BootClock struct{ start int64 }

// NewBootClock returns a clock that starts at zero.
func NewBootClock() *BootClock {
	c := &BootClock{}
	c.start = int64(c.Now())
	return c
}

// Now returns the time since NewBootClock, including time that the machine was suspended.
func (c *BootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Available since Linux 2.6.39. Without it, no deadline or lease can be enforced.
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano() - c.start)
}
