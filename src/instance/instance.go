// Package instance assembles the parts of an entry instance on the users'
// platform and runs them.
package instance

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/rpc"
	"runtime/debug"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/billing"
	"sesamepitch/src/caller"
	"sesamepitch/src/departure"
	"sesamepitch/src/driver"
	"sesamepitch/src/eventlog"
	"sesamepitch/src/gateway"
	"sesamepitch/src/invariant"
	"sesamepitch/src/lease"
	"sesamepitch/src/memory"
	"sesamepitch/src/peer"
	"sesamepitch/src/quarantine"
	"sesamepitch/src/ratelimit"
	"sesamepitch/src/registry"
	"sesamepitch/src/relay"
	"sesamepitch/src/scaling"
	"sesamepitch/src/site"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than any idle timeout that operators may configure.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is larger than any limit that operators may configure. The
	// connections and the handler enforce the configured limit.
	maxHeaderBytes = 1 << 20
	// heapShare is the share of the memory limit that is the garbage collector's
	// soft limit.
	heapShare = 0.6
	// cleanupInterval is the time between closing connections to removed endpoints.
	cleanupInterval = 5 * time.Second
	// followBaseInterval plus followIntervalPerInstance for each instance is the
	// minimum time between an instance's polls of the endpoint table.
	followBaseInterval = 60 * time.Millisecond
	followPerInstance  = 2 * time.Millisecond
)

// Instance is an entry instance.
type Instance struct {
	settings  site.Settings
	adapter   Adapter
	clock     sesamepitch.Clock
	logWriter *eventlog.Writer
	log       logr.Logger
	registry  *registry.Registry
	members   *registry.Members
	store     *relay.Store
	peers     *peer.Dialer
	rpc       *rpc.Server
	lease     *lease.Lease
	driver    *driver.Driver
	hinter    *driver.Hinter
	gateway   *gateway.Gateway
	endpoints Endpoints
	limits    *ratelimit.Gate
	// departures keeps requests from endpoints that are leaving.
	departures *departure.Gate
	meter      *billing.Meter
	reporter   *billing.Reporter
	scaler     *scaling.Scaler
	metrics    *metrics
	checks     *invariant.Recorder
	memory     *memory.Account
	draining   atomic.Bool
	isolation  *isolation
	pauses     *pauseGuard
	suspects   *quarantine.List
	// callers is set once the instance serves.
	callers *caller.Listener
}

// New returns an instance that logs to out.
func New(settings site.Settings, adapter Adapter, out io.Writer, newLog func(io.Writer) logr.Logger) (*Instance, error) {
	clock := adapter.Clock
	logWriter := eventlog.New(clock, out)
	i := &Instance{
		settings: settings, adapter: adapter, clock: clock, logWriter: logWriter,
		log:       newLog(logWriter).WithValues("instance", settings.Instance),
		rpc:       rpc.NewServer(),
		isolation: newIsolation(clock),
		pauses:    newPauseGuard(clock),
		suspects:  quarantine.New(clock),
		memory:    memory.New(settings.MemoryBytes),
	}
	i.peers = peer.NewDialer(settings.Source, peer.WithMemory(i.memory.Peers()), peer.WithMaxConnections(descriptorsFor(settings.Descriptors, peerDescriptors)))
	// net/http and net/rpc report failed connections to the standard logger. The
	// code at each end of a connection logs the effects itself.
	log.SetOutput(io.Discard)
	debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryBytes)))
	i.checks = invariant.New(i.log)
	i.registry = registry.New(clock, adapter.Decoder, registry.WithDrainTime(settings.Bounds.Drain))
	i.departures = departure.New(clock, i.log, i.registry)
	i.store = relay.New(clock, i.log, adapter.Store, i.peers, func() []string { return i.members.Peers() })
	i.members = registry.NewMembers(clock, i.log, i.store, settings.Instance, settings.Centre, settings.Peers, settings.Cores, settings.Seeds, i.suspects)
	if err := relay.Register(i.rpc, i.store); err != nil {
		return nil, err
	}
	i.build()
	if err := driver.Register(i.rpc, i.driver); err != nil {
		return nil, err
	}
	if err := ratelimit.Register(i.rpc, i.limits); err != nil {
		return nil, err
	}
	return i, nil
}

