// Package dispatch implements client-side load balancing: it picks the VM that
// runs a call.
//
// Use a Router in each entry node. For each service it keeps a bounded subset
// of the VMs, grouped by distance, and picks one by the power of two random
// choices, by costs that come from the node's own traffic. Waits, loads and
// rejections that a VM reports only turn calls away from it; they never attract
// calls. Use Attempts to follow one call through its retries and failovers.
package dispatch
