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
	// trafficDrainTime is how long open steps may run on after the load has ended.
	trafficDrainTime = time.Minute
	maxFailureCauses = 8
)

// Credential is a workspace with its key.
type Credential struct {
	workspace, key string
}

// NewCredential returns the credential of a workspace.
func NewCredential(workspace, key string) Credential {
	return Credential{workspace: workspace, key: key}
}

// TrafficSettings selects the running deployment to send traffic to, the
// credentials to use and the duration.
type TrafficSettings struct {
	// CallerAddresses are the addresses of the daemons' caller listeners, which
	// requests use in turn, as through a load balancer.
	CallerAddresses []string
	Credentials     []Credential
	Document        document.Document
	Seed            uint64
	Duration        time.Duration
}

// FailureCause counts failures with the same text.
type FailureCause struct {
	Text  string `json:"text"`
	Count int    `json:"count"`
}

// TrafficReport holds what the callers of a running deployment measured.
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

// trafficGenerator sends traffic to one running deployment.
type trafficGenerator struct {
	settings  TrafficSettings
	http      *http.Client
	firstStep int64
	rotation

	mu        sync.Mutex
	report    TrafficReport
	latencies *hdrhistogram.Histogram
	failures  map[string]int
}

// GenerateTraffic sends a mixed load to a running deployment: steps of the
// trainers, completions and service calls, for every workspace with a credential.
func GenerateTraffic(ctx context.Context, settings TrafficSettings) TrafficReport {
	g := &trafficGenerator{
		settings: settings, rotation: rotation{addresses: settings.CallerAddresses}, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, firstStep: time.Now().UnixMilli(),
		latencies: hdrhistogram.New(1, maxLatency, histogramDigits), failures: map[string]int{},
	}
	ctx, cancel := context.WithTimeout(ctx, settings.Duration+trafficDrainTime)
	defer cancel()
	sendCtx, stop := context.WithTimeout(ctx, settings.Duration)
	defer stop()
	var pending sync.WaitGroup
	for i, credential := range settings.Credentials {
		pending.Add(1)
		go func() {
			defer pending.Done()
			g.runInteractive(ctx, sendCtx, uint64(i), credential)
		}()
		for _, t := range settings.Document.Trainers {
			if t.Workspace != credential.workspace {
				continue
			}
			pending.Add(1)
			go func() {
				defer pending.Done()
				g.runTrainer(ctx, sendCtx, t, credential)
			}()
		}
	}
	pending.Wait()
	return g.summary()
}

// runTrainer runs steps one after the other until sendCtx is done.
func (g *trafficGenerator) runTrainer(ctx, sendCtx context.Context, t document.Trainer, credential Credential) {
	client := trainer.New(t.Name, credential.key, g.callers()...)
	for number := g.firstStep; sendCtx.Err() == nil; number++ {
		groups := make([]step.Group, trafficGroups)
		for i := range groups {
			groups[i] = step.Group{Prompt: fmt.Sprintf("%s step %d group %d", t.Name, number, i), Samples: trafficSamples, MaxTokens: shortSampleTokens}
		}
		version, err := g.modelVersion(ctx, t.Model, credential)
		if err != nil {
			g.recordFailure("models", err)
			continue
		}
		outcome, err := client.Run(ctx, number, groups, version, nil)
		if err == nil {
			err = client.Acknowledge(ctx, number, nil, true)
		}
		if err != nil {
			g.recordFailure("step", err)
		}
		g.recordStep(outcome)
	}
}

// runInteractive sends completion requests and service calls at exponentially
// distributed intervals.
func (g *trafficGenerator) runInteractive(ctx, sendCtx context.Context, index uint64, credential Credential) {
	random := rand.New(rand.NewPCG(g.settings.Seed, index))
	var pending sync.WaitGroup
	defer pending.Wait()
	services := g.callableServices(credential.workspace)
	for number := 0; ; number++ {
		select {
		case <-sendCtx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() * float64(interactiveInterval))):
		}
		pick := random.IntN(len(g.settings.Document.Models) + len(services))
		pending.Add(1)
		go func() {
			defer pending.Done()
			requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			if pick < len(g.settings.Document.Models) {
				g.sendCompletion(requestCtx, g.settings.Document.Models[pick].Name, number, credential)
				return
			}
			g.sendCall(requestCtx, services[pick-len(g.settings.Document.Models)], number, credential)
		}()
	}
}

func (g *trafficGenerator) callableServices(workspace string) []document.Service {
	var list []document.Service
	for _, s := range g.settings.Document.Services {
		if s.MayBeCalledBy(workspace) {
			list = append(list, s)
		}
	}
	return list
}

func (g *trafficGenerator) sendCompletion(ctx context.Context, model string, number int, credential Credential) {
	start := time.Now()
	in := completionRequest{Model: model, Prompt: fmt.Sprintf("%s asks %d", credential.workspace, number), MaxTokens: interactiveTokens}
	a, err := requestCompletion(ctx, g.http, g.callers()[0], credential.key, in)
	if err == nil && a.tokens != interactiveTokens {
		err = &Error{Op: "load.ask", Kind: sesamepitch.KindCrashed, Err: fmt.Errorf("%d tokens of %d", a.tokens, interactiveTokens)}
	}
	if err != nil {
		g.recordFailure("ask", err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Completions++
	_ = g.latencies.RecordValue(time.Since(start).Microseconds())
}

func (g *trafficGenerator) sendCall(ctx context.Context, service document.Service, number int, credential Credential) {
	key := ""
	if !service.Repeatable {
		key = fmt.Sprintf("load-%d-%d", g.firstStep, number)
	}
	if err := callService(ctx, g.http, g.callers()[0], credential.key, service.Name, key); err != nil {
		g.recordFailure("call", err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Calls++
}

func (g *trafficGenerator) modelVersion(ctx context.Context, model string, credential Credential) (int64, error) {
	list, err := listModels(ctx, g.http, g.callers()[0], credential.key)
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

func (g *trafficGenerator) recordStep(outcome trainer.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Steps++
	g.report.Samples += int64(len(outcome.Samples()))
	g.report.Duplicates += int64(outcome.Duplicates())
	g.report.Resumes += int64(outcome.Resumes())
	g.report.StepSlowest = max(g.report.StepSlowest, outcome.Elapsed())
}

func (g *trafficGenerator) recordFailure(operation string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Failed++
	g.failures[operation+": "+err.Error()]++
}

// summary returns the report with the latencies and the most frequent causes of
// failure.
func (g *trafficGenerator) summary() TrafficReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.report
	t.InteractiveP50 = time.Duration(g.latencies.ValueAtQuantile(medianPercentile)) * time.Microsecond
	t.InteractiveP99 = time.Duration(g.latencies.ValueAtQuantile(tailPercentile)) * time.Microsecond
	t.Causes = []FailureCause{}
	for text, count := range g.failures {
		t.Causes = append(t.Causes, FailureCause{Text: text, Count: count})
	}
	sort.Slice(t.Causes, func(i, j int) bool { return t.Causes[i].Count > t.Causes[j].Count })
	t.Causes = t.Causes[:min(len(t.Causes), maxFailureCauses)]
	return t
}

// PrintTraffic writes the report as a table.
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
