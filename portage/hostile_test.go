package portage

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxHostileAllocation is the memory that decoding a small hostile payload may
// allocate, in bytes.
const maxHostileAllocation = 1 << 20

// frameOf returns a frame with a valid checksum around any payload.
func frameOf(t messageType, payload []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(payload))
	return append(append(out, byte(t)), payload...)
}

// allocated returns the number of bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// hugeArray returns an array header that announces n elements.
func hugeArray(n uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{msgpcode.Array32}, n)
}

// TestHostilePayload decodes payloads with a valid checksum that announce more
// elements than they hold or nest deeply. Each must be rejected without much
// memory; none may end the process.
func TestHostilePayload(t *testing.T) {
	fixArray, fixMap, fixString := msgpcode.FixedArrayLow, msgpcode.FixedMapLow, msgpcode.FixedStrLow
	deep := bytes.Repeat([]byte{fixArray | 1}, MaxFrame-16)
	tests := []struct {
		name    string
		kind    messageType
		payload []byte
	}{
		{"many elements", typeExchange, append([]byte{fixArray | 2, 1}, hugeArray(1<<32-1)...)},
		{"many header fields", typePush, append([]byte{fixArray | 1}, hugeArray(1<<30)...)},
		{"many empty elements", typePush, append(append([]byte{fixArray | 1}, hugeArray(MaxFrame-16)...), bytes.Repeat([]byte{msgpcode.Nil}, MaxFrame-16)...)},
		{"nested arrays under an unknown name", typeCall, append([]byte{fixMap | 1, fixString | 1, 'x'}, deep...)},
		{"nested arrays in place of a field", typeCall, append([]byte{fixArray | 1}, deep...)},
		{"long text announced", typeLeaving, append([]byte{fixArray | 2, msgpcode.Str32, 0xff, 0xff, 0xff, 0xff}, 'a')},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			frame := frameOf(tt.kind, tt.payload)
			var m Message
			var err error
			got := allocated(func() { m, err = ReadFrame(bytes.NewReader(frame)) })
			if err == nil {
				t.Errorf("got %T, want an error", m)
			}
			// The payload itself is read in full, into a buffer that doubles.
			if want := uint64(4*len(tt.payload) + maxHostileAllocation); got > want {
				t.Errorf("got %d bytes allocated, want at most %d", got, want)
			}
		})
	}
}

// FuzzDecode decodes payloads of any message type behind the checksum. Whatever
// the bytes, the memory must stay in proportion to them.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{&Hello{VM: "a"}, &Call{Kind: "seal", Header: []Field{{"a", "b"}}}, &Push{Documents: []RawDocument{{Key: "k"}}}, &Listing{Buckets: []int{1}, Versions: []Version{{Key: "k"}}}} {
		frame, err := AppendFrame(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame[headerSize-1], frame[headerSize:])
	}
	f.Fuzz(func(t *testing.T, kind byte, payload []byte) {
		var m Message
		var err error
		got := allocated(func() { m, err = ReadFrame(bytes.NewReader(frameOf(messageType(kind), payload))) })
		if want := uint64(256*len(payload) + maxHostileAllocation); got > want {
			t.Errorf("got %d bytes allocated for %d, want at most %d", got, len(payload), want)
		}
		if err != nil {
			return
		}
		if _, err := AppendFrame(nil, m); err != nil {
			t.Errorf("message %+v: got error %v when encoding it again, want none", m, err)
		}
	})
}
