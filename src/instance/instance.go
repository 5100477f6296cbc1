// Package instance puts the parts of an entry instance on the users' platform
// together and runs them.
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
	"sesamepitch/src/driver"
	"sesamepitch/src/eventlog"
	"sesamepitch/src/gateway"
	"sesamepitch/src/invariant"
	"sesamepitch/src/lease"
	"sesamepitch/src/peer"
	"sesamepitch/src/quarantine"
	"sesamepitch/src/registry"
	"sesamepitch/src/relay"
	"sesamepitch/src/scaling"
	"sesamepitch/src/site"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	readHeaderTime = 5 * time.Second
	// idleTime is longer than any idle time that operators allow callers.
	idleTime = 60 * time.Second
	// maxHeaderBytes is beyond what operators allow; that is checked later.
	maxHeaderBytes = 1 << 20
	// balancerTime is how long after SIGTERM new callers may still come.
	balancerTime = 2600 * time.Millisecond
	// exitLead is how long before the end of the grace the process ends.
	exitLead = 1500 * time.Millisecond
	// leaveTime bounds what is written at the end.
	leaveTime = time.Second
	// memoryShare of the limit is what the garbage collector keeps to, and
	// bodyShare of it what callers' bodies may take.
	memoryShare = 0.7
	bodyShare   = 0.25
	forgetEvery = 5 * time.Second
	followLeast = 60 * time.Millisecond
	followPer   = 2 * time.Millisecond
)

// Adapter is what speaks to the users' platform.
type Adapter struct {
	Store   sesamepitch.Store
	Decoder registry.Decoder
	Engines sesamepitch.Engines
	Forward sesamepitch.Forwarder
	// OperatorTable and EndpointTable are the tables that Decoder decodes.
	OperatorTable string
	EndpointTable string
	// Control and Duties send through a transport that is guarded by a lease.
	Control     func(http.RoundTripper) sesamepitch.EngineControl
	FencedCalls func(http.RoundTripper) sesamepitch.FencedCalls
	// Callers returns the callers' handler, Ready the readiness handler.
	Callers func(*gateway.Gateway, *BodyBudget) http.Handler
	Ready   func(func() bool) http.Handler
	// RetainConnections closes kept connections to all endpoints but those at the addresses.
	RetainConnections func(addresses map[string]bool)
	// Reload reads the settings again.
	Reload func() (site.Settings, error)
}

// Instance is a running entry instance.
type Instance struct {
	settings  site.Settings
	adapter   Adapter
	clock     *sesamepitch.BootClock
	lines     *eventlog.Writer
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
	meter     *billing.Meter
	reporter  *billing.Reporter
	scaler    *scaling.Scaler
	metrics   *metrics
	checks    *invariant.Recorder
	memory    *BodyBudget
	leaving   atomic.Bool
	isolation *isolation
	suspects  *quarantine.List
}

// New builds an instance that logs to out.
func New(settings site.Settings, adapter Adapter, out io.Writer, newLog func(io.Writer) logr.Logger) (*Instance, error) {
	clock := sesamepitch.NewBootClock()
	lines := eventlog.New(clock, out)
	i := &Instance{
		settings: settings, adapter: adapter, clock: clock, lines: lines,
		log:       newLog(lines).WithValues("instance", settings.Instance),
		peers:     peer.NewDialer(settings.Source),
		rpc:       rpc.NewServer(),
		isolation: newIsolation(clock),
		suspects:  quarantine.New(clock),
		memory:    NewBodyBudget(int64(bodyShare * float64(settings.MemoryBytes))),
	}
	// net/http and net/rpc report broken connections there; each side of a
	// connection logs what that means to it.
	log.SetOutput(io.Discard)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	i.checks = invariant.New(i.log)
	i.registry = registry.New(clock, adapter.Decoder)
	i.store = relay.New(clock, i.log, adapter.Store, i.peers, func() []string { return i.members.Peers() })
	i.members = registry.NewMembers(clock, i.log, i.store, settings.Instance, settings.Centre, settings.Peers, settings.Cores, settings.Seeds, i.suspects)
	if err := relay.Register(i.rpc, adapter.Store); err != nil {
		return nil, err
	}
	i.build()
	if err := driver.Register(i.rpc, i.driver); err != nil {
		return nil, err
	}
	return i, nil
}

