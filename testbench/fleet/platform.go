package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
	"hawthornstream/testbench/standin/engine"
	"hawthornstream/testbench/standin/service"
)

// The ends of the links to the platform.
const (
	EndObjects = "object-api"
	EndVMList  = "vm-list"
)

// addresses gives out loopback addresses that no other process is likely to
// use.
type addresses struct {
	second, third int
	last          atomic.Int32
}

func newAddresses() *addresses {
	return &addresses{second: 1 + rand.IntN(250), third: 1 + rand.IntN(250)}
}

func (a *addresses) next() net.IP {
	return net.IPv4(127, byte(a.second), byte(a.third), byte(a.last.Add(1)))
}

func (f *Fleet) platformSettings(viewer string) (settings.Platform, error) {
	objects := f.Objects.Address()
	list := f.VMs.Address()
	if f.options.Links.PlatformProxied {
		toObjects, err := f.Network.AddLink(viewer, EndObjects, objects, 0)
		if err != nil {
			return settings.Platform{}, err
		}
		toList, err := f.Network.AddLink(viewer, EndVMList, list, 0)
		if err != nil {
			return settings.Platform{}, err
		}
		objects, list = toObjects.Address(), toList.Address()
	}
	return settings.Platform{
		ObjectAPI:    "http://" + objects,
		VMList:       "http://" + list + "/v1/vms?viewer=" + viewer,
		VMListPeriod: configuration.Duration(listPeriod),
	}, nil
}

// rewrite returns the address under which a daemon reaches a VM.
func (f *Fleet) rewrite(viewer string, vm ports.VM) string {
	if viewer == string(vm.Name) {
		return ""
	}
	from, known := f.places[viewer]
	if !known {
		return ""
	}
	to := Domain{Name: vm.Domain, Region: vm.Region}
	delay := f.options.Links.between(from, to)
	if delay == 0 && !f.options.Links.Proxied {
		return ""
	}
	link, err := f.Network.AddLink(viewer, string(vm.Name), vm.Address, delay)
	if err != nil {
		return ""
	}
	return link.Address()
}

func (f *Fleet) startBackends() error {
	for _, model := range f.options.Engines {
		for i := range model.Servers {
			if _, err := f.AddEngine(model, i); err != nil {
				return err
			}
		}
	}
	for _, plain := range f.options.Services {
		for i := range plain.Servers {
			if _, err := f.AddServer(plain, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// AddEngine starts an engine and puts it on the VM list.
func (f *Fleet) AddEngine(model EngineService, index int) (*engine.Engine, error) {
	config := model.Engine
	config.Name = serverName(model.Name, index)
	config.Service = string(model.Name)
	config.Log = f.Runs
	started, err := engine.Start(config)
	if err != nil {
		return nil, err
	}
	f.onClose(started.Close)
	f.Engines[config.Name] = started
	f.list(config.Name, model.Name, index, started.Address())
	return started, nil
}

// AddServer starts a server of a plain service and puts it on the VM list.
func (f *Fleet) AddServer(plain PlainService, index int) (*service.Service, error) {
	config := plain.Server
	config.Name = serverName(plain.Name, index)
	config.Service = string(plain.Name)
	config.Log = f.Runs
	started, err := service.Start(config)
	if err != nil {
		return nil, err
	}
	f.onClose(started.Close)
	f.Servers[config.Name] = started
	f.list(config.Name, plain.Name, index, started.Address())
	return started, nil
}

func serverName(name ports.ServiceName, index int) string {
	return fmt.Sprintf("%s-%d", name, index+1)
}

func (f *Fleet) list(name string, of ports.ServiceName, index int, address string) {
	domain := f.options.Domains[index%len(f.options.Domains)]
	f.VMs.Set(ports.VM{
		Name:    ports.VMName(name),
		Kind:    ports.VMKindBackend,
		Domain:  domain.Name,
		Region:  domain.Region,
		Service: of,
		Address: address,
	})
}
