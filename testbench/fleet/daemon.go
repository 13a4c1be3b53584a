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

// The ports that daemons listen on. They don't collide, as each daemon has its
// own loopback address.
const (
	callersPort   = 7080
	operatorsPort = 7081
	peersPort     = 7082
)

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 5 * time.Millisecond
	// stopAnnouncement and vmListPeriod go into the settings of each daemon.
	stopAnnouncement = 200 * time.Millisecond
	vmListPeriod     = 250 * time.Millisecond
)

// Daemon is a daemon of the fleet, running or not.
type Daemon struct {
	// VM is the daemon's entry in the VM list.
	VM ports.VM

	settings settings.Settings
	*Process
}

func (f *Fleet) newDaemon(index int) (*Daemon, error) {
	domain := f.options.Domains[index%len(f.options.Domains)]
	name := ports.VMName(fmt.Sprintf("daemon-%d", index+1))
	address := f.addresses.allocate()
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
		Stop:      settings.Stop{AnnouncePeriod: configuration.Duration(stopAnnouncement)},
	}
	if f.options.AdjustSettings != nil {
		f.options.AdjustSettings(&daemon.settings)
	}
	return daemon, daemon.writeSettings()
}

func (d *Daemon) writeSettings() error {
	document, err := encodeSettings(d.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(d.settingsPath, document, 0o600)
}

// encodeSettings returns the settings as JSON, without the fields that are zero,
// so that the daemon uses their defaults.
func encodeSettings(s settings.Settings) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	removeZeroValues(fields)
	return json.MarshalIndent(fields, "", "  ")
}

func removeZeroValues(fields map[string]any) {
	for name, value := range fields {
		if nested, ok := value.(map[string]any); ok {
			removeZeroValues(nested)
			if len(nested) == 0 {
				delete(fields, name)
			}
			continue
		}
		if value == "0s" || value == "0B" || value == "" || value == float64(0) {
			delete(fields, name)
		}
	}
}

// ID returns the daemon's identifier, which is its VM's name.
func (d *Daemon) ID() ports.DaemonID {
	return d.VM.Name
}

// CallersURL returns the base URL for callers.
func (d *Daemon) CallersURL() string {
	return "http://" + d.settings.Listen.Callers
}

// OperatorsURL returns the base URL for operators.
func (d *Daemon) OperatorsURL() string {
	return "http://" + d.settings.Listen.Operators
}
