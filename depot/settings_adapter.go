package depot

import "cuminhollow.example/clock"

// AdapterSettings select and configure the adapter that connects the node to
// its environment. The zero value selects the product's own interface.
type AdapterSettings struct {
	// Name is the name of the adapter; empty for none.
	Name string `yaml:"name"`
	// Regions maps each availability zone to its region.
	Regions map[string]string `yaml:"regions"`
	// AnswerGrace is how long to wait for an answer after the deadline of its
	// call, in milliseconds.
	AnswerGrace clock.Millis `yaml:"answer_grace_ms"`
	// AddressReuse is the least time between the end of an upstream and the start of
	// one of another service at its address, in seconds; 0 if it is not known.
	AddressReuse float64 `yaml:"address_reuse_s"`
	// PeerPort is the port on which the nodes of all VMs listen for peers.
	PeerPort int `yaml:"peer_port"`
}
