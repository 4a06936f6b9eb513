package record

import "github.com/cespare/xxhash/v2"

// RendezvousWeight returns the weight of a VM for a key in rendezvous hashing.
// The VM with the highest weight is the first choice for the key. Adding or
// removing a VM changes the choice for few keys.
func RendezvousWeight(key, vm string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(vm)
	return h.Sum64()
}
