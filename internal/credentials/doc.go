// Package credentials makes TLS configurations from PEM files and follows the
// files when they change, so that certificates are renewed without a restart.
package credentials
