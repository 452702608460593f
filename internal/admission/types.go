package admission

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

// ErrShortRoom means that a request was rejected because its service is asked for more than it can serve in time, and
// other requests come first.
var ErrShortRoom = errors.New("admission: the service is asked for more than it can serve in time")

// Pool is what requests compete for: the upstreams of a service, or its engines that hold a model.
type Pool struct {
	// Model is empty for services without engines.
	Service, Model string
}

// Class is a set of requests of a pool that are treated alike.
type Class struct {
	// Urgency is the requests' priority rank; 0 is the most urgent.
	Urgency int
	// Team is empty on routes that need no key.
	Team string
}

// Request is a request that asks for room.
type Request struct {
	Pool
	Class
	// Cost is the time of an upstream that the request is expected to take, in the unit of Assigner.ExpectedCost.
	Cost time.Duration
}

// Decision says whether a request is admitted.
type Decision struct {
	Admitted bool
	// Short means that the pool is asked for more than it can serve in time.
	Short bool
	// Fraction is the admitted fraction of the requests of the class.
	Fraction float64
	// Room says what an admitted request may take.
	Room assign.RoomRule
	// RetryAfter is when a rejected request may be repeated.
	RetryAfter time.Duration
	// Changed means that the pool has become short or has ceased to be so.
	Changed bool
}

// RoomFunc returns the room of a pool.
type RoomFunc func(p Pool, now time.Time) assign.Room

// separator separates the parts of a name in reports. Names of services, models and teams do not contain it.
const separator = "\x1f"

// key is what a total in reports counts for a pool.
type key struct {
	kind keyKind
	Class
}

// keyKind says what is counted: the cost of the requests that were asked for, of all that were admitted, or the number of
// requests that found no slot. Its text begins the third part of a name.
type keyKind string

const (
	offered  keyKind = "offered"
	admitted keyKind = "admitted"
	refused  keyKind = "refused"
)

// name returns the name of a key of a pool in reports.
func (k key) name(p Pool) string {
	return strings.Join([]string{p.Service, p.Model, string(k.kind), strconv.Itoa(k.Urgency), k.Team}, separator)
}

// parseName returns the pool and the key of a name in a report. ok is false if the name has another form, as it may have in a
// report of another build.
func parseName(name string) (p Pool, k key, ok bool) {
	parts := strings.SplitN(name, separator, 5)
	if len(parts) != 5 {
		return Pool{}, key{}, false
	}
	urgency, err := strconv.Atoi(parts[3])
	k = key{kind: keyKind(parts[2]), Class: Class{Urgency: urgency, Team: parts[4]}}
	return Pool{Service: parts[0], Model: parts[1]}, k, err == nil
}
