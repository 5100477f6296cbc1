package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"sesamepitch/src/deployment"
	"sesamepitch/src/document"
	"sesamepitch/src/standin"
	"sesamepitch/src/step"
	"sesamepitch/src/trainer"

	"github.com/go-logr/logr"
)

const (
	demoTimeout               = 90 * time.Second
	demoTokens                = 24
	demoModel                 = "coach"
	demoCentres               = 2
	demoDaemonsPerCentre      = 2
	demoEnginesPerCentre      = 3
	demoWithdrawalLimit       = 3 * time.Second
	demoUsageTimeout          = 20 * time.Second
	demoMilliPrice            = 1000
	demoReclaimableMilliPrice = 400
)

var errChecksFailed = errors.New("a promise was broken")

// demoSpec describes two data centres with two daemons and three engines each.
func demoSpec() deployment.Spec {
	spec := deployment.Spec{Daemons: demoDaemonsPerCentre, UsageWindow: 2 * time.Second, UsageSettle: time.Second}
	spec.Base = document.Document{
		Workspaces: []document.Workspace{
			{Name: "coaching", Class: document.Training, Weight: 3},
			{Name: "field", Class: document.Interactive, Weight: 1},
		},
		Trainers: []document.Trainer{{Name: "painter", Workspace: "coaching", Model: demoModel, Judge: "rust-judge", MaxLag: 1, StepTime: "60s"}},
		Models:   []document.Model{{Name: demoModel, Version: 1}},
		Services: []document.Service{{Name: "rust-judge", Repeatable: true}},
	}
	for centre := 1; centre <= demoCentres; centre++ {
		name := fmt.Sprintf("muc-%c", 'a'+centre-1)
		spec.Base.DataCentres = append(spec.Base.DataCentres, document.DataCentre{Name: name, Region: "bavaria"})
		for number := 1; number <= demoEnginesPerCentre; number++ {
			spec.Engines = append(spec.Engines, demoEngine(name, number))
		}
	}
	return spec
}

func demoEngine(centreName string, number int) deployment.Engine {
	price, reclaimable := int64(demoMilliPrice), number == demoEnginesPerCentre
	if reclaimable {
		price = demoReclaimableMilliPrice
	}
	return deployment.Engine{
		Endpoint: document.Endpoint{
			Name: fmt.Sprintf("%s-coach-%d", centreName, number), DataCentre: centreName, Model: demoModel,
			Knee: 8, ColdLimit: 2, WarmAfter: 2, ColdTime: "200ms", MilliPrice: price, Reclaimable: reclaimable, ChecksFence: true,
		},
		Settings: standin.EngineSettings{
			Version: 1, TokenTime: 8 * time.Millisecond, PrefillTime: 10 * time.Millisecond, Knee: 8, ColdTime: 200 * time.Millisecond,
			ColdLimit: 2, RestartTime: time.Second, CheckFence: true, SwapTime: 200 * time.Millisecond, CacheSlots: 64,
		},
	}
}

// demoRun holds the state of one demo; failures lists the checks that failed.
type demoRun struct {
	env      environment
	running  *deployment.Deployment
	failures []string
}

func demo(env environment, o DemoOptions) error {
	log := logr.Discard()
	if o.Verbose {
		log = newLog(env.errOut)
	}
	ctx, cancel := context.WithTimeout(env.ctx, demoTimeout)
	defer cancel()
	running, err := deployment.Start(ctx, log, demoSpec())
	if err != nil {
		return err
	}
	defer running.Stop()
	d := &demoRun{env: env, running: running}
	d.printf("started: 1 platform, %d engines, %d judges, %d daemons in %d data centres", demoCentres*demoEnginesPerCentre, demoCentres, demoCentres*demoDaemonsPerCentre, demoCentres)
	withdrawn := make(chan error, 1)
	outcome, err := d.runStep(ctx, o, func() { go func() { withdrawn <- d.withdrawDuringStream(ctx) }() })
	if err != nil {
		return err
	}
	if err := <-withdrawn; err != nil {
		return err
	}
	d.report(outcome, o.Groups*o.Samples)
	d.reportUsage(ctx, outcome)
	if len(d.failures) > 0 {
		d.printf("BROKEN: %s", strings.Join(d.failures, "; "))
		return errChecksFailed
	}
	d.printf("all promises held")
	return nil
}

func (d *demoRun) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.env.out, format+"\n", args...)
}

