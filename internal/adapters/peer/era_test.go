package peer

import (
	"testing"

	"hawthornstream/internal/ports"
)

// The messages about the list of backend servers as daemons of the release before eras
// decode them.
type (
	earlierListDigest struct {
		_        struct{} `cbor:",toarray"`
		Version  uint64
		Watching bool
	}
	earlierLoadMessage struct {
		Sequence   uint64            `cbor:"1,keyasint"`
		ServerList earlierListDigest `cbor:"6,keyasint"`
	}
	earlierListPull struct {
		Have uint64 `cbor:"1,keyasint"`
	}
	earlierListPush struct {
		Version uint64     `cbor:"1,keyasint"`
		Servers []ports.VM `cbor:"2,keyasint"`
	}
)

// recode encodes a message and decodes it into out.
func recode(t *testing.T, message, out any) {
	t.Helper()
	c, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	data, err := c.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Unmarshal(data, out); err != nil {
		t.Fatal(err)
	}
}

func TestServerListEraCrossesTheWire(t *testing.T) {
	digest := ports.ServerListDigest{Version: 40, Watching: true, Era: 2}
	var load, sent ports.LoadMessage
	sent.SetServerList(digest)
	recode(t, &sent, &load)
	if got := load.ServerListDigest(); got != digest {
		t.Errorf("digest %+v", got)
	}
	known := ports.VM{Name: "a", Leaving: true}
	var push ports.ServerListPush
	recode(t, &ports.ServerListPush{
		Version: 40, Era: 2, Servers: []ports.VM{{Name: "a"}},
		Outdated: []ports.OutdatedServer{{Name: "a", Known: &known, HoldMillis: 3}, {Name: "b"}},
	}, &push)
	if push.StoreVersion() != (ports.StoreVersion{Era: 2, Revision: 40}) || len(push.Outdated) != 2 ||
		push.Outdated[0].Known == nil || *push.Outdated[0].Known != known || push.Outdated[1].Known != nil {
		t.Errorf("push %+v", push)
	}
	var pull ports.ServerListPull
	recode(t, &ports.ServerListPull{Have: 40, HaveEra: 2}, &pull)
	if pull.StoreVersion() != (ports.StoreVersion{Era: 2, Revision: 40}) {
		t.Errorf("pull %+v", pull)
	}
}

// During a rolling update, daemons of both releases exchange messages.
func TestEarlierReleaseDecodesMessagesWithEra(t *testing.T) {
	message := ports.LoadMessage{Sequence: 9}
	message.SetServerList(ports.ServerListDigest{Version: 40, Watching: true, Era: 2})
	var load earlierLoadMessage
	recode(t, &message, &load)
	if load.Sequence != 9 || load.ServerList.Version != 40 || !load.ServerList.Watching {
		t.Errorf("load message %+v", load)
	}
	var push earlierListPush
	recode(t, &ports.ServerListPush{Version: 40, Era: 2, Servers: []ports.VM{{Name: "a"}}}, &push)
	if push.Version != 40 || len(push.Servers) != 1 {
		t.Errorf("push %+v", push)
	}
	var pull earlierListPull
	recode(t, &ports.ServerListPull{Have: 40, HaveEra: 2}, &pull)
	if pull.Have != 40 {
		t.Errorf("pull %+v", pull)
	}
	var current ports.LoadMessage
	recode(t, &earlierLoadMessage{Sequence: 9, ServerList: earlierListDigest{Version: 7}}, &current)
	if got := current.ServerListDigest(); got != (ports.ServerListDigest{Version: 7}) {
		t.Errorf("digest of an earlier release %+v", got)
	}
}
