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
	{ExitOK, "done, and in force at every VM that was named", ""},
	{ExitError, "a local failure, such as a file that cannot be read", "nothing was sent; mend it"},
	{ExitUsage, "the command line is wrong", "see `--help`"},
	{ExitRefused, "refused: a rule is broken, the operator is unknown, or what was named does not exist", "nothing was changed; the message says which rule"},
	{ExitConflict, "conflict: another change was accepted first, or this one is known not to have taken effect", "nothing was changed; look at the difference and offer again from the accepted version"},
	{ExitUnknown, "unknown: the change may or may not take effect", "ask again with `config outcome`, as the message says; repeating the command would be a second change"},
	{ExitUnreachable, "unreachable: no VM could be asked, or none reaches the key-value service", "nothing was changed; see kv-outage.md"},
	{ExitPartial, "partial: accepted or held, but not seen in force at every VM, or not durable yet", "look at the table; see keys.md and kv-outage.md"},
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
		"This page is the output of `chestnutctl reference`; a test holds that it is current.\n\n",
		"Name the operators' address of every entry VM, since a command asks any of them for a change and then each of them what it has in force. ",
		"A VM that is down or cut off is passed over. Operators prove themselves with a key, whose digest stands under `operators` in the VMs' settings, ",
		"or with a certificate that the authority under `tls.operators.authority` has signed.\n\n",
		"Shell completion: `chestnutctl completion bash|zsh|fish|powershell`.\n\n## Exit codes\n\n| code | meaning | what to do |\n|---|---|---|\n")
	for _, e := range exitCodes {
		fmt.Fprintf(w, "| %d | %s | %s |\n", e.code, e.meaning, e.next)
	}
	fmt.Fprint(w, "\n## Flags of every command\n")
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
