// Package command implements the command line, with one function per command.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Release is the program's version.
const Release = "0.1.0"

const description = `A rollout service for reinforcement learning.

Examples:
  sesamepitch demo
  sesamepitch serve --instance muc-a-1 --data-centre muc-a --platform 127.0.0.1:9000
  sesamepitch get > document.yaml
  sesamepitch apply document.yaml
  sesamepitch key new coaching-1 coaching
  sesamepitch centre out nue-a
  sesamepitch status`

// usageError reports invalid command line arguments or settings.
type usageError struct{ message string }

// Error returns the message.
func (e usageError) Error() string { return e.message }

// environment holds the context and output streams of a command.
type environment struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
}

// Run parses args, runs the command and returns the exit code. SIGINT and
// SIGTERM cancel the command's context.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var options Options
	parser := flags.NewNamedParser("sesamepitch", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		return report(errOut, err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return reportParse(out, errOut, err)
	}
	err := dispatch(environment{ctx: ctx, out: out, errOut: errOut}, parser.Command.Active, &options)
	return report(errOut, err)
}

func reportParse(out, errOut io.Writer, err error) int {
	var parse *flags.Error
	if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, parse.Message)
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "sesamepitch:", err)
	return exitUsage
}

func report(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "sesamepitch:", err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// dispatch runs the command that the parser selected.
func dispatch(env environment, active *flags.Command, o *Options) error {
	switch active.Name {
	case "serve":
		return serve(env, o.Serve)
	case "entry":
		return runEntry(env, o.Entry)
	case "demo":
		return demo(env, o.Demo)
	case "check":
		return check(env, o.Check)
	case "diff":
		return diff(env, o.Diff)
	case "apply":
		return apply(env, o.Apply)
	case "get":
		return get(env, o.Get)
	case "key":
		return key(env, active.Active.Name, o.Key)
	case "centre":
		return setCentre(env, active.Active.Name, o.Centre)
	case "status":
		return status(env, o.Status)
	case "usage":
		return usageWindows(env, o.Usage)
	case "load":
		return runLoad(env, o.Load)
	case "standin":
		return runStandin(env, active.Active.Name, o.Standin)
	default:
		_, err := fmt.Fprintln(env.out, Release)
		return err
	}
}

func newLog(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, nil))
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
