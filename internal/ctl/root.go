package ctl

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Environment variables that are used if the flag is not given.
const (
	envServers = "CHESTNUT_SERVERS"
	envKey     = "CHESTNUT_OPERATOR_KEY"
)

// Defaults of the flags.
const (
	defaultTimeout = 15 * time.Second
	defaultWait    = 5 * time.Second
)

// options are the flags that every command has.
type options struct {
	servers     []string
	keyFile     string
	authority   string
	certificate string
	certKey     string
	timeout     time.Duration
	output      string
	out         io.Writer
	errOut      io.Writer
}

// New returns the command line, which writes to out and errOut.
func New(out, errOut io.Writer) *cobra.Command {
	o := &options{out: out, errOut: errOut}
	root := &cobra.Command{
		Use:           "chestnutctl",
		Short:         "Operate a chestnutarch environment",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return o.validate()
		},
	}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Wrap(ErrUsage, err.Error()) })
	flags := root.PersistentFlags()
	flags.StringSliceVar(&o.servers, "server", nil, "operators' address of an entry VM, `URL`; specify every VM (or set "+envServers+")")
	flags.StringVar(&o.keyFile, "key-file", "", "`file` with the operator's key (or set "+envKey+" to the key itself)")
	flags.StringVar(&o.authority, "authority", "", "`file` with the CA certificates that the VMs' certificates are verified against")
	flags.StringVar(&o.certificate, "certificate", "", "`file` with the operator's certificate, instead of a key")
	flags.StringVar(&o.certKey, "certificate-key", "", "`file` with the certificate's private key")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit for the calls of one command")
	flags.StringVarP(&o.output, "output", "o", outputTable, "output format: table, json or yaml")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON, outputYAML}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(configCommand(o), teamCommand(o), keyCommand(o), statusCommand(o), planCommand(o), drainCommand(o), routeCommand(o), tlsCommand(o), explainCommand(), referenceCommand(o))
	return root
}

// Run executes a command line and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := New(out, errOut)
	root.SetArgs(args)
	command, err := root.ExecuteContextC(ctx)
	if err == nil {
		return ExitOK
	}
	if isUsageError(command, err) {
		err = errors.Wrap(ErrUsage, err.Error())
	}
	_, _ = io.WriteString(errOut, Explain(err))
	return ExitCode(err)
}

// isUsageError recognises cobra's own errors. They have no type, so the checks
// that cobra makes before it runs the command's function are repeated here.
func isUsageError(command *cobra.Command, err error) bool {
	if errors.Is(err, ErrUsage) {
		return false
	}
	if !command.Runnable() || command.ValidateRequiredFlags() != nil {
		return true
	}
	return command.Args != nil && command.Args(command, command.Flags().Args()) != nil
}

func (o *options) validate() error {
	switch o.output {
	case outputTable, outputJSON, outputYAML:
		return nil
	}
	return errors.Wrapf(ErrUsage, "--output %q: expected table, json or yaml", o.output)
}

// group returns a command that only groups subcommands.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short}
	c.AddCommand(commands...)
	return c
}

func readFile(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, errors.Wrap(ErrFile, err.Error())
	}
	return data, nil
}
