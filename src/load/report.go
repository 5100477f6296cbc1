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
	maxLatency       = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	percent          = 100.0
	outGracePeriod   = 3 * time.Second
	tailPercentile   = 99
	medianPercentile = 50
)

// recorder collects the measurements of a run.
type recorder struct {
	mu                 sync.Mutex
	elapsed            time.Duration
	steps              []stepRecord
	ended              map[int]time.Duration
	started            time.Time
	tokens             int64
	reclaimableTokens  int64
	milliCost          int64
	lag                int64
	samples            int64
	staleSamples       int64
	interactiveLatency *hdrhistogram.Histogram
	interactiveFailed  int64
	interactiveTokens  map[int]int64
	outCentre          string
	outAt              time.Time
	inAt               time.Time
	samplesAfterOut    int64
	failedSteps        int
}

// stepRecord records one completed step.
type stepRecord struct {
	trainer int
	tokens  int
	elapsed time.Duration
}

func newRecorder() *recorder {
	return &recorder{
		ended: map[int]time.Duration{}, interactiveTokens: map[int]int64{}, started: time.Now(),
		interactiveLatency: hdrhistogram.New(1, maxLatency, histogramDigits),
	}
}

func (r *recorder) recordEnd(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elapsed = elapsed
}

func (r *recorder) recordSample(a completion, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens += int64(a.tokens)
	r.milliCost += a.milliCost
	r.samples++
	if a.reclaimable {
		r.reclaimableTokens += int64(a.tokens)
	}
	if len(a.versions) > 0 {
		lag := version - a.versions[0]
		r.lag += lag
		if lag > 1 {
			r.staleSamples++
		}
	}
	now := time.Now()
	if a.centre == r.outCentre && r.outCentre != "" && now.Sub(r.outAt) > outGracePeriod+time.Second && r.inAt.Before(r.outAt) {
		r.samplesAfterOut++
	}
}

func (r *recorder) recordStep(trainer, tokens int, elapsed time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failedSteps++
		return
	}
	r.steps = append(r.steps, stepRecord{trainer: trainer, tokens: tokens, elapsed: elapsed})
	r.ended[trainer] = time.Since(r.started)
}

func (r *recorder) recordInteractive(i int, a completion, elapsed time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.interactiveFailed++
		return
	}
	r.interactiveTokens[i] += int64(a.tokens)
	_ = r.interactiveLatency.RecordValue(elapsed.Microseconds())
}

func (r *recorder) recordCentre(name string, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outCentre = name
	if out {
		r.outAt = time.Now()
		return
	}
	r.inAt = time.Now()
}

