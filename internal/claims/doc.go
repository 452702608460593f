// Package claims carries out the decisions of package claim: it keeps the claims
// of keyed actions in the key-value service and asks other VMs about attempts that
// they have made.
package claims
