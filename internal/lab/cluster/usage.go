package cluster

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// usage holds the resources that a process has used.
type usage struct{ cpu, bytes, memory float64 }

// usageOf reads the usage of a process: CPU time in seconds, bytes read and written, and the current resident memory in bytes.
func usageOf(pid int) (u usage) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	if raw, err := os.ReadFile(filepath.Join(dir, "stat")); err == nil {
		const user, system, ticks = 11, 12, 100 // indexes of the fields after the process name, and clock ticks per second
		_, rest, _ := strings.Cut(string(raw), ") ")
		if fields := strings.Fields(rest); len(fields) > system {
			a, _ := strconv.ParseFloat(fields[user], 64)
			b, _ := strconv.ParseFloat(fields[system], 64)
			u.cpu = (a + b) / ticks
		}
	}
	if raw, err := os.ReadFile(filepath.Join(dir, "io")); err == nil {
		for _, line := range strings.Split(string(raw), "\n") {
			if key, value, _ := strings.Cut(line, ": "); key == "rchar" || key == "wchar" {
				v, _ := strconv.ParseFloat(value, 64)
				u.bytes += v
			}
		}
	}
	if raw, err := os.ReadFile(filepath.Join(dir, "statm")); err == nil {
		if fields := strings.Fields(string(raw)); len(fields) > 1 {
			pages, _ := strconv.ParseFloat(fields[1], 64)
			u.memory = pages * float64(syscall.Getpagesize())
		}
	}
	return u
}
