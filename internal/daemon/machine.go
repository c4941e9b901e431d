package daemon

import (
	"cmp"

	"golang.org/x/sys/unix"

	"fireflyshift/internal/ingress"
	"fireflyshift/internal/settings"
)

// machineMemoryMB and machineFiles are assumed if the system doesn't tell.
const (
	machineMemoryMB = 1024
	machineFiles    = 1024
)

// memoryMB returns the memory of the process in MB: as set, or that of the machine.
func memoryMB(set *settings.Settings) int {
	if set.Host.MemoryMB > 0 {
		return set.Host.MemoryMB
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return machineMemoryMB
	}
	return cmp.Or(int(uint64(info.Totalram)*uint64(info.Unit)>>20), machineMemoryMB)
}

// maxConnections returns the number of callers' connections: as set, or what the limit on file descriptors allows.
func maxConnections(set *settings.Settings) int {
	if set.Limits.MaxConnections > 0 {
		return set.Limits.MaxConnections
	}
	limit := unix.Rlimit{Cur: machineFiles}
	_ = unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) // keeps the default on failure
	return ingress.CallerConnections(int(min(limit.Cur, 1<<20)))
}
