package idempotency

import (
	"fmt"

	"hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/ports"
)

// rangeCount is the number of key ranges. All daemons must use the same number.
const rangeCount = 64

// rangeNumber identifies a key range. It is below rangeCount.
type rangeNumber int

func rangeOf(key idempotency.Digest) rangeNumber {
	return rangeNumber(int(key[0]) % rangeCount)
}

// objectName returns the name of the platform object that stores the range. The
// range's owner is looked up by the same name.
func (n rangeNumber) objectName() string {
	return fmt.Sprintf("idempotency/%02x", int(n))
}

// keyDigest returns the digest of a call's workspace and idempotency key.
func keyDigest(call *ports.Call) idempotency.Digest {
	return idempotency.DigestOf([]byte(call.Workspace), []byte(call.IdempotencyKey))
}

// requestDigest returns the digest of what a call asks for: service, method, path,
// query and body.
func requestDigest(call *ports.Call) idempotency.Digest {
	return idempotency.DigestOf(
		[]byte(call.Service), []byte(call.Method), []byte(call.Path), []byte(call.Query), call.Body,
	)
}
