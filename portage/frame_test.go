package portage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestFrameRoundTrip encodes and decodes calls with random fields and bodies,
// the empty body included.
func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Call{
			Request:    rapid.String().Draw(t, "request"),
			Kind:       rapid.String().Draw(t, "kind"),
			Class:      rapid.Byte().Draw(t, "class"),
			TimeLeftMS: rapid.Int64().Draw(t, "left"),
			Header:     []Field{{Name: "Accept", Value: rapid.String().Draw(t, "accept")}},
			Body:       rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
		}
		c.Stream = rapid.Uint64().Draw(t, "stream")
		frame, err := AppendFrame(nil, c)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ReadFrame(bytes.NewReader(frame))
		if err != nil || !reflect.DeepEqual(got, c) {
			t.Fatalf("got %+v, %v, want %+v", got, err, c)
		}
	})
}

// TestDamagedFrame changes each byte of a frame in turn. The damaged frame must
// not be decoded.
func TestDamagedFrame(t *testing.T) {
	frame, err := AppendFrame(nil, &Answer{Request: "r", Body: []byte("sealed")})
	if err != nil {
		t.Fatal(err)
	}
	for i := range frame {
		if i == headerSize-1 {
			continue // The checksum does not cover the message type.
		}
		damaged := bytes.Clone(frame)
		damaged[i] ^= 0x41
		if m, err := ReadFrame(bytes.NewReader(damaged)); err == nil {
			t.Errorf("byte %d: got %+v, want an error", i, m)
		}
	}
}

func TestReadFrameErrors(t *testing.T) {
	frame, err := AppendFrame(nil, &Ping{})
	if err != nil {
		t.Fatal(err)
	}
	huge := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	huge = append(huge, make([]byte, headerSize)...)
	unknown := bytes.Clone(frame)
	unknown[headerSize-1] = 200
	tests := []struct {
		name string
		in   []byte
		want error
		kind ErrorKind
	}{
		{"nothing", nil, io.EOF, 0},
		{"part of a header", frame[:5], io.ErrUnexpectedEOF, 0},
		{"part of a payload", frame[:len(frame)-1], io.ErrUnexpectedEOF, 0},
		{"too large", huge, nil, KindSize},
		{"unknown type", unknown, nil, KindFrame},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ReadFrame(bytes.NewReader(tt.in))
			var e *Error
			switch {
			case tt.want != nil && !errors.Is(err, tt.want):
				t.Errorf("got %v, want %v", err, tt.want)
			case tt.kind != 0 && (!errors.As(err, &e) || e.Kind != tt.kind):
				t.Errorf("got %v, want kind %s", err, tt.kind)
			}
		})
	}
	if _, err := AppendFrame(nil, &Call{Body: make([]byte, MaxFrame)}); err == nil {
		t.Error("frame above the limit: got no error, want one")
	}
}

// TestLargestBody encodes and decodes a body of MaxBody bytes.
func TestLargestBody(t *testing.T) {
	body := bytes.Repeat([]byte{7}, MaxBody)
	frame, err := AppendFrame(nil, &Answer{Body: body})
	if err != nil {
		t.Fatal(err)
	}
	m, err := ReadFrame(bytes.NewReader(frame))
	if err != nil || !bytes.Equal(m.(*Answer).Body, body) {
		t.Errorf("got error %v, want the whole body", err)
	}
}

func FuzzReadFrame(f *testing.F) {
	for _, m := range []Message{&Hello{VM: "a"}, &Call{Kind: "seal"}, &Push{Documents: []RawDocument{{Key: "k"}}}} {
		frame, err := AppendFrame(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		m, err := ReadFrame(bytes.NewReader(in))
		if err != nil {
			return
		}
		if _, err := AppendFrame(nil, m); err != nil {
			t.Errorf("message %+v: got error %v when encoding it again, want none", m, err)
		}
	})
}

func BenchmarkFrame(b *testing.B) {
	c := &Call{Request: "0123456789", Kind: "seal", Body: make([]byte, 512)}
	b.ReportAllocs()
	for b.Loop() {
		frame, err := AppendFrame(nil, c)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ReadFrame(bytes.NewReader(frame)); err != nil {
			b.Fatal(err)
		}
	}
}
