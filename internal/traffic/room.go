package traffic

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/admission"
	"github.com/chestnutarch/chestnutarch/internal/assign"
)

// This file has requests admitted to services that are asked for more than they can serve in time.

// claimRoom returns an *assign.Refused, wrapped, if the request may not have room of its service. One that another VM has
// admitted, or that resumes a stream, is not judged again.
func (j *job) claimRoom(now time.Time) error {
	controller := j.core.options.Admission
	if controller == nil || j.fromVM || j.resumeAfter() != "" {
		return nil
	}
	request := j.roomRequest()
	j.cost = request.Cost
	decision := controller.Admit(request, now)
	j.room = decision.Room
	if decision.Changed {
		j.core.logRoom(j.pool(), decision.Short)
	}
	if decision.Admitted {
		return nil
	}
	j.core.countShortRoom(j.service, j.urgency)
	return errors.WithStack(shortRoom(decision))
}

// previewRoom returns what would be decided about the request if it asked for room now, without effects.
func (j *job) previewRoom(now time.Time) admission.Decision {
	controller := j.core.options.Admission
	if controller == nil {
		return admission.Decision{Admitted: true, Fraction: 1}
	}
	return controller.Preview(j.roomRequest(), now)
}

func (j *job) roomRequest() admission.Request {
	return admission.Request{
		Pool: j.pool(), Class: admission.Class{Urgency: j.urgency, Team: j.team}, Cost: j.core.options.Assigner.ExpectedCost(j.assignRequest()),
	}
}

// shortRoom returns the refusal of a request that is not admitted.
func shortRoom(d admission.Decision) *assign.Refused {
	return &assign.Refused{Cause: admission.ErrShortRoom, RetryAfter: d.RetryAfter}
}

// pool returns what the request competes for. Requests for models that the configuration does not name have one pool together:
// callers choose these names.
func (j *job) pool() admission.Pool {
	service := j.catalog.Services[j.service]
	if service == nil || service.Engine == nil {
		return admission.Pool{Service: j.service}
	}
	return admission.Pool{Service: j.service, Model: service.Engine.Models[j.request.Model].Name}
}

// recordSlotTime records for how long an answered request had its slot.
func (j *job) recordSlotTime(choice *assign.Choice, now time.Time) {
	if j.cost == 0 {
		return
	}
	objective := time.Duration(0)
	if j.request.Model == "" {
		objective = j.due.Sub(j.request.Arrived)
	}
	j.core.options.Admission.RecordAnswer(j.pool(), j.cost, now.Sub(choice.PlacedAt()), objective, now)
}

// recordNoRoom records that the request is refused because no engine had a slot for it in time. Requests that come last say
// nothing: they leave slots free.
func (j *job) recordNoRoom(err error, now time.Time) {
	if j.cost == 0 || j.room == assign.RoomLast || !errors.Is(err, assign.ErrOverloaded) {
		return
	}
	j.core.options.Admission.RecordNoRoom(j.pool(), j.urgency, now)
}

// countShortRoom counts a request that was rejected because its service is short of room.
func (c *Core) countShortRoom(service string, urgency int) {
	c.increment("admission.rejected." + service + ".urgency_" + strconv.Itoa(urgency))
}

// logRoom logs that a pool has become short of room, with the admitted fractions by urgency, or has ceased to be.
func (c *Core) logRoom(of admission.Pool, short bool) {
	if !short {
		c.options.Log.Info().Str("event", "room_sufficient").Str("service", of.Service).Str("model", of.Model).Send()
		return
	}
	c.options.Log.Warn().Str("event", "room_short").Str("service", of.Service).Str("model", of.Model).
		Interface("admitted", c.options.Admission.Fractions(of)).Send()
}
