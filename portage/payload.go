package portage

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// maxDepth is the maximum nesting of arrays in a payload. The deepest messages
	// are lists of documents: message, list, document.
	maxDepth = 4
	// maxElements is the maximum number of elements of an array. It bounds the
	// memory of a decoded list whose elements take one byte each.
	maxElements = 1 << 16
)

// payloadChecker walks through a payload without decoding it. The codec
// allocates lists by their announced length and skips nested values recursively,
// so a payload that lies about its length or nests deeply could end the process.
type payloadChecker struct {
	rest []byte
	// depth is the number of open arrays, at most maxDepth, and missing the number
	// of elements that each of them lacks, innermost last.
	depth   int
	missing [maxDepth]int
}

// checkPayload checks that a payload is a single value with at most maxDepth
// levels of arrays, whose lengths fit the bytes that follow them. Messages
// contain no maps and no extension types. The error is an *Error of KindFrame.
func checkPayload(payload []byte) error {
	c := payloadChecker{rest: payload}
	for {
		if err := c.value(); err != nil {
			return &Error{Op: "check payload", Kind: KindFrame, Err: err}
		}
		c.closeComplete()
		if c.depth == 0 {
			break
		}
	}
	if len(c.rest) > 0 {
		return &Error{Op: "check payload", Kind: KindFrame, Err: fmt.Errorf("%d bytes follow the message", len(c.rest))}
	}
	return nil
}

// closeComplete closes the arrays whose last element was read.
func (c *payloadChecker) closeComplete() {
	for c.depth > 0 && c.missing[c.depth-1] == 0 {
		c.depth--
	}
}

// value reads one value, or the header of an array.
func (c *payloadChecker) value() error {
	if c.depth > 0 {
		c.missing[c.depth-1]--
	}
	if len(c.rest) == 0 {
		return errors.New("a value is missing")
	}
	code := c.rest[0]
	c.rest = c.rest[1:]
	switch {
	case msgpcode.IsFixedNum(code):
		return nil
	case msgpcode.IsFixedArray(code):
		return c.openArray(int(code & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedString(code):
		return c.skip(int(code & msgpcode.FixedStrMask))
	}
	return c.longValue(code)
}

// longValue reads the rest of a value whose code holds neither the value nor its
// length.
func (c *payloadChecker) longValue(code byte) error {
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return nil
	case msgpcode.Uint8, msgpcode.Int8:
		return c.skip(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return c.skip(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return c.skip(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return c.skip(8)
	case msgpcode.Bin8, msgpcode.Str8:
		return c.skipSized(1)
	case msgpcode.Bin16, msgpcode.Str16:
		return c.skipSized(2)
	case msgpcode.Bin32, msgpcode.Str32:
		return c.skipSized(4)
	case msgpcode.Array16:
		return c.openSized(2)
	case msgpcode.Array32:
		return c.openSized(4)
	default:
		return fmt.Errorf("code %#x is not used in messages", code)
	}
}

func (c *payloadChecker) openArray(n int) error {
	switch {
	case n > maxElements || n > len(c.rest):
		return fmt.Errorf("array of %d elements with %d bytes left", n, len(c.rest))
	case c.depth == maxDepth:
		return errors.New("arrays are nested too deeply")
	}
	c.missing[c.depth] = n
	c.depth++
	return nil
}

func (c *payloadChecker) openSized(width int) error {
	n, err := c.length(width)
	if err != nil {
		return err
	}
	return c.openArray(n)
}

func (c *payloadChecker) skipSized(width int) error {
	n, err := c.length(width)
	if err != nil {
		return err
	}
	return c.skip(n)
}

// length reads a length of width bytes.
func (c *payloadChecker) length(width int) (int, error) {
	var wide [8]byte
	b, err := c.take(width)
	copy(wide[len(wide)-width:], b)
	return int(binary.BigEndian.Uint64(wide[:])), err
}

func (c *payloadChecker) skip(n int) error {
	_, err := c.take(n)
	return err
}

// take removes the next n bytes and returns them.
func (c *payloadChecker) take(n int) ([]byte, error) {
	if n > len(c.rest) {
		return nil, fmt.Errorf("value of %d bytes with %d left", n, len(c.rest))
	}
	b := c.rest[:n]
	c.rest = c.rest[n:]
	return b, nil
}
