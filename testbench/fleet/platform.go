package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
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

const (
	// claimOctet and claimPort are the last octet and the port on which the owner of
	// a network listens as long as it uses the network.
	claimOctet = 254
	claimPort  = 47999
	// maxClaimAttempts is the number of networks that are tried.
	maxClaimAttempts = 100
)

// addressAllocator allocates addresses in a random /24 network of 127.0.0.0/8, which
// it has claimed: no other process that allocates addresses can use it at the time.
type addressAllocator struct {
	octet2, octet3 int
	lastOctet      atomic.Int32
	claim          net.Listener
}

// newAddressAllocator claims a network. The caller must call close.
func newAddressAllocator() (*addressAllocator, error) {
	return claimNetwork(func() (octet2, octet3 int) { return 1 + rand.IntN(250), 1 + rand.IntN(250) })
}

// claimNetwork claims the first free network of those that draw returns.
func claimNetwork(draw func() (octet2, octet3 int)) (*addressAllocator, error) {
	var lastErr error
	for range maxClaimAttempts {
		octet2, octet3 := draw()
		claimed := net.TCPAddr{IP: net.IPv4(127, byte(octet2), byte(octet3), claimOctet), Port: claimPort}
		listener, err := net.ListenTCP("tcp", &claimed)
		if err == nil {
			return &addressAllocator{octet2: octet2, octet3: octet3, claim: listener}, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no network of 127.0.0.0/8 could be claimed: %w", lastErr)
}

// close gives the network up.
func (a *addressAllocator) close() {
	_ = a.claim.Close()
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
// viewer reaches a VM, or "" if the link has no proxy or it can't be started. The
// latter is reported on standard error: the link is then without its delay and faults.
func (f *Fleet) addressFor(viewer string, vm ports.VM) string {
	address, err := f.openLink(viewer, vm)
	if err != nil {
		fmt.Fprintf(os.Stderr, "fleet: no proxy from %s to %s: %v\n", viewer, vm.Name, err)
	}
	return address
}

// openLink opens the link from a daemon to a VM and returns the address of its proxy,
// or "" if the link has none.
func (f *Fleet) openLink(viewer string, vm ports.VM) (string, error) {
	if viewer == string(vm.Name) {
		return "", nil
	}
	from, known := f.daemonDomains[viewer]
	if !known {
		return "", nil
	}
	to := Domain{Name: vm.Domain, Region: vm.Region}
	delay := f.options.Links.oneWayDelay(from, to)
	if delay == 0 && !f.options.Links.Proxied {
		return "", nil
	}
	link, err := f.Network.AddLink(viewer, string(vm.Name), vm.Address, delay)
	if err != nil {
		return "", err
	}
	return link.Address(), nil
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
