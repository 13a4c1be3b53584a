package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// Process is a process of the daemon's binary, running or not.
type Process struct {
	// Name identifies the process in error messages.
	Name string
	// LogPath is the file to which the process's output is appended.
	LogPath string

	settingsPath string
	binary       string
	environment  []string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// NewProcess returns a process that Start runs from the binary with the settings
// file.
func NewProcess(name, binary, settingsPath, logPath string) *Process {
	return &Process{Name: name, LogPath: logPath, settingsPath: settingsPath, binary: binary}
}

// SettingsPath returns the path of the settings file.
func (p *Process) SettingsPath() string {
	return p.settingsPath
}

// Start starts the process. A process that has exited can be started again.
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
		p.exitErr = err
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// PID returns the process ID, or zero if the process was never started.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	exited := p.Exited()
	select {
	case <-exited:
		return false
	default:
		return exited != nil
	}
}

// Exited returns a channel that is closed when the process has exited. It is nil
// if the process was never started.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Terminate requests a planned stop by SIGTERM.
func (p *Process) Terminate() error { return p.sendSignal(syscall.SIGTERM) }

// Interrupt sends SIGINT, which ends a stop in progress at once.
func (p *Process) Interrupt() error { return p.sendSignal(syscall.SIGINT) }

// Kill kills the process by SIGKILL.
func (p *Process) Kill() error { return p.sendSignal(syscall.SIGKILL) }

// Pause suspends the process until Resume.
func (p *Process) Pause() error { return p.sendSignal(syscall.SIGSTOP) }

// Resume continues a process that Pause has suspended.
func (p *Process) Resume() error { return p.sendSignal(syscall.SIGCONT) }

func (p *Process) sendSignal(signal syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s is not running", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Signal(signal)
}

// Wait waits until the process exits and returns its exit error, or that of the
// context if it ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.Exited():
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop requests a planned stop and waits until the process exits.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// ReloadSettings makes the process read its settings again, by SIGHUP.
func (p *Process) ReloadSettings() error { return p.sendSignal(syscall.SIGHUP) }

// Log returns the process's output so far, or "" if it can't be read.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.LogPath)
	return string(data)
}
