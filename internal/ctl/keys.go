package ctl

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/operator"
)

func keyCommand(o *options) *cobra.Command {
	return group("key", "Add and withdraw callers' keys", keyAddCommand(o), keyWithdrawCommand(o), keyDigestCommand(o))
}

// keyDigestCommand reads the key from standard input: as an argument it would
// appear in the shell's history and in the process list.
func keyDigestCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "digest",
		Short: "Print the digest of a key read from standard input",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			line, err := bufio.NewReader(os.Stdin).ReadString('\n')
			key := strings.TrimRight(line, "\r\n")
			if key == "" {
				return errors.Wrapf(ErrUsage, "no key on standard input (%v)", err)
			}
			_, err = fmt.Fprintln(o.out, configstate.DigestKey(key))
			return fileError(err)
		},
	}
}

func keyAddCommand(o *options) *cobra.Command {
	var digest string
	var wait time.Duration
	c := &cobra.Command{
		Use:   "add TEAM KEY_ID --digest DIGEST",
		Short: "Add a key to a team of the accepted document",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			accepted, err := callAnyServer(c.Context(), o, getConfig)
			if err != nil {
				return err
			}
			text, err := document.WithKey([]byte(accepted.Document), args[0], document.Key{ID: args[1], SHA256: digest})
			if err != nil {
				// An error here, such as a team that the document does not list, is
				// reported like a refusal by a server.
				return &operator.APIError{Type: operator.TypeRefused, Message: err.Error()}
			}
			if _, err := document.Parse(text, "document"); err != nil {
				return err
			}
			return o.apply(c.Context(), accepted.Version, string(text), wait)
		},
	}
	c.Flags().StringVar(&digest, "digest", "", "the key's `digest`, as printed by key digest")
	c.Flags().DurationVar(&wait, "wait", defaultWait, "how long to wait until the change is in force at every VM")
	_ = c.MarkFlagRequired("digest")
	return c
}

func keyWithdrawCommand(o *options) *cobra.Command {
	var digest string
	c := &cobra.Command{
		Use:   "withdraw TEAM KEY_ID | withdraw --digest DIGEST",
		Short: "Withdraw a key permanently, at every VM at once",
		Args:  cobra.MaximumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			clients, err := o.clients()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
			defer cancel()
			withdrawn, err := findDigest(ctx, clients, args, digest)
			if err != nil {
				return err
			}
			return o.withdraw(ctx, clients, withdrawn)
		},
	}
	c.Flags().StringVar(&digest, "digest", "", "the key's `digest`, instead of TEAM and KEY_ID")
	return c
}

func findDigest(ctx context.Context, clients []*operator.Client, args []string, digest string) (string, error) {
	if digest != "" {
		if len(args) > 0 || !document.IsDigest(digest) {
			return "", errors.Wrap(ErrUsage, "--digest must be a SHA-256 digest in hexadecimal, without TEAM and KEY_ID")
		}
		return digest, nil
	}
	if len(args) != 2 {
		return "", errors.Wrap(ErrUsage, "expected TEAM and KEY_ID, or --digest")
	}
	accepted, err := callAny(ctx, clients, getConfig)
	if err != nil {
		return "", err
	}
	doc, err := document.Parse([]byte(accepted.Document), "accepted document")
	if err != nil {
		return "", err
	}
	for _, team := range doc.Teams {
		for _, key := range team.Keys {
			if team.Name == args[0] && key.ID == args[1] {
				return key.SHA256, nil
			}
		}
	}
	return "", errors.Wrapf(ErrNoSuchKey, "team %s, key %s", args[0], args[1])
}

// vmWithdrawal is the result of a withdrawal at one VM.
type vmWithdrawal struct {
	Server string `json:"server" yaml:"server"`
	// Refuses means that the VM now refuses the key.
	Refuses bool   `json:"holds" yaml:"holds"`
	Error   string `json:"error,omitempty" yaml:"error,omitempty"`
}