// build creates the parts that serve callers and drive jobs.
func (i *Instance) build() {
	s := i.settings
	i.lease = driver.NewLease(i.clock, i.store, s.Instance, s.Peers, s.Bounds.Lease)
	i.limits = ratelimit.New(i.clock, i.log, ratelimit.NewStatements(i.clock, i.log), i.lease, i.members, i.peers, ratelimit.WithColdRate(i.coldRate), ratelimit.WithChecks(i.checks))
	i.members.ShareLimits(i.limits)
	i.members.ShareLeaving(i.departures)
	i.endpoints = i.adapter.Connect(gates{i.departures, i.limits}, i.memory.Answers())
	i.metrics = newMetrics(i)
	ledger := batch.NewLedger(i.clock, i.store, batch.WithRowBytes(s.RowBytes), batch.WithMemory(i.memory.Bodies()))
	guard := lease.NewTransport(i.lease, s.Source)
	writer := s.Instance + "@" + i.clock.Now().Format("150405.000")
	i.meter = billing.NewMeter(i.clock, i.log, i.store, s.Bounds.ReportWindow, writer)
	calls := i.adapter.FencedCalls(guard)
	i.scaler = scaling.New(i.clock, i.log, i.store, i.registry, calls, i.lease.ForFencedCalls(), s.Instance, scaling.WithLimits(
		func(service string) bool { return i.driver.ShortOfRate(service) },
		func(e registry.Endpoint) bool { return i.limits.Named(e.ID, e.Born) },
	))
	i.reporter = billing.NewReporter(i.clock, i.log, i.store, calls, i.lease.ForFencedCalls(), s.Instance, s.Bounds.ReportWindow, s.Bounds.UsageLate, billing.WithChecks(i.checks))
	i.gateway = gateway.New(i.clock, i.log, i.registry, i.endpoints.Forward, ledger, i.meter, s.Centre, s.Region, gateway.WithChecks(i.checks), gateway.WithNotify(func(header batch.Header) { i.hinter.Notify(header) }), gateway.WithConnectivity(i.isolation), gateway.WithFreshness(i.pauses.isFresh), gateway.WithQuarantine(i.suspects), gateway.WithRateLimiter(i.limits), gateway.WithPageMemory(i.memory.Answers()))
	i.driver = driver.New(i.clock, i.log, i.store, ledger, i.registry, i.endpoints.Engines, i.endpoints.Control(guard), i.gateway, i.lease, s.Instance, i.members, driver.WithChecks(i.checks), driver.WithRetention(s.Bounds.Status), driver.WithPeers(i.peers), driver.WithRewardObserver(i.metrics.observeReward), driver.WithRateLimiter(i.limits), driver.WithMemory(i.memory.Jobs()))
	i.hinter = driver.NewHinter(i.clock, i.log, i.driver, i.peers)
}

// coldRate returns the requests per second that an endpoint bears while it is cold;
// zero if it is warm.
func (i *Instance) coldRate(to sesamepitch.Destination) float64 {
	endpoint, found := i.registry.Endpoint(to.ID)
	if !found || !i.clock.Now().Before(endpoint.ColdUntil) {
		return 0
	}
	config := i.registry.Config()
	if config == nil {
		return 0
	}
	return config.Services[endpoint.Service].ColdRate
}

