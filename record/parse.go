package record

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"

	"go.yaml.in/yaml/v3"
)

// The schema versions that Parse reads.
const (
	SchemaV1 = 1
	SchemaV2 = 2
)

// The key prefixes that distinguish policies from rosters.
const (
	PolicyPrefix = "records/"
	RosterPrefix = "vms/"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Parse validates a document published under key. The error is an *Error that
// lists every problem found. Parse keeps no reference to body.
func Parse(key string, body []byte) (*Document, error) {
	if len(body) > MaxBytes {
		reason := fmt.Sprintf("%d bytes, more than the limit of %d", len(body), MaxBytes)
		return nil, parseError(key, KindSize, Problem{Reason: reason})
	}
	var header struct {
		Schema   *int   `yaml:"schema"`
		Revision uint64 `yaml:"revision"`
	}
	if err := yaml.Unmarshal(body, &header); err != nil {
		return nil, syntaxError(key, err)
	}
	if header.Schema == nil {
		return nil, parseError(key, KindSchema, Problem{Line: 1, Reason: "schema is missing"})
	}
	c := checker{body: body}
	if header.Revision == 0 {
		c.addProblem("revision", "revision must be 1 or more")
	}
	content, err := decodeContent(key, *header.Schema, body, &c)
	if err != nil {
		return nil, err
	}
	if len(c.problems) > 0 {
		return nil, parseError(key, KindValue, c.problems...)
	}
	d := &Document{
		key:      key,
		revision: header.Revision,
		digest:   digestOf(body),
		body:     bytes.Clone(body),
		content:  content,
	}
	return d, nil
}

func decodeContent(key string, schema int, body []byte, c *checker) (Content, error) {
	isPolicy := strings.HasPrefix(key, PolicyPrefix)
	switch {
	case isPolicy && schema == SchemaV1:
		v, err := decodeStrict[policyV1](key, body)
		if err != nil {
			return nil, err
		}
		return c.checkPolicy(key, v.policy()), nil
	case isPolicy && schema == SchemaV2:
		v, err := decodeStrict[policyV2](key, body)
		if err != nil {
			return nil, err
		}
		return c.checkPolicy(key, v.policy()), nil
	case strings.HasPrefix(key, RosterPrefix) && schema == SchemaV1:
		v, err := decodeStrict[rosterV1](key, body)
		if err != nil {
			return nil, err
		}
		return c.checkRoster(key, v.roster()), nil
	case !isPolicy && !strings.HasPrefix(key, RosterPrefix):
		reason := fmt.Sprintf("key must start with %q or %q", PolicyPrefix, RosterPrefix)
		return nil, parseError(key, KindValue, Problem{Reason: reason})
	default:
		reason := fmt.Sprintf("schema %d is not known to this version", schema)
		return nil, parseError(key, KindSchema, Problem{Line: c.line("schema"), Reason: reason})
	}
}

// decodeStrict decodes body into a T and rejects keys that T does not have.
func decodeStrict[T any](key string, body []byte) (*T, error) {
	d := yaml.NewDecoder(bytes.NewReader(body))
	d.KnownFields(true)
	var v T
	if err := d.Decode(&v); err != nil {
		return nil, syntaxError(key, err)
	}
	if err := d.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, parseError(key, KindSyntax, Problem{Line: 1, Reason: "more than one document"})
	}
	return &v, nil
}

func parseError(key string, kind ErrorKind, problems ...Problem) *Error {
	return &Error{Op: "parse", Kind: kind, Name: key, Problems: problems}
}

func syntaxError(key string, err error) *Error {
	return parseError(key, KindSyntax, YAMLProblems(err)...)
}

// checker collects the problems in the values of a document.
type checker struct {
	body     []byte
	problems []Problem
}

func (c *checker) addProblem(field, format string, args ...any) {
	p := Problem{Line: c.line(field), Reason: fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, p)
}

// line returns the number of the first line with field as its key, or 1.
func (c *checker) line(field string) int {
	for i, l := range strings.Split(string(c.body), "\n") {
		l = strings.TrimLeft(l, " -{")
		if strings.HasPrefix(l, field+":") {
			return i + 1
		}
	}
	return 1
}

func (c *checker) checkPolicy(key string, p *Policy) *Policy {
	if !namePattern.MatchString(p.name) {
		c.addProblem("name", "name %q must be 1 to 63 of a-z, 0-9 and -", p.name)
	}
	if key != PolicyPrefix+p.name {
		c.addProblem("name", "name %q does not match the key %q", p.name, key)
	}
	if p.retired {
		return p
	}
	if !namePattern.MatchString(p.service) {
		c.addProblem("service", "service %q must be 1 to 63 of a-z, 0-9 and -", p.service)
	}
	if p.rank < 0 || p.rank > MaxRank {
		c.addProblem("rank", "rank %d must be 0 to %d", p.rank, MaxRank)
	}
	if p.target < 1 || p.target > MaxTarget {
		field := "target_ms"
		if p.schema == SchemaV2 {
			field = "target"
		}
		c.addProblem(field, "target %s must be 1ms to %s", p.target, MaxTarget)
	}
	if p.tries < 1 || p.tries > MaxTries {
		field := "tries"
		if p.schema == SchemaV2 {
			field = "retries"
		}
		c.addProblem(field, "%d tries, the first included, must be 1 to %d", p.tries, MaxTries)
	}
	return p
}

func (c *checker) checkRoster(key string, r *Roster) *Roster {
	if key != RosterPrefix+r.service {
		c.addProblem("service", "service %q does not match the key %q", r.service, key)
	}
	seen := make(map[string]bool, len(r.vms))
	for _, v := range r.vms {
		if seen[v.name] {
			c.addProblem("vms", "VM %q is listed twice", v.name)
		}
		seen[v.name] = true
		c.checkVM(v)
	}
	return r
}

func (c *checker) checkVM(v VM) {
	if v.name == "" || v.region == "" || v.zone == "" {
		c.addProblem("vms", "VM %q needs a name, a region and a zone", v.name)
	}
	if _, _, err := net.SplitHostPort(v.address); err != nil {
		c.addProblem("vms", "VM %q: address %q must be host:port", v.name, v.address)
	}
	if v.state != StateLive && v.state != StateLeaving {
		c.addProblem("vms", "VM %q: state %q must be %q or %q", v.name, v.state, StateLive, StateLeaving)
	}
}
