package fleet

import (
	"time"

	"hawthornstream/testbench/faultproxy"
)

// AgencyLinks and HoaMaiLinks have the one-way delays of the two deployments.
var (
	AgencyLinks = LinkOptions{InterDomainDelay: 500 * time.Microsecond, InterRegionDelay: 12 * time.Millisecond}
	HoaMaiLinks = LinkOptions{InterDomainDelay: 1500 * time.Microsecond, InterRegionDelay: 12 * time.Millisecond}
)

// oneWayDelay returns the one-way delay between two failure domains.
func (l LinkOptions) oneWayDelay(from, to Domain) time.Duration {
	switch {
	case from.Region != to.Region:
		return l.InterRegionDelay
	case from.Name != to.Name:
		return l.InterDomainDelay
	default:
		return 0
	}
}

// InRegion returns a predicate that matches the daemons and backend servers of a
// region by their endpoint names.
func (f *Fleet) InRegion(region string) func(endpoint string) bool {
	names := make(map[string]bool)
	for _, vm := range f.VMs.CurrentVMs() {
		if string(vm.Region) == region {
			names[string(vm.Name)] = true
		}
	}
	return func(endpoint string) bool { return names[endpoint] }
}

// IsolateRegion blocks all links between the VMs of a region and the VMs outside
// it. Links to the platform keep working.
func (f *Fleet) IsolateRegion(region string) {
	for _, link := range f.regionLinks(region) {
		link.BlockBoth()
	}
}

// ReconnectRegion unblocks the links that IsolateRegion blocks.
func (f *Fleet) ReconnectRegion(region string) {
	for _, link := range f.regionLinks(region) {
		link.Unblock()
	}
}

// regionLinks returns the links between the VMs of a region and the VMs outside
// it.
func (f *Fleet) regionLinks(region string) []*faultproxy.Link {
	inside := f.InRegion(region)
	platform := faultproxy.Named(EndpointObjectAPI, EndpointVMList)
	outside := func(endpoint string) bool { return !inside(endpoint) && !platform(endpoint) }
	return f.Network.Links(faultproxy.Between(inside, outside))
}

// IsolateDaemon blocks all links from and to a daemon, including those to the
// platform if PlatformProxied is set.
func (f *Fleet) IsolateDaemon(daemon *Daemon) {
	for _, link := range f.DaemonLinks(daemon) {
		link.BlockBoth()
	}
}

// ReconnectDaemon unblocks all links from and to a daemon.
func (f *Fleet) ReconnectDaemon(daemon *Daemon) {
	for _, link := range f.DaemonLinks(daemon) {
		link.Unblock()
	}
}

// DaemonLinks returns the proxied links from and to a daemon.
func (f *Fleet) DaemonLinks(daemon *Daemon) []*faultproxy.Link {
	self := faultproxy.Named(string(daemon.VM.Name))
	return f.Network.Links(faultproxy.Between(self, faultproxy.AnyEndpoint))
}

// CrossRegionBytes returns the number of bytes that proxied links have delivered
// between regions so far.
func (f *Fleet) CrossRegionBytes() int64 {
	regions := make(map[string]string)
	for _, vm := range f.VMs.CurrentVMs() {
		regions[string(vm.Name)] = string(vm.Region)
	}
	links := f.Network.Links(func(from, to string) bool {
		return regions[from] != "" && regions[to] != "" && regions[from] != regions[to]
	})
	var sum int64
	for _, link := range links {
		sum += link.Bytes()
	}
	return sum
}
