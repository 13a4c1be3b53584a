package peer

import (
	"context"

	"storj.io/drpc"
)

// exchangeMethod is the only RPC: the dialling side streams frames, the accepting
// side streams replies.
const exchangeMethod = "/hawthornstream.Peer/Exchange"

// exchanger serves the RPC on the accepting side.
type exchanger interface {
	Exchange(stream drpc.Stream) error
}

// serviceDescription implements drpc.Description for exchanger.
type serviceDescription struct {
	codec *codec
}

// NumMethods implements drpc.Description.
func (serviceDescription) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (d serviceDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receiver := func(server any, _ context.Context, stream, _ any) (drpc.Message, error) {
		return nil, server.(exchanger).Exchange(stream.(drpc.Stream))
	}
	return exchangeMethod, d.codec, receiver, exchanger.Exchange, true
}
