// Package receipt tells whole and well-formed HTTP/1.1 answers from broken ones.
//
// Use a Conn for connections on which answers are read while requests are written. A
// body without a length ends with its connection, and without a Conn one that is cut
// off by a reset can look complete. Check what net/http's parser returns with Check.
package receipt
