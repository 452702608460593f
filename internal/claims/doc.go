// Package claims executes the decisions of package claim. It stores the claims of
// keyed actions in the key-value service and queries other VMs for the state of
// their attempts.
package claims
