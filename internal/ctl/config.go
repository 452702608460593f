package ctl

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/operator"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

func configCommand(o *options) *cobra.Command {
	return group("config", "Validate, change and inspect the environment document",
		validateCommand(o), diffCommand(o), applyCommand(o), getCommand(o), historyCommand(o), promoteCommand(o), outcomeCommand(o))
}

func validateCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Validate a document without contacting any VM",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			doc, err := parseFile(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(o.out, "%s: valid: %d teams, %d models, %d engines, release %s\n",
				args[0], len(doc.Teams), len(doc.Models), len(doc.Engines), doc.ReleaseDigest())
			return nil
		},
	}
}

func parseFile(name string) (*document.Document, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(data, name)
	if err != nil {
		return nil, err
	}
	return doc, placement.CheckFits(doc)
}

func diffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show the changes that a document would make to the accepted one",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			wanted, err := parseFile(args[0])
			if err != nil {
				return err
			}
			accepted, err := callAnyServer(c.Context(), o, getConfig)
			if err != nil {
				return err
			}
			doc, err := document.Parse([]byte(accepted.Document), "accepted document")
			if err != nil {
				return err
			}
			fmt.Fprintf(o.errOut, "from version %d%s\n", accepted.Version, fallbackNote(accepted))
			return o.printChanges(document.Diff(doc, wanted))
		},
	}
}

func (o *options) printChanges(changes []document.Change) error {
	t := &table{header: []string{"KIND", "PATH", "BEFORE", "AFTER"}}
	for _, c := range changes {
		t.addRow(c.Kind, c.Path, c.Before, c.After)
	}
	return o.print(changes, t)
}

func getConfig(ctx context.Context, c *operator.Client) (*operator.Config, error) {
	return c.Config(ctx)
}

// fallbackNote returns a warning if the configuration is the one in force at a
// VM because the key-value service could not be read, else "".
func fallbackNote(c *operator.Config) string {
	if c.FromVM == "" {
		return ""
	}
	return " (the key-value service cannot be read; this is in force at " + c.FromVM + ")"
}

func applyCommand(o *options) *cobra.Command {
	var base int64
	var wait time.Duration
	c := &cobra.Command{
		Use:   "apply FILE --base VERSION",
		Short: "Submit a document that is based on an accepted version",
		Long: "Submit a document that is based on an accepted version (0 for the first document).\n" +
			"If another version has been accepted since, nothing is changed and the difference is shown.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := parseFile(args[0]); err != nil {
				return err
			}
			text, err := readFile(args[0])
			if err != nil {
				return err
			}
			return o.apply(c.Context(), base, string(text), wait)
		},
	}
	c.Flags().Int64Var(&base, "base", 0, "`version` that the document is based on")
	c.Flags().DurationVar(&wait, "wait", defaultWait, "how long to wait until the change is in force at every VM")
	_ = c.MarkFlagRequired("base")
	return c
}

func (o *options) apply(ctx context.Context, base int64, text string, wait time.Duration) error {
	clients, err := o.clients()
	if err != nil {
		return err
	}
	request := &operator.ApplyRequest{ChangeRequest: newChangeRequest(base), Document: text}
	changeCtx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	answer, err := o.change(changeCtx, clients, request.ChangeRequest, func(ctx context.Context, c *operator.Client) (*operator.ChangeAnswer, error) {
		return c.Apply(ctx, request)
	})
	if err != nil {
		return err
	}
	return o.reportChange(ctx, clients, answer, wait)
}

func getCommand(o *options) *cobra.Command {
	var version int64
	var file string
	c := &cobra.Command{
		Use:   "get",
		Short: "Print the accepted document, or an earlier version of it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := callAnyServer(c.Context(), o, func(ctx context.Context, c *operator.Client) (*operator.Config, error) {
				if version > 0 {
					return c.Version(ctx, version)
				}
				return c.Config(ctx)
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(o.errOut, "version %d, digest %s%s\n", config.Version, config.Digest, fallbackNote(config))
			return o.printDocument(config, file)
		},
	}
	c.Flags().Int64Var(&version, "version", 0, "print an earlier `version`; 0 is the accepted one")
	c.Flags().StringVar(&file, "file", "", "write the document to a `file`")
	return c
}

func (o *options) printDocument(config *operator.Config, file string) error {
	if file != "" {
		const mode = 0o600
		return errors.Wrap(fileError(os.WriteFile(file, []byte(config.Document), mode)), file)
	}
	if o.output != outputTable {
		return o.print(config, nil)
	}
	_, err := fmt.Fprint(o.out, config.Document)
	return fileError(err)
}

func fileError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(ErrFile, err.Error())
}

func historyCommand(o *options) *cobra.Command {
	var limit int
	c := &cobra.Command{
		Use:   "history",
		Short: "List accepted versions, newest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := callAnyServer(c.Context(), o, func(ctx context.Context, c *operator.Client) ([]*operator.Config, error) {
				return c.History(ctx, limit)
			})
			if err != nil {
				return err
			}
			t := &table{header: []string{"VERSION", "ACCEPTED", "AUTHOR", "DIGEST", "WITHDRAWN", "PROMOTED FROM", "CHANGE"}}
			for _, v := range list {
				from := ""
				if v.Promotion != nil {
					from = v.Promotion.Environment
				}
				t.addRow(v.Version, v.AcceptedAt.Format(time.RFC3339), v.Author, shortDigest(v.Digest), len(v.Withdrawn), from, v.ChangeID)
			}
			return o.print(list, t)
		},
	}
	const defaultLimit = 20
	c.Flags().IntVar(&limit, "limit", defaultLimit, "maximum number of `versions` to list")
	return c
}

// shortDigest truncates a digest for tables.
func shortDigest(digest string) string {
	const length = 12
	return digest[:min(length, len(digest))]
}

func outcomeCommand(o *options) *cobra.Command {
	var nonce string
	var base int64
	c := &cobra.Command{
		Use:   "outcome CHANGE_ID --nonce NONCE --base VERSION",
		Short: "Look up a change whose outcome was reported as unknown",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			request := operator.ChangeRequest{ChangeID: args[0], Nonce: nonce, BaseVersion: base}
			answer, err := callAnyServer(c.Context(), o, func(ctx context.Context, c *operator.Client) (*operator.ChangeAnswer, error) {
				return c.Change(ctx, request)
			})
			if err != nil {
				return err
			}
			t := &table{header: []string{"OUTCOME", "VERSION", "DIGEST"}}
			t.addRow(answer.Outcome, answer.Version, shortDigest(answer.Digest))
			if err := o.print(answer, t); err != nil {
				return err
			}
			return outcomeError(request, answer)
		},
	}
	c.Flags().StringVar(&nonce, "nonce", "", "the change's nonce")
	c.Flags().Int64Var(&base, "base", 0, "`version` that the change is based on")
	_ = c.MarkFlagRequired("nonce")
	_ = c.MarkFlagRequired("base")
	return c
}

func outcomeError(request operator.ChangeRequest, answer *operator.ChangeAnswer) error {
	switch answer.Outcome {
	case operator.OutcomeTookEffect:
		return nil
	case operator.OutcomeDidNotTakeEffect:
		return &operator.APIError{Type: operator.TypeConflict, Message: "the change did not take effect and will not", ChangeID: request.ChangeID}
	}
	return unknownOutcome(request, operator.ErrUnknown)
}
