package mothferry

import "context"

// OrderTrace records how an order to a worker was sent.
type OrderTrace struct {
	// Relay is the host that relayed the order; empty if this host sent it itself.
	Relay DaemonID
}

type orderTraceKey struct{}

// WithOrderTrace returns a context that has the implementation of TaskWorkers record in trace how
// an order was sent. The trace may be read once the call has returned.
func WithOrderTrace(ctx context.Context, trace *OrderTrace) context.Context {
	return context.WithValue(ctx, orderTraceKey{}, trace)
}

// OrderTraceOf returns the trace of a context, or nil.
func OrderTraceOf(ctx context.Context) *OrderTrace {
	trace, _ := ctx.Value(orderTraceKey{}).(*OrderTrace)
	return trace
}
