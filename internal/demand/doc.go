// Package demand estimates the offered load of each model and adapter over all
// entry VMs. It is pure: an entry VM's Counter turns counts into bounded
// reports, and the planner's Estimator turns reports into rates in tokens per
// second.
package demand
