package portage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrame is the maximum size of a frame's payload, in bytes.
	MaxFrame = 4 << 20
	// MaxBody is the maximum size of the body of a call or an answer, in bytes.
	MaxBody = 2 << 20
	// headerSize is the size of a frame header, in bytes: four for the payload
	// size, eight for the payload checksum and one for the message type.
	headerSize = 13
	// maxPreallocation limits the memory that is allocated for a payload before it
	// arrives, in bytes. A peer may announce a large payload and not send it.
	maxPreallocation = 64 << 10
)

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the size of a buffer above which it is not kept for further
// frames, in bytes.
const maxPooledBuffer = 64 << 10

// Checksum returns the checksum of a body, its 64-bit xxHash.
func Checksum(body []byte) uint64 { return xxhash.Sum64(body) }

// AppendFrame appends the frame of m to dst. It returns an *Error of KindSize
// when the payload is larger than MaxFrame, and one of KindFrame when m cannot
// be encoded.
func AppendFrame(dst []byte, m Message) ([]byte, error) {
	buf := bufferPool.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBuffer {
			bufferPool.Put(buf)
		}
	}()
	buf.Reset()
	if err := encode(buf, m); err != nil {
		return nil, err
	}
	payload := buf.Bytes()
	if len(payload) > MaxFrame {
		return nil, &Error{Op: "write frame", Kind: KindSize}
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.BigEndian.AppendUint64(dst, xxhash.Sum64(payload))
	dst = append(dst, byte(m.messageType()))
	return append(dst, payload...), nil
}

func encode(w io.Writer, m Message) error {
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(w)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return &Error{Op: "encode message", Kind: KindFrame, Err: err}
	}
	return nil
}

// ReadFrame reads one message. It returns io.EOF when the stream ends between
// frames, io.ErrUnexpectedEOF when it ends within a frame, an *Error of
// KindSize or KindFrame for an invalid frame, and the reader's error otherwise.
func ReadFrame(r io.Reader) (Message, error) { return readFrame(r, func() {}) }

// readFrame is ReadFrame with a function that is called as the pieces of a long
// payload arrive.
func readFrame(r io.Reader, onProgress func()) (Message, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size > MaxFrame {
		return nil, &Error{Op: "read frame", Kind: KindSize}
	}
	payload, err := readPayload(r, int(size), onProgress)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(header[4:12]) {
		return nil, &Error{Op: "read frame", Kind: KindFrame, Err: fmt.Errorf("payload does not match the checksum in the header")}
	}
	return decode(messageType(header[12]), payload)
}

// readPayload reads a payload of size bytes. Above maxPreallocation its buffer
// doubles as bytes arrive, up to size.
func readPayload(r io.Reader, size int, onProgress func()) ([]byte, error) {
	payload := make([]byte, 0, min(size, maxPreallocation))
	for len(payload) < size {
		if len(payload) == cap(payload) {
			payload = append(make([]byte, 0, min(2*cap(payload), size)), payload...)
		}
		n, err := r.Read(payload[len(payload):cap(payload)])
		payload = payload[:len(payload)+n]
		if size > maxPreallocation {
			onProgress()
		}
		if err != nil && len(payload) < size {
			return nil, unexpectedEOF(err)
		}
	}
	return payload, nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func decode(t messageType, payload []byte) (Message, error) {
	m := newMessage(t)
	if m == nil {
		return nil, &Error{Op: "decode message", Kind: KindFrame, Err: fmt.Errorf("unknown message type %d", t)}
	}
	if err := checkPayload(payload); err != nil {
		return nil, err
	}
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(bytes.NewReader(payload))
	if err := d.Decode(m); err != nil {
		return nil, &Error{Op: "decode message", Kind: KindFrame, Err: err}
	}
	return m, nil
}
