package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemonCommand is the command of the deploy file, up to the path of the settings.
const daemonCommand = "target/hawthornstreamd"

// zones are the zones of all deployments here, each a region of its own.
var zones = []string{"z1", "z2", "z3"}

// daemon is one process of the product.
type daemon struct {
	name, zone, host string
	command          *exec.Cmd
	settings         string
	logPath          string
	// exited is closed when the process has ended.
	exited chan struct{}

	mu sync.Mutex
	// ending is true once a signal that ends the process was sent.
	ending bool
	state  *os.ProcessState
}

func (d *daemon) front() string { return d.host + ":8783" }
func (d *daemon) ready() string { return d.host + ":8780" }

// newDaemon writes the settings as deploy/settings.json.tmpl has them.
func newDaemon(folder, name, zone string, s *store) (*daemon, error) {
	random := rand.Uint32()
	d := &daemon{
		name: name, zone: zone,
		host: fmt.Sprintf("127.%d.%d.%d", 1+random%250, (random>>8)%250, 1+(random>>16)%250),
	}
	var regions []string
	for _, z := range zones {
		regions = append(regions, fmt.Sprintf("%q: %q", z, "region-"+z))
	}
	text := fmt.Sprintf(`{
  "vm": {"name": %q, "failureDomain": %q, "region": %q},
  "listen": {
    "callers": "%[4]s:8783", "operators": "%[4]s:7415", "peers": "%[4]s:7400", "readiness": "%[4]s:8780",
    "handover": "%[4]s:7400-7415"
  },
  "platform": {
    "interface": "objects", "objectAPI": "http://%[5]s", "vmListPeriod": "100ms", "regions": {%[6]s}
  },
  "operators": {},
  "limits": {"body": "4MiB", "header": "16KiB", "memory": "284MiB", "files": 4100, "idle": "5s", "processorWait": "30ms", "processors": 0.4},
  "retries": {"part": 0.2, "fleetFloor": 58},
  "stop": {"killedAfter": "8s", "announce": "2500ms"},
  "log": {"level": "info"}
}
`, name, zone, "region-"+zone, d.host, s.address, strings.Join(regions, ", "))
	d.settings = filepath.Join(folder, name+".json")
	d.logPath = filepath.Join(folder, name+".log")
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

func (d *daemon) start() error {
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.command = exec.Command(daemonCommand, "-settings", d.settings)
	d.command.Stdout, d.command.Stderr = log, log
	// A test that is killed leaves no process behind.
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	command, exited := d.command, make(chan struct{})
	d.exited, d.ending = exited, false
	go func() {
		_ = command.Wait()
		d.mu.Lock()
		d.state = command.ProcessState
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		d.mu.Lock()
		d.ending = true
		d.mu.Unlock()
	}
	_ = d.command.Process.Signal(s)
}

// endedByItself reports whether the process has ended without a signal of the test.
func (d *daemon) endedByItself() bool {
	select {
	case <-d.exited:
	default:
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.ending
}

// waitReady waits until the daemon says that it is ready.
func (d *daemon) waitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready() + "/api/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready: %s", d.name, d.lastLog(600))
}

// lastLog returns the end of the daemon's log.
func (d *daemon) lastLog(size int) string {
	content, _ := os.ReadFile(d.logPath)
	return string(content[max(0, len(content)-size):])
}

// panics returns the lines of the log that tell why the process ended by itself, without the
// places in files.
func (d *daemon) panics() []string {
	content, _ := os.ReadFile(d.logPath)
	var found []string
	at := bytes.Index(content, []byte("\npanic: "))
	if at < 0 {
		at = bytes.Index(content, []byte("\nfatal error: "))
	}
	if at < 0 {
		return nil
	}
	for line := range strings.Lines(string(content[at+1:])) {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "/") {
			continue
		}
		if found = append(found, line); len(found) == 8 {
			break
		}
	}
	return found
}

// kill ends the process, also one that is stopped.
func (d *daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.exited
}
