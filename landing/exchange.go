package landing

import (
	"context"
	"net/http"
	"time"
)

// arrivedKey is the context key of the time at which a request arrived.
type arrivedKey struct{}

// Arrived returns the time at which the head of a request had arrived. A request
// may wait for earlier ones on its connection before it is handled. For a request
// that no Server took it is the present time.
func Arrived(req *http.Request) time.Time {
	if at, ok := req.Context().Value(arrivedKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

// exchange is a request and its response.
type exchange struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	// body is nil if the request has none.
	body *requestBody
	// previous is closed when the request before is answered; nil for the first.
	previous <-chan struct{}
	// done is closed when this request is answered.
	done chan struct{}
}

// run handles the request and writes its response when its turn has come.
func (ex *exchange) run() {
	defer ex.conn.end()
	defer close(ex.done)
	defer ex.cancel()
	res, ok := ex.handle()
	if ex.body != nil {
		ex.body.release()
	}
	if ex.previous != nil {
		<-ex.previous
	}
	if !ok || !ex.respond(res) {
		ex.conn.abort()
	}
}

// handle calls the handler. It reports false if the handler aborts the connection
// with http.ErrAbortHandler.
func (ex *exchange) handle() (res *response, ok bool) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // net/http compares so too.
			panic(v)
		}
	}()
	res = newResponse()
	ex.conn.server.handler.ServeHTTP(res, ex.request)
	return res, true
}

// respond writes the response. The last response on a connection says that the
// connection closes.
func (ex *exchange) respond(res *response) bool {
	closes := res.closes() || ex.body != nil && !ex.body.complete() || !ex.conn.takesMore()
	if closes {
		closes = ex.conn.announceClose(ex)
	}
	return ex.conn.write(res, ex.request, closes)
}
