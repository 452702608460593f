package admission

import (
	"cmp"
	"slices"
)

// lessUrgentShare is the share of the room that is kept for requests which are less urgent than others that would take all.
const lessUrgentShare = 0.05

// demand is the rate at which the requests of a class ask for room, in cost per second, and what it is granted of it.
type demand struct {
	class   Class
	rate    float64
	granted float64
}

// fraction returns the admitted fraction of the class's requests.
func (d *demand) fraction() float64 {
	if d.rate <= 0 || d.granted >= d.rate {
		return 1
	}
	return max(0, d.granted/d.rate)
}

// share divides a capacity in cost per second among demands: in the order of urgency, and evenly among the teams of the
// same urgency. A team that asks for less than its part gets all of it. A small share is kept for less urgent requests. It
// sorts the demands.
func share(demands []demand, capacity float64) {
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.class.Urgency, b.class.Urgency), cmp.Compare(a.rate, b.rate), cmp.Compare(a.class.Team, b.class.Team))
	})
	total := 0.0
	for i := range demands {
		total += demands[i].rate
	}
	left := max(0, capacity)
	kept := lessUrgentShare * left
	for start := 0; start < len(demands); {
		end := start
		rate := 0.0
		for end < len(demands) && demands[end].class.Urgency == demands[start].class.Urgency {
			rate += demands[end].rate
			end++
		}
		total -= rate
		available := left - min(kept, max(0, total))
		left -= shareEvenly(demands[start:end], available)
		start = end
	}
}

// shareEvenly divides a capacity among demands, the smallest first, and returns what it has granted.
func shareEvenly(demands []demand, capacity float64) (granted float64) {
	for i := range demands {
		part := max(0, capacity-granted) / float64(len(demands)-i)
		demands[i].granted = min(demands[i].rate, part)
		granted += demands[i].granted
	}
	return granted
}
