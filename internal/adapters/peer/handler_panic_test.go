package peer

import (
	"testing"

	"hawthornstream/internal/ports"
)

// One message that its handler can't bear must not end the process: every daemon that gets
// the message would end at once.
func TestPanicOfHandlerEndsNoProcess(t *testing.T) {
	sender, receiver := startNode(t, "a", testTiming()), startNode(t, "b", testTiming())
	handler := receiver.handlers[ports.KindProbe]
	handle := handler.handle
	handler.handle = func(from ports.DaemonID, message ports.Message) {
		if message.(*ports.Probe).Sequence == 1 {
			panic("malformed")
		}
		handle(from, message)
	}
	receiver.handlers[ports.KindProbe] = handler
	setPeersOfAll(sender, receiver)
	sender.Send("b", newProbe(1))
	sender.Send("b", newProbe(2))
	eventually(t, "the message after the malformed one is handled", func() bool { return receiver.receivedCount() == 1 })
	if panics := receiver.counterSum("peer_handler_panics", ""); panics != 1 {
		t.Errorf("%d panics counted, want 1", panics)
	}
}