// build makes the parts that serve callers and drive jobs.
func (i *Instance) build() {
	s := i.settings
	ledger := batch.NewLedger(i.clock, i.store, batch.WithRowBytes(s.RowBytes))
	i.lease = driver.NewLease(i.clock, i.store, s.Instance, s.Peers, s.Bounds.Lease)
	guard := lease.NewTransport(i.lease, s.Source)
	i.driver = driver.New(i.clock, i.log, i.store, ledger, i.registry, i.adapter.Engines, i.adapter.Control(guard), i.lease, s.Instance, i.members, driver.WithChecks(i.checks), driver.WithRetention(s.Bounds.Status))
	i.hinter = driver.NewHinter(i.clock, i.log, i.driver, i.peers)
	writer := s.Instance + "@" + i.clock.Now().Format("150405.000")
	i.meter = billing.NewMeter(i.clock, i.log, i.store, s.Bounds.ReportWindow, writer)
	duties := i.adapter.FencedCalls(guard)
	i.scaler = scaling.New(i.clock, i.log, i.store, i.registry, duties, i.lease.ForFencedCalls(), s.Instance)
	i.reporter = billing.NewReporter(i.clock, i.log, i.store, duties, i.lease.ForFencedCalls(), s.Instance, s.Bounds.ReportWindow, s.Bounds.UsageLate, billing.WithChecks(i.checks))
	i.gateway = gateway.New(i.clock, i.log, i.registry, i.adapter.Forward, ledger, i.meter, s.Centre, s.Region, gateway.WithChecks(i.checks), gateway.WithInstances(i.members.Count), gateway.WithNotify(i.hinter.Notify), gateway.WithConnectivity(i.isolation), gateway.WithQuarantine(i.suspects))
	i.metrics = newMetrics(i)
}

// tree lists what runs for as long as the instance.
func (i *Instance) tree(listeners *listeners) *supervisor.Tree {
	return supervisor.New(i.clock, i.log,
		supervisor.NewWorker("peer-listener", func(ctx context.Context) error { return i.peers.Serve(ctx, listeners.peers, i.rpc) }),
		supervisor.NewWorker("operators-follower", i.follow(i.adapter.OperatorTable, i.applyOperators)),
		supervisor.NewWorker("endpoints-follower", i.followEndpoints),
		supervisor.NewWorker("members-follower", i.follow(registry.MemberTable, i.members.Apply)),
		supervisor.NewWorker("members", i.members.Run),
		supervisor.NewWorker("driver", i.driver.Run),
		supervisor.NewWorker("hints", i.hinter.Run),
		supervisor.NewWorker("usage-flush", i.meter.Run),
		supervisor.NewWorker("usage-reports", i.reporter.Run),
		supervisor.NewWorker("endpoint-orders", i.scaler.Run),
		supervisor.NewWorker("connections", i.dropConnections),
		supervisor.NewWorker("kept-connections", i.gateway.KeepConnections),
		supervisor.NewWorker("isolation", i.watchIsolation),
		supervisor.NewWorker("settings", i.watchSettings),
	)
}

func (i *Instance) follow(table string, apply func(registry.Update)) func(context.Context) error {
	return func(ctx context.Context) error {
		return registry.NewFollower(i.clock, i.log, i.store, table, apply).Run(ctx)
	}
}

// followEndpoints follows a table that changes all the time, in steps that
// grow with the number of instances: together they make some 500 calls a
// second at most.
func (i *Instance) followEndpoints(ctx context.Context) error {
	follower := registry.NewFollower(i.clock, i.log, i.store, i.adapter.EndpointTable, i.applyEndpoints)
	follower.SetMinInterval(func() time.Duration { return followLeast + time.Duration(i.members.Count())*followPer })
	return follower.Run(ctx)
}

