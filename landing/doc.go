// Package landing implements an HTTP/1.1 server for callers that send further
// requests on a connection before the first one is answered (pipelining).
//
// Use a Server for each port. It reads requests with net/http's parser, runs the
// ones that may run at the same time concurrently, and writes the responses in the
// order of the requests. It notices that a caller has left although bytes of
// further requests wait, bounds what it reads and holds for a connection, and
// answers every request that it has taken when it stops.
package landing
