package peer

import "hawthornstream/internal/ports"

const (
	// maxQueuedMessages and maxQueuedBytes limit the queue of one peer. The bytes
	// have room for a message of the maximum size and others.
	maxQueuedMessages = 4096
	maxQueuedBytes    = 4 << 20
)

// queue holds the messages to be sent to one peer. It is not safe for concurrent use.
type queue struct {
	encoded      []envelope
	encodedBytes int
	// local holds the messages of this daemon to itself.
	local []ports.Message
}

func (q *queue) isEmpty() bool {
	return len(q.encoded) == 0 && len(q.local) == 0
}

// push appends a message. It returns false if the queue is full.
func (q *queue) push(message envelope) bool {
	if len(q.encoded) >= maxQueuedMessages || q.encodedBytes+message.size() > maxQueuedBytes {
		return false
	}
	q.encoded = append(q.encoded, message)
	q.encodedBytes += message.size()
	return true
}

// pushLocal appends a message of this daemon to itself. It returns false if the queue
// is full.
func (q *queue) pushLocal(message ports.Message) bool {
	if len(q.local) >= maxQueuedMessages {
		return false
	}
	q.local = append(q.local, message)
	return true
}

// popBatch removes and returns the messages of the next frame: at most maxBatchBytes,
// or one larger message.
func (q *queue) popBatch() []envelope {
	size := 0
	count := 0
	for count < len(q.encoded) && (count == 0 || size+q.encoded[count].size() <= maxBatchBytes) {
		size += q.encoded[count].size()
		count++
	}
	batch := q.encoded[:count:count]
	q.encoded = q.encoded[count:]
	q.encodedBytes -= size
	if len(q.encoded) == 0 {
		q.encoded = nil
	}
	return batch
}

// popLocal removes and returns the messages of this daemon to itself.
func (q *queue) popLocal() []ports.Message {
	messages := q.local
	q.local = nil
	return messages
}

// clear removes all messages and returns their number.
func (q *queue) clear() int {
	count := len(q.encoded) + len(q.local)
	*q = queue{}
	return count
}
