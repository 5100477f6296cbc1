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
	demoTime        = 90 * time.Second
	demoTokens      = 24
	demoModel       = "coach"
	demoCentres     = 2
	demoDaemons     = 2
	demoEngines     = 3
	demoWithdrawMax = 3 * time.Second
	demoReportTime  = 20 * time.Second
	demoPrice       = 1000
	demoCheapPrice  = 400
)

var errBroken = errors.New("a promise was broken")

// demoSpec is two data centres with two daemons and three engines each.
func demoSpec() deployment.Spec {
	spec := deployment.Spec{Daemons: demoDaemons, UsageWindow: 2 * time.Second, UsageSettle: time.Second}
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
		for number := 1; number <= demoEngines; number++ {
			spec.Engines = append(spec.Engines, demoEngine(name, number))
		}
	}
	return spec
}

func demoEngine(centreName string, number int) deployment.Engine {
	price, cheap := int64(demoPrice), number == demoEngines
	if cheap {
		price = demoCheapPrice
	}
	return deployment.Engine{
		Endpoint: document.Endpoint{
			Name: fmt.Sprintf("%s-coach-%d", centreName, number), DataCentre: centreName, Model: demoModel,
			Knee: 8, ColdLimit: 2, WarmAfter: 2, ColdTime: "200ms", MilliPrice: price, Reclaimable: cheap, ChecksFence: true,
		},
		Settings: standin.EngineSettings{
			Version: 1, TokenTime: 8 * time.Millisecond, PrefillTime: 10 * time.Millisecond, Knee: 8, ColdTime: 200 * time.Millisecond,
			ColdLimit: 2, RestartTime: time.Second, CheckFence: true, SwapTime: 200 * time.Millisecond, CacheSlots: 64,
		},
	}
}

// demonstration is a running demo.
type demonstration struct {
	env     environment
	running *deployment.Deployment
	broken  []string
}

func demo(env environment, o DemoOptions) error {
	log := logr.Discard()
	if o.Verbose {
		log = newLog(env.errOut)
	}
	ctx, cancel := context.WithTimeout(env.ctx, demoTime)
	defer cancel()
	running, err := deployment.Start(ctx, log, demoSpec())
	if err != nil {
		return err
	}
	defer running.Stop()
	d := &demonstration{env: env, running: running}
	d.say("started: 1 platform, %d engines, %d judges, %d daemons in %d data centres", demoCentres*demoEngines, demoCentres, demoCentres*demoDaemons, demoCentres)
	withdrawn := make(chan error, 1)
	outcome, err := d.runStep(ctx, o, func() { go func() { withdrawn <- d.withdrawWhileOpen(ctx) }() })
	if err != nil {
		return err
	}
	if err := <-withdrawn; err != nil {
		return err
	}
	d.report(outcome, o.Groups*o.Samples)
	d.reportUsage(ctx, outcome)
	if len(d.broken) > 0 {
		d.say("BROKEN: %s", strings.Join(d.broken, "; "))
		return errBroken
	}
	d.say("all promises held")
	return nil
}

func (d *demonstration) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.env.out, format+"\n", args...)
}

// runStep runs the step; amid it one engine crashes, new weights are
// published, and whatever more is given.
func (d *demonstration) runStep(ctx context.Context, o DemoOptions, amid func()) (trainer.Outcome, error) {
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
			d.say("%3d of %d samples: engine muc-a-coach-1 crashes, and a key is withdrawn", total/4, total)
			d.running.Engine("muc-a-coach-1").SetFaults(standin.EngineFaults{Down: true})
			amid()
		case total / 2:
			d.say("%3d of %d samples: weights 2 are published", total/2, total)
			go func() { _ = client.Publish(ctx, demoModel, 2, "weights-2") }()
		case total:
			d.say("%3d of %d samples", total, total)
		}
	})
	return outcome, err
}

// withdrawWhileOpen opens a stream with the field's key, withdraws the key and
// measures how long the stream goes on.
func (d *demonstration) withdrawWhileOpen(ctx context.Context) error {
	instances := d.running.Instances()
	ended := make(chan struct{})
	begun := make(chan struct{})
	go func() {
		defer close(ended)
		body := fmt.Sprintf(`{"model":%q,"prompt":"How long does the primer dry?","max_tokens":4000,"stream":true}`, demoModel)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instances[0].CallerAddress()+"/v1/completions", strings.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer "+d.running.Key("field"))
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		close(begun)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
	}()
	<-begun
	started := time.Now()
	last := instances[len(instances)-1]
	if err := withdrawKey(ctx, last, "field-1"); err != nil {
		return err
	}
	select {
	case <-ended:
		d.say("the open stream of the withdrawn key ended %s after the withdrawal at %s", time.Since(started).Round(time.Millisecond), last.Name())
	case <-time.After(demoWithdrawMax):
		d.broken = append(d.broken, "a withdrawn key's stream went on")
	}
	return nil
}

// report prints the step's outcome and checks it.
func (d *demonstration) report(outcome trainer.Outcome, wanted int) {
	versions, endpoints := map[string]int{}, map[string]int{}
	stale := 0
	for _, sample := range outcome.Samples() {
		versions[fmt.Sprint(sample.Versions)]++
		endpoints[sample.Endpoint]++
		if len(sample.Versions) == 0 {
			stale++
		}
	}
	d.say("delivered %d of %d samples in %s, doubled %d, resumed %d times", len(outcome.Samples()), wanted, outcome.Elapsed().Round(time.Millisecond), outcome.Duplicates(), outcome.Resumes())
	d.say("weight versions: %s", counts(versions))
	d.say("endpoints: %s", counts(endpoints))
	if len(outcome.Samples()) != wanted {
		d.broken = append(d.broken, "samples are missing")
	}
	if outcome.Duplicates() > 0 {
		d.broken = append(d.broken, "samples came twice")
	}
	if stale > 0 {
		d.broken = append(d.broken, "samples name no weight versions")
	}
}

func counts(of map[string]int) string {
	var parts []string
	for name, count := range of {
		parts = append(parts, fmt.Sprintf("%s: %d", name, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// reportUsage waits until the platform has the step's usage, and compares.
func (d *demonstration) reportUsage(ctx context.Context, outcome trainer.Outcome) {
	var tokens, cost int64
	for _, sample := range outcome.Samples() {
		tokens += int64(sample.Tokens)
		cost += sample.MilliCost
	}
	limit := time.Now().Add(demoReportTime)
	reported := map[string][2]int64{}
	for time.Now().Before(limit) && ctx.Err() == nil && reported["coaching"][0] < tokens {
		time.Sleep(200 * time.Millisecond)
		reported = d.reportedUsage()
	}
	for workspace, sums := range reported {
		d.say("usage of %s: %d tokens, cost %d", workspace, sums[0], sums[1]/demoPrice)
	}
	if reported["coaching"] != [2]int64{tokens, cost} {
		d.broken = append(d.broken, fmt.Sprintf("usage reported %v, delivered %d tokens at %d", reported["coaching"], tokens, cost))
	}
}

// reportedUsage sums the reports by workspace: tokens and cost.
func (d *demonstration) reportedUsage() map[string][2]int64 {
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