// workers returns the goroutines that run as long as the instance.
func (i *Instance) workers(listeners *listeners) *supervisor.Tree {
	return supervisor.New(i.clock, i.log,
		supervisor.NewWorker("peer-listener", func(ctx context.Context) error { return i.peers.Serve(ctx, listeners.peers, i.rpc) }),
		supervisor.NewWorker("operators-follower", i.follow(i.adapter.OperatorTable, i.applyOperators)),
		supervisor.NewWorker("endpoints-follower", i.followEndpoints),
		supervisor.NewWorker("members-follower", i.follow(registry.MemberTable, i.members.Apply)),
		supervisor.NewWorker("members", i.members.Run),
		supervisor.NewWorker("driver", i.driver.Run),
		supervisor.NewWorker("hints", i.hinter.Run),
		supervisor.NewWorker("limits", i.limits.Run),
		supervisor.NewWorker("usage-flush", i.meter.Run),
		supervisor.NewWorker("usage-reports", i.reporter.Run),
		supervisor.NewWorker("endpoint-orders", i.scaler.Run),
		supervisor.NewWorker("connections", i.closeStaleConnections),
		supervisor.NewWorker("kept-connections", i.gateway.KeepConnections),
		supervisor.NewWorker("pauses", i.watchPauses),
		supervisor.NewWorker("isolation", i.watchIsolation),
		supervisor.NewWorker("settings", i.watchSettings),
		supervisor.NewWorker("memory", i.watchMemory),
	)
}

func (i *Instance) follow(table string, apply func(registry.Update)) func(context.Context) error {
	return func(ctx context.Context) error {
		return registry.NewFollower(i.clock, i.log, i.store, table, apply).Run(ctx)
	}
}

// followEndpoints follows the endpoint table, which changes continuously. The
// time between polls grows with the number of instances, so that all of them
// together make about 500 calls per second at most.
func (i *Instance) followEndpoints(ctx context.Context) error {
	follower := registry.NewFollower(i.clock, i.log, i.store, i.adapter.EndpointTable, i.applyEndpoints)
	follower.SetMinInterval(func() time.Duration { return followBaseInterval + time.Duration(i.members.Count())*followPerInstance })
	return follower.Run(ctx)
}

func (i *Instance) applyOperators(update registry.Update) {
	before, versionsBefore := i.configVersion(), i.registry.Versions()
	for _, fault := range i.registry.ApplyOperators(update) {
		i.log.Info("row of the operators' table is malformed", "cause", fault.Error())
	}
	for model, version := range i.registry.Versions() {
		if version != versionsBefore[model] {
			i.log.Info("weight version named", "model", model, "version", version, "before", versionsBefore[model])
		}
	}
	after := i.configVersion()
	i.checks.Check(after >= before, invariant.ConfigNeverOlder, "version", after, "before", before)
	if after != before {
		i.log.Info("configuration in force", "version", after, "before", before)
	}
}

func (i *Instance) configVersion() int64 {
	if config := i.registry.Config(); config != nil {
		return config.Version
	}
	return 0
}

func (i *Instance) applyEndpoints(update registry.Update) {
	before := i.registry.All()
	for _, fault := range i.registry.ApplyEndpoints(update.Rows, update.Complete, update.StoreRecoveredAt) {
		i.log.Info("row of the endpoint table is malformed", "cause", fault.Error())
	}
	i.logEndpoints(before, i.registry.All())
}

// logEndpoints logs the endpoints that were added, removed or changed their state.
func (i *Instance) logEndpoints(before, after map[string]registry.Endpoint) {
	for id, e := range after {
		old, known := before[id]
		if known && old.Draining == e.Draining && old.Born == e.Born && old.ColdUntil.IsZero() == e.ColdUntil.IsZero() {
			continue
		}
		i.log.Info("endpoint", "endpoint", id, "service", e.Service, "data_centre", e.Centre, "address", e.Address,
			"row", e.Revision, "known", known, "draining", e.Draining, "leaving_by", string(e.LeavingBy), "cold", !e.ColdUntil.IsZero(), "reclaimable", e.Reclaimable)
	}
	for id, e := range before {
		if _, present := after[id]; !present {
			i.log.Info("endpoint removed", "endpoint", id, "service", e.Service)
		}
	}
}

