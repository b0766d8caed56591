package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// clockTicks is how many ticks of processor time the kernel counts a second.
const clockTicks = 100

// Usage is what a process has used so far.
type Usage struct {
	// CPU is the processor time.
	CPU time.Duration
	// Resident is the memory in use, in bytes.
	Resident uint64
	At       time.Time
}

// UsageError says that the kernel's account of a process could not be read.
type UsageError struct {
	Process int
	Text    string
}

// Error names the process.
func (e *UsageError) Error() string {
	return fmt.Sprintf("usage of process %d cannot be read: %s", e.Process, e.Text)
}

// HostUsage returns what a host's process has used.
func (r *Run) HostUsage(host int) (Usage, error) {
	return usageOf(r.hosts[host].process.command.Process.Pid)
}

func usageOf(process int) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return Usage{}, trace.Wrap(err)
	}
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, residentField = 11, 12, 21
	if !ok || len(fields) <= residentField {
		return Usage{}, trace.Wrap(&UsageError{
			Process: process,
			Text:    string(data),
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
		CPU:      time.Duration(ticks) * time.Second / clockTicks,
		Resident: pages * uint64(os.Getpagesize()),
		At:       time.Now(),
	}, nil
}
