// Package registry implements the peer selection of a gossip protocol for
// configuration documents: which nodes watch the platform, which peers exchange
// documents, and when a node that receives no updates reads the platform
// itself.
//
// Use Fleet for the choices and Schedule for their times, and Watchers where a
// few nodes of a region read the platform for all others. The package does no
// I/O: the documents, the time and random numbers are passed in.
package registry
