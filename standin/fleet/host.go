package fleet

import (
	"fmt"
	"os"
	"sync/atomic"
)

// The ports of a host. They lie below the ephemeral port range: an outgoing
// connection could otherwise be given one of them before it is listened on.
const (
	portRelay = 7000 + iota
	portCallers
	portNestedCalls
	portPeers
	portOperators
	portUpstream
	portPlatform
)

// hostsPerProcess is the number of addresses that a process hands out before it
// reuses them.
const hostsPerProcess = 250

var hostsCreated atomic.Uint32

// Host is a loopback IP address with a fixed port for each role.
type Host string

// NewHost returns a loopback address that is derived from the process ID, so
// that test processes that run at the same time do not share addresses. An
// address is reused after 250 calls.
func NewHost() Host {
	pid := os.Getpid()
	n := hostsCreated.Add(1) % hostsPerProcess
	return Host(fmt.Sprintf("127.%d.%d.%d", 1+pid/256%254, pid%256, n+1))
}

func (h Host) address(port int) string { return fmt.Sprintf("%s:%d", string(h), port) }

// CallerAddress is the host and port at which the node serves external callers.
func (h Host) CallerAddress() string { return h.address(portCallers) }

// NestedCallAddress is the host and port at which the node serves the nested
// calls of its upstream.
func (h Host) NestedCallAddress() string { return h.address(portNestedCalls) }

// PeerAddress is the host and port at which the node serves other nodes.
func (h Host) PeerAddress() string { return h.address(portPeers) }

// OperatorAddress is the host and port at which the node serves operators.
func (h Host) OperatorAddress() string { return h.address(portOperators) }

// UpstreamAddress is the host and port of the VM's upstream.
func (h Host) UpstreamAddress() string { return h.address(portUpstream) }

// RelayAddress is the host and port of the relay in front of the node.
func (h Host) RelayAddress() string { return h.address(portRelay) }

// PlatformAddress is the host and port of a platform.
func (h Host) PlatformAddress() string { return h.address(portPlatform) }
