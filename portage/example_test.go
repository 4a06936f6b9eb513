package portage_test

import (
	"context"
	"fmt"
	"net"

	"cuminhollow.example/portage"
)

type handler struct{}

func (handler) Greet(portage.Peer) portage.Welcome { return portage.Welcome{VM: "kutch-a-1"} }

func (handler) Notice(portage.Peer, portage.Notice) {}

func (handler) Handle(_ context.Context, p portage.Peer, q portage.Request) portage.Response {
	call, ok := q.(*portage.Call)
	if !ok {
		return nil
	}
	return &portage.Answer{Outcome: portage.OutcomeAnswered, Body: []byte(call.Kind + " for " + p.VM)}
}

// Sends a call over a link to a server in the same process.
func Example() {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	server := portage.NewServer(handler{})
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	link := portage.NewLink(listener.Addr().String(), portage.Hello{VM: "dangs-b-2"})
	defer link.Close()
	response, err := link.Do(context.Background(), &portage.Call{Kind: "seal"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s\n", response.(*portage.Answer).Body)
	// Output:
	// seal for dangs-b-2
}
