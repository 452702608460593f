package vm

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Part names a part of a VM's decisions that can be disabled.
type Part string

// The parts that can be disabled.
const (
	// PartAdmission rejects requests while a service is asked for more than it can serve in time (package admission).
	PartAdmission Part = "admission"
	// PartCost chooses upstreams by what requests are likely to cost (package cost).
	PartCost Part = "cost"
	// PartReportedLoad uses the load that upstreams report in their answers.
	PartReportedLoad Part = "reported-load"
	// PartHeldAnswers bounds the memory that a VM uses for callers and upstreams that read slowly.
	PartHeldAnswers Part = "held-answers"
	// PartAnnouncements tells the VMs of a fleet with hubs of long prompts as they are sent. It is off unless it is enabled.
	PartAnnouncements Part = "announcements"
)

var parts = []Part{PartAdmission, PartCost, PartReportedLoad, PartHeldAnswers, PartAnnouncements}

// ErrUnknownPart means that a name is not that of a part that can be disabled.
var ErrUnknownPart = errors.New("vm: unknown part")

// ParseParts returns the parts of the given names. The error is ErrUnknownPart, wrapped.
func ParseParts(names []string) ([]Part, error) {
	out := make([]Part, 0, len(names))
	for _, name := range names {
		if !slices.Contains(parts, Part(name)) {
			return nil, errors.Wrapf(ErrUnknownPart, "%q; the parts are %s", name, PartNames())
		}
		out = append(out, Part(name))
	}
	return out, nil
}

// Disabled returns the parts that a process runs without: those that are disabled, and those that are off and not enabled.
func Disabled(disabled, enabled []Part) []Part {
	if slices.Contains(enabled, PartAnnouncements) {
		return disabled
	}
	return append(slices.Clone(disabled), PartAnnouncements)
}

// PartNames returns the names of all parts that can be disabled, separated by commas.
func PartNames() string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = string(p)
	}
	return strings.Join(names, ", ")
}

// enabled reports whether a part was not disabled.
func (p *Process) enabled(part Part) bool { return !slices.Contains(p.disabled, part) }

func (p *Process) logDisabledParts() {
	for _, part := range parts {
		if !p.enabled(part) {
			p.log.Warn().Str("event", "part_disabled").Str("part", string(part)).Send()
		}
	}
}
