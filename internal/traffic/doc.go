// Package traffic serves callers' requests on an entry VM: authentication, rate
// limits, admission, the choice of an upstream, attempts, and the response. The
// protocols of callers and of upstreams are behind interfaces.
package traffic
