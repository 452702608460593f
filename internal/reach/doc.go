// Package reach decides whether a VM reaches the upstreams of a service. It does no I/O.
//
// A VM may lose its links to all upstreams while callers, the store and the other VMs still reach it. Each exchange then
// fails for itself, after its own timeout. The evidence is put together here: exchanges that are silent or fail while no
// upstream of the service sends anything make the VM open connections to several upstreams, and the outcome of that
// decides. A single upstream that is silent or down is no such case.
package reach
