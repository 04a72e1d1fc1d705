package gossiper

import (
	"bytes"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/core/registrar"
)

// TestOddDatagram checks that a datagram is refused if it is nested deeply or has a number
// or an address that doesn't fit.
func TestOddDatagram(t *testing.T) {
	encode := func(v any) []byte {
		b, err := cbor.Marshal(v)
		must.NoError(t, err)
		return b
	}
	heartbeat := func(field int, value any) []byte {
		return encode(map[int]any{1: protocolVersion, 2: "peer", 3: map[int]any{field: value}})
	}
	_, err := decodePacket(encode(&packet{ProtocolVersion: protocolVersion, Sender: "peer", Heartbeat: &registrar.Heartbeat{Domain: "a"}}))
	must.NoError(t, err)
	for name, b := range map[string][]byte{
		"deeply nested, as large as a datagram": append(bytes.Repeat([]byte{0x81}, readBufferSize-1), 0x80),
		"nested in an unknown field":            append(append([]byte{0xa1, 0x18, 99}, bytes.Repeat([]byte{0x81}, 40)...), 0x80),
		"list that claims 2^63 entries":         {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"map that claims 2^32 entries":          {0xba, 0xff, 0xff, 0xff, 0xff},
		"CPU of 2^64-1":                         heartbeat(10, uint64(math.MaxUint64)),
		"CPU of 1e300":                          heartbeat(10, 1e300),
		"interval of 2^63":                      heartbeat(12, uint64(1)<<63),
		"offset of -1":                          heartbeat(6, -1),
		"member with a port":                    heartbeat(15, []any{map[int]any{1: "10.0.0.1:70000"}}),
		"free capacity of 2^63":                 heartbeat(16, map[string][]uint64{"s": {1 << 63}}),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodePacket(b)
			must.Error(t, err)
		})
	}
}
