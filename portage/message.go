package portage

// messageType is the last byte of a frame's header. The values are part of the
// protocol.
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

// Message is a message between nodes. Its fields are encoded by order, without
// names. A message must not be changed after it was sent.
type Message interface {
	messageType() messageType
}

// Request is a message that is answered by a Response with the same stream
// number.
type Request interface {
	Message
	setStreamNumber(uint64)
	streamNumber() uint64
	isRequest()
}

// Response answers a Request.
type Response interface {
	Message
	setStreamNumber(uint64)
	streamNumber() uint64
	isResponse()
}

// Notice is a message that has no response.
type Notice interface {
	Message
	isNotice()
}

// stream holds the number of a request within its connection. Numbers are never
// reused.
type stream struct {
	Stream uint64
}

func (s *stream) setStreamNumber(n uint64) { s.Stream = n }
func (s *stream) streamNumber() uint64     { return s.Stream }

// Hello is the first message of the process that opens a connection.
type Hello struct {
	// Version is the version of the protocol.
	Version int
	// VM and Incarnation identify the process that connects.
	VM          string
	Incarnation uint64
}

// Welcome answers Hello.
type Welcome struct {
	Version     int
	VM          string
	Incarnation uint64
	// Session is the ticket session of the process that connected. It is 0 when
	// that process must not send non-idempotent work.
	Session uint64
	// Leaving is true when the node accepts no new work.
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
	// Request is the identifier of the external caller's request.
	Request string
	// Origin is the service of the VM at which the call entered.
	Origin string
	// VM is the name of the VM whose upstream should run the work. Empty means
	// the VM of the receiving node.
	VM string
	// Service is the service that should run the work.
	Service string
	// Ticket is empty for idempotent work.
	Ticket string
	Kind   string
	// Group is the fairness group within the priority class: the kind of work of
	// the external caller's request.
	Group  string
	Class  uint8
	Caller string
	// TimeLeftMS is the time until the deadline, in milliseconds.
	TimeLeftMS int64
	// UsefulMS is what remains of the request's target time, in milliseconds. A
	// later answer is worth less.
	UsefulMS int64
	// PatienceMS is the maximum queue wait for a slot, in milliseconds; 0 means no
	// limit. After a longer wait, another node is the better choice for the call.
	PatienceMS int64
	// Onward is true for a nested call: one that an upstream is known to make
	// while it runs another call.
	Onward bool
	// Repeat is true for a retry after an earlier attempt reached an upstream.
	Repeat bool
	// Grant is the number of extra tries granted with the call.
	Grant  int
	Method string
	Path   string
	Header []Field
	Body   []byte
	// Sum is the checksum of the body.
	Sum uint64
}

// Outcome is the result of a call.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeAnswered means that the answer of the upstream is complete.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that the work did not run and will not run.
	OutcomeNotRun
	// OutcomeUnknown means that the work may have run.
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
	// Request is the identifier of the external caller's request, from the call.
	Request string
	Outcome Outcome
	// Reason is set unless the outcome is OutcomeAnswered.
	Reason string
	Status int
	Header []Field
	Body   []byte
	// Sum is the checksum of the body.
	Sum uint64
	// Unspent is the number of granted extra tries that were not used.
	Unspent int
	// Level is the first priority class that the node currently refuses.
	Level uint8
	// WaitMS is the estimated queue wait of a call like this one. RunMS is the
	// mean run time of its kind of work, 0 when unknown. Both are in milliseconds.
	WaitMS, RunMS int64
	// Load is the fraction of the upstream's slots in use, in thousandths.
	Load int
	// Onward is true when the call was a nested call.
	Onward bool
	// Strain is the downstream overload: the fraction of calls like this one that
	// are rejected because a downstream service is overloaded, in thousandths.
	Strain int
	// Reached is true when the call was sent to the upstream.
	Reached bool
	// RetryAfterMS is the time after which a retry may succeed, in milliseconds.
	RetryAfterMS int64
}

// Cancel tells the peer that the answer to a call is no longer needed.
type Cancel struct {
	// Stream is the stream number of the call.
	Stream uint64
}

// Query requests the outcome of a ticket. A ticket that was never claimed is
// refused.
type Query struct {
	stream
	Ticket string
	// TimeLeftMS is the maximum wait for work that is running, in milliseconds.
	TimeLeftMS int64
}

// Leaving announces that the sender accepts no new work.
type Leaving struct {
	VM          string
	Incarnation uint64
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
