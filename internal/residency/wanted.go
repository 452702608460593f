package residency

import "slices"

// Wanted is a model that streams wait for at a software version.
type Wanted struct {
	Model, Version string
	// Avoid names engines that cannot go on with the streams although they may seem to hold the model.
	Avoid []string
}

// suits reports whether an engine can go on with the streams once it holds the model.
func (w Wanted) suits(e Engine) bool {
	return e.Usable && e.Version == w.Version && !slices.Contains(w.Avoid, e.ID)
}

// Holder returns the engine that holds the model, or is to, for the streams that wait for it, "" if there is none.
func (w Wanted) Holder(engines []Engine) string {
	for _, e := range engines {
		if w.suits(e) && (e.Models[w.Model] || e.Loading == w.Model) {
			return e.ID
		}
	}
	return ""
}

// Servable reports whether there is an engine that can go on with the streams once it holds the model.
func (w Wanted) Servable(engines []Engine) bool { return slices.ContainsFunc(engines, w.suits) }

// placeWanted brings the wanted models to engines of their versions. Only copies that serve next to nothing make way: the
// streams are few.
func (s *planState) placeWanted() {
	for _, w := range s.Wanted {
		if w.Holder(s.Engines) != "" {
			continue
		}
		excludeUnsuitable := func(e Engine) float64 {
			if !w.suits(e) {
				return 1
			}
			return 0
		}
		s.place(w.Model, "resumption", excludeUnsuitable, s.evictableBelow(minScaleOutDemand), true)
	}
}
