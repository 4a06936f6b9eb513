package portage

import "sync/atomic"

// Traffic counts the messages and bytes that a process sends to its peers. The
// zero value is ready to use. It is safe for concurrent use.
type Traffic struct {
	callBytes       atomic.Int64
	controlBytes    atomic.Int64
	controlMessages atomic.Int64
}

// CallBytes returns the number of bytes of calls and answers.
func (t *Traffic) CallBytes() int64 { return t.callBytes.Load() }

// ControlBytes returns the number of bytes of all other messages.
func (t *Traffic) ControlBytes() int64 { return t.controlBytes.Load() }

// ControlMessages returns the number of messages that are neither calls nor
// answers.
func (t *Traffic) ControlMessages() int64 { return t.controlMessages.Load() }

func (t *Traffic) add(m Message, size int) {
	if t == nil {
		return
	}
	switch m.(type) {
	case *Call, *Answer:
		t.callBytes.Add(int64(size))
	default:
		t.controlBytes.Add(int64(size))
		t.controlMessages.Add(1)
	}
}
