// Package upstream holds what is known of the instances of all services: where
// they are, whether they take work, and what an engine holds.
package upstream
