package fleet

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is a child process. It can be started again after it has exited.
type Process struct {
	path    string
	args    []string
	logPath string
	cmd     *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
	// exitErr is the result of Wait; read it only after done is closed.
	exitErr error
}

func startProcess(path, logPath string, args ...string) (*Process, error) {
	p := &Process{path: path, args: args, logPath: logPath}
	return p, p.Restart()
}

// Restart starts the program with the same arguments after it has exited. The
// output is appended to the same log file.
func (p *Process) Restart() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = out
	cmd.Stderr = out
	// The kernel kills the child when its parent dies, so that a test that
	// crashes leaves no processes behind.
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

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate sends SIGTERM and waits for the process to exit. It returns the error
// of exec.Cmd.Wait. A process that has not exited after timeout is killed, and an
// error is returned.
func (p *Process) Terminate(timeout time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(timeout):
		p.Kill()
		return errors.New("process did not exit before the timeout and was killed")
	}
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Log returns the log file of the process, or the error of reading it.
func (p *Process) Log() string {
	body, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// Exited reports whether the process has exited since it was last started.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }
