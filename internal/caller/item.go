package caller

import (
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// served is what a caller's model name stands for.
type served struct {
	item        route.Item
	version     string
	maxInFlight int
}

// findServed looks a model or adapter up by the name that callers use.
func findServed(doc *document.Document, name string) (served, bool) {
	for i := range doc.Models {
		m := &doc.Models[i]
		if m.Name == name {
			return served{item: route.Item{Model: name}, version: m.Version}, true
		}
		for _, a := range m.Adapters {
			if a.Name == name {
				return served{item: route.Item{Model: m.Name, Adapter: name}, version: a.Version, maxInFlight: a.MaxInFlight}, true
			}
		}
	}
	return served{}, false
}

// engineURL returns the address of an engine in force.
func engineURL(doc *document.Document, name string) (string, bool) {
	for i := range doc.Engines {
		if doc.Engines[i].Name == name {
			return doc.Engines[i].URL, true
		}
	}
	return "", false
}
