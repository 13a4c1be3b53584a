package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// Process is one process of the daemon's program, running or not.
type Process struct {
	// Name is for messages.
	Name string
	// LogPath is the file that takes the process's output.
	LogPath string

	settingsPath string
	binary       string
	environment  []string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	exit    error
}

// NewProcess returns a process of a program with a settings file, not started.
func NewProcess(name, binary, settingsPath, logPath string) *Process {
	return &Process{Name: name, LogPath: logPath, settingsPath: settingsPath, binary: binary}
}

// SettingsPath returns the settings file.
func (p *Process) SettingsPath() string {
	return p.settingsPath
}

// Start runs the process. A process that has exited can be started again.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.binary, "-settings", p.settingsPath)
	command.Stdout = log
	command.Stderr = log
	command.Env = append(os.Environ(), p.environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command = command
	p.exited = exited
	p.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.exit = err
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// PID returns the process id, zero when the process never ran.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Running says whether the process has not exited.
func (p *Process) Running() bool {
	exited := p.Exited()
	select {
	case <-exited:
		return false
	default:
		return exited != nil
	}
}

// Exited is closed when the process has exited; nil when it never ran.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Terminate asks for a planned stop by SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill ends the process at once.
func (p *Process) Kill() error { return p.signal(syscall.SIGKILL) }

// Pause stops the process's execution until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s is not running", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Signal(signal)
}

// Wait waits for the process's exit and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.Exited():
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exit
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop does a planned stop and waits for its end.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Hangup asks the process to read its settings again.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// Log returns what the process has written.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.LogPath)
	return string(data)
}
