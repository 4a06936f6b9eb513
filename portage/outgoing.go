package portage

import "sync/atomic"

// The states of an outgoing frame.
const (
	frameQueued int32 = iota
	// frameTaken means that the frame is written, or was.
	frameTaken
	// frameWithdrawn means that it will not be written.
	frameWithdrawn
)

// outgoing is a frame on its way to the peer. Until its first byte is written it
// can be withdrawn.
type outgoing struct {
	frame []byte
	state atomic.Int32
}

// take reports whether the frame is to be written now.
func (o *outgoing) take() bool { return o.state.CompareAndSwap(frameQueued, frameTaken) }

// withdraw reports whether no byte of the frame was written. None will be then.
func (o *outgoing) withdraw() bool { return o.state.CompareAndSwap(frameQueued, frameWithdrawn) }
