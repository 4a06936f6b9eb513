package depot

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"cuminhollow.example/portage"
)

// The headers between callers, nodes and upstreams. Times are in milliseconds.
const (
	// HeaderKind names the kind of work of a call.
	HeaderKind = "Cuminhollow-Kind"
	// HeaderOutcome gives the outcome of a call: answered, not-run or unknown.
	HeaderOutcome = "Cuminhollow-Outcome"
	// HeaderTicket carries the ticket of non-idempotent work.
	HeaderTicket = "Cuminhollow-Ticket"
	// HeaderRequest identifies the outside caller's request.
	HeaderRequest = "Cuminhollow-Request"
	// HeaderRun identifies a run on the upstream. The upstream copies it to its
	// response and to the nested calls that it makes for the run.
	HeaderRun = "Cuminhollow-Run"
	// HeaderCaller names the caller where the settings allow it.
	HeaderCaller = "Cuminhollow-Caller"
	// HeaderTimeLeft is the time after which the answer is no longer needed.
	HeaderTimeLeft = "Cuminhollow-Time-Left-Ms"
	// HeaderRank tells the upstream the rank of the work.
	HeaderRank = "Cuminhollow-Rank"
)

const headerPrefix = "Cuminhollow-"

// headerRepeatShare carries, from one node to another, how much of a nested call counts
// as made by a retry. It is a field of the header so that nodes of earlier builds read
// the call.
const headerRepeatShare = "Cuminhollow-Repeat-Share"

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
}

// EndToEndFields returns the header fields that are forwarded with a call or an
// answer: all except hop-by-hop fields and those of this product.
func EndToEndFields(h http.Header) []portage.Field {
	named := connectionFields(h)
	fields := make([]portage.Field, 0, len(h))
	for name, values := range h {
		if strings.HasPrefix(name, headerPrefix) || slices.Contains(hopByHopHeaders, name) || slices.Contains(named, name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, portage.Field{Name: name, Value: v})
		}
	}
	return fields
}

// connectionFields returns the names that the Connection header lists.
func connectionFields(h http.Header) []string {
	var names []string
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// addRepeatShare adds the field that tells the owner of a nested call how much of the
// run that made it counts as a retry, in thousandths.
func addRepeatShare(c *portage.Call, share int64) {
	if share > 0 {
		c.Header = append(slices.Clip(c.Header), portage.Field{Name: headerRepeatShare, Value: strconv.FormatInt(share, 10)})
	}
}

// takeRepeatShare removes the field of addRepeatShare and returns its value, 0 if there
// is none or it is no share.
func takeRepeatShare(c *portage.Call) int64 {
	isShare := func(f portage.Field) bool { return f.Name == headerRepeatShare }
	i := slices.IndexFunc(c.Header, isShare)
	if i < 0 {
		return 0
	}
	share, err := strconv.ParseInt(c.Header[i].Value, 10, 64)
	c.Header = slices.DeleteFunc(slices.Clone(c.Header), isShare)
	if err != nil || share < 0 || share > wholeRepeat {
		return 0
	}
	return share
}

func addFields(h http.Header, fields []portage.Field) {
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
}
