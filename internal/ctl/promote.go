package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/operator"
)

func promoteCommand(o *options) *cobra.Command {
	var from []string
	var fromKey string
	var wait time.Duration
	c := &cobra.Command{
		Use:   "promote --from URL,...",
		Short: "Promote the models and routes of another environment to this one",
		Long: "Collect the document in force and its evidence from every VM of another environment\n" +
			"and submit its models and routes to this one. They are accepted only if the evidence\nmeets the promotion thresholds in that document.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.promote(c.Context(), from, fromKey, wait)
		},
	}
	c.Flags().StringSliceVar(&from, "from", nil, "operators' address of every entry VM of the other environment, `URL`")
	c.Flags().StringVar(&fromKey, "from-key-file", "", "`file` with the operator's key for the other environment; the default is the key for this one")
	c.Flags().DurationVar(&wait, "wait", defaultWait, "how long to wait until the change is in force at every VM")
	_ = c.MarkFlagRequired("from")
	return c
}

func (o *options) promote(ctx context.Context, from []string, fromKey string, wait time.Duration) error {
	if fromKey == "" {
		fromKey = o.keyFile
	}
	sources, err := o.newClients(from, fromKey)
	if err != nil {
		return err
	}
	clients, err := o.clients()
	if err != nil {
		return err
	}
	changeCtx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	text, evidence, err := collectEvidence(changeCtx, sources)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.errOut, "evidence of %s: digest %s, in force %s, %d requests, %d attained, %d failed\n",
		evidence.Environment, evidence.Digest, evidence.InForce().Round(time.Second), evidence.Requests, evidence.Attained, evidence.Failed)
	accepted, err := callAny(changeCtx, clients, getConfig)
	if err != nil {
		return err
	}
	request := &operator.PromoteRequest{ChangeRequest: newChangeRequest(accepted.Version), Document: text, Evidence: *evidence}
	answer, err := o.change(changeCtx, clients, request.ChangeRequest, func(ctx context.Context, c *operator.Client) (*operator.ChangeAnswer, error) {
		return c.Promote(ctx, request)
	})
	if err != nil {
		return err
	}
	return o.reportChange(ctx, clients, answer, wait)
}

// collectEvidence combines the evidence of all VMs. It fails if one does not
// answer, since that VM may have served the requests that failed.
func collectEvidence(ctx context.Context, sources []*operator.Client) (string, *configstate.Evidence, error) {
	parts := make([]configstate.Evidence, len(sources))
	texts := make([]string, len(sources))
	failures := make([]error, len(sources))
	forEachVM(sources, func(i int, c *operator.Client) {
		proof, err := c.Proof(ctx)
		if err != nil {
			failures[i] = err
			return
		}
		parts[i], texts[i] = proof.Evidence, proof.Document
	})
	for _, err := range failures {
		if err != nil {
			return "", nil, err
		}
	}
	combined, err := configstate.CombineEvidence(parts)
	if err != nil {
		return "", nil, &operator.APIError{Type: operator.TypeRefused, Message: errors.Cause(err).Error()}
	}
	return texts[0], combined, nil
}
