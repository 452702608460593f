// Package topology decides which VMs exchange reports. It does no I/O.
//
// Up to a dozen VMs form a full mesh. With more VMs, the number of exchanges in a mesh
// would grow with their square, and most of the bytes would cross failure domains.
// Therefore the VMs of a failure domain report to its hubs, and the hubs exchange the sums
// of the VMs that follow them. A domain has one hub for each MaxFollowers VMs; its first hub, the
// primary, watches the store for the others. No hub is configured or elected: every VM computes
// them as the VMs with the widest links, and of equal ones the first by name, among those that
// are not silent. When a hub fails, the next VM in this order replaces it within a second.
package topology
