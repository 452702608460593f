package document

import "net/url"

// Address returns the "IP:port" of a base address such as an engine's URL, as
// the VM list names it. It is empty for what is no URL.
func Address(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return ""
	}
	return u.Host
}
