package depot

import (
	"slices"
	"strings"
)

// WithReload sets a function that Node.Reload calls with the new settings; the
// default does nothing.
func WithReload(f func(*Settings)) Option {
	return func(n *Node) { n.reload = f }
}

// Reload passes new settings to the function set by WithReload while the node
// runs. Settings that need a restart keep their values; the names of those that
// differ are logged, together with the cause of the reload.
func (n *Node) Reload(s *Settings, cause string) {
	var restart []string
	for name, changed := range map[string]bool{
		"vm":        s.vm != n.settings.vm,
		"service":   s.service != n.settings.service,
		"place":     s.locality != n.settings.locality,
		"listen":    s.listen != n.settings.listen,
		"upstream":  s.upstream != n.settings.upstream,
		"transport": s.transport != n.settings.transport,
		"policy":    s.policy != n.settings.policy,
		"routes":    !slices.Equal(s.routes, n.settings.routes),
		"seeds":     !slices.Equal(s.seeds, n.settings.seeds),
		"callers":   s.callers != n.settings.callers,
		"retries":   s.retries != n.settings.retries,
		"stop":      s.stop != n.settings.stop,
		"limits":    s.vmLimits != n.settings.vmLimits,
		"operators": s.operators != n.settings.operators,

		"heap_growth_percent":     s.heapGrowth != n.settings.heapGrowth,
		"adapter.answer_grace_ms": s.adapter.AnswerGrace != n.settings.adapter.AnswerGrace,
	} {
		if changed {
			restart = append(restart, name)
		}
	}
	slices.Sort(restart)
	if n.reload != nil {
		n.reload(s)
	}
	n.log.Info().Str("event", "settings-reloaded").Str("cause", cause).
		Str("needs_restart", strings.Join(restart, ",")).Send()
}
