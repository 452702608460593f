// Package planner runs the planner: it competes for the leader lease and, while
// it holds the lease, sends orders to the engines that keep every model and
// adapter resident. The decisions are made in packages placement, order and
// demand; this package carries them out. One goroutine owns the state.
package planner
