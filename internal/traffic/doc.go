// Package traffic carries callers' requests on an entry VM: authentication,
// rates, admission, the choice of an upstream, attempts, and the way back. How
// requests come in and how upstreams are spoken to is behind interfaces.
package traffic
