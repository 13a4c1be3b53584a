package faultproxy

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
)

// Direction is a direction of a link.
type Direction int

// The directions of a link.
const (
	// Upstream is the direction from the endpoint that opened the connection.
	Upstream Direction = iota
	// Downstream is the direction to the endpoint that opened the connection.
	Downstream
)

// streamNames are toxiproxy's names of the directions.
var streamNames = map[Direction]string{Upstream: "upstream", Downstream: "downstream"}

// Link is a proxied TCP link between two named endpoints.
type Link struct {
	name  string
	id    string
	proxy *toxiproxy.Proxy
	bytes atomic.Int64

	mu    sync.Mutex
	delay time.Duration
	// blocked is indexed by Direction.
	blocked [2]bool
	// Connections that were opened up to stalledAt are stalled, and those that
	// were opened up to closedAt are closed.
	stalledAt time.Time
	closedAt  time.Time
	// changed is closed and replaced whenever one of the fields above changes.
	changed chan struct{}
}

func newLink(from, to string, delay time.Duration) *Link {
	link := &Link{
		name:    from + ">" + to,
		delay:   delay,
		changed: make(chan struct{}),
	}
	return link
}

func (l *Link) start() error {
	l.id = registerLink(l)
	for direction, stream := range streamNames {
		toxicJSON := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":{"link":%q,"direction":%d}}`,
			toxicType, stream, l.id, direction)
		if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxicJSON)); err != nil {
			return err
		}
	}
	return l.proxy.Start()
}

// Address returns the "ip:port" on which the proxy accepts connections for the
// upstream address.
func (l *Link) Address() string {
	return l.proxy.Listen
}

// Bytes returns the number of bytes delivered so far, in both directions
// together.
func (l *Link) Bytes() int64 {
	return l.bytes.Load()
}

// Block stops delivery in one direction, on open and on new connections, until
// Unblock, which delivers the bytes held back.
func (l *Link) Block(direction Direction) {
	l.update(func() { l.blocked[direction] = true })
}

// BlockBoth stops delivery in both directions until Unblock.
func (l *Link) BlockBoth() {
	l.update(func() { l.blocked = [2]bool{true, true} })
}

// Unblock resumes delivery in both directions.
func (l *Link) Unblock() {
	l.update(func() { l.blocked = [2]bool{} })
}

// StallOpenConnections stops delivery for good on the connections that are open
// now, without closing them. New connections work.
func (l *Link) StallOpenConnections() {
	l.update(func() { l.stalledAt = time.Now() })
}

// CloseOpenConnections closes the connections that are open now. New connections
// work.
func (l *Link) CloseOpenConnections() {
	l.update(func() { l.closedAt = time.Now() })
}

// SetDelay sets the one-way delay, which applies in each direction.
func (l *Link) SetDelay(delay time.Duration) {
	l.update(func() { l.delay = delay })
}

func (l *Link) update(set func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) close() {
	l.CloseOpenConnections()
	l.proxy.Stop()
	unregisterLink(l.id)
}

// connectionState is the delay and the faults of one connection in one
// direction. It holds until changed is closed.
type connectionState struct {
	delay   time.Duration
	blocked bool
	stalled bool
	closed  bool
	changed <-chan struct{}
}

func (l *Link) connectionState(direction Direction, opened time.Time) connectionState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return connectionState{
		delay:   l.delay,
		blocked: l.blocked[direction],
		stalled: !opened.After(l.stalledAt),
		closed:  !opened.After(l.closedAt),
		changed: l.changed,
	}
}