// withdrawalReport is the JSON and YAML output of a withdrawal.
type withdrawalReport struct {
	Digest  string         `json:"digest" yaml:"digest"`
	Durable bool           `json:"durable" yaml:"durable"`
	Version int64          `json:"version,omitempty" yaml:"version,omitempty"`
	Reason  string         `json:"reason,omitempty" yaml:"reason,omitempty"`
	VMs     []vmWithdrawal `json:"vms" yaml:"vms"`
}

// withdraw sends the withdrawal to all VMs concurrently, since the refusal of a
// leaked key must wait neither for the key-value service nor for a VM that does
// not answer. At the same time it asks one VM after another to make the
// withdrawal durable, until one succeeds.
func (o *options) withdraw(ctx context.Context, clients []*operator.Client, digest string) error {
	w := &withdrawalReport{Digest: digest, VMs: make([]vmWithdrawal, len(clients))}
	id := uuid.NewString()
	var group sync.WaitGroup
	group.Go(func() {
		forEachVM(clients, func(i int, c *operator.Client) {
			callCtx, cancel := callContext(ctx)
			defer cancel()
			_, err := c.Withdraw(callCtx, &operator.WithdrawRequest{ChangeID: id, Digests: []string{digest}, HoldOnly: true})
			w.VMs[i] = vmWithdrawal{Server: c.Server, Refuses: err == nil, Error: errorText(err)}
		})
	})
	group.Go(func() { w.makeDurable(ctx, clients, id) })
	group.Wait()
	return o.reportWithdrawal(ctx, clients, w)
}

func (w *withdrawalReport) makeDurable(ctx context.Context, clients []*operator.Client, id string) {
	for _, c := range clients {
		callCtx, cancel := callContext(ctx)
		answer, err := c.Withdraw(callCtx, &operator.WithdrawRequest{ChangeID: id, Digests: []string{w.Digest}})
		cancel()
		if err == nil && answer.Durable {
			w.Durable, w.Version, w.Reason = true, answer.Version, ""
			return
		}
		w.Reason = reasonOf(answer, err)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func reasonOf(answer *operator.WithdrawAnswer, err error) string {
	if err != nil {
		return err.Error()
	}
	return answer.Reason
}

func (o *options) reportWithdrawal(ctx context.Context, clients []*operator.Client, w *withdrawalReport) error {
	unconfirmed := 0
	t := &table{header: []string{"SERVER", "REFUSES THE KEY", "ERROR"}}
	for i := range w.VMs {
		vm := &w.VMs[i]
		// A VM that the direct call did not reach may have received the
		// withdrawal from the key-value service.
		if !vm.Refuses && w.Durable {
			s := waitInForce(ctx, clients[i:i+1], w.Version, defaultWait)[0]
			vm.Refuses, vm.Error = s.InForce, s.Error
		}
		if !vm.Refuses {
			unconfirmed++
		}
		t.addRow(vm.Server, vm.Refuses, vm.Error)
	}
	if err := o.print(w, t); err != nil {
		return err
	}
	switch {
	case unconfirmed == len(clients) && !w.Durable:
		return errors.Wrap(operator.ErrUnreachable, "no VM accepted the withdrawal")
	case !w.Durable:
		fmt.Fprintf(o.errOut, "NOT DURABLE YET: %d of %d VMs refuse the key, but the key-value service does not hold the withdrawal (%s).\n"+
			"It becomes durable by itself when the service is back, as long as one of these VMs runs until then.\n",
			len(clients)-unconfirmed, len(clients), w.Reason)
		return errors.Wrap(ErrPartial, "the withdrawal is not durable yet")
	case unconfirmed > 0:
		return errors.Wrapf(ErrPartial, "accepted as version %d, but %d of %d VMs have not confirmed it", w.Version, unconfirmed, len(clients))
	}
	fmt.Fprintf(o.errOut, "withdrawn permanently: version %d, refused at all %d VMs\n", w.Version, len(clients))
	return nil
}
