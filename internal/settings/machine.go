package settings

import (
	"golang.org/x/sys/unix"
)

const (
	// minMemoryMB is what a host needs before it serves anybody.
	minMemoryMB = 32
	// reservedFiles are descriptors that no caller may take, and callerFraction is the fraction of the others for callers; the rest is for
	// backend servers and other hosts.
	reservedFiles  = 200
	callerFraction = 0.625
	minConnections = 64
	// unknownMemoryMB and unknownFiles are used if the system doesn't tell.
	unknownMemoryMB = 1024
	unknownFiles    = 1024
)

// machineMemoryMB returns the machine's memory in MB.
func machineMemoryMB() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return unknownMemoryMB
	}
	return max(minMemoryMB, int64(uint64(info.Totalram)*uint64(info.Unit)>>20))
}

// defaultConnections returns the number of callers' connections that the limit on file descriptors allows.
func defaultConnections() int64 {
	limit := unix.Rlimit{Cur: unknownFiles}
	_ = unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) // keeps the default on failure
	files := min(limit.Cur, 1<<20)
	return max(minConnections, int64(callerFraction*(float64(files)-reservedFiles)))
}
