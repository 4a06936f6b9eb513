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
func (t *AuditLog) Add(c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changes) == t.limit {
		copy(t.changes, t.changes[1:])
		t.changes = t.changes[:t.limit-1]
	}
	t.changes = append(t.changes, c)
}

// Changes returns a copy of the changes, oldest first.
func (t *AuditLog) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Change(nil), t.changes...)
}
