package fleet

import (
	"fmt"
	"os"
	"sync/atomic"
)

// The ports of a host. They lie below the range from which the system takes
// ports for outgoing connections, which could otherwise take one of them before
// it is listened on.
const (
	portRelay = 7000 + iota
	portCallers
	portNestedCalls
	portPeers
	portOperators
	portUpstream
	portPlatform
)

// hosts is the number of hosts that a process has before they are used again.
const hostsPerProcess = 250

var hostsCreated atomic.Uint32

// Host is a loopback address of its own, with all its ports.
type Host string

// NewHost returns a loopback address that no other process and none of the last
// hosts of this process uses.
func NewHost() Host {
	pid := os.Getpid()
	n := hostsCreated.Add(1) % hostsPerProcess
	return Host(fmt.Sprintf("127.%d.%d.%d", 1+pid/256%254, pid%256, n+1))
}

func (h Host) address(n int) string { return fmt.Sprintf("%s:%d", string(h), n) }

// Callers is the node's port for outside callers.
func (h Host) CallerAddress() string { return h.address(portCallers) }

// Onward is the node's port for its upstream's calls.
func (h Host) NestedCallAddress() string { return h.address(portNestedCalls) }

// Peers is the node's port for other nodes.
func (h Host) PeerAddress() string { return h.address(portPeers) }

// Operators is the node's port for operators.
func (h Host) OperatorAddress() string { return h.address(portOperators) }

// Upstream is the port of the VM's upstream.
func (h Host) UpstreamAddress() string { return h.address(portUpstream) }

// Relay is the port of the relay in front of the node.
func (h Host) RelayAddress() string { return h.address(portRelay) }

// Platform is the port of a platform.
func (h Host) PlatformAddress() string { return h.address(portPlatform) }
