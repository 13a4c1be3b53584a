// Package faultproxy injects delays and faults into the TCP links between the
// processes of a test. It runs toxiproxy's proxies inside the test process. Only
// packages of the testbench import it.
package faultproxy

import (
	"fmt"
	"strings"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Network is a set of proxied links between named endpoints. A link leads from
// the endpoint that opens connections to the one that accepts them.
type Network struct {
	server *toxiproxy.ApiServer

	mu    sync.Mutex
	links map[linkKey]*Link
}

type linkKey struct {
	from string
	to   string
}

// NewNetwork returns a network without links.
func NewNetwork() *Network {
	return &Network{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		links:  make(map[linkKey]*Link),
	}
}

// AddLink starts a proxy to the upstream address ("ip:port") and returns its
// link. When the endpoints have a link already, it returns that one, with its
// delay unchanged, or an error if that link has another upstream address.
func (n *Network) AddLink(from, to, upstream string, delay time.Duration) (*Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if link, ok := n.links[linkKey{from, to}]; ok {
		if link.proxy.Upstream != upstream {
			return nil, fmt.Errorf("link %s to %s already has the upstream address %s", from, to, link.proxy.Upstream)
		}
		return link, nil
	}
	link := newLink(from, to, delay)
	link.proxy = toxiproxy.NewProxy(n.server, link.name, "127.0.0.1:0", upstream)
	if err := link.start(); err != nil {
		return nil, err
	}
	n.links[linkKey{from, to}] = link
	return link, nil
}

// Link returns the link between two endpoints, or nil if there is none.
func (n *Network) Link(from, to string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[linkKey{from, to}]
}

// Links returns the links for which match is true.
func (n *Network) Links(match func(from, to string) bool) []*Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*Link
	for key, link := range n.links {
		if match(key.from, key.to) {
			found = append(found, link)
		}
	}
	return found
}

// Between returns a predicate that matches the links between two sets of
// endpoints, in either direction.
func Between(first, second func(endpoint string) bool) func(from, to string) bool {
	return func(from, to string) bool {
		return first(from) && second(to) || second(from) && first(to)
	}
}

// Named returns a predicate that matches the endpoints with one of the names.
func Named(names ...string) func(endpoint string) bool {
	return func(endpoint string) bool {
		for _, name := range names {
			if endpoint == name {
				return true
			}
		}
		return false
	}
}

// NamedWithPrefix returns a predicate that matches the endpoints whose names
// begin with the prefix.
func NamedWithPrefix(prefix string) func(endpoint string) bool {
	return func(endpoint string) bool { return strings.HasPrefix(endpoint, prefix) }
}

// AnyEndpoint is a predicate that matches every endpoint.
func AnyEndpoint(string) bool { return true }

// Close stops all proxies and closes their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		link.close()
	}
}
