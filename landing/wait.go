package landing

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// state is the result of a condition that the reading goroutine of a connection
// waits for.
type state uint8

const (
	// stateWaiting means that the condition may be met later.
	stateWaiting state = iota
	// stateReady means that it is met.
	stateReady
	// stateOver means that it will not be met.
	stateOver
)

// longAgo is a deadline that has passed. It ends a read that is in progress.
var longAgo = time.Unix(1, 0)

// wait waits until a condition is met and reports false if it will not be. The
// condition is evaluated with mu held. Meanwhile bytes are read into the buffer as
// long as it has room, so that it is noticed when the caller leaves.
func (c *conn) wait(condition func() state) bool {
	for {
		c.mu.Lock()
		now := condition()
		c.waiting = now == stateWaiting
		if c.waiting {
			// Within the lock, so that a change cannot set its deadline before.
			_ = c.raw.SetReadDeadline(c.readDeadlineLocked())
		}
		c.mu.Unlock()
		if now != stateWaiting {
			return now == stateReady
		}
		c.readMore()
	}
}

// allAnswered is the condition that no request is unanswered.
func (c *conn) allAnswered() state {
	if c.open > 0 {
		return stateWaiting
	}
	return stateReady
}

// readDeadlineLocked returns the time at which a waiting connection may be idle
// for too long; conditions decide whether it is.
func (c *conn) readDeadlineLocked() time.Time {
	idleTime := c.server.settings.limits().IdleTime
	if c.open > 0 {
		return time.Now().Add(idleTime)
	}
	return c.idleSince.Add(idleTime)
}

// notifyLocked ends a read of the reading goroutine if it waits.
func (c *conn) notifyLocked() {
	if !c.waiting {
		return
	}
	_ = c.raw.SetReadDeadline(longAgo)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// readMore waits until more bytes are in the buffer, the caller has left or
// something has changed.
func (c *conn) readMore() {
	n := c.reader.Buffered()
	if c.left || n == c.reader.Size() {
		<-c.changed
		return
	}
	_, err := c.reader.Peek(n + 1)
	select {
	case <-c.changed:
	default:
	}
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.left = true
		c.cancel()
	}
}

// isReset reports whether the caller reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
