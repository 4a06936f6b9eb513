package portage

// Exchange requests the documents in which two nodes differ. It is answered by
// Listing.
type Exchange struct {
	stream
	// Summary holds the hash of each bucket of the sender's documents.
	Summary []uint64
}

// Version is the revision and digest of one document.
type Version struct {
	Key      string
	Revision uint64
	Digest   []byte
}

// Listing answers Exchange with the versions of all documents in the buckets
// whose hashes differ.
type Listing struct {
	stream
	Buckets  []int
	Versions []Version
}

// Fetch requests documents by key.
type Fetch struct {
	stream
	Keys []string
}

// RawDocument is a document as it was published, with its key.
type RawDocument struct {
	Key  string
	Body []byte
}

// Documents answers Fetch.
type Documents struct {
	stream
	Documents []RawDocument
}

// Push sends documents that the receiver may not have.
type Push struct {
	Documents []RawDocument
}

// CopyRequest requests the platform data that a node's source has received
// since a revision.
type CopyRequest struct {
	stream
	After uint64
	// WaitMS is the maximum wait until the source is polled again or has newer
	// data, in milliseconds; 0 requests an immediate answer.
	WaitMS int64
}

// CopyResponse answers CopyRequest. Text is empty when the node has no newer
// data.
type CopyResponse struct {
	stream
	Revision uint64
	// Whole is true when Text holds all data and false when it holds only changes.
	Whole bool
	Text  []byte
	// Away is true when the node's source gets no answers or the node is stopping.
	Away bool
	// AgeMS is the age of the node's data, measured HeldMS after the node received
	// the request. Both are in milliseconds.
	AgeMS, HeldMS int64
}
