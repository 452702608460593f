// Package process implements what the daemons have in common: the command line,
// signal handling, certificates from the settings and the clients that use them.
package process
