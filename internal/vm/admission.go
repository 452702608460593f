package vm

import (
	"strconv"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/admission"
	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// newAdmission returns the process's admission controller, nil if that part is disabled.
func (p *Process) newAdmission() *admission.Controller {
	if !p.enabled(PartAdmission) {
		return nil
	}
	return admission.New(p.settings.VM, p.admissionRoom)
}

// admissionRoom returns the room of a pool, none for services with brittle upstreams: their permits decide who gets it.
func (p *Process) admissionRoom(of admission.Pool, now time.Time) assign.Room {
	if _, brittle := p.assigner.BrittleServices()[of.Service]; brittle {
		return assign.Room{}
	}
	return p.assigner.Room(of.Service, of.Model, now)
}

// offered returns what this VM was asked for while room was short.
func (p *Process) offered() map[string]float64 {
	if p.admission == nil {
		return nil
	}
	return p.admission.Offered()
}

// applyOffered applies what another VM tells that it was asked for.
func (p *Process) applyOffered(r *peerpb.VMReport, vms int, now time.Time) {
	if p.admission == nil {
		return
	}
	p.admission.ApplyReport(admission.Report{VM: r.Vm, VMs: vms, Incarnation: r.Incarnation, Scope: r.Scope, Offered: r.Offered}, now)
}

// updateAdmissionGauges sets the number of pools that are short of room, and for each urgency the least admitted part of what
// is asked for at any of them, in percent.
func (p *Process) updateAdmissionGauges() {
	if p.admission == nil {
		return
	}
	short := p.admission.Short(time.Now())
	p.setGauge("admission.short_pools", int64(len(short)))
	least := make(map[int]float64)
	for urgency := range gaugedUrgencies {
		least[urgency] = 1
	}
	for _, pool := range short {
		for urgency, fraction := range pool.Fractions {
			urgency = min(urgency, gaugedUrgencies-1)
			least[urgency] = min(least[urgency], fraction)
		}
	}
	for urgency, fraction := range least {
		p.setGauge("admission.admitted_percent.urgency_"+strconv.Itoa(urgency), int64(100*fraction))
	}
}

// gaugedUrgencies is the number of ranks of urgency that have gauges; the last one stands for all less urgent ones.
const gaugedUrgencies = 4
