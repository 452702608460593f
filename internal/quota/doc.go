// Package quota decides what each VM may admit so that no team gets more than
// its rate and burst over all VMs together. It does no I/O: events and the
// present time go in, actions come out.
package quota
