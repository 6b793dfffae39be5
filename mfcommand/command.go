// Package mfcommand is mothferry's command line: a table of commands, their
// flags, their output and their exit codes.
package mfcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"mothferry"
	"mothferry/mfoperate"
	"mothferry/mfreport"
	"mothferry/mfyaml"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitInvalid  = 4
	exitNoReply  = 5
)

// operatorVariable names the environment variable with a daemon's operators' address.
const operatorVariable = "MOTHFERRY_OPERATOR"

// defaultOperator is used if neither the flag nor the variable is given.
const defaultOperator = "http://127.0.0.1:7302"

// Environment is what a command line runs in.
type Environment struct {
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
	Clock   mothferry.Clock
	Random  mothferry.Random
	Getenv  func(string) string
	Version string
}

// command is one entry of the table.
type command struct {
	name    string
	aliases []string
	// arguments names what follows the flags.
	arguments string
	help      string
	details   string
	// prepare declares the flags and returns the function that runs the command.
	prepare func(e *Environment, flags *flag.FlagSet) runFunc
}

// runFunc runs a command with what follows its flags.
type runFunc func(ctx context.Context, arguments []string) error

// errUsage reports a command line that cannot be run.
type errUsage struct{ detail string }

// Error implements error.
func (e *errUsage) Error() string { return e.detail }

func commands() []command {
	return []command{
		serveCommand(),
		fleetCommand(),
		playCommand(),
		explainCommand(),
		shardCommand(),
		loadCommand(),
		checkCommand(),
		applyCommand(),
		getCommand(),
		statusCommand(),
		poolCommand(),
		drainCommand(),
		demoCommand(),
		versionCommand(),
	}
}

// Run runs one command line and returns its exit code.
func Run(ctx context.Context, e *Environment, arguments []string) int {
	if len(arguments) == 0 {
		fmt.Fprint(e.Err, Help())
		return exitUsage
	}
	name, rest := arguments[0], arguments[1:]
	if name == "help" || name == "-h" || name == "--help" {
		return help(e, rest)
	}
	c, ok := find(name)
	if !ok {
		fmt.Fprintf(e.Err, "mothferry: there is no command %q; mothferry help lists them\n", name)
		return exitUsage
	}
	flags := newFlags(c, e)
	run := c.prepare(e, flags)
	if err := flags.Parse(rest); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	err := run(ctx, flags.Args())
	if err != nil {
		printError(e, c, err)
	}
	return exitCode(err)
}

func newFlags(c command, e *Environment) *flag.FlagSet {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(e.Err)
	flags.Usage = func() { describe(e.Err, c, flags) }
	return flags
}

func find(name string) (command, bool) {
	for _, c := range commands() {
		if c.name == name || slices.Contains(c.aliases, name) {
			return c, true
		}
	}
	return command{}, false
}

func help(e *Environment, names []string) int {
	if len(names) == 0 {
		fmt.Fprint(e.Out, Help())
		return exitOK
	}
	c, ok := find(names[0])
	if !ok {
		fmt.Fprintf(e.Err, "mothferry: there is no command %q; mothferry help lists them\n", names[0])
		return exitUsage
	}
	flags := newFlags(c, e)
	c.prepare(e, flags)
	describe(e.Out, c, flags)
	return exitOK
}

// Help returns the list of commands.
func Help() string {
	var out strings.Builder
	out.WriteString("mothferry follows service documents: capacity, maintenance and a clean end for every request.\n\nUsage: mothferry COMMAND [flags] [arguments]\n\nCommands:\n")
	for _, c := range commands() {
		name := strings.Join(append([]string{c.name}, c.aliases...), ", ")
		fmt.Fprintf(&out, "  %-12s %s\n", name, c.help)
	}
	out.WriteString("  help         Show this list, or the flags of one command.\n")
	return out.String()
}

func describe(out io.Writer, c command, flags *flag.FlagSet) {
	fmt.Fprintf(out, "Usage: mothferry %s [flags] %s\n\n%s\n", c.name, c.arguments, c.help)
	if c.details != "" {
		fmt.Fprintf(out, "\n%s\n", c.details)
	}
	fmt.Fprintln(out, "\nFlags:")
	flags.SetOutput(out)
	flags.PrintDefaults()
}

