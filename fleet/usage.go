package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// clockTicks is the number of ticks per second in which the kernel counts processor
// time in /proc.
const clockTicks = 100

// Usage is the resource usage of a process at one time.
type Usage struct {
	// CPU is the processor time used since the start of the process.
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident uint64
	// MeasuredAt is the time of the measurement.
	MeasuredAt time.Time
}

// UsageError is returned if /proc/PID/stat has too few fields.
type UsageError struct {
	PID  int
	Stat string
}

// Error returns the process ID and the content of the file.
func (e *UsageError) Error() string {
	return fmt.Sprintf("cannot parse the resource usage of process %d: %s", e.PID, e.Stat)
}

// ReadHostUsage returns the resource usage of a host's process.
func (r *Run) ReadHostUsage(host int) (Usage, error) {
	return readProcessUsage(r.hosts[host].process.command.Process.Pid)
}

func readProcessUsage(pid int) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, trace.Wrap(err)
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, residentField = 11, 12, 21
	if !ok || len(fields) <= residentField {
		return Usage{}, trace.Wrap(&UsageError{
			PID:  pid,
			Stat: string(data),
		})
	}
	ticks := 0
	for _, field := range []int{userField, systemField} {
		value, err := strconv.Atoi(fields[field])
		if err != nil {
			return Usage{}, trace.Wrap(err)
		}
		ticks += value
	}
	pages, err := strconv.ParseUint(fields[residentField], 10, 64)
	if err != nil {
		return Usage{}, trace.Wrap(err)
	}
	return Usage{
		CPU:        time.Duration(ticks) * time.Second / clockTicks,
		Resident:   pages * uint64(os.Getpagesize()),
		MeasuredAt: time.Now(),
	}, nil
}
