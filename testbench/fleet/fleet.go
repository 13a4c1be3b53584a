package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/testbench/faultproxy"
	"hawthornstream/testbench/standin"
	"hawthornstream/testbench/standin/engine"
	"hawthornstream/testbench/standin/objectstore"
	"hawthornstream/testbench/standin/service"
	"hawthornstream/testbench/standin/vmlist"
)

// readyTimeout is the longest time that a daemon may take to become ready.
const readyTimeout = 30 * time.Second

// Fleet is a fleet of daemons with the stand-ins for the platform and the backend
// servers, and the proxied network between them.
type Fleet struct {
	// Directory holds the settings and logs of the daemons.
	Directory string
	Objects   *objectstore.Store
	VMs       *vmlist.List
	Network   *faultproxy.Network
	// RunLog records the runs of all backend servers.
	RunLog *standin.RunLog
	// Engines and PlainServers are the backend servers, by VM name.
	Engines      map[string]*engine.Engine
	PlainServers map[string]*service.Service
	// Daemons are in the order of their start.
	Daemons []*Daemon

	options       Options
	addresses     *addressAllocator
	daemonDomains map[string]Domain
	document      configuration.Document

	mu sync.Mutex
	// closers are run by Close, the last one first.
	closers []func()
}

// Start starts a fleet and waits until each daemon is ready. With
// NoConfiguration it does not wait. The caller must call Close.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f, err := Prepare(options)
	if err != nil {
		return nil, err
	}
	if err := f.StartDaemons(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Prepare starts everything but the daemons, which StartDaemons starts. The
// caller must call Close.
func Prepare(options Options) (*Fleet, error) {
	options.setDefaults()
	f := &Fleet{
		Network:       faultproxy.NewNetwork(),
		RunLog:        &standin.RunLog{},
		Engines:       make(map[string]*engine.Engine),
		PlainServers:  make(map[string]*service.Service),
		options:       options,
		daemonDomains: make(map[string]Domain),
	}
	var err error
	if f.addresses, err = newAddressAllocator(); err != nil {
		return nil, err
	}
	f.onClose(f.addresses.close)
	f.onClose(f.Network.Close)
	if err := f.prepare(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) prepare() error {
	steps := []func() error{
		f.prepareFiles,
		f.startPlatform,
		f.putConfiguration,
		f.startBackendServers,
		f.addDaemons,
		f.openLinks,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) prepareFiles() error {
	var err error
	if f.options.Binary == "" {
		if f.options.Binary, err = DaemonBinary(); err != nil {
			return err
		}
	}
	f.Directory = f.options.Directory
	if f.Directory == "" {
		if f.Directory, err = os.MkdirTemp("", "hawthornstream-fleet-"); err != nil {
			return err
		}
		f.onClose(func() { _ = os.RemoveAll(f.Directory) })
	}
	return nil
}

func (f *Fleet) startPlatform() error {
	objects, err := objectstore.Start()
	if err != nil {
		return err
	}
	f.Objects = objects
	f.onClose(objects.Close)
	list, err := vmlist.Start(f.addressFor)
	if err != nil {
		return err
	}
	f.VMs = list
	f.onClose(list.Close)
	return nil
}

func (f *Fleet) putConfiguration() error {
	f.document = f.options.document()
	if f.options.NoConfiguration {
		return nil
	}
	value, err := encodeFirstRevision(f.document)
	if err != nil {
		return err
	}
	f.Objects.Put(configuration.ObjectName, value)
	return nil
}

func (f *Fleet) addDaemons() error {
	for i := range f.options.Daemons {
		daemon, err := f.newDaemon(i)
		if err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, daemon)
		f.daemonDomains[string(daemon.VM.Name)] = f.options.Domains[i%len(f.options.Domains)]
		f.VMs.Set(daemon.VM)
	}
	return nil
}

// openLinks opens all proxied links up front, so that faults also affect links
// that have carried no traffic yet.
func (f *Fleet) openLinks() error {
	for _, vm := range f.VMs.CurrentVMs() {
		for viewer := range f.daemonDomains {
			if _, err := f.openLink(viewer, vm); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartDaemons starts all daemons and waits until each is ready. With
// NoConfiguration it does not wait.
func (f *Fleet) StartDaemons(ctx context.Context) error {
	f.onClose(f.killDaemons)
	for _, daemon := range f.Daemons {
		if err := daemon.Start(); err != nil {
			return err
		}
	}
	if f.options.NoConfiguration {
		return nil
	}
	for _, daemon := range f.Daemons {
		if err := daemon.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Document returns the configuration document that the fleet was started with.
func (f *Fleet) Document() configuration.Document {
	return f.document
}

// WaitReady waits until the daemon's readiness check passes. It fails if the
// daemon exits or is not ready within 30 seconds.
func (d *Daemon) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	lastReason := "no answer"
	for {
		ready, reason := d.ready(ctx)
		if ready {
			return nil
		}
		if reason != "" {
			lastReason = reason
		}
		select {
		case <-time.After(pollInterval):
		case <-d.Exited():
			return fmt.Errorf("%s exited: %s", d.VM.Name, d.Log())
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %s: %s", d.VM.Name, lastReason, logTail(d.Log()))
		}
	}
}

func (d *Daemon) ready(ctx context.Context) (bool, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.OperatorsURL()+"/readyz", nil)
	if err != nil {
		return false, ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode == http.StatusOK, strings.TrimSpace(string(body))
}

// logTailBytes is the length of the end of a log that goes into an error.
const logTailBytes = 2000

func logTail(log string) string {
	return log[max(0, len(log)-logTailBytes):]
}

func (f *Fleet) killDaemons() {
	for _, daemon := range f.Daemons {
		if daemon.Running() {
			_ = daemon.Kill()
			<-daemon.Exited()
		}
	}
}

func (f *Fleet) onClose(closer func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, closer)
}

// Close kills the daemons, stops the stand-ins and proxies, and deletes a
// temporary directory.
func (f *Fleet) Close() {
	f.mu.Lock()
	closers := f.closers
	f.closers = nil
	f.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}
