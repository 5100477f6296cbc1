package instance

import (
	"net/http"
	"strconv"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/invariant"
	"sesamepitch/src/memory"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the instance's Prometheus metrics.
type metrics struct {
	registry  *prometheus.Registry
	responses *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
	rewards   *prometheus.HistogramVec
}

func newMetrics(i *Instance) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesamepitch_answers_total", Help: "Callers' requests by method and status.",
		}, []string{"method", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sesamepitch_answer_seconds", Help: "Time of callers' requests by method.",
			Buckets: prometheus.ExponentialBuckets(0.002, 3, 9),
		}, []string{"method"}),
		rewards: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sesamepitch_reward_call_seconds", Help: "Time of reward calls by outcome: scored, or the kind of error.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
		}, []string{"outcome"}),
	}
	m.registry.MustRegister(m.responses, m.seconds, m.rewards, collectors.NewGoCollector())
	m.gauge("sesamepitch_config_version", "Version of the configuration in force.", func() float64 { return float64(i.configVersion()) })
	m.gauge("sesamepitch_driver", "Whether this instance drives the jobs.", func() float64 {
		if _, _, held := i.lease.Held(); held {
			return 1
		}
		return 0
	})
	m.gauge("sesamepitch_endpoints", "Endpoints known.", func() float64 { return float64(len(i.registry.All())) })
	for _, share := range i.memory.Shares() {
		m.share("sesamepitch_memory_held_bytes", "Reserved memory by share.", share, share.Held)
		m.share("sesamepitch_memory_limit_bytes", "Size of each share of the memory.", share, share.Limit)
		m.share("sesamepitch_memory_refused", "Reservations that did not fit since the start, by share.", share, share.Refused)
	}
	m.gauge("sesamepitch_log_lines_dropped", "Log lines dropped since the start.", func() float64 { return float64(i.logWriter.Dropped()) })
	m.gauge("sesamepitch_limited_endpoints", "Endpoints that name a rate limit.", func() float64 { return float64(i.limits.Limited()) })
	for _, purpose := range sesamepitch.Purposes {
		m.counter("sesamepitch_endpoint_requests_total", "Requests to endpoints by purpose.", purpose, func() int { all, _, _ := i.limits.Sent(purpose); return all })
		m.counter("sesamepitch_limited_endpoint_requests_total", "Requests to endpoints with a limited rate, by purpose.", purpose, func() int { _, limited, _ := i.limits.Sent(purpose); return limited })
		m.counter("sesamepitch_denied_endpoint_requests_total", "Requests not sent since the endpoint's rate did not allow them, by purpose.", purpose, func() int { _, _, denied := i.limits.Sent(purpose); return denied })
	}
	for _, name := range invariant.Names {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sesamepitch_invariant_violations_total", Help: "Defects of this program, by invariant.",
			ConstLabels: prometheus.Labels{"invariant": name},
		}, func() float64 { return float64(i.checks.Violations()[name]) }))
	}
	return m
}

func (m *metrics) counter(name, help string, purpose sesamepitch.Purpose, value func() int) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: name, Help: help, ConstLabels: prometheus.Labels{"purpose": string(purpose)},
	}, func() float64 { return float64(value()) }))
}

// share adds a gauge of a share of the memory.
func (m *metrics) share(name, help string, share *memory.Share, value func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name, Help: help, ConstLabels: prometheus.Labels{"share": share.Name()},
	}, func() float64 { return float64(value()) }))
}

func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// observeReward counts and times one try of a reward call.
func (m *metrics) observeReward(kind sesamepitch.Kind, latency time.Duration) {
	outcome := "scored"
	if kind != "" {
		outcome = string(kind)
	}
	m.rewards.WithLabelValues(outcome).Observe(latency.Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and sends it.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// instrument counts and times the responses of a handler.
func (m *metrics) instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		m.responses.WithLabelValues(r.Method, strconv.Itoa(recorder.status)).Inc()
		m.seconds.WithLabelValues(r.Method).Observe(time.Since(start).Seconds())
	})
}
