package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of processor time in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// The places of user and system time in /proc/PID/stat after the name.
	statUserTime   = 11
	statSystemTime = 12
	// kilobyte is the unit of memory in /proc/PID/status, in bytes.
	kibibyte = 1024
)

// Usage is what a process has used.
type Usage struct {
	// CPU is the processor time since the start.
	CPU time.Duration
	// Resident is the memory in use, in bytes.
	ResidentBytes int64
}

// Usage reads what the process has used, from /proc.
func (p *Process) Usage() (Usage, error) {
	folder := fmt.Sprintf("/proc/%d/", p.PID())
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, err
	}
	// The name of the program, in parentheses, may hold spaces.
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statSystemTime {
		return Usage{}, fmt.Errorf("%sstat: got %d fields", folder, len(fields))
	}
	var ticks int64
	for _, i := range []int{statUserTime, statSystemTime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return Usage{}, err
		}
		ticks += n
	}
	resident, err := residentSize(folder + "status")
	return Usage{CPU: time.Duration(ticks) * clockTick, ResidentBytes: resident}, err
}

func residentSize(path string) (int64, error) {
	status, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		text, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
		return n * kibibyte, err
	}
	return 0, fmt.Errorf("%s: no resident size", path)
}

// NodeUsage adds up what the nodes that run have used: the processor time of
// all, and the memory of the largest.
func (f *Fleet) NodeUsage() Usage {
	var sum Usage
	for _, v := range f.VMs {
		u, err := v.Node.Usage()
		if err != nil {
			continue
		}
		sum.CPU += u.CPU
		sum.ResidentBytes = max(sum.ResidentBytes, u.ResidentBytes)
	}
	return sum
}
