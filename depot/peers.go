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

// maxIssuers is the maximum number of sessions that are kept for one VM.
const maxIssuers = 8

// peer is the node's connection to another node, or to itself.
type peer struct {
	vm     string
	target *dispatch.Target

	mu sync.Mutex
	// link is replaced when the address of the VM changes.
	link *portage.Link
	// issuer issues the tickets of the session in the last Welcome. It is kept
	// across reconnections, so that no sequence number is used twice.
	issuer *claim.Issuer
	// incarnation identifies the process that answered last.
	incarnation uint64
}

// peers holds the links to other nodes and the issuers of their tickets. It is
// safe for concurrent use.
type peers struct {
	clock   clock.Clock
	hello   portage.Hello
	router  *dispatch.Router
	options []portage.Option

	mu   sync.RWMutex
	byVM map[string]*peer
	// issuers holds the issuer of each session that a process gave this node,
	// newest last, by the VM name that the process gives itself. When one VM has
	// taken another's address, the same process is reached under both names;
	// with an issuer for each name, it would get the same ticket twice.
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

// issuerOf returns the single issuer of a session. Issuers of older sessions are
// kept because their Welcome may arrive late.
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

// handleWelcome applies what a peer announced on a new connection: its process,
// its session and whether it is leaving.
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

// handleNotice marks a known VM as leaving when its node says so.
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

// newTicket returns a new ticket of the peer's current process, or the zero
// ticket when the peer gave the node no session. The peer must be connected.
func (p *peer) newTicket() claim.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.issuer == nil {
		return claim.Ticket{}
	}
	return p.issuer.Next()
}

// remove drops VMs that no roster lists any more. Their connections close when
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
