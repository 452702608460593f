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

// Pauses between two looks at an outcome or at what is in force.
const (
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

type sender func(context.Context, *operator.Client) (*operator.ChangeAnswer, error)

func newChange(base int64) operator.ChangeRequest {
	return operator.ChangeRequest{ChangeID: uuid.NewString(), Nonce: uuid.NewString(), BaseVersion: base}
}

// change sends a change and settles its outcome. A VM that dies after it has
// sent the write leaves the outcome unknown: other VMs are asked by change ID
// and nonce, and if nothing has moved, the same change is sent again, which can
// take effect only once.
func (o *options) change(ctx context.Context, clients []*operator.Client, request operator.ChangeRequest, send sender) (*operator.ChangeAnswer, error) {
	answer, err := askAny(ctx, clients, send)
	for pause := firstPause; errors.Is(err, operator.ErrUnknown); pause = min(2*pause, maxPause) {
		if !sleep(ctx, pause) {
			return nil, unknown(request, err)
		}
		found, failed := askAny(ctx, clients, func(ctx context.Context, c *operator.Client) (*operator.ChangeAnswer, error) {
			return c.Change(ctx, request)
		})
		switch {
		case failed != nil:
			continue
		case found.Outcome == operator.OutcomeTookEffect:
			return found, nil
		}
		next, failed := askAny(ctx, clients, send)
		if failed != nil && (errors.Is(failed, operator.ErrUnreachable) || errors.Is(failed, operator.ErrUnavailable)) {
			// This one was not sent, but the first may still arrive.
			continue
		}
		answer, err = next, failed
	}
	return answer, err
}

func unknown(request operator.ChangeRequest, cause error) error {
	return &operator.APIError{
		Type:     operator.TypeUnknown,
		ChangeID: request.ChangeID,
		Message: fmt.Sprintf("%v; ask again with: chestnutctl config outcome %s --nonce %s --base %d",
			cause, request.ChangeID, request.Nonce, request.BaseVersion),
	}
}

// spread is what one VM has in force after a change.
type spread struct {
	Server  string `json:"server" yaml:"server"`
	VM      string `json:"vm" yaml:"vm"`
	Version int64  `json:"version" yaml:"version"`
	InForce bool   `json:"in_force" yaml:"in_force"`
	Error   string `json:"error,omitempty" yaml:"error,omitempty"`
}

// follow asks every VM until all have the version in force or the wait is over.
func follow(ctx context.Context, clients []*operator.Client, version int64, wait time.Duration) []spread {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	list := make([]spread, len(clients))
	each(clients, func(i int, c *operator.Client) {
		list[i] = followOne(ctx, c, version)
	})
	return list
}

func followOne(ctx context.Context, c *operator.Client, version int64) spread {
	s := spread{Server: c.Server}
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		in, err := c.InForce(ctx)
		switch {
		case err == nil:
			s.VM, s.Version, s.Error = in.VM, in.Version, ""
			s.InForce = in.Version >= version
		case ctx.Err() == nil || s.VM == "":
			s.Error = err.Error()
		}
		if s.InForce || !sleep(ctx, pause) {
			return s
		}
	}
}

// each calls f for every VM at once and waits for all.
func each(clients []*operator.Client, f func(i int, c *operator.Client)) {
	var group sync.WaitGroup
	for i, c := range clients {
		group.Go(func() { f(i, c) })
	}
	group.Wait()
}

// changed is what a command prints of an accepted change.
type changed struct {
	operator.ChangeAnswer `yaml:",inline"`
	// VMs says where it is in force.
	VMs []spread `json:"vms" yaml:"vms"`
}

// report prints an accepted change and where it is in force.
func (o *options) report(ctx context.Context, clients []*operator.Client, answer *operator.ChangeAnswer, wait time.Duration) error {
	list := follow(ctx, clients, answer.Version, wait)
	t := &table{header: []string{"SERVER", "VM", "VERSION", "IN FORCE", "ERROR"}}
	missing := 0
	for _, s := range list {
		t.add(s.Server, s.VM, s.Version, s.InForce, s.Error)
		if !s.InForce {
			missing++
		}
	}
	fmt.Fprintf(o.errOut, "%s: version %d, digest %s\n", answer.Outcome, answer.Version, answer.Digest)
	if err := o.print(changed{ChangeAnswer: *answer, VMs: list}, t); err != nil {
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
