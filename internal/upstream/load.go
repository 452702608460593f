package upstream

// ReportedLoad is what an answer of an upstream says about the upstream's own work.
type ReportedLoad struct {
	// Known reports whether the answer says anything. The other fields are zero if it does not.
	Known bool
	// Running and Waiting count the requests there, Slots how many it runs at once.
	Running, Waiting, Slots int
	// Slowdown is how long work takes there at this moment: 1 as usual, 2 twice as long. Zero means that the answer does not
	// say.
	Slowdown float64
}