// Report holds the measurements of one run.
type Report struct {
	Preset   string `json:"preset"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Makespan is the time until every trainer has completed all its steps.
	// LowerBound assumes that all training engines run at their knees without
	// interruption, and MakespanRatio is Makespan over LowerBound.
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
	// OracleCost is the lowest possible cost per token for the same streams at the
	// same times, relative to the ordinary price.
	OracleCost float64 `json:"oracle_cost"`
	// Utilization is the number of running streams over the number at the knees of
	// the training engines.
	Utilization   float64 `json:"busy"`
	CacheHits     float64 `json:"cache_hits"`
	WastedTokens  int64   `json:"wasted_tokens"`
	ColdOverloads int     `json:"cold_overloads"`
	Crashes       int     `json:"crashes"`
	// SamplesAfterOut counts samples that the data centre taken out delivered after
	// outGracePeriod and one more second.
	SamplesAfterOut int64 `json:"after_out"`
	// ReportedTokens over DeliveredTokens is one if the usage reports are correct.
	DeliveredTokens int64 `json:"delivered_tokens"`
	ReportedTokens  int64 `json:"reported_tokens"`
	LateReports     int   `json:"reports_late"`
}

// report summarizes the recorded measurements. For the daemons it also waits for
// the usage reports.
func (e *experiment) report(ctx context.Context) Report {
	b := e.recorder
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{
		Preset: e.settings.Preset, Scenario: e.settings.Scenario, Policy: e.settings.Policy, Seed: e.settings.Seed,
		Makespan: b.elapsed, LowerBound: e.lowerBound(), FailedSteps: b.failedSteps, StaleSamples: b.staleSamples, InteractiveFailed: b.interactiveFailed,
		InteractiveP50:  time.Duration(b.interactiveLatency.ValueAtQuantile(medianPercentile)) * time.Microsecond,
		InteractiveP99:  time.Duration(b.interactiveLatency.ValueAtQuantile(tailPercentile)) * time.Microsecond,
		SamplesAfterOut: b.samplesAfterOut, DeliveredTokens: b.tokens,
	}
	r.MakespanRatio = float64(r.Makespan) / float64(r.LowerBound)
	r.MeanLag = ratio(b.lag, b.samples)
	r.CostPerToken = ratio(b.milliCost, b.tokens) / ordinaryMilliPrice
	r.CheapShare = ratio(b.reclaimableTokens, b.tokens)
	r.StepMedian, r.StepWorst = stepTimes(b.steps)
	r.WorstShare = e.worstFairness()
	r.Utilization, r.OracleCost = e.occupancy.utilization(), e.occupancy.oracleCost()
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
	if e.baseline != nil {
		r.WastedTokens = e.baseline.wastedTokens.Load()
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
		times[i] = s.elapsed
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2], times[len(times)-1]
}

// lowerBound returns the time that the training engines need for all tokens of all
// trainers at their knees, without prefill, idle time or faults.
func (e *experiment) lowerBound() time.Duration {
	tokens := 0
	for i := range e.preset.trainers {
		steps := e.settings.Steps
		if e.settings.Scenario == Neighbour && i == 0 {
			steps = 1
		}
		for number := 1; number <= steps; number++ {
			tokens += totalTokens(e.stepGroups(i, number))
		}
	}
	streams := e.preset.trainingEngines * engineKnee
	return time.Duration(tokens) * engineTokenTime / time.Duration(streams)
}

// worstFairness returns the lowest fairness among the trainers. The neighbour
// scenario's first trainer, which sends the excess load, is left out.
func (e *experiment) worstFairness() float64 {
	weights := 0
	for i := range e.preset.trainers {
		weights += e.preset.weights[i]
	}
	worst := 0.0
	for i := range e.preset.trainers {
		if i == 0 && e.settings.Scenario == Neighbour {
			continue
		}
		share := e.fairness(i, weights)
		if worst == 0 || share < worst {
			worst = share
		}
	}
	return worst
}

// fairness returns the mean over a trainer's steps of the fair step time over the
// measured one. The fair time is that of the step's tokens at the trainer's
// weighted share of all streams, plus that of one longest sample, since a sample
// cannot be divided.
func (e *experiment) fairness(trainer, weights int) float64 {
	streams := float64(e.preset.trainingEngines*engineKnee*e.preset.weights[trainer]) / float64(weights)
	sum, count := 0.0, 0
	for _, s := range e.recorder.steps {
		if s.trainer != trainer {
			continue
		}
		fair := float64(s.tokens)*engineTokenTime.Seconds()/streams + (longSampleTokens*engineTokenTime + enginePrefillTime).Seconds()
		sum += fair / s.elapsed.Seconds()
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// reportUsage adds the platform's usage reports to r, for comparison with the tokens
// delivered to trainers. The reports also include the usage of the warm-up, which
// the delivered tokens don't.
func (e *experiment) reportUsage(ctx context.Context, r *Report) {
	select {
	case <-time.After(usageReportTime):
	case <-ctx.Done():
	}
	for _, report := range e.running.Platform().Journal().Reports {
		if report.Result != standin.ResultAccepted {
			continue
		}
		if report.At.Sub(report.End) > usageReportTime {
			r.LateReports++
		}
		for _, figure := range report.Figures {
			r.ReportedTokens += figure.Tokens
		}
	}
}

// PrintReports writes the reports as a table.
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
