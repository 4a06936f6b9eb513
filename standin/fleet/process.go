package fleet

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is one program that was started.
type Process struct {
	path    string
	args    []string
	logPath string
	cmd     *exec.Cmd
	// done is closed when the process has ended.
	done    chan struct{}
	exitErr error
}

func startProcess(path, log string, args ...string) (*Process, error) {
	p := &Process{path: path, args: args, logPath: log}
	return p, p.Restart()
}

// Restart starts the program anew after it has ended.
func (p *Process) Restart() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = out
	cmd.Stderr = out
	// The process must not outlive the one that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		p.exitErr = cmd.Wait()
		close(done)
	}()
	return nil
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate asks the process to stop and waits for it. A process that takes
// longer than timeout is killed and reported.
func (p *Process) Terminate(timeout time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(timeout):
		p.Kill()
		return errors.New("process did not stop in time")
	}
}

// Pause stops the process from running until Resume.
func (p *Process) Pause() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Log returns what the process has written.
func (p *Process) Log() string {
	body, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// PID returns the number of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }
