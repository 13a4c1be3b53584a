package peer

import (
	"sync/atomic"

	"storj.io/drpc/drpcwire"

	"hawthornstream/internal/adapters/heldmemory"
)

const (
	// maxHelloBytes limits the first message of a session, and all packets that carry no
	// message.
	maxHelloBytes = 4 << 10
	// connAllowanceBytes is what the buffers of an accepted connection may hold without being
	// counted, and sessionAllowanceBytes what those of a daemon on the VM list may: a frame of
	// batched messages fits.
	connAllowanceBytes    = 8 << 10
	sessionAllowanceBytes = bufferGrowth * (wireFrameBytes + maxBatchBytes + drpcOverheadBytes)
	// bufferGrowth is how much larger a buffer of drpc may be than what it holds.
	bufferGrowth = 2
	// smallPacketsBeforeDrop is after how many small packets drpc drops the buffer of a large
	// one, and smallPacketFraction what part of the large one they may have.
	smallPacketsBeforeDrop = 12
	smallPacketFraction    = 4
)

// wireMeter follows the bytes of an accepted connection and reserves the memory of the buffers in
// which drpc collects a packet, before codec.Unmarshal sees it. drpc keeps the buffer of the
// largest wire frame, and that of a large packet until several small ones have followed.
type wireMeter struct {
	held *heldmemory.Message
	// reserved is what held has reserved.
	reserved int64
	// allowance is what may be held without reserving it.
	allowance atomic.Int64

	// header is that of a wire frame that has not arrived whole.
	header []byte
	kind   drpcwire.Kind
	done   bool
	// missing is the part of the body that has not arrived.
	missing uint64
	// frameBytes and packetBytes have arrived of the current wire frame and packet.
	frameBytes, packetBytes int64
	// maxFrame and maxPacket are the largest ones whose buffers are kept.
	maxFrame, maxPacket int64
	smallPackets        int
	// inSession is true once the first message of the session has arrived whole.
	inSession bool
}

func newWireMeter(held *heldmemory.Message) *wireMeter {
	m := &wireMeter{held: held}
	m.allowance.Store(connAllowanceBytes)
	return m
}

// observe follows bytes that were read. It fails with *FrameTooLargeError, or with
// *heldmemory.MessageRefusedError if there is no memory for them.
func (m *wireMeter) observe(data []byte) error {
	for len(data) > 0 {
		if m.missing == 0 {
			m.header = append(m.header, data[0])
			data = data[1:]
			if err := m.parseHeader(); err != nil {
				return err
			}
			continue
		}
		arrived := min(uint64(len(data)), m.missing)
		data = data[arrived:]
		m.missing -= arrived
		m.frameBytes += int64(arrived)
		m.packetBytes += int64(arrived)
		if limit := m.maxPacketBytes(); m.packetBytes > limit {
			return &FrameTooLargeError{Bytes: int(m.packetBytes), Limit: int(limit)}
		}
		if err := m.reserve(); err != nil {
			return err
		}
		if m.missing == 0 {
			m.endFrame()
		}
	}
	return nil
}

// maxPacketBytes returns how large the current packet may be.
func (m *wireMeter) maxPacketBytes() int64 {
	if m.kind == drpcwire.KindMessage && m.inSession {
		return maxFrameBytes
	}
	return maxHelloBytes
}

// parseHeader begins a wire frame once its header has arrived whole.
func (m *wireMeter) parseHeader() error {
	rest, ok, err := m.header[1:], true, error(nil)
	var length uint64
	for range 3 {
		if rest, length, ok, err = drpcwire.ReadVarint(rest); err != nil || !ok {
			return err
		}
	}
	control := m.header[0]
	m.done = control&1 != 0
	m.kind = drpcwire.Kind(control >> 1 & 0x3f)
	m.header, m.missing, m.frameBytes = m.header[:0], length, 0
	if length == 0 {
		m.endFrame()
	}
	return nil
}

// endFrame records that a wire frame, and perhaps its packet, has arrived whole.
func (m *wireMeter) endFrame() {
	if !m.done {
		return
	}
	switch m.kind {
	case drpcwire.KindInvoke:
		m.inSession = false
	case drpcwire.KindMessage:
		m.inSession = true
	}
	if m.packetBytes < m.maxPacket/smallPacketFraction {
		m.smallPackets++
	} else {
		m.smallPackets = 0
	}
	m.packetBytes = 0
	if m.smallPackets > smallPacketsBeforeDrop {
		m.smallPackets, m.maxPacket = 0, 0
		m.shrink()
	}
}

// needed returns the memory that has to be reserved for the buffers.
func (m *wireMeter) needed() int64 {
	return max(bufferGrowth*(m.maxFrame+m.maxPacket)-m.allowance.Load(), 0)
}

func (m *wireMeter) reserve() error {
	m.maxFrame = max(m.maxFrame, m.frameBytes)
	m.maxPacket = max(m.maxPacket, m.packetBytes)
	more := m.needed() - m.reserved
	if more <= 0 {
		return nil
	}
	if err := m.held.Grow(more); err != nil {
		return err
	}
	m.reserved += more
	return nil
}

func (m *wireMeter) shrink() {
	if less := m.reserved - m.needed(); less > 0 {
		m.held.Shrink(less)
		m.reserved -= less
	}
}
