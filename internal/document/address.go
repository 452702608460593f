package document

import "net/url"

// Address returns the "IP:port" of a base address such as an engine's URL, in the
// form used in the VM list. It is empty if base is not a valid URL.
func Address(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return ""
	}
	return u.Host
}
