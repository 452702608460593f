// Package planner assembles the planner: it competes for the leader's lease,
// and while it holds it, it keeps every model and adapter resident by orders to
// the engines. What to do is decided in packages placement, order and demand;
// this package carries it out. One goroutine owns the state.
package planner
