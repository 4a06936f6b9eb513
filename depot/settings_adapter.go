package depot

import "cuminhollow.example/clock"

// AdapterSettings tell a program which adapter connects the node, and what the
// adapter needs to know. The zero value is the product's own interface.
type AdapterSettings struct {
	// Name is empty for none.
	Name string `yaml:"name"`
	// Regions maps each availability zone to its region.
	Regions map[string]string `yaml:"regions"`
	// Grace is how long after its deadline an answer is still awaited, in
	// milliseconds.
	AnswerGrace clock.Millis `yaml:"answer_grace_ms"`
	// PeerPort is the port on which the nodes of all VMs listen for peers.
	PeerPort int `yaml:"peer_port"`
}
