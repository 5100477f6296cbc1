package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/step"
	"sesamepitch/src/trainer"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	trafficGroups  = 8
	trafficSamples = 4
	// Steps that are open when the time is over are finished within this time.
	trafficFinish = time.Minute
	maxCauses     = 8
)

// Credential is a workspace's key.
type Credential struct {
	workspace, key string
}

// NewCredential returns the key of a workspace.
func NewCredential(workspace, key string) Credential {
	return Credential{workspace: workspace, key: key}
}

// TrafficSettings say which running deployment to drive, and for how long.
type TrafficSettings struct {
	// CallerAddresses are the daemons' addresses for callers; each request goes to the
	// next of them, as a balancer would send it.
	CallerAddresses []string
	Credentials     []Credential
	Document        document.Document
	Seed            uint64
	Duration        time.Duration
}

// FailureCause counts failures that read the same.
type FailureCause struct {
	Text  string `json:"text"`
	Count int    `json:"count"`
}

// TrafficReport is what the callers of a running deployment saw.
type TrafficReport struct {
	Completions    int64          `json:"asked"`
	Calls          int64          `json:"called"`
	Steps          int64          `json:"steps"`
	Samples        int64          `json:"samples"`
	Duplicates     int64          `json:"doubled"`
	Resumes        int64          `json:"resumes"`
	Failed         int64          `json:"failed"`
	InteractiveP50 time.Duration  `json:"member_p50"`
	InteractiveP99 time.Duration  `json:"member_p99"`
	StepSlowest    time.Duration  `json:"step_slowest"`
	Causes         []FailureCause `json:"causes"`
}

// driver drives one running deployment.
type driver struct {
	settings TrafficSettings
	http     *http.Client
	first    int64
	rotation

	mu      sync.Mutex
	seen    TrafficReport
	members *hdrhistogram.Histogram
	causes  map[string]int
}

// GenerateTraffic sends a mixed load to a running deployment: steps of the trainers,
// completions and calls of services, for every workspace whose key is given.
func GenerateTraffic(ctx context.Context, settings TrafficSettings) TrafficReport {
	d := &driver{
		settings: settings, rotation: rotation{addresses: settings.CallerAddresses}, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, first: time.Now().UnixMilli(),
		members: hdrhistogram.New(1, maxLatency, digits), causes: map[string]int{},
	}
	ctx, cancel := context.WithTimeout(ctx, settings.Duration+trafficFinish)
	defer cancel()
	sending, stop := context.WithTimeout(ctx, settings.Duration)
	defer stop()
	var open sync.WaitGroup
	for i, credential := range settings.Credentials {
		open.Add(1)
		go func() {
			defer open.Done()
			d.interact(ctx, sending, uint64(i), credential)
		}()
		for _, t := range settings.Document.Trainers {
			if t.Workspace != credential.workspace {
				continue
			}
			open.Add(1)
			go func() {
				defer open.Done()
				d.train(ctx, sending, t, credential)
			}()
		}
	}
	open.Wait()
	return d.traffic()
}

// train runs one step after the other until sending ends.
func (d *driver) train(ctx, sending context.Context, t document.Trainer, credential Credential) {
	client := trainer.New(t.Name, credential.key, d.callers()...)
	for number := d.first; sending.Err() == nil; number++ {
		groups := make([]step.Group, trafficGroups)
		for g := range groups {
			groups[g] = step.Group{Prompt: fmt.Sprintf("%s step %d group %d", t.Name, number, g), Samples: trafficSamples, MaxTokens: shortSample}
		}
		version, err := d.modelVersion(ctx, t.Model, credential)
		if err != nil {
			d.fail("models", err)
			continue
		}
		outcome, err := client.Run(ctx, number, groups, version, nil)
		if err == nil {
			err = client.Acknowledge(ctx, number, nil, true)
		}
		if err != nil {
			d.fail("step", err)
		}
		d.noteStep(outcome)
	}
}

