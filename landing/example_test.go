package landing_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"

	"cuminhollow.example/landing"
)

// Sends two requests on a connection before the first is answered. They run at the
// same time, and the responses come in their order.
func Example() {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	second := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/first" {
			<-second
		} else {
			close(second)
		}
		w.Header().Set("Served", q.URL.Path)
	})
	server := landing.NewServer(handler, landing.WithConcurrent(func(q *http.Request) bool { return q.Method == http.MethodGet }))
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown(context.Background()) }()

	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprint(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(conn)
	for range 2 {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(res.Header.Get("Served"))
		_ = res.Body.Close()
	}
	// Output:
	// /first
	// /second
}
