package command

import (
	"errors"
	"fmt"
	"strings"

	"sesamepitch/src/load"

	"github.com/go-logr/logr"
)

var errLoadFailed = errors.New("requests failed or were doubled")

// generateTraffic sends a mixed load to running daemons and fails if any request
// failed or any sample was delivered twice.
func generateTraffic(env environment, o LoadOptions) error {
	settings := load.TrafficSettings{CallerAddresses: o.Callers, Seed: o.Seed, Duration: o.Length}
	for _, pair := range o.Keys {
		workspace, key, found := strings.Cut(pair, "=")
		if !found || workspace == "" || key == "" {
			return usageError{message: fmt.Sprintf("--key must be WORKSPACE=KEY, not %q", workspace)}
		}
		settings.Credentials = append(settings.Credentials, load.NewCredential(workspace, key))
	}
	if len(settings.Credentials) == 0 {
		return usageError{message: "--callers needs at least one --key WORKSPACE=KEY"}
	}
	current, err := o.client().Document(env.ctx)
	if err != nil {
		return err
	}
	settings.Document = current.Document
	report := load.GenerateTraffic(env.ctx, settings)
	if o.JSON {
		err = printJSON(env.out, report)
	} else {
		err = load.PrintTraffic(env.out, report)
	}
	if err == nil && (report.Failed > 0 || report.Duplicates > 0) {
		err = errLoadFailed
	}
	return err
}

// runLoad runs each policy on the same seeds, or sends traffic to running daemons
// if their addresses are given.
func runLoad(env environment, o LoadOptions) error {
	if len(o.Callers) > 0 {
		return generateTraffic(env, o)
	}
	log := logr.Discard()
	if o.Verbose {
		log = newLog(env.errOut)
	}
	var reports []load.Report
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		for _, policy := range o.Policies {
			report, err := load.Run(env.ctx, log, load.Settings{Preset: o.Preset, Scenario: o.Scenario, Policy: policy, Seed: seed, Steps: o.Steps})
			if err != nil {
				return err
			}
			reports = append(reports, report)
		}
	}
	if o.JSON {
		return printJSON(env.out, reports)
	}
	return load.PrintReports(env.out, reports)
}
