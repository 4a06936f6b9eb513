// Package record is a versioned configuration store for the documents that
// operators publish. A record holds the policy for a kind of work, and a roster
// lists the VMs of a service.
//
// Use Parse to validate a document before it is published, Store to keep the
// current documents, and AuditLog to read which changes were accepted or
// rejected and why. A Store never replaces a document with one of a lower
// revision, in whatever order documents arrive.
package record
