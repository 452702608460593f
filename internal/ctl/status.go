package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/operator"
)

// teamRow describes one team of the accepted document.
type teamRow struct {
	Team   string   `json:"team" yaml:"team"`
	Weight int64    `json:"weight" yaml:"weight"`
	Rate   int64    `json:"rate" yaml:"rate"`
	Burst  int64    `json:"burst" yaml:"burst"`
	Keys   []string `json:"keys" yaml:"keys"`
}

func teamCommand(o *options) *cobra.Command {
	list := &cobra.Command{
		Use:   "list",
		Short: "List the teams of the accepted document",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			accepted, err := callAnyServer(c.Context(), o, getConfig)
			if err != nil {
				return err
			}
			doc, err := document.Parse([]byte(accepted.Document), "accepted document")
			if err != nil {
				return err
			}
			return o.printTeams(doc, accepted.Withdrawn)
		},
	}
	return group("team", "Inspect the teams", list)
}

func (o *options) printTeams(doc *document.Document, withdrawn []string) error {
	isWithdrawn := make(map[string]bool)
	for _, digest := range withdrawn {
		isWithdrawn[digest] = true
	}
	var lines []teamRow
	t := &table{header: []string{"TEAM", "WEIGHT", "RATE", "BURST", "KEYS"}}
	for _, team := range doc.Teams {
		line := teamRow{Team: team.Name, Weight: team.Weight, Rate: team.Rate, Burst: team.Burst}
		for _, key := range team.Keys {
			id := key.ID
			if isWithdrawn[key.SHA256] {
				id += " (withdrawn)"
			}
			line.Keys = append(line.Keys, id)
		}
		lines = append(lines, line)
		t.addRow(line.Team, line.Weight, line.Rate, line.Burst, strings.Join(line.Keys, ", "))
	}
	return o.print(lines, t)
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show VMs, upstreams, teams and the configuration in force, as reported by one VM",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := callAnyServer(c.Context(), o, func(ctx context.Context, c *operator.Client) (*operator.Status, error) {
				return c.Status(ctx)
			})
			if err != nil {
				return err
			}
			return o.printStatus(status)
		},
	}
}

func (o *options) printStatus(s *operator.Status) error {
	t := &table{header: []string{"WHAT", "NAME", "FAILURE DOMAIN", "STATE", "DETAILS"}}
	inForce := s.InForce
	t.addRow("config", s.VM, "", fmt.Sprintf("version %d", inForce.Version),
		fmt.Sprintf("digest %s, %d keys withdrawn, %d not durable, fresh %t", shortDigest(inForce.Digest), inForce.Withdrawn, inForce.Pending, inForce.Fresh))
	for _, v := range s.VMs {
		t.addRow("vm", v.VM, v.FailureDomain, v.State, fmt.Sprintf("version %d, %d in flight", v.ConfigVersion, v.InFlight))
	}
	for _, u := range s.Upstreams {
		t.addRow(u.Kind, u.Name, u.FailureDomain, u.State,
			fmt.Sprintf("%d running, %d waiting, resident: %s", u.Running, u.Waiting, strings.Join(u.Resident, " ")))
	}
	for _, team := range s.Teams {
		t.addRow("team", team.Team, "", "", fmt.Sprintf("part of rate %.0f, balance %.0f, lent %.0f, %d queued", team.Rate, team.Balance, team.Loans, team.Queued))
	}
	return o.print(s, t)
}

func planCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "plan",
		Short: "Show the planner's current plan and the reason for each step",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			plan, err := callAnyServer(c.Context(), o, func(ctx context.Context, c *operator.Client) (*operator.Plan, error) {
				return c.Plan(ctx)
			})
			if err != nil {
				return err
			}
			return o.printPlan(plan)
		},
	}
}

func (o *options) printPlan(p *operator.Plan) error {
	fmt.Fprintf(o.errOut, "leader %s, fence %d, made at %s\n", p.Leader, p.Fence, p.MadeAt)
	t := &table{header: []string{"WHAT", "ENGINE", "ITEM", "STATE", "WHY"}}
	for _, e := range p.Engines {
		t.addRow("engine", e.Engine, strings.Join(e.Resident, " "),
			fmt.Sprintf("%s of %s", document.Bytes(e.Allowed), document.Bytes(e.Memory)), "")
	}
	for _, s := range p.Steps {
		t.addRow(s.Kind, s.Engine, s.Item+"@"+s.Version, s.State, s.Reason)
	}
	return o.print(p, t)
}

func drainCommand(o *options) *cobra.Command {
	var undo bool
	var wait time.Duration
	c := &cobra.Command{
		Use:   "drain NAME",
		Short: "Stop sending new work to an upstream or VM and let running work finish",
		Long: `Stop sending new work to an upstream or VM and let running work finish.

An upstream is drained by a change of the document, so that the drain applies at
every VM and in the planner and persists across restarts. A VM drains only itself:
NAME must be the VM that --server specifies.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			accepted, err := callAnyServer(c.Context(), o, getConfig)
			if err != nil {
				return err
			}
			text, err := document.WithDraining([]byte(accepted.Document), args[0], !undo)
			switch {
			case err == nil:
				return o.apply(c.Context(), accepted.Version, string(text), wait)
			case errors.Is(err, document.ErrNoUpstream):
				return o.drainVM(c.Context(), args[0], undo)
			}
			return err
		},
	}
	c.Flags().BoolVar(&undo, "undo", false, "end the drain and allow new work again")
	c.Flags().DurationVar(&wait, "wait", defaultWait, "how long to wait until the change is in force at every VM")
	return c
}

func (o *options) drainVM(ctx context.Context, vm string, undo bool) error {
	answer, err := callAnyServer(ctx, o, func(ctx context.Context, c *operator.Client) (*operator.DrainAnswer, error) {
		return c.Drain(ctx, &operator.DrainRequest{Target: vm, Undo: undo})
	})
	if err != nil {
		return err
	}
	t := &table{header: []string{"TARGET", "STILL RUNNING"}}
	t.addRow(answer.Target, answer.InFlight)
	return o.print(answer, t)
}
