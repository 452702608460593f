package kv

import "context"

type priorityKey struct{}

// WithPriority returns a context whose calls draw on the call budget with
// priority p. Calls without a priority count as PriorityConfiguration.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// PriorityOf returns the priority of a context's calls.
func PriorityOf(ctx context.Context) Priority {
	p, ok := ctx.Value(priorityKey{}).(Priority)
	if !ok {
		return PriorityConfiguration
	}
	return p
}

// String returns the priority's name, as it appears in metrics.
func (p Priority) String() string {
	switch p {
	case PriorityStatus:
		return "status"
	case PriorityClaim:
		return "claim"
	default:
		return "configuration"
	}
}

// String returns the outcome as text: "took effect", "did not" or "unknown".
func (o Outcome) String() string {
	switch o {
	case TookEffect:
		return "took effect"
	case NoEffect:
		return "did not"
	default:
		return "unknown"
	}
}
