package portage

// messageType is the first byte of a frame's payload.
type messageType uint8

const (
	typeHello messageType = iota + 1
	typeWelcome
	typePing
	typePong
	typeCall
	typeAnswer
	typeCancel
	typeQuery
	typeLeaving
	typeExchange
	typeListing
	typeFetch
	typeDocuments
	typePush
	typeCopyRequest
	typeCopyResponse
)

// Message is any message between nodes. The fields of messages are exported
// for the codec only; a message is not changed once it was sent.
type Message interface {
	messageType() messageType
}

// Request is a message that is answered by a Response with its stream.
type Request interface {
	Message
	setStream(uint64)
	streamID() uint64
	isRequest()
}

// Response answers a Request.
type Response interface {
	Message
	setStream(uint64)
	streamID() uint64
	isResponse()
}

// Notice is a message without an answer.
type Notice interface {
	Message
	isNotice()
}

// stream numbers a request within its connection; numbers are never reused.
type stream struct {
	Stream uint64
}

func (s *stream) setStream(n uint64) { s.Stream = n }
func (s *stream) streamID() uint64   { return s.Stream }

// Hello opens a connection.
type Hello struct {
	// Version is the version of the protocol.
	Version int
	// VM and Incarnation name the process that connects.
	VM          string
	Incarnation uint64
}

// Welcome answers Hello.
type Welcome struct {
	Version     int
	VM          string
	Incarnation uint64
	// Session is the claim session of the process that connected; 0 when it
	// may not send non-idempotent work.
	Session uint64
	// Leaving tells that the node takes no new work.
	Leaving bool
}

// Ping asks for a Pong.
type Ping struct{}

// Pong answers a Ping.
type Pong struct{}

// Field is one header field of a call or an answer.
type Field struct {
	Name, Value string
}

// Call asks a node to run a piece of work on its upstream.
type Call struct {
	stream
	// Request identifies the request of the outside caller.
	Request string
	// Origin is the service on whose VM the call began.
	Origin string
	// VM names the VM whose upstream is meant; empty for whichever is there.
	VM string
	// Service is the service that the upstream is to run.
	Service string
	// Ticket is empty for idempotent work.
	Ticket string
	Kind   string
	// Group is the kind of work of the outside caller's request, by which
	// calls share a class fairly.
	Group  string
	Class  uint8
	Caller string
	// TimeLeftMS is the time until the deadline, in milliseconds.
	TimeLeftMS int64
	// UsefulMS is the time until the answer is no longer of full use, in
	// milliseconds.
	UsefulMS int64
	// PatienceMS is the longest wait for a slot with which the call is not
	// better sent elsewhere, in milliseconds; 0 for no bound.
	PatienceMS int64
	// Onward marks a call that is known to be made for work that runs already.
	Onward bool
	// Repeat tells that an earlier try of the call reached an upstream.
	Repeat bool
	// Grant is the number of extra tries that go with the call.
	Grant  int
	Method string
	Path   string
	Header []Field
	Body   []byte
	// Sum is the checksum of the body.
	Sum uint64
}

// Outcome says what became of a call.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeAnswered carries the whole answer of the upstream.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun says that the work did not run and will not.
	OutcomeNotRun
	// OutcomeUnknown says that the work may have run.
	OutcomeUnknown
)

// String returns the value of the outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Answer answers a Call or a Query.
type Answer struct {
	stream
	// Request repeats the request of the call.
	Request string
	Outcome Outcome
	// Reason is set unless the outcome is OutcomeAnswered.
	Reason string
	Status int
	Header []Field
	Body   []byte
	// Sum is the checksum of the body.
	Sum uint64
	// Unspent is the part of the grant that was not spent.
	Unspent int
	// Level is the first class that the node refuses at present.
	Level uint8
	// WaitMS is the wait that a call like this one has to expect, and RunMS the
	// mean duration of a run of its kind, 0 when unknown; in milliseconds.
	WaitMS, RunMS int64
	// Load is the share of the upstream's slots in use, in thousandths.
	Load int
	// Onward tells that the call was made for work that runs already.
	Onward bool
	// Strain is the share of calls like this one that find a service full, in
	// thousandths.
	Strain int
	// Reached tells that the call was sent to the upstream.
	Reached bool
	// RetryAfterMS is when another try may be of use, in milliseconds.
	RetryAfterMS int64
}

