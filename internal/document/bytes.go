package document

// Bytes is an amount of memory in bytes. In YAML it is a whole number with a
// binary unit: "200MiB", "14GiB".
type Bytes int64

// Binary units.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)
