package record

import "github.com/cespare/xxhash/v2"

// Weight is the rendezvous hash of a key with a VM: the VM with the highest
// weight is the first choice for the key, and a change of one VM changes the
// choice for few keys.
func RendezvousWeight(key, vm string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(vm)
	return h.Sum64()
}
