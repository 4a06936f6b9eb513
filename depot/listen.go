package depot

import (
	"context"
	"net"
)

// listeners are the open ports of a node.
type listeners struct {
	callers, upstream, peers, operators, ready net.Listener
}

// listen opens the ports that have an address, or none if one fails.
func (n *Node) listen(ctx context.Context) (*listeners, error) {
	s := n.settings.listen
	l := new(listeners)
	for _, port := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.Callers, &l.callers},
		{s.Upstream, &l.upstream},
		{s.Peers, &l.peers},
		{s.Operators, &l.operators},
		{s.Ready, &l.ready},
	} {
		if port.address == "" {
			continue
		}
		opened, err := new(net.ListenConfig).Listen(ctx, "tcp", port.address)
		if err != nil {
			l.close()
			return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
		}
		*port.listener = opened
	}
	return l, nil
}

func (l *listeners) close() {
	for _, o := range []net.Listener{l.callers, l.upstream, l.peers, l.operators, l.ready} {
		if o != nil {
			_ = o.Close()
		}
	}
}