// interact sends completions and calls at random times.
func (d *driver) interact(ctx, sending context.Context, index uint64, credential Credential) {
	random := rand.New(rand.NewPCG(d.settings.Seed, index))
	var open sync.WaitGroup
	defer open.Wait()
	services := d.servicesOf(credential.workspace)
	for number := 0; ; number++ {
		select {
		case <-sending.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(memberEvery))):
		}
		pick := random.IntN(len(d.settings.Document.Models) + len(services))
		open.Add(1)
		go func() {
			defer open.Done()
			asking, cancel := context.WithTimeout(ctx, askLimit)
			defer cancel()
			if pick < len(d.settings.Document.Models) {
				d.ask(asking, d.settings.Document.Models[pick].Name, number, credential)
				return
			}
			d.call(asking, services[pick-len(d.settings.Document.Models)], number, credential)
		}()
	}
}

func (d *driver) servicesOf(workspace string) []document.Service {
	var list []document.Service
	for _, s := range d.settings.Document.Services {
		if s.MayBeCalledBy(workspace) {
			list = append(list, s)
		}
	}
	return list
}

func (d *driver) ask(ctx context.Context, model string, number int, credential Credential) {
	begun := time.Now()
	in := question{Model: model, Prompt: fmt.Sprintf("%s asks %d", credential.workspace, number), MaxTokens: memberTokens}
	a, err := askDaemon(ctx, d.http, d.callers()[0], credential.key, in)
	if err == nil && a.tokens != memberTokens {
		err = &Error{Op: "load.ask", Kind: sesamepitch.KindCrashed, Err: fmt.Errorf("%d tokens of %d", a.tokens, memberTokens)}
	}
	if err != nil {
		d.fail("ask", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen.Completions++
	_ = d.members.RecordValue(time.Since(begun).Microseconds())
}

func (d *driver) call(ctx context.Context, service document.Service, number int, credential Credential) {
	key := ""
	if !service.Repeatable {
		key = fmt.Sprintf("load-%d-%d", d.first, number)
	}
	if err := callDaemon(ctx, d.http, d.callers()[0], credential.key, service.Name, key); err != nil {
		d.fail("call", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen.Calls++
}

func (d *driver) modelVersion(ctx context.Context, model string, credential Credential) (int64, error) {
	list, err := listModels(ctx, d.http, d.callers()[0], credential.key)
	if err != nil {
		return 0, err
	}
	for _, m := range list.Data {
		if m.ID == model {
			return m.Version, nil
		}
	}
	return 0, &Error{Op: "load.models", Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("no model %q", model)}
}

func (d *driver) noteStep(outcome trainer.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen.Steps++
	d.seen.Samples += int64(len(outcome.Samples()))
	d.seen.Duplicates += int64(outcome.Duplicates())
	d.seen.Resumes += int64(outcome.Resumes())
	d.seen.StepSlowest = max(d.seen.StepSlowest, outcome.Elapsed())
}

func (d *driver) fail(operation string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen.Failed++
	d.causes[operation+": "+err.Error()]++
}

// traffic sums up, with the most frequent causes of failures.
func (d *driver) traffic() TrafficReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.seen
	t.InteractiveP50 = time.Duration(d.members.ValueAtQuantile(medianPoint)) * time.Microsecond
	t.InteractiveP99 = time.Duration(d.members.ValueAtQuantile(percentile)) * time.Microsecond
	t.Causes = []FailureCause{}
	for text, count := range d.causes {
		t.Causes = append(t.Causes, FailureCause{Text: text, Count: count})
	}
	sort.Slice(t.Causes, func(i, j int) bool { return t.Causes[i].Count > t.Causes[j].Count })
	t.Causes = t.Causes[:min(len(t.Causes), maxCauses)]
	return t
}

// PrintTraffic writes what the callers saw.
func PrintTraffic(w io.Writer, t TrafficReport) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "COMPLETIONS\tCALLS\tSTEPS\tSAMPLES\tDOUBLED\tRESUMES\tFAILED\tMEMBER P50\tMEMBER P99\tSLOWEST STEP")
	_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", t.Completions, t.Calls, t.Steps, t.Samples, t.Duplicates, t.Resumes,
		t.Failed, round(t.InteractiveP50), round(t.InteractiveP99), round(t.StepSlowest))
	for _, cause := range t.Causes {
		_, _ = fmt.Fprintf(table, "%d times: %s\n", cause.Count, cause.Text)
	}
	return table.Flush()
}
