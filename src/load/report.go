package load

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"sesamepitch/src/standin"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency  = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
	percent     = 100.0
	outGrace    = 3 * time.Second
	percentile  = 99
	medianPoint = 50
)

// book collects what happens in a run.
type book struct {
	mu        sync.Mutex
	took      time.Duration
	steps     []stepRecord
	ended     map[int]time.Duration
	begun     time.Time
	tokens    int64
	cheap     int64
	milliCost int64
	lag       int64
	samples   int64
	stale     int64
	members   *hdrhistogram.Histogram
	memberBad int64
	memberSum map[int]int64
	outCentre string
	outAt     time.Time
	inAt      time.Time
	afterOut  int64
	failed    int
}

// stepRecord is one step.
type stepRecord struct {
	trainer int
	tokens  int
	took    time.Duration
}

func newBook() *book {
	return &book{
		ended: map[int]time.Duration{}, memberSum: map[int]int64{}, begun: time.Now(),
		members: hdrhistogram.New(1, maxLatency, digits),
	}
}

func (b *book) end(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.took = took
}

func (b *book) sample(a answer, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += int64(a.tokens)
	b.milliCost += a.milliCost
	b.samples++
	if a.cheap {
		b.cheap += int64(a.tokens)
	}
	if len(a.versions) > 0 {
		lag := version - a.versions[0]
		b.lag += lag
		if lag > 1 {
			b.stale++
		}
	}
	now := time.Now()
	if a.centre == b.outCentre && b.outCentre != "" && now.Sub(b.outAt) > outGrace+time.Second && b.inAt.Before(b.outAt) {
		b.afterOut++
	}
}

func (b *book) step(trainer, tokens int, took time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.failed++
		return
	}
	b.steps = append(b.steps, stepRecord{trainer: trainer, tokens: tokens, took: took})
	b.ended[trainer] = time.Since(b.begun)
}

func (b *book) member(i int, a answer, took time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.memberBad++
		return
	}
	b.memberSum[i] += int64(a.tokens)
	_ = b.members.RecordValue(took.Microseconds())
}

func (b *book) centre(name string, out bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outCentre = name
	if out {
		b.outAt = time.Now()
		return
	}
	b.inAt = time.Now()
}

