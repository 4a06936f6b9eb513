package record

import "sync"

// AuditLog is a bounded log that keeps the newest changes. Create it with
// NewAuditLog. It is safe for concurrent use.
type AuditLog struct {
	mu sync.Mutex
	// changes has at most limit entries, oldest first.
	changes []Change
	limit   int
}

// NewAuditLog returns a log that keeps the newest limit changes, at least one.
func NewAuditLog(limit int) *AuditLog {
	return &AuditLog{limit: max(limit, 1)}
}

// Add appends c and removes the oldest change when the log is full.
func (l *AuditLog) Add(c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.changes) == l.limit {
		copy(l.changes, l.changes[1:])
		l.changes = l.changes[:l.limit-1]
	}
	l.changes = append(l.changes, c)
}

// Changes returns a copy of the changes, oldest first.
func (l *AuditLog) Changes() []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Change(nil), l.changes...)
}
