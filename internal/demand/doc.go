// Package demand estimates how much each model and adapter is asked for over
// all entry VMs. It is pure: counts go in at an entry VM, bounded reports come
// out; reports go in at the planner, and rates in tokens per second come out.
package demand
