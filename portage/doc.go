// Package portage carries messages between nodes: msgpack in TCP frames, many
// requests at a time on one connection.
//
// Use Link to send requests to one peer and Serve to answer them. A Link
// abandons a connection on which nothing arrives while a request waits, since
// a connection may go silent for good while new ones work, and tells apart a
// request that was never written from one whose answer was lost.
package portage
