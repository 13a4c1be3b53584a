package faultproxy

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// toxicType names the toxic that every link has from its start, so that setting
// a fault never changes the toxic chain of a running proxy. The library's own
// toxics don't serve: their delay is in whole milliseconds and their faults
// affect open and new connections alike.
const toxicType = "hawthornstream-link"

// maxBufferedChunks is the number of chunks that one direction of a connection
// buffers.
const maxBufferedChunks = 1024

var (
	registerToxicOnce sync.Once
	linksByID         sync.Map
	lastLinkID        atomic.Int64
)

func registerLink(link *Link) string {
	registerToxicOnce.Do(func() { toxics.Register(toxicType, new(linkToxic)) })
	id := strconv.FormatInt(lastLinkID.Add(1), 10)
	linksByID.Store(id, link)
	return id
}

func unregisterLink(id string) {
	linksByID.Delete(id)
}

// linkToxic applies the delay and the faults of a link to one direction. Link is
// the key of linksByID.
type linkToxic struct {
	Link      string    `json:"link"`
	Direction Direction `json:"direction"`
}

// GetBufferSize implements toxics.BufferedToxic.
func (t *linkToxic) GetBufferSize() int {
	return maxBufferedChunks
}

// NewState implements toxics.StatefulToxic. The state is the time when the
// connection was opened.
func (t *linkToxic) NewState() any {
	return time.Now()
}

// Pipe implements toxics.Toxic.
func (t *linkToxic) Pipe(stub *toxics.ToxicStub) {
	found, ok := linksByID.Load(t.Link)
	if !ok {
		stub.Close()
		return
	}
	pipe := pipe{
		link:      found.(*Link),
		direction: t.Direction,
		opened:    stub.State.(time.Time),
		stub:      stub,
	}
	for pipe.forwardNext() {
	}
}

// pipe forwards the bytes of one direction of a connection.
type pipe struct {
	link      *Link
	direction Direction
	opened    time.Time
	stub      *toxics.ToxicStub
}

// forwardNext waits for a chunk, which it forwards, or for a change of the link.
// It returns false once the pipe has ended.
func (p *pipe) forwardNext() bool {
	state := p.link.connectionState(p.direction, p.opened)
	if state.closed {
		p.stub.Close()
		return false
	}
	input := p.stub.Input
	if state.blocked || state.stalled {
		input = nil
	}
	select {
	case <-p.stub.Interrupt:
		return false
	case <-state.changed:
		return true
	case chunk := <-input:
		if chunk == nil {
			p.stub.Close()
			return false
		}
		return p.deliver(chunk, state.delay)
	}
}

// deliver forwards a chunk once its delay has passed and the link is neither
// blocked nor stalled. It returns false once the pipe has ended.
func (p *pipe) deliver(chunk *stream.StreamChunk, delay time.Duration) bool {
	timer := time.NewTimer(time.Until(chunk.Timestamp.Add(delay)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.stub.Interrupt:
		p.stub.Output <- chunk
		return false
	}
	for {
		state := p.link.connectionState(p.direction, p.opened)
		if state.closed {
			p.stub.Close()
			return false
		}
		if !state.blocked && !state.stalled {
			break
		}
		select {
		case <-state.changed:
		case <-p.stub.Interrupt:
			return false
		}
	}
	p.link.bytes.Add(int64(len(chunk.Data)))
	p.stub.Output <- chunk
	return true
}