func (i *Instance) applyOperators(update registry.Update) {
	before, named := i.configVersion(), i.registry.Versions()
	for _, fault := range i.registry.ApplyOperators(update.Rows, update.Complete) {
		i.log.Info("operators' row is unreadable", "cause", fault.Error())
	}
	for model, version := range i.registry.Versions() {
		if version != named[model] {
			i.log.Info("version named", "model", model, "version", version, "before", named[model])
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
		i.log.Info("endpoint's row is unreadable", "cause", fault.Error())
	}
	i.logEndpoints(before, i.registry.All())
}

// logEndpoints says which endpoints came, went or changed their state.
func (i *Instance) logEndpoints(before, after map[string]registry.Endpoint) {
	for id, e := range after {
		old, known := before[id]
		if known && old.Draining == e.Draining && old.Born == e.Born && old.ColdUntil.IsZero() == e.ColdUntil.IsZero() {
			continue
		}
		i.log.Info("endpoint", "endpoint", id, "service", e.Service, "data_centre", e.Centre, "address", e.Address,
			"row", e.Revision, "known", known, "draining", e.Draining, "cold", !e.ColdUntil.IsZero(), "reclaimable", e.Reclaimable)
	}
	for id, e := range before {
		if _, present := after[id]; !present {
			i.log.Info("endpoint gone", "endpoint", id, "service", e.Service)
		}
	}
}

// dropConnections forgets endpoints that are gone.
func (i *Instance) dropConnections(ctx context.Context) error {
	return supervisor.Every(ctx, i.clock, forgetEvery, func(context.Context) {
		addresses := map[string]bool{}
		for _, e := range i.registry.All() {
			addresses[e.Address] = true
		}
		i.adapter.RetainConnections(addresses)
		i.gateway.PruneEndpoints()
	})
}

func (i *Instance) ready() bool {
	return !i.leaving.Load() && !i.isolation.isSet() && i.gateway.Ready()
}

// listeners are the sockets that the instance serves.
type listeners struct {
	callers, readiness, peers net.Listener
	// metrics is nil if its port is taken.
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
		i.log.Info("metrics are not served", "cause", err.Error())
		l.metrics = nil
	}
	return l, nil
}

// Run serves until ctx ends and then shuts down gracefully.
func (i *Instance) Run(ctx context.Context) error {
	logged := make(chan error, 1)
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	go func() { logged <- i.lines.Run(logging) }()
	defer func() {
		stopLogging()
		<-logged
	}()
	sockets, err := i.listen()
	if err != nil {
		i.log.Info("instance does not start", "cause", err.Error())
		return err
	}
	working, stopWorking := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorking()
	ended := make(chan struct{})
	go func() {
		i.tree(sockets).Run(working)
		close(ended)
	}()
	failed := make(chan error, 3)
	server := i.serve(sockets, failed)
	i.log.Info("instance starts", "data_centre", i.settings.Centre, "callers", i.settings.Callers, "peers", i.settings.Peers,
		"metrics", i.settings.Metrics, "store", i.settings.Store)
	select {
	case err = <-failed:
		i.log.Info("listener failed", "cause", err.Error())
	case <-ctx.Done():
		i.drain(server)
	}
	stopWorking()
	<-ended
	i.peers.Close()
	i.log.Info("instance ends", "lines_dropped", i.lines.Dropped())
	return err
}

// serve starts the HTTP servers and returns that of the callers.
func (i *Instance) serve(sockets *listeners, failed chan<- error) *http.Server {
	callers := newServer(i.metrics.observe(i.adapter.Callers(i.gateway, i.memory)))
	run := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	go run(callers, sockets.callers)
	go run(newServer(i.adapter.Ready(i.ready)), sockets.readiness)
	if sockets.metrics != nil {
		go run(newServer(i.metrics.handler()), sockets.metrics)
	}
	return callers
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes,
	}
}

// drain turns the balancer away, hands over what this instance drives,
// finishes open requests and writes what only this process knows.
func (i *Instance) drain(server *http.Server) {
	i.log.Info("instance drains")
	i.leaving.Store(true)
	serving := max(i.settings.Bounds.Grace-exitLead, balancerTime+leaveTime)
	finishing, cancel := context.WithTimeout(context.Background(), serving)
	defer cancel()
	left := i.driver.Leave(serving - leaveTime)
	<-i.clock.After(balancerTime)
	if err := server.Shutdown(finishing); err != nil {
		i.log.Info("requests cut", "cause", err.Error())
		_ = server.Close()
	}
	select {
	case <-left:
	case <-finishing.Done():
		i.log.Info("driver did not leave in time")
	}
	leaving, done := context.WithTimeout(context.Background(), leaveTime)
	defer done()
	i.meter.Flush(leaving)
	i.members.Leave(leaving)
}
