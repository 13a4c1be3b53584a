package fleet

import (
	"time"

	"hawthornstream/testbench/faultproxy"
)

// AgencyLinks and HoaMaiLinks are the one-way delays of the two deployments.
var (
	AgencyLinks = Links{BetweenDomains: 500 * time.Microsecond, BetweenRegions: 12 * time.Millisecond}
	HoaMaiLinks = Links{BetweenDomains: 1500 * time.Microsecond, BetweenRegions: 12 * time.Millisecond}
)

func (l Links) between(from, to Domain) time.Duration {
	switch {
	case from.Region != to.Region:
		return l.BetweenRegions
	case from.Name != to.Name:
		return l.BetweenDomains
	default:
		return 0
	}
}

// InRegion matches the ends of daemons and backend servers in a region.
func (f *Fleet) InRegion(region string) func(end string) bool {
	names := make(map[string]bool)
	for _, vm := range f.VMs.CurrentVMs() {
		if string(vm.Region) == region {
			names[string(vm.Name)] = true
		}
	}
	return func(end string) bool { return names[end] }
}

// CutRegion cuts a region off from all VMs of the others.
func (f *Fleet) CutRegion(region string) {
	for _, link := range f.regionLinks(region) {
		link.BlockBoth()
	}
}

// HealRegion ends CutRegion.
func (f *Fleet) HealRegion(region string) {
	for _, link := range f.regionLinks(region) {
		link.Unblock()
	}
}

func (f *Fleet) regionLinks(region string) []*faultproxy.Link {
	inside := f.InRegion(region)
	platform := faultproxy.Named(EndObjects, EndVMList)
	outside := func(end string) bool { return !inside(end) && !platform(end) }
	return f.Network.Links(faultproxy.Between(inside, outside))
}

// CutDaemon cuts a daemon off from all VMs, and from the platform too when its
// links have proxies.
func (f *Fleet) CutDaemon(daemon *Daemon) {
	for _, link := range f.DaemonLinks(daemon) {
		link.BlockBoth()
	}
}

// HealDaemon ends CutDaemon.
func (f *Fleet) HealDaemon(daemon *Daemon) {
	for _, link := range f.DaemonLinks(daemon) {
		link.Unblock()
	}
}

// DaemonLinks returns the links from and to a daemon.
func (f *Fleet) DaemonLinks(daemon *Daemon) []*faultproxy.Link {
	self := faultproxy.Named(string(daemon.VM.Name))
	return f.Network.Links(faultproxy.Between(self, faultproxy.AnyEndpoint))
}

// CrossRegionBytes returns the bytes that have crossed regions so far, on
// proxied links.
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
