package ctl

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/operator"
)

// Intervals for polling the outcome of a change or the version in force. The
// interval doubles from the minimum up to the maximum.
const (
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
)

type sender func(context.Context, *operator.Client) (*operator.ChangeAnswer, error)

func newChangeRequest(base int64) operator.ChangeRequest {
	return operator.ChangeRequest{ChangeID: uuid.NewString(), Nonce: uuid.NewString(), BaseVersion: base}
}

// change sends a change and determines its outcome. If a VM fails after it has
// sent the write, the outcome is unknown: the VMs are queried by change ID and
// nonce, and as long as the change is not known to have taken effect, it is sent
// again with the same ID and nonce. It can take effect only once.
func (o *options) change(ctx context.Context, clients []*operator.Client, request operator.ChangeRequest, send sender) (*operator.ChangeAnswer, error) {
	answer, err := callAny(ctx, clients, send)
	for pause := minPollInterval; errors.Is(err, operator.ErrUnknown); pause = min(2*pause, maxPollInterval) {
		if !sleep(ctx, pause) {
			return nil, unknownOutcome(request, err)
		}
		found, attemptErr := callAny(ctx, clients, func(ctx context.Context, c *operator.Client) (*operator.ChangeAnswer, error) {
			return c.Change(ctx, request)
		})
		switch {
		case attemptErr != nil:
			continue
		case found.Outcome == operator.OutcomeTookEffect:
			return found, nil
		}
		resent, attemptErr := callAny(ctx, clients, send)
		if attemptErr != nil && (errors.Is(attemptErr, operator.ErrUnreachable) || errors.Is(attemptErr, operator.ErrUnavailable)) {
			// This attempt was not sent, but an earlier one may still arrive.
			continue
		}
		answer, err = resent, attemptErr
	}
	return answer, err
}

func unknownOutcome(request operator.ChangeRequest, cause error) error {
	return &operator.APIError{
		Type:     operator.TypeUnknown,
		ChangeID: request.ChangeID,
		Message: fmt.Sprintf("%v; ask again with: chestnutctl config outcome %s --nonce %s --base %d",
			cause, request.ChangeID, request.Nonce, request.BaseVersion),
	}
}

// vmVersion is the version that one VM has in force after a change.
type vmVersion struct {
	Server  string `json:"server" yaml:"server"`
	VM      string `json:"vm" yaml:"vm"`
	Version int64  `json:"version" yaml:"version"`
	InForce bool   `json:"in_force" yaml:"in_force"`
	Error   string `json:"error,omitempty" yaml:"error,omitempty"`
}

// waitInForce polls every VM until it has at least the given version in force
// or the wait is over.
func waitInForce(ctx context.Context, clients []*operator.Client, version int64, wait time.Duration) []vmVersion {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	list := make([]vmVersion, len(clients))
	forEachVM(clients, func(i int, c *operator.Client) {
		list[i] = waitInForceAt(ctx, c, version)
	})
	return list
}

func waitInForceAt(ctx context.Context, c *operator.Client, version int64) vmVersion {
	v := vmVersion{Server: c.Server}
	for pause := minPollInterval; ; pause = min(2*pause, maxPollInterval) {
		inForce, err := c.InForce(ctx)
		switch {
		case err == nil:
			v.VM, v.Version, v.Error = inForce.VM, inForce.Version, ""
			v.InForce = inForce.Version >= version
		case ctx.Err() == nil || v.VM == "":
			v.Error = err.Error()
		}
		if v.InForce || !sleep(ctx, pause) {
			return v
		}
	}
}

// forEachVM calls f for all VMs concurrently and waits for all calls.
func forEachVM(clients []*operator.Client, f func(i int, c *operator.Client)) {
	var group sync.WaitGroup
	for i, c := range clients {
		group.Go(func() { f(i, c) })
	}
	group.Wait()
}

// changeReport is the JSON and YAML output for an accepted change.
type changeReport struct {
	operator.ChangeAnswer `yaml:",inline"`
	// VMs lists the version in force at each VM.
	VMs []vmVersion `json:"vms" yaml:"vms"`
}

// reportChange prints an accepted change and the VMs that have it in force. It
// returns ErrPartial if some do not within the wait.
func (o *options) reportChange(ctx context.Context, clients []*operator.Client, answer *operator.ChangeAnswer, wait time.Duration) error {
	list := waitInForce(ctx, clients, answer.Version, wait)
	t := &table{header: []string{"SERVER", "VM", "VERSION", "IN FORCE", "ERROR"}}
	missing := 0
	for _, s := range list {
		t.addRow(s.Server, s.VM, s.Version, s.InForce, s.Error)
		if !s.InForce {
			missing++
		}
	}
	fmt.Fprintf(o.errOut, "%s: version %d, digest %s\n", answer.Outcome, answer.Version, answer.Digest)
	if err := o.print(changeReport{ChangeAnswer: *answer, VMs: list}, t); err != nil {
		return err
	}
	if missing > 0 {
		return errors.Wrapf(ErrPartial, "version %d is accepted but not seen in force at %d of %d VMs", answer.Version, missing, len(list))
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(kv.Jitter(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
