// Package process holds what the daemons have in common: the command line, the
// reaction to signals, certificates from settings and the clients made with
// them.
package process
