// Package process holds what the daemons have in common: certificates from
// settings, and the clients made with them.
package process
