// Package portage is the message transport between nodes: msgpack messages in
// TCP frames, with many concurrent requests on one connection.
//
// Use Link to send requests to a peer and Server to answer them. A Link
// abandons a connection on which nothing arrives while requests are pending,
// because a connection may stay silent forever while new connections work. Its
// errors distinguish a request that was never written from one whose response
// was lost.
package portage
