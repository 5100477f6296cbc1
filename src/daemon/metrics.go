package daemon

import (
	"net/http"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/centre"
	"sesamepitch/src/document"
	"sesamepitch/src/peer"
	"sesamepitch/src/pool"
	"sesamepitch/src/step"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the daemon's Prometheus metrics.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesamepitch_requests_total", Help: "Callers' requests by route and kind of error.",
		}, []string{"route", "kind"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sesamepitch_request_seconds", Help: "Time of callers' requests by route.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 10),
		}, []string{"route"}),
	}
	m.registry.MustRegister(m.requests, m.seconds, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Request implements entry.Observer.
func (m *metrics) Request(route string, kind sesamepitch.Kind, duration time.Duration) {
	label := string(kind)
	if label == "" {
		label = "none"
	}
	m.requests.WithLabelValues(route, label).Inc()
	m.seconds.WithLabelValues(route).Observe(duration.Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

func (m *metrics) counter(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// registerComponents adds the metrics of the daemon's components.
func (m *metrics) registerComponents(clock sesamepitch.Clock, holder *document.Holder, node *centre.Node, owner *pool.Owner, steps *step.Manager, traffic *peer.Traffic) {
	m.gauge("sesamepitch_config_version", "Version of the document in force.", func() float64 {
		return float64(holder.Current().Version())
	})
	m.gauge("sesamepitch_contact_age_seconds", "Time since all that the platform's table held was known.", func() float64 {
		synced, _ := node.Contact()
		return clock.Now().Sub(synced).Seconds()
	})
	m.gauge("sesamepitch_leader", "Whether this daemon leads its data centre.", func() float64 {
		if node.IsLeader() {
			return 1
		}
		return 0
	})
	m.gauge("sesamepitch_queued_requests", "Requests that wait for a stream here.", func() float64 {
		queued := 0
		for _, cell := range owner.Status() {
			queued += cell.Queued
		}
		return float64(queued)
	})
	m.gauge("sesamepitch_steps_driven", "Steps that this daemon drives.", func() float64 { return float64(steps.Running()) })
	m.counter("sesamepitch_peer_sent_bytes_total", "Bytes sent to other daemons.", func() float64 { return float64(traffic.Sent()) })
	m.counter("sesamepitch_peer_received_bytes_total", "Bytes received from other daemons.", func() float64 { return float64(traffic.Received()) })
}
