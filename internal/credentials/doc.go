// Package credentials creates TLS configurations from PEM files and reloads the
// files when they change, so that certificates are renewed without a restart.
package credentials
