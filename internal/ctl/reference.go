package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// exitCodes describes the exit codes for the reference.
var exitCodes = []struct {
	code    int
	meaning string
	next    string
}{
	{ExitOK, "success; a change is in force at every VM that was specified", ""},
	{ExitError, "a local failure, such as a file that cannot be read", "nothing was sent; fix the cause"},
	{ExitUsage, "the command line is wrong", "see `--help`"},
	{ExitRefused, "refused: a rule is broken, the operator is unknown, or a named object does not exist", "nothing was changed; the message names the rule"},
	{ExitConflict, "conflict: another change was accepted first, or this one is known not to have taken effect", "nothing was changed; review the difference and submit again, based on the accepted version"},
	{ExitUnknown, "unknown: the change may or may not take effect", "look up the outcome with `config outcome`, as shown in the message; repeating the command would be a second change"},
	{ExitUnreachable, "unreachable: no VM could be reached, or none can reach the key-value service", "nothing was changed; see kv-outage.md"},
	{ExitPartial, "partial: the change is accepted, or a withdrawal is held by some VMs, but it was not seen in force at every VM or is not durable yet", "check the printed table; see keys.md and kv-outage.md"},
}

// referenceCommand prints the content of docs/operators/chestnutctl.md. A test
// checks that the two are equal.
func referenceCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "reference",
		Short: "Print the reference of all commands in Markdown",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			writeReference(o.out, c.Root())
			return nil
		},
	}
}

func writeReference(w io.Writer, root *cobra.Command) {
	fmt.Fprint(w, "# chestnutctl\n\n",
		"This page is the output of `chestnutctl reference`; a test checks that it is current.\n\n",
		"Specify the operators' address of every entry VM: a command sends a change to any one of them and then queries each of them for the version in force. ",
		"A VM that is down or unreachable, or that cannot reach what the call needs, is skipped. Operators authenticate with a key, whose digest is listed under `operators` in the VMs' settings, ",
		"or with a certificate signed by the authority under `tls.operators.authority`.\n\n",
		"Shell completion: `chestnutctl completion bash|zsh|fish|powershell`.\n\n## Exit codes\n\n| code | meaning | what to do |\n|---|---|---|\n")
	for _, e := range exitCodes {
		fmt.Fprintf(w, "| %d | %s | %s |\n", e.code, e.meaning, e.next)
	}
	fmt.Fprint(w, "\n## Global flags\n")
	writeFlags(w, root.PersistentFlags())
	fmt.Fprint(w, "\n## Commands\n")
	walk(root, func(c *cobra.Command) { writeCommand(w, c) })
}

func writeCommand(w io.Writer, c *cobra.Command) {
	path := strings.TrimSuffix(c.CommandPath(), c.Name())
	fmt.Fprintf(w, "\n### %s\n\n`%s%s`\n\n%s.\n", strings.TrimPrefix(c.CommandPath(), "chestnutctl "), path, c.Use, c.Short)
	if c.Long != "" {
		fmt.Fprintf(w, "\n%s\n", c.Long)
	}
	writeFlags(w, c.LocalNonPersistentFlags())
}

func writeFlags(w io.Writer, flags *pflag.FlagSet) {
	heading := "\n| flag | meaning | default |\n|---|---|---|\n"
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Name == "help" {
			return
		}
		fmt.Fprint(w, heading)
		heading = ""
		name := "--" + f.Name
		if f.Shorthand != "" {
			name = "-" + f.Shorthand + ", " + name
		}
		_, usage := pflag.UnquoteUsage(f)
		fmt.Fprintf(w, "| `%s` | %s | %s |\n", name, usage, strings.Trim(f.DefValue, "[]"))
	})
}

// walk visits every runnable command below c, except for completion and help,
// which cobra adds.
func walk(c *cobra.Command, visit func(*cobra.Command)) {
	for _, child := range c.Commands() {
		if child.Name() == "completion" || child.Name() == "help" {
			continue
		}
		if child.Runnable() {
			visit(child)
		}
		walk(child, visit)
	}
}
