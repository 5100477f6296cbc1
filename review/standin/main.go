// Command standin runs one case of the review: it plays the users' platform,
// the workers and the consumers, and starts the project's program as separate
// processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	caseTimeout = 115 * time.Second
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name.
var cases = map[string]func(*bench) (verdict, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	b, err := newBench(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(b.run(play))
}

// run plays a case, ends all processes and returns the exit code.
func (b *bench) run(play func(*bench) (verdict, error)) int {
	type outcome struct {
		verdict verdict
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := play(b)
		done <- outcome{v, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	code := exitNotRun
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			b.record("the case could not run: %v", o.err)
		case o.verdict.broken:
			b.record("RULE BROKEN: %s", o.verdict.text)
			code = exitBroken
		default:
			b.record("rule held: %s", o.verdict.text)
			code = exitHeld
		}
	case <-time.After(caseTimeout):
		b.record("the case could not run: it took too long")
	case <-stop:
		b.record("the case could not run: stopped by a signal")
	}
	b.close()
	return code
}
