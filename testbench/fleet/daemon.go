package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// The ports that daemons listen on. Each daemon has a loopback address of its
// own.
const (
	callersPort   = 7080
	operatorsPort = 7081
	peersPort     = 7082
)

const (
	pollPeriod   = 5 * time.Millisecond
	announceTime = 200 * time.Millisecond
	listPeriod   = 250 * time.Millisecond
)

// Daemon is one daemon, running or not.
type Daemon struct {
	// VM is the daemon as the VM list shows it.
	VM ports.VM

	settings settings.Settings
	*Process
}

func (f *Fleet) newDaemon(index int) (*Daemon, error) {
	domain := f.options.Domains[index%len(f.options.Domains)]
	name := ports.VMName(fmt.Sprintf("daemon-%d", index+1))
	address := f.addresses.next()
	daemon := &Daemon{
		VM: ports.VM{
			Name:    name,
			Kind:    ports.VMKindDaemon,
			Domain:  domain.Name,
			Region:  domain.Region,
			Address: fmt.Sprintf("%s:%d", address, peersPort),
		},
		Process: &Process{
			Name:         string(name),
			LogPath:      filepath.Join(f.Directory, string(name)+".log"),
			settingsPath: filepath.Join(f.Directory, string(name)+".json"),
			binary:       f.options.Binary,
			environment:  f.options.Environment,
		},
	}
	platform, err := f.platformSettings(string(name))
	if err != nil {
		return nil, err
	}
	daemon.settings = settings.Settings{
		VM: settings.VM{Name: name, FailureDomain: domain.Name, Region: domain.Region},
		Listen: settings.Listen{
			Callers:   fmt.Sprintf("%s:%d", address, callersPort),
			Operators: fmt.Sprintf("%s:%d", address, operatorsPort),
			Peers:     daemon.VM.Address,
		},
		Platform:  platform,
		Operators: settings.Operators{KeyDigests: map[string]string{OperatorName: KeyDigest(OperatorKey)}},
		Stop:      settings.Stop{AnnouncePeriod: configuration.Duration(announceTime)},
	}
	if f.options.AdjustSettings != nil {
		f.options.AdjustSettings(&daemon.settings)
	}
	return daemon, daemon.writeSettings()
}

func (d *Daemon) writeSettings() error {
	document, err := settingsDocument(d.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(d.settingsPath, document, 0o600)
}

// settingsDocument leaves out the fields that are not set, so that their
// defaults hold.
func settingsDocument(s settings.Settings) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	dropUnset(fields)
	return json.MarshalIndent(fields, "", "  ")
}

func dropUnset(fields map[string]any) {
	for name, value := range fields {
		if inner, ok := value.(map[string]any); ok {
			dropUnset(inner)
			if len(inner) == 0 {
				delete(fields, name)
			}
			continue
		}
		if value == "0s" || value == "0B" || value == "" || value == float64(0) {
			delete(fields, name)
		}
	}
}

// ID returns the daemon's identifier.
func (d *Daemon) ID() ports.DaemonID {
	return d.VM.Name
}

// CallersURL is the base URL for callers.
func (d *Daemon) CallersURL() string {
	return "http://" + d.settings.Listen.Callers
}

// OperatorsURL is the base URL for operators.
func (d *Daemon) OperatorsURL() string {
	return "http://" + d.settings.Listen.Operators
}
