package depot

import (
	"context"
	"sync"

	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
)

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
}

func newPeers(c clock.Clock, hello portage.Hello, router *dispatch.Router, opts []portage.Option) *peers {
	return &peers{
		clock:   c,
		hello:   hello,
		router:  router,
		options: opts,
		byVM:    make(map[string]*peer),
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
		portage.WithOnWelcome(func(w portage.Welcome) { ps.welcome(p, w) }),
		portage.WithOnNotice(func(n portage.Notice) { ps.notice(n) }),
	}, ps.options...)
	return portage.NewLink(address, ps.hello, opts...)
}

// welcome takes what a peer said of itself on a new connection.
func (ps *peers) welcome(p *peer, w portage.Welcome) {
	p.mu.Lock()
	changed := w.Incarnation != p.incarnation
	p.incarnation = w.Incarnation
	switch {
	case w.Session == 0:
		p.issuer = nil
	case p.issuer == nil || !p.issuer.Matches(w.Incarnation, w.Session):
		p.issuer = claim.NewIssuer(p.vm, w.Incarnation, w.Session)
	}
	p.mu.Unlock()
	switch {
	case w.Leaving:
		p.target.SetLeaving(ps.clock.Now())
	case changed:
		p.target.Renew()
	}
}

func (ps *peers) notice(n portage.Notice) {
	if l, ok := n.(*portage.Leaving); ok {
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
func (p *peer) ticket() claim.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.issuer == nil {
		return claim.Ticket{}
	}
	return p.issuer.Next()
}

// forget drops VMs that no roster lists any more. Their connections close when
// they are idle.
func (ps *peers) forget(vms []string) {
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
