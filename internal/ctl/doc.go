// Package ctl is chestnutctl, the operators' command line. It talks to the
// operators' API of entry VMs and to nothing else.
package ctl
