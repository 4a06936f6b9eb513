package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of CPU time in /proc/PID/stat on Linux.
	clockTick = 10 * time.Millisecond
	// The indexes of user and system time in /proc/PID/stat, counted from the
	// field after the program name.
	statUserTime   = 11
	statSystemTime = 12
	// kibibyte is the unit of memory in /proc/PID/status, in bytes.
	kibibyte = 1024
)

// Usage is the CPU time and memory of a process.
type Usage struct {
	// CPU is the user and system time since the process started.
	CPU time.Duration
	// ResidentBytes is the resident set size, in bytes.
	ResidentBytes int64
}

// Usage reads the CPU time and memory of the process from /proc. It returns an
// error if the process has exited or a file has an unknown format.
func (p *Process) Usage() (Usage, error) {
	folder := fmt.Sprintf("/proc/%d/", p.PID())
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, err
	}
	// The program name, in parentheses, may contain spaces.
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statSystemTime {
		return Usage{}, fmt.Errorf("%sstat: too few fields after the program name: %d", folder, len(fields))
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
	return 0, fmt.Errorf("%s: no VmRSS line", path)
}

// NodeUsage returns the summed CPU time of the running nodes and the largest
// resident set size of any of them.
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
