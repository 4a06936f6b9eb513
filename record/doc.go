// Package record holds what operators publish: policies for kinds of work and
// rosters of VMs, both as versioned documents.
//
// Use Parse to check a document before it is published, Book to keep the
// documents that are in force, and Trail to read which changes were accepted
// or refused and why. A Book never replaces a document by one of a lower
// revision, whatever order documents arrive in.
package record