// Reference returns the command reference in Markdown, as docs/COMMANDS.md holds it.
func Reference(e *Environment) string {
	var out strings.Builder
	out.WriteString("# Commands\n\nThis page is kept equal to the program by a test.\n\n```\n" + Help() + "```\n")
	for _, c := range commands() {
		flags := newFlags(c, e)
		c.prepare(e, flags)
		fmt.Fprintf(&out, "\n## %s\n\n```\n", c.name)
		describe(&out, c, flags)
		out.WriteString("```\n")
	}
	out.WriteString("\n## Exit codes\n\n| code | meaning |\n| --- | --- |\n")
	for _, k := range []struct {
		code    int
		meaning string
	}{
		{exitOK, "done"},
		{exitFailed, "failed, for a reason that the message gives"},
		{exitUsage, "the command line cannot be run as it is"},
		{exitConflict, "somebody else changed the document first"},
		{exitInvalid, "settings or a document were refused"},
		{exitNoReply, "no daemon, or no platform behind it, replied"},
	} {
		fmt.Fprintf(&out, "| %d | %s |\n", k.code, k.meaning)
	}
	return out.String()
}

func exitCode(err error) int {
	var usage *errUsage
	var conflict *mothferry.ErrDocumentConflict
	var invalid *mfyaml.ErrInvalid
	var unreachable *mfoperate.ErrUnreachable
	var refused *mfoperate.ErrRefused
	var silent *mfreport.ErrNoHostAnswered
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &unreachable), errors.As(err, &silent), errors.As(err, &refused) && refused.Kind == mfoperate.KindUnavailable:
		return exitNoReply
	default:
		return exitFailed
	}
}

// printError prints an error and what to do about it.
func printError(e *Environment, c command, err error) {
	var usage *errUsage
	var conflict *mothferry.ErrDocumentConflict
	switch {
	case errors.As(err, &usage):
		fmt.Fprintf(e.Err, "mothferry %s: %s\nTry: mothferry help %s\n", c.name, usage.detail, c.name)
	case errors.As(err, &conflict):
		fmt.Fprintf(e.Err, "mothferry %s: %s\nWhat differs (- in force, + yours):\n%s", c.name, conflict, conflict.Difference)
		fmt.Fprintf(e.Err, "Read it again with: mothferry get %s\n", conflict.Service)
	default:
		fmt.Fprintf(e.Err, "mothferry %s: %s\n", c.name, message(err))
	}
}

// message returns the innermost typed error's text, without the trace that
// errors gather on their way.
func message(err error) string {
	var invalid *mfyaml.ErrInvalid
	var unreachable *mfoperate.ErrUnreachable
	var refused *mfoperate.ErrRefused
	switch {
	case errors.As(err, &invalid):
		return invalid.Error()
	case errors.As(err, &unreachable):
		return unreachable.Error()
	case errors.As(err, &refused):
		return refused.Error()
	default:
		return err.Error()
	}
}

// operatorFlag declares the flag for a daemon's operators' address.
func operatorFlag(e *Environment, flags *flag.FlagSet) *string {
	address := defaultOperator
	if own := e.Getenv(operatorVariable); own != "" {
		address = own
	}
	return flags.String("operator", address, "operators' address of a daemon; "+operatorVariable+" sets the default")
}

// outputFlag declares the flag for the form of the output.
func outputFlag(flags *flag.FlagSet) *string {
	return flags.String("output", outputText, "form of the output: text or json")
}

// Forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

func checkOutput(output string) error {
	if output != outputText && output != outputJSON {
		return &errUsage{"--output must be text or json"}
	}
	return nil
}

// operatorTimeout bounds one call of a command to a daemon.
const operatorTimeout = 15 * time.Second

func operatorClient(address string) *mfoperate.Client {
	return &mfoperate.Client{URL: strings.TrimSuffix(address, "/"), HTTP: &http.Client{Timeout: operatorTimeout}}
}

// Main runs the process's own command line.
func Main(ctx context.Context, e *Environment) int {
	return Run(ctx, e, os.Args[1:])
}