// closeStaleConnections periodically closes connections to removed endpoints and
// drops the gateway's state of them.
func (i *Instance) closeStaleConnections(ctx context.Context) error {
	return supervisor.Every(ctx, i.clock, cleanupInterval, func(context.Context) {
		addresses, processes := map[string]bool{}, map[string]int64{}
		for _, e := range i.registry.All() {
			addresses[e.Address] = true
			processes[e.ID] = e.Born
		}
		i.endpoints.RetainConnections(addresses)
		i.gateway.Prune()
		i.limits.Retain(processes)
	})
}

func (i *Instance) ready() bool {
	return !i.draining.Load() && !i.isolation.isIsolated() && i.gateway.Ready()
}

// listeners are the listening sockets of an instance.
type listeners struct {
	callers, readiness, peers net.Listener
	// metrics is nil if metrics are disabled or their address is in use.
	metrics net.Listener
}

func (i *Instance) listen() (*listeners, error) {
	l := &listeners{}
	var err error
	if l.callers, err = net.Listen("tcp", i.settings.Callers); err != nil {
		return nil, err
	}
	if l.readiness, err = net.Listen("tcp", i.settings.Readiness); err != nil {
		return nil, err
	}
	if l.peers, err = net.Listen("tcp", i.settings.PeersAddress()); err != nil {
		return nil, err
	}
	if i.settings.Metrics == "" {
		return l, nil
	}
	if l.metrics, err = net.Listen("tcp", i.settings.Metrics); err != nil {
		i.log.Info("metrics address not available, serving no metrics", "cause", err.Error())
		l.metrics = nil
	}
	return l, nil
}

// Run serves until ctx ends and then shuts down gracefully.
func (i *Instance) Run(ctx context.Context) error {
	logEnded := make(chan error, 1)
	logCtx, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	go func() { logEnded <- i.logWriter.Run(logCtx) }()
	defer func() {
		stopLogging()
		<-logEnded
	}()
	sockets, err := i.listen()
	if err != nil {
		i.log.Info("instance failed to start", "cause", err.Error())
		return err
	}
	i.callers = i.callerListener(sockets.callers)
	i.memory.Answers().OnFull(i.callers.EvictUnread)
	workCtx, stopWorkers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorkers()
	workersEnded := make(chan struct{})
	go func() {
		i.workers(sockets).Run(workCtx)
		close(workersEnded)
	}()
	failed := make(chan error, 3)
	server := i.serve(sockets, failed)
	i.log.Info("instance started", "data_centre", i.settings.Centre, "callers", i.settings.Callers, "peers", i.settings.Peers,
		"metrics", i.settings.Metrics, "store", i.settings.Store)
	select {
	case err = <-failed:
		i.log.Info("listener failed", "cause", err.Error())
	case <-ctx.Done():
		i.drain(server)
	}
	stopWorkers()
	<-workersEnded
	i.peers.Close()
	i.log.Info("instance stopped", "lines_dropped", i.logWriter.Dropped())
	return err
}

// serve starts the HTTP servers and returns the one for callers. Errors of the
// listeners are sent to failed.
func (i *Instance) serve(sockets *listeners, failed chan<- error) *http.Server {
	run := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	callers := newServer(i.callers, i.metrics.instrument(i.adapter.Callers(i.gateway, caller.NewBodies(i.memory.Bodies()))))
	go run(callers, i.callers)
	readiness := i.controlListener(sockets.readiness)
	go run(newServer(readiness, i.adapter.Ready(i.ready)), readiness)
	if sockets.metrics != nil {
		listener := i.controlListener(sockets.metrics)
		go run(newServer(listener, i.metrics.handler()), listener)
	}
	return callers
}

func newServer(listener *caller.Listener, handler http.Handler) *http.Server {
	server := listener.Server(handler)
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = readHeaderTimeout, idleTimeout, maxHeaderBytes
	return server
}
