package command

import (
	"sesamepitch/src/load"

	"github.com/go-logr/logr"
)

// runLoad runs the policies in turn on the same seeds.
func runLoad(env environment, o LoadOptions) error {
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
	return load.Print(env.out, reports)
}