// Report is what one run measured.
type Report struct {
	Preset   string `json:"preset"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Makespan is the time until every trainer had all its steps, and its ratio
	// to the lower bound: the engines full to their knees with nothing else.
	Makespan          time.Duration `json:"makespan"`
	LowerBound        time.Duration `json:"lower_bound"`
	MakespanRatio     float64       `json:"over_bound"`
	StepMedian        time.Duration `json:"step_median"`
	StepWorst         time.Duration `json:"step_worst"`
	FailedSteps       int           `json:"failed_steps"`
	MeanLag           float64       `json:"mean_lag"`
	StaleSamples      int64         `json:"stale_samples"`
	InteractiveP50    time.Duration `json:"member_p50"`
	InteractiveP99    time.Duration `json:"member_p99"`
	InteractiveFailed int64         `json:"member_failed"`
	WorstShare        float64       `json:"worst_share"`
	CostPerToken      float64       `json:"cost_per_token"`
	CheapShare        float64       `json:"cheap_share"`
	// OracleCost is the least cost a token for the same streams at the same times.
	OracleCost float64 `json:"oracle_cost"`
	// Utilization is the share of the training engines' streams that were in use.
	Utilization     float64 `json:"busy"`
	CacheHits       float64 `json:"cache_hits"`
	WastedTokens    int64   `json:"wasted_tokens"`
	ColdOverloads   int     `json:"cold_overloads"`
	Crashes         int     `json:"crashes"`
	SamplesAfterOut int64   `json:"after_out"`
	// ReportedTokens over DeliveredTokens is one if the usage reports are right.
	DeliveredTokens int64 `json:"delivered_tokens"`
	ReportedTokens  int64 `json:"reported_tokens"`
	LateReports     int   `json:"reports_late"`
}

// report sums the book up.
func (e *experiment) report(ctx context.Context) Report {
	b := e.book
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{
		Preset: e.settings.Preset, Scenario: e.settings.Scenario, Policy: e.settings.Policy, Seed: e.settings.Seed,
		Makespan: b.took, LowerBound: e.lowerBound(), FailedSteps: b.failed, StaleSamples: b.stale, InteractiveFailed: b.memberBad,
		InteractiveP50:  time.Duration(b.members.ValueAtQuantile(medianPoint)) * time.Microsecond,
		InteractiveP99:  time.Duration(b.members.ValueAtQuantile(percentile)) * time.Microsecond,
		SamplesAfterOut: b.afterOut, DeliveredTokens: b.tokens,
	}
	r.MakespanRatio = float64(r.Makespan) / float64(r.LowerBound)
	r.MeanLag = ratio(b.lag, b.samples)
	r.CostPerToken = ratio(b.milliCost, b.tokens) / ordinaryPrice
	r.CheapShare = ratio(b.cheap, b.tokens)
	r.StepMedian, r.StepWorst = stepTimes(b.steps)
	r.WorstShare = e.worstShare()
	r.Utilization, r.OracleCost = e.used.busy(), e.used.oracleCost()
	started, hits := 0, 0
	for _, d := range e.running.Document().Endpoints {
		if engine := e.running.Engine(d.Name); engine != nil {
			seen := engine.Stats()
			r.ColdOverloads += seen.ColdOverloads
			r.Crashes += seen.Crashes
			started += seen.Started
			hits += seen.CacheHits
		}
	}
	r.CacheHits = ratio(int64(hits), int64(started))
	if e.base != nil {
		r.WastedTokens = e.base.wasted.Load()
		return r
	}
	e.reportUsage(ctx, &r)
	return r
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func stepTimes(steps []stepRecord) (median, worst time.Duration) {
	if len(steps) == 0 {
		return 0, 0
	}
	times := make([]time.Duration, len(steps))
	for i, s := range steps {
		times[i] = s.took
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2], times[len(times)-1]
}

// lowerBound is the time that the training engines need for all tokens of all
// trainers at their knees, without prefill, gaps or faults.
func (e *experiment) lowerBound() time.Duration {
	tokens := 0
	for i := range e.preset.trainers {
		steps := e.settings.Steps
		if e.settings.Scenario == Neighbour && i == 0 {
			steps = 1
		}
		for number := 1; number <= steps; number++ {
			tokens += tokensOf(e.workOf(i, number))
		}
	}
	streams := e.preset.trainEngine * engineKnee
	return time.Duration(tokens) * engineToken / time.Duration(streams)
}

// worstShare is the least, over the trainers but the greedy neighbour, of the
// step time that a trainer's weighted share of the engines gives over the step
// time it got: its tokens at its share of all streams, and one longest sample,
// since a sample cannot be divided.
func (e *experiment) worstShare() float64 {
	weights := 0
	for i := range e.preset.trainers {
		weights += e.preset.weights[i]
	}
	worst := 0.0
	for i := range e.preset.trainers {
		if i == 0 && e.settings.Scenario == Neighbour {
			continue
		}
		share := e.shareOf(i, weights)
		if worst == 0 || share < worst {
			worst = share
		}
	}
	return worst
}

// shareOf is the mean over a trainer's steps of fair time over time.
func (e *experiment) shareOf(trainer, weights int) float64 {
	streams := float64(e.preset.trainEngine*engineKnee*e.preset.weights[trainer]) / float64(weights)
	sum, count := 0.0, 0
	for _, s := range e.book.steps {
		if s.trainer != trainer {
			continue
		}
		fair := float64(s.tokens)*engineToken.Seconds()/streams + (longSample*engineToken + enginePrefill).Seconds()
		sum += fair / s.took.Seconds()
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// reportUsage compares the platform's reports with what trainers got. The
// windows of the warm-up are part of the reports and not counted here.
func (e *experiment) reportUsage(ctx context.Context, r *Report) {
	select {
	case <-time.After(reportWait):
	case <-ctx.Done():
	}
	for _, report := range e.running.Platform().Journal().Reports {
		if report.Result != standin.ResultAccepted {
			continue
		}
		if report.At.Sub(report.End) > reportWait {
			r.LateReports++
		}
		for _, figure := range report.Figures {
			r.ReportedTokens += figure.Tokens
		}
	}
}

// PrintReports writes reports side by side.
func PrintReports(w io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SCENARIO\tPOLICY\tSEED\tMAKESPAN\tOVER BOUND\tBUSY\tCACHED\tSTEP P50\tMEAN LAG\tSTALE\tMEMBER P50\tMEMBER P99\tMEMBER BAD\tWORST SHARE\tCOST/TOKEN\tORACLE\tCHEAP %\tOVERLOADS\tFAILED STEPS")
	for _, r := range reports {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%.2f\t%.2f\t%.2f\t%s\t%.2f\t%d\t%s\t%s\t%d\t%.2f\t%.3f\t%.3f\t%.0f\t%d\t%d\n",
			r.Scenario, r.Policy, r.Seed, round(r.Makespan), r.MakespanRatio, r.Utilization, r.CacheHits, round(r.StepMedian), r.MeanLag, r.StaleSamples,
			round(r.InteractiveP50), round(r.InteractiveP99), r.InteractiveFailed, r.WorstShare, r.CostPerToken, r.OracleCost, r.CheapShare*percent, r.ColdOverloads, r.FailedSteps)
	}
	return table.Flush()
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
