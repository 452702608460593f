// Package topology decides which VMs exchange reports. It does no I/O.
//
// Up to a dozen VMs form a full mesh. With more VMs, the number of exchanges in a mesh
// would grow with their square, and most of the bytes would cross failure domains.
// Therefore the VMs of a failure domain report to one of them, its hub, and the hubs
// exchange the sums of their domains. No hub is configured or elected: every VM computes
// it as the VM with the widest link, and of equal ones the first by name, among those that
// are not silent. When a hub fails, the next VM in this order replaces it within a second.
package topology
