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

// The names of the platform's endpoints in the network.
const (
	EndpointObjectAPI = "object-api"
	EndpointVMList    = "vm-list"
)

// addressAllocator allocates addresses in a random /24 network of 127.0.0.0/8,
// which other processes are unlikely to use.
type addressAllocator struct {
	octet2, octet3 int
	lastOctet      atomic.Int32
}

func newAddressAllocator() *addressAllocator {
	return &addressAllocator{octet2: 1 + rand.IntN(250), octet3: 1 + rand.IntN(250)}
}

func (a *addressAllocator) allocate() net.IP {
	return net.IPv4(127, byte(a.octet2), byte(a.octet3), byte(a.lastOctet.Add(1)))
}

func (f *Fleet) platformSettings(viewer string) (settings.Platform, error) {
	objects := f.Objects.Address()
	list := f.VMs.Address()
	if f.options.Links.PlatformProxied {
		toObjects, err := f.Network.AddLink(viewer, EndpointObjectAPI, objects, 0)
		if err != nil {
			return settings.Platform{}, err
		}
		toList, err := f.Network.AddLink(viewer, EndpointVMList, list, 0)
		if err != nil {
			return settings.Platform{}, err
		}
		objects, list = toObjects.Address(), toList.Address()
	}
	return settings.Platform{
		ObjectAPI:    "http://" + objects,
		VMList:       "http://" + list + "/v1/vms?viewer=" + viewer,
		VMListPeriod: configuration.Duration(vmListPeriod),
	}, nil
}

// addressFor returns the address of the proxy through which the daemon named
// viewer reaches a VM, or "" if the link has no proxy or it can't be started.
func (f *Fleet) addressFor(viewer string, vm ports.VM) string {
	if viewer == string(vm.Name) {
		return ""
	}
	from, known := f.daemonDomains[viewer]
	if !known {
		return ""
	}
	to := Domain{Name: vm.Domain, Region: vm.Region}
	delay := f.options.Links.oneWayDelay(from, to)
	if delay == 0 && !f.options.Links.Proxied {
		return ""
	}
	link, err := f.Network.AddLink(viewer, string(vm.Name), vm.Address, delay)
	if err != nil {
		return ""
	}
	return link.Address()
}

func (f *Fleet) startBackendServers() error {
	for _, engineService := range f.options.Engines {
		for i := range engineService.Servers {
			if _, err := f.AddEngine(engineService, i); err != nil {
				return err
			}
		}
	}
	for _, plainService := range f.options.Services {
		for i := range plainService.Servers {
			if _, err := f.AddPlainServer(plainService, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// AddEngine starts an engine and adds it to the VM list. The index sets its name
// and its domain.
func (f *Fleet) AddEngine(engineService EngineService, index int) (*engine.Engine, error) {
	config := engineService.Engine
	config.Name = serverName(engineService.Name, index)
	config.Service = string(engineService.Name)
	config.Log = f.RunLog
	started, err := engine.Start(config)
	if err != nil {
		return nil, err
	}
	f.onClose(started.Close)
	f.Engines[config.Name] = started
	f.addToVMList(config.Name, engineService.Name, index, started.Address())
	return started, nil
}

// AddPlainServer starts a server of a plain service and adds it to the VM list.
// The index sets its name and its domain.
func (f *Fleet) AddPlainServer(plainService PlainService, index int) (*service.Service, error) {
	config := plainService.Server
	config.Name = serverName(plainService.Name, index)
	config.Service = string(plainService.Name)
	config.Log = f.RunLog
	started, err := service.Start(config)
	if err != nil {
		return nil, err
	}
	f.onClose(started.Close)
	f.PlainServers[config.Name] = started
	f.addToVMList(config.Name, plainService.Name, index, started.Address())
	return started, nil
}

func serverName(serviceName ports.ServiceName, index int) string {
	return fmt.Sprintf("%s-%d", serviceName, index+1)
}

func (f *Fleet) addToVMList(name string, serviceName ports.ServiceName, index int, address string) {
	domain := f.options.Domains[index%len(f.options.Domains)]
	f.VMs.Set(ports.VM{
		Name:    ports.VMName(name),
		Kind:    ports.VMKindBackend,
		Domain:  domain.Name,
		Region:  domain.Region,
		Service: serviceName,
		Address: address,
	})
}
