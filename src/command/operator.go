package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/deployment"
	"sesamepitch/src/document"
	"sesamepitch/src/notice"
	"sesamepitch/src/operator"

	"github.com/goccy/go-yaml"
)

const (
	keyBytes       = 24
	keyPrefix      = "sp-"
	versionComment = "# version:"
	tablePadding   = 2
	noBaseVersion  = -1
	stdinFileName  = "-"
)

func (r Remote) client() *operator.Client { return operator.NewClient(r.Address, r.Token) }

func readFile(name string) ([]byte, error) {
	if name == stdinFileName {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func check(env environment, o CheckOptions) error {
	content, err := readFile(o.Args.File)
	if err != nil {
		return err
	}
	d, err := document.Parse(content)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.out, "ok: %d workspaces, %d keys, %d endpoints\n", len(d.Workspaces), len(d.Keys), len(d.Endpoints))
	return err
}

func diff(env environment, o DiffOptions) error {
	content, err := readFile(o.Args.File)
	if err != nil {
		return err
	}
	differences, err := o.client().Diff(env.ctx, content)
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(env.out, differences)
	}
	for _, change := range differences.Changes {
		if _, err := fmt.Fprintln(env.out, change); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(env.out, "%d changes to version %d\n", len(differences.Changes), differences.Version)
	return err
}

// baseVersion returns the version in the document's "# version:" line, or
// noBaseVersion if there is none.
func baseVersion(content []byte) int64 {
	first, _, _ := bytes.Cut(content, []byte("\n"))
	text, found := strings.CutPrefix(string(first), versionComment)
	if !found {
		return noBaseVersion
	}
	version, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return noBaseVersion
	}
	return version
}

func apply(env environment, o ApplyOptions) error {
	content, err := readFile(o.Args.File)
	if err != nil {
		return err
	}
	base := o.Base
	if base < 0 {
		base = baseVersion(content)
	}
	confirmation, err := o.client().Apply(env.ctx, content, base, o.Author)
	if err != nil {
		return err
	}
	return printConfirmation(env, o.Remote, fmt.Sprintf("version %d accepted", confirmation.Version), confirmation)
}

func printConfirmation(env environment, r Remote, action string, c operator.Confirmation) error {
	if r.JSON {
		return printJSON(env.out, c)
	}
	scope := fmt.Sprintf("in force at %d instances", len(c.Confirmed))
	if c.Local {
		scope = "known here and to reachable peers only"
	}
	if _, err := fmt.Fprintf(env.out, "%s, %s\n", action, scope); err != nil {
		return err
	}
	for _, name := range c.Unconfirmed {
		if _, err := fmt.Fprintln(env.out, "not confirmed:", name); err != nil {
			return err
		}
	}
	return nil
}

func get(env environment, o GetOptions) error {
	versioned, err := o.client().Document(env.ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(env.out, versioned)
	}
	content, err := yaml.MarshalWithOptions(versioned.Document, yaml.UseJSONMarshaler())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.out, "%s %d\n%s", versionComment, versioned.Version, content)
	return err
}

func key(env environment, action string, o KeyOptions) error {
	if action == "withdraw" {
		return withdraw(env, o.Withdraw)
	}
	secret := make([]byte, keyBytes)
	if _, err := rand.Read(secret); err != nil {
		return err
	}
	plainKey := keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	_, err := fmt.Fprintf(env.out, "key, shown once: %s\nfor the document:\n  - name: %s\n    workspace: %s\n    hash: %s\n",
		plainKey, o.New.Args.Name, o.New.Args.Workspace, sesamepitch.KeyHash(plainKey))
	return err
}

func withdraw(env environment, o KeyWithdrawOptions) error {
	if (o.Args.Name == "") == (o.Hash == "") {
		return usageError{message: "key withdraw: give either NAME or --hash"}
	}
	confirmation, err := o.client().Withdraw(env.ctx, operator.Withdrawal{Name: o.Args.Name, Hash: o.Hash})
	if err != nil {
		return err
	}
	return printConfirmation(env, o.Remote, "withdrawn", confirmation)
}

func setCentre(env environment, action string, o CentreOptions) error {
	chosen, state := o.Out, notice.Out
	if action == notice.In {
		chosen, state = o.In, notice.In
	}
	confirmation, err := chosen.client().SetCentre(env.ctx, operator.CentreState{Name: chosen.Args.Name, State: state})
	if err != nil {
		return err
	}
	return printConfirmation(env, chosen.Remote, chosen.Args.Name+" is "+state, confirmation)
}

func status(env environment, o StatusOptions) error {
	s, err := o.client().Status(env.ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(env.out, s)
	}
	table := tabwriter.NewWriter(env.out, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintf(table, "instance\t%s\ndata centre\t%s\nleader\t%t\ndocument\t%d\ncontact\t%s ago\nplatform\t%s\nout\t%s\n\n",
		s.Instance, s.Centre, s.Leader, s.Config, s.ContactAge, s.Platform, strings.Join(s.CentresOut, " "))
	_, _ = fmt.Fprintln(table, "DATA CENTRE\tINSTANCE\tDOCUMENT\tNOTICES\tLEADS")
	for _, c := range s.DataCentres {
		for _, m := range c.Members {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%t\n", c.Centre, m.ID, m.Config, m.Batches, m.ID == c.Leader)
		}
	}
	_, _ = fmt.Fprintln(table, "\nPOOL\tCELL\tQUEUED\tENDPOINT\tRUNNING\tLIMIT\tWEIGHTS\tTOKEN\tBROKEN")
	for _, cell := range s.Cells {
		for _, e := range cell.Endpoints {
			_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%d\t%d\t%d\t%s\t%t\n", cell.Pool, cell.Index, cell.Queued, e.Name, e.Running, e.Limit, e.Version, time.Duration(e.TokenMicros)*time.Microsecond, e.Broken)
		}
	}
	return table.Flush()
}

func usageWindows(env environment, o UsageOptions) error {
	windows, err := o.client().Usage(env.ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(env.out, windows)
	}
	table := tabwriter.NewWriter(env.out, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(table, "WINDOW\tSTART\tREPORTED\tWORKSPACE\tREQUESTS\tTOKENS\tMILLI COST")
	for _, w := range windows {
		for _, f := range w.Figures {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%d\t%d\t%d\n", w.ID, w.Start.Format("15:04:05"), w.Reported, f.Workspace, f.Requests, f.Tokens, f.MilliCost)
		}
	}
	return table.Flush()
}

// withdrawKey withdraws a key through an instance of a local deployment.
func withdrawKey(ctx context.Context, instance *deployment.Instance, name string) error {
	_, err := instance.Operator().Withdraw(ctx, operator.Withdrawal{Name: name})
	return err
}
