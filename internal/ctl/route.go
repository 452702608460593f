package ctl

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/operator"
)

// routeQuestion holds the flags of route explain.
type routeQuestion struct {
	vm, model string
	parts     []string
	deadline  time.Duration
	question  operator.RouteQuestion
}

func routeCommand(o *options) *cobra.Command {
	return group("route", "Ask where requests go", routeExplainCommand(o))
}

func routeExplainCommand(o *options) *cobra.Command {
	q := &routeQuestion{}
	c := &cobra.Command{
		Use:   "explain",
		Short: "Explain where a request would go now, and why, without sending it",
		Long: `Explain where a request would go now, and why, without sending it.

Asks one chestnut-vm, which decides as it would for a caller's request and keeps
nothing of it: no upstream, rate or counter changes. Another VM may decide
otherwise. The table lists the upstreams of each service of the route by cost, the
chosen one with a star, then those that cannot be chosen, each with the reasons.

The VM has to list the operator's key (chestnut-vm --operators FILE).`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			explanation, err := o.askRoute(c, q)
			if err != nil {
				return err
			}
			return o.printRoute(explanation)
		},
	}
	flags := c.Flags()
	flags.StringVar(&q.vm, "vm", "", "`address` of the VM that is asked: IP:port of its metrics, or a URL")
	flags.StringVar(&q.question.Route, "route", "", "`name` of the route, instead of --host and --path")
	flags.StringVar(&q.question.Host, "host", "", "`host` that the caller names")
	flags.StringVar(&q.question.Path, "path", "", "`path` that the caller names")
	flags.StringVar(&q.question.Team, "team", "", "`team` that would hold the key; the key itself is not needed")
	flags.StringVar(&q.model, "model", "", "`MODEL[/ADAPTER]`, for services with engines")
	flags.IntVar(&q.question.PromptTokens, "prompt-tokens", 0, "`number` of tokens of the prompt")
	flags.IntVar(&q.question.OutputTokens, "output-tokens", 0, "largest `number` of tokens that may be generated")
	flags.StringArrayVar(&q.parts, "part", nil, "`ID:TOKENS` of a part of the prompt; repeat it for each part, in order")
	flags.DurationVar(&q.deadline, "deadline", 0, "the caller's timeout; without one, that of the route")
	_ = c.MarkFlagRequired("vm")
	return c
}

func (o *options) askRoute(c *cobra.Command, q *routeQuestion) (*operator.RouteExplanation, error) {
	if err := q.complete(); err != nil {
		return nil, err
	}
	address := q.vm
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	clients, err := o.newClients([]string{address}, o.keyFile)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
	defer cancel()
	return clients[0].ExplainRoute(ctx, &q.question)
}

// complete fills in what is not a flag of its own. Errors are ErrUsage, wrapped.
func (q *routeQuestion) complete() error {
	if q.question.Route == "" && (q.question.Host == "" || q.question.Path == "") {
		return errors.Wrap(ErrUsage, "give --route, or --host and --path")
	}
	if q.question.Route != "" && (q.question.Host != "" || q.question.Path != "") {
		return errors.Wrap(ErrUsage, "give --route, or --host and --path, not both")
	}
	if q.question.PromptTokens < 0 || q.question.OutputTokens < 0 || q.deadline < 0 {
		return errors.Wrap(ErrUsage, "--prompt-tokens, --output-tokens and --deadline must not be negative")
	}
	q.question.Model, q.question.Adapter, _ = strings.Cut(q.model, "/")
	q.question.DeadlineMs = float64(q.deadline) / float64(time.Millisecond)
	for _, text := range q.parts {
		part, err := parsePart(text)
		if err != nil {
			return err
		}
		q.question.Parts = append(q.question.Parts, part)
	}
	return nil
}

// parsePart reads ID:TOKENS.
func parsePart(text string) (operator.PromptPart, error) {
	i := strings.LastIndexByte(text, ':')
	if i <= 0 {
		return operator.PromptPart{}, errors.Wrapf(ErrUsage, "--part %q: expected ID:TOKENS", text)
	}
	tokens, err := strconv.Atoi(text[i+1:])
	if err != nil || tokens < 0 {
		return operator.PromptPart{}, errors.Wrapf(ErrUsage, "--part %q: expected a number of tokens after the colon", text)
	}
	return operator.PromptPart{ID: text[:i], Tokens: tokens}, nil
}

func (o *options) printRoute(e *operator.RouteExplanation) error {
	if o.output == outputTable {
		writeRouteSummary(o.out, e)
	}
	t := &table{header: []string{"SERVICE", "RANK", "UPSTREAM", "DOMAIN", "REGION", "COST", "START", "CACHED", "IN FLIGHT", "OTHER VMS", "PREFILL", "WHY"}}
	for _, s := range e.Services {
		for _, c := range s.Candidates {
			t.addRow(s.Service, rankText(c), c.Upstream, c.FailureDomain, c.Region, costText(c, s.CostUnit), startText(c), c.CachedTokens,
				fmt.Sprintf("%d of %d", c.InFlight, c.Slots), c.InFlightOtherVMs, c.PrefillTokens, whyText(c))
		}
	}
	return o.print(e, t)
}

func rankText(c operator.RouteCandidate) string {
	rank := "-"
	if c.Rank > 0 {
		rank = strconv.Itoa(c.Rank)
	}
	if c.Chosen {
		rank += "*"
	}
	return rank
}

func costText(c operator.RouteCandidate, unit string) string {
	switch {
	case c.Rank == 0:
		return "-"
	case unit == "ms":
		return durationText(c.Cost)
	}
	return strconv.FormatFloat(c.Cost, 'f', 3, 64)
}

func startText(c operator.RouteCandidate) string {
	if c.Rank == 0 {
		return "-"
	}
	return durationText(c.StartMs)
}

func whyText(c operator.RouteCandidate) string {
	var out []string
	if c.Preferred {
		out = append(out, "preferred")
	}
	if c.LastChoice {
		out = append(out, "last_choice")
	}
	for _, r := range c.Reasons {
		text := r.Cause
		if r.LeftMs > 0 {
			text += " (" + durationText(r.LeftMs) + ")"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}

// durationText writes a time without digits that nobody reads.
func durationText(ms float64) string {
	d := time.Duration(ms * float64(time.Millisecond))
	if d < 10*time.Millisecond {
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(time.Millisecond).String()
}