// Cancel says that the answer of a call is no longer wanted.
type Cancel struct {
	// Stream is the stream of the call.
	Stream uint64
}

// Query asks for the outcome of a ticket.
type Query struct {
	stream
	Ticket string
	// TimeLeftMS is how long to wait for work that is running, in
	// milliseconds.
	TimeLeftMS int64
}

// Leaving says that the sender takes no new work.
type Leaving struct {
	VM          string
	Incarnation uint64
}

// Exchange compares the documents of two nodes.
type Exchange struct {
	stream
	Summary []uint64
}

// Version is the revision and digest of one document.
type Version struct {
	Key      string
	Revision uint64
	Digest   []byte
}

// Listing answers Exchange with the documents of the buckets that differ.
type Listing struct {
	stream
	Buckets  []int
	Versions []Version
}

// Fetch asks for documents by key.
type Fetch struct {
	stream
	Keys []string
}

// Published is a document as it was published.
type RawDocument struct {
	Key  string
	Body []byte
}

// Documents answers Fetch.
type Documents struct {
	stream
	Documents []RawDocument
}

// Push brings documents that the receiver may lack.
type Push struct {
	Documents []RawDocument
}

// Copy asks for what a node's source knows beyond a revision.
type CopyRequest struct {
	stream
	After uint64
	// WaitMS is how long to wait until the source was asked once more or knows
	// something newer, in milliseconds; 0 for an answer at once.
	WaitMS int64
}

// Copied answers Copy. Text is empty when the node knows nothing newer.
type CopyResponse struct {
	stream
	Revision uint64
	// Whole tells that Text holds all that is known rather than what changed.
	Whole bool
	Text  []byte
	// Away tells that the node's source gets no answers, or that the node stops.
	Away bool
	// AgeMS is the age of what the node knows, HeldMS after it got the question;
	// both in milliseconds.
	AgeMS, HeldMS int64
}

func (*Hello) messageType() messageType     { return typeHello }
func (*Welcome) messageType() messageType   { return typeWelcome }
func (*Ping) messageType() messageType      { return typePing }
func (*Pong) messageType() messageType      { return typePong }
func (*Call) messageType() messageType      { return typeCall }
func (*Answer) messageType() messageType    { return typeAnswer }
func (*Cancel) messageType() messageType    { return typeCancel }
func (*Query) messageType() messageType     { return typeQuery }
func (*Leaving) messageType() messageType   { return typeLeaving }
func (*Exchange) messageType() messageType  { return typeExchange }
func (*Listing) messageType() messageType   { return typeListing }
func (*Fetch) messageType() messageType     { return typeFetch }
func (*Documents) messageType() messageType { return typeDocuments }
func (*Push) messageType() messageType      { return typePush }

func (*CopyRequest) messageType() messageType  { return typeCopyRequest }
func (*CopyResponse) messageType() messageType { return typeCopyResponse }

func (*Call) isRequest()        {}
func (*Query) isRequest()       {}
func (*Exchange) isRequest()    {}
func (*Fetch) isRequest()       {}
func (*CopyRequest) isRequest() {}

func (*Answer) isResponse()       {}
func (*Listing) isResponse()      {}
func (*Documents) isResponse()    {}
func (*CopyResponse) isResponse() {}

func (*Leaving) isNotice() {}
func (*Push) isNotice()    {}

func newMessage(t messageType) Message {
	switch t {
	case typeHello:
		return new(Hello)
	case typeWelcome:
		return new(Welcome)
	case typePing:
		return new(Ping)
	case typePong:
		return new(Pong)
	case typeCall:
		return new(Call)
	case typeAnswer:
		return new(Answer)
	case typeCancel:
		return new(Cancel)
	case typeQuery:
		return new(Query)
	case typeLeaving:
		return new(Leaving)
	case typeExchange:
		return new(Exchange)
	case typeListing:
		return new(Listing)
	case typeFetch:
		return new(Fetch)
	case typeDocuments:
		return new(Documents)
	case typePush:
		return new(Push)
	case typeCopyRequest:
		return new(CopyRequest)
	case typeCopyResponse:
		return new(CopyResponse)
	default:
		return nil
	}
}
