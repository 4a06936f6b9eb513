package depot

import (
	"context"
	"slices"
	"sync"

	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
)

// maxIssuers bounds the sessions of one VM that are remembered.
const maxIssuers = 8

// peer is the node's connection to another node, or to itself.
type peer struct {
	vm     string
	target *dispatch.Target

	mu sync.Mutex
	// link is replaced when the address of the VM changes.
	link *portage.Link
	// issuer belongs to the session of the last Welcome. It is kept over
	// reconnections, so that no sequence is used twice.
	issuer *claim.Issuer
	// incarnation is the process that answered last.
	incarnation uint64
}

// peers holds the peers that the node has talked to. It is safe for concurrent
// use.
type peers struct {
	clock   clock.Clock
	hello   portage.Hello
	router  *dispatch.Router
	options []portage.Option

	mu   sync.RWMutex
	byVM map[string]*peer
	// issuers has one for each session that a process gave this node, by the
	// name that the process gives itself, the newest last: a process may be
	// reached under the names of two VMs, when one has taken the other's
	// address, and must not get a ticket twice.
	issuers map[string][]*claim.Issuer
}

func newPeers(c clock.Clock, hello portage.Hello, router *dispatch.Router, opts []portage.Option) *peers {
	return &peers{
		clock:   c,
		hello:   hello,
		router:  router,
		options: opts,
		byVM:    make(map[string]*peer),
		issuers: make(map[string][]*claim.Issuer),
	}
}

// get returns the peer of a VM with a link to its address.
func (ps *peers) get(vm, address string) *peer {
	ps.mu.RLock()
	p := ps.byVM[vm]
	ps.mu.RUnlock()
	if p == nil {
		p = ps.add(vm)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil || p.link.Address() != address {
		if p.link != nil {
			p.link.Close()
		}
		p.link = ps.newLink(p, address)
	}
	return p
}

func (ps *peers) add(vm string) *peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.byVM[vm]
	if p == nil {
		p = &peer{vm: vm, target: ps.router.Target(vm)}
		ps.byVM[vm] = p
	}
	return p
}

func (ps *peers) newLink(p *peer, address string) *portage.Link {
	opts := append([]portage.Option{
		portage.WithOnWelcome(func(w portage.Welcome) { ps.handleWelcome(p, w) }),
		portage.WithOnNotice(func(n portage.Notice) {
			if _, ok := n.(*portage.Leaving); ok {
				p.target.SetLeaving(ps.clock.Now())
			}
		}),
	}, ps.options...)
	return portage.NewLink(address, ps.hello, opts...)
}

// issuer returns the only issuer of a session. The older ones are kept for a
// Welcome that arrives late.
func (ps *peers) issuerOf(w portage.Welcome) *claim.Issuer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	known := ps.issuers[w.VM]
	for _, i := range known {
		if i.Matches(w.Incarnation, w.Session) {
			return i
		}
	}
	i := claim.NewIssuer(w.VM, w.Incarnation, w.Session)
	if len(known) >= maxIssuers {
		known = slices.Delete(known, 0, 1)
	}
	ps.issuers[w.VM] = append(known, i)
	return i
}

// welcome takes what a peer said of itself on a new connection.
func (ps *peers) handleWelcome(p *peer, w portage.Welcome) {
	var issuer *claim.Issuer
	if w.Session != 0 {
		issuer = ps.issuerOf(w)
	}
	p.mu.Lock()
	changed := w.Incarnation != p.incarnation
	p.incarnation = w.Incarnation
	p.issuer = issuer
	p.mu.Unlock()
	switch {
	case w.Leaving:
		p.target.SetLeaving(ps.clock.Now())
	case changed:
		p.target.Reset()
	}
}

func (ps *peers) handleNotice(n portage.Notice) {
	if l, ok := n.(*portage.Leaving); ok && ps.router.Known(l.VM) {
		ps.router.Target(l.VM).SetLeaving(ps.clock.Now())
	}
}

// connect returns the link of the peer once it has a connection.
func (p *peer) connect(ctx context.Context) (*portage.Link, error) {
	p.mu.Lock()
	link := p.link
	p.mu.Unlock()
	_, err := link.Connect(ctx)
	return link, err
}

// ticket returns a new ticket of the peer's present process, or no ticket when
// the peer gave the node no session. The peer must be connected.
func (p *peer) newTicket() claim.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.issuer == nil {
		return claim.Ticket{}
	}
	return p.issuer.Next()
}

// forget drops VMs that no roster lists any more. Their connections close when
// they are idle.
func (ps *peers) remove(vms []string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, vm := range vms {
		delete(ps.byVM, vm)
	}
}

// connected returns the peers that have a connection.
func (ps *peers) connected() []*peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	var out []*peer
	for _, p := range ps.byVM {
		p.mu.Lock()
		if p.link != nil && p.link.Connected() {
			out = append(out, p)
		}
		p.mu.Unlock()
	}
	return out
}

func (ps *peers) close() {
	for _, p := range ps.connected() {
		p.mu.Lock()
		p.link.Close()
		p.mu.Unlock()
	}
}
