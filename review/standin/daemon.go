package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is what the platform tells a daemon in its settings.
type machine struct {
	name, ip, zone string
	memoryMb       int
	front, ready   int
	internal       [2]int
	storeAddress   string
	zones          map[string]string
}

// settings renders the settings template of the deploy file.
func (m *machine) settings(template string) (string, error) {
	text := template
	drop := func(name string) {
		text = regexp.MustCompile(`(?s)\{\{#`+regexp.QuoteMeta(name)+`\}\}.*?\{\{/`+regexp.QuoteMeta(name)+`\}\}`).ReplaceAllString(text, "")
	}
	drop("bounds.evacuationMs")
	drop("bounds.coldOverage")
	var zones []string
	for zone, region := range m.zones {
		zones = append(zones, fmt.Sprintf("%q: %q", zone, region))
	}
	text = regexp.MustCompile(`(?s)\{\{#zones\}\}.*?\{\{/zones\}\}`).ReplaceAllString(text, strings.Join(zones, ","))
	address := func(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }
	text = strings.NewReplacer(
		"{{nodeName|json}}", quote(m.name), "{{zone|json}}", quote(m.zone), "{{region|json}}", quote(m.zones[m.zone]),
		"{{listen.front|json}}", quote(address(m.front)), "{{listen.ready|json}}", quote(address(m.ready)),
		"{{ip}}", m.ip, "{{internalPorts.0}}", strconv.Itoa(m.internal[0]), "{{internalPorts.1}}", strconv.Itoa(m.internal[1]),
		"{{platform.address}}", m.storeAddress, "{{limits.memoryMb}}", strconv.Itoa(m.memoryMb), "{{limits.maxFds}}", "4200",
		"{{limits.cpuShare}}", "0.4", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retrySlack}}", "54",
		"{{bounds.gracePeriodS}}", "8",
	).Replace(text)
	if strings.Contains(text, "{{") || !json.Valid([]byte(text)) {
		return "", fmt.Errorf("the settings template has a placeholder that this program does not know:\n%s", text)
	}
	return text, nil
}

func quote(text string) string {
	data, _ := json.Marshal(text)
	return string(data)
}

// daemon is one daemon of the system, started as the deploy file says.
type daemon struct {
	machine
	root, file string
	log        *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// restart starts the process again restartDelay after its end.
	restart bool
}

// restartDelay is the time after which the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// runWords returns the words of "run" of the deploy file's first role.
func runWords(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(data)
	if found == nil {
		return nil, fmt.Errorf("the deploy file has no run")
	}
	return strings.Fields(string(found[1])), nil
}

func newDaemon(root, folder string, m machine) (*daemon, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.json.tmpl"))
	if err != nil {
		return nil, err
	}
	text, err := m.settings(string(template))
	if err != nil {
		return nil, err
	}
	d := &daemon{machine: m, root: root, file: filepath.Join(folder, m.name+".conf")}
	if err := os.WriteFile(d.file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(folder, m.name+".log"))
	return d, err
}

// start starts the process. The platform's path of the settings file is replaced by the
// file in the temporary folder.
func (d *daemon) start() error {
	words, err := runWords(d.root)
	if err != nil {
		return err
	}
	for i, word := range words {
		if word == "/etc/hawthornstream/node.conf" {
			words[i] = d.file
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startLocked(words)
}

func (d *daemon) startLocked(words []string) error {
	process := exec.Command(filepath.Join(d.root, words[0]), words[1:]...)
	process.Dir = d.root
	process.Stdout, process.Stderr = d.log, d.log
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAWTHORNSTREAM_NODE_FILE=" + d.file}
	// The kernel ends the daemon if this program is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.process, d.exited = process, exited
	go func() {
		process.Wait()
		close(exited)
		time.Sleep(restartDelay)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.restart {
			d.startLocked(words)
		}
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		d.process.Process.Signal(s)
	}
}

// stop kills the process and waits for its end.
func (d *daemon) stop() {
	d.mu.Lock()
	process, exited := d.process, d.exited
	d.restart = false
	d.mu.Unlock()
	if process == nil {
		return
	}
	process.Process.Kill()
	<-exited
}

// restartOnExit lets the platform start the process again whenever it ends.
func (d *daemon) restartOnExit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restart = true
}

// residentMb returns the resident memory of the process, or zero, and its pid.
func (d *daemon) residentMb() (mb float64, pid int) {
	d.mu.Lock()
	pid = d.process.Process.Pid
	d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, pid
	}
	found := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(data)
	if found == nil {
		return 0, pid
	}
	kb, _ := strconv.Atoi(string(found[1]))
	return float64(kb) / 1024, pid
}

func (d *daemon) address() string { return net.JoinHostPort(d.ip, strconv.Itoa(d.front)) }

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(d.ip, strconv.Itoa(d.ready)) + "/api/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if d.isReady() {
			return true
		}
	}
	return false
}
