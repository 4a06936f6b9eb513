// Package registry decides how a node learns the documents that are in force:
// who reads the platform, which peers exchange documents, and when a node that
// hears nothing reads the platform itself.
//
// Use Fleet for the choices and Schedule for their times, and Readers where few
// nodes of a region read for all others. All are pure: they take the documents,
// the time and random numbers, and do no I/O.
package registry
