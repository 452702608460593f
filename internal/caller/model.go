package caller

import (
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// resolvedModel is the model or adapter that a caller's model name refers to.
type resolvedModel struct {
	item        route.Item
	version     string
	maxInFlight int
}

// resolveModel looks up a model or adapter by the name that callers use.
func resolveModel(doc *document.Document, name string) (resolvedModel, bool) {
	for i := range doc.Models {
		m := &doc.Models[i]
		if m.Name == name {
			return resolvedModel{item: route.Item{Model: name}, version: m.Version}, true
		}
		for _, a := range m.Adapters {
			if a.Name == name {
				return resolvedModel{item: route.Item{Model: m.Name, Adapter: name}, version: a.Version, maxInFlight: a.MaxInFlight}, true
			}
		}
	}
	return resolvedModel{}, false
}

// engineURL returns the URL of an engine in the document.
func engineURL(doc *document.Document, name string) (string, bool) {
	for i := range doc.Engines {
		if doc.Engines[i].Name == name {
			return doc.Engines[i].URL, true
		}
	}
	return "", false
}