// runStep runs the step. One engine crashes after a quarter of the samples, when
// onCrash is called too, and new weights are published after half of them.
func (d *demoRun) runStep(ctx context.Context, o DemoOptions, onCrash func()) (trainer.Outcome, error) {
	client := trainer.New("painter", d.running.Key("coaching"), d.running.CallerAddresses()...)
	var groups []step.Group
	for i := range o.Groups {
		groups = append(groups, step.Group{Prompt: fmt.Sprintf("Group %d: prime and coat a railing by the river.", i), Samples: o.Samples, MaxTokens: demoTokens})
	}
	var count atomic.Int64
	total := int64(o.Groups * o.Samples)
	outcome, err := client.Run(ctx, 1, groups, 1, func(step.Sample) {
		switch count.Add(1) {
		case total / 4:
			d.printf("%3d of %d samples: engine muc-a-coach-1 crashes, and a key is withdrawn", total/4, total)
			d.running.Engine("muc-a-coach-1").SetFaults(standin.EngineFaults{Down: true})
			onCrash()
		case total / 2:
			d.printf("%3d of %d samples: weights 2 are published", total/2, total)
			go func() { _ = client.Publish(ctx, demoModel, 2, "weights-2") }()
		case total:
			d.printf("%3d of %d samples", total, total)
		}
	})
	return outcome, err
}

// withdrawDuringStream opens a stream with the key of workspace "field",
// withdraws the key and measures the time until the stream ends.
func (d *demoRun) withdrawDuringStream(ctx context.Context) error {
	instances := d.running.Instances()
	streamEnded := make(chan struct{})
	responded := make(chan struct{})
	go func() {
		defer close(streamEnded)
		body := fmt.Sprintf(`{"model":%q,"prompt":"How long does the primer dry?","max_tokens":4000,"stream":true}`, demoModel)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instances[0].CallerAddress()+"/v1/completions", strings.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer "+d.running.Key("field"))
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		close(responded)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
	}()
	<-responded
	withdrawnAt := time.Now()
	last := instances[len(instances)-1]
	if err := withdrawKey(ctx, last, "field-1"); err != nil {
		return err
	}
	select {
	case <-streamEnded:
		d.printf("the open stream of the withdrawn key ended %s after the withdrawal at %s", time.Since(withdrawnAt).Round(time.Millisecond), last.Name())
	case <-time.After(demoWithdrawalLimit):
		d.failures = append(d.failures, "a withdrawn key's stream went on")
	}
	return nil
}

// report prints the step's outcome and checks it for missing samples, duplicates
// and samples without weight versions.
func (d *demoRun) report(outcome trainer.Outcome, total int) {
	versions, endpoints := map[string]int{}, map[string]int{}
	stale := 0
	for _, sample := range outcome.Samples() {
		versions[fmt.Sprint(sample.Versions)]++
		endpoints[sample.Endpoint]++
		if len(sample.Versions) == 0 {
			stale++
		}
	}
	d.printf("delivered %d of %d samples in %s, doubled %d, resumed %d times", len(outcome.Samples()), total, outcome.Elapsed().Round(time.Millisecond), outcome.Duplicates(), outcome.Resumes())
	d.printf("weight versions: %s", formatCounts(versions))
	d.printf("endpoints: %s", formatCounts(endpoints))
	if len(outcome.Samples()) != total {
		d.failures = append(d.failures, "samples are missing")
	}
	if outcome.Duplicates() > 0 {
		d.failures = append(d.failures, "samples came twice")
	}
	if stale > 0 {
		d.failures = append(d.failures, "samples name no weight versions")
	}
}

func formatCounts(byName map[string]int) string {
	var parts []string
	for name, count := range byName {
		parts = append(parts, fmt.Sprintf("%s: %d", name, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// reportUsage waits until the platform has received the step's usage and compares
// it with the tokens and cost of the samples.
func (d *demoRun) reportUsage(ctx context.Context, outcome trainer.Outcome) {
	var tokens, cost int64
	for _, sample := range outcome.Samples() {
		tokens += int64(sample.Tokens)
		cost += sample.MilliCost
	}
	deadline := time.Now().Add(demoUsageTimeout)
	reported := map[string][2]int64{}
	for time.Now().Before(deadline) && ctx.Err() == nil && reported["coaching"][0] < tokens {
		time.Sleep(200 * time.Millisecond)
		reported = d.reportedUsage()
	}
	for workspace, sums := range reported {
		d.printf("usage of %s: %d tokens, cost %d", workspace, sums[0], sums[1]/demoMilliPrice)
	}
	if reported["coaching"] != [2]int64{tokens, cost} {
		d.failures = append(d.failures, fmt.Sprintf("usage reported %v, delivered %d tokens at %d", reported["coaching"], tokens, cost))
	}
}

// reportedUsage returns the tokens and the cost that the platform accepted, summed
// by workspace.
func (d *demoRun) reportedUsage() map[string][2]int64 {
	sums := map[string][2]int64{}
	for _, report := range d.running.Platform().Journal().Reports {
		if report.Result != standin.ResultAccepted {
			continue
		}
		for _, figure := range report.Figures {
			sum := sums[figure.Workspace]
			sums[figure.Workspace] = [2]int64{sum[0] + figure.Tokens, sum[1] + figure.MilliCost}
		}
	}
	return sums
}
