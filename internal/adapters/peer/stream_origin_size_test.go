package peer

import (
	"math"
	"testing"

	"hawthornstream/internal/ports"
)

// Each stream that begins is recorded at two daemons. One more stream in a message must
// cost little more than the hash of its attempt.
func TestRecordOfStreamOriginIsSmall(t *testing.T) {
	codec, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	sizeOf := func(streams int) int {
		group := ports.StreamOriginGroup{Service: "assist-llm", SoftwareVersion: "v1.2"}
		for i := range streams {
			group.Attempts = append(group.Attempts, math.MaxUint64-uint64(i))
		}
		encoded, err := codec.encodeMessage(&ports.StreamOriginRecords{Groups: []ports.StreamOriginGroup{group}})
		if err != nil {
			t.Fatal(err)
		}
		return encoded.size()
	}
	one, hundred := sizeOf(1), sizeOf(100)
	t.Logf("%d B for one stream, %d B for 100", one, hundred)
	if one > 40 || (hundred-one)/99 > 10 {
		t.Errorf("%d B for one stream, %d B for 100", one, hundred)
	}
}
