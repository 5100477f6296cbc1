// Package daemon assembles one entry instance: its listeners, its components
// and the supervisor tree that runs them.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/rpc"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/call"
	"sesamepitch/src/centre"
	"sesamepitch/src/document"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/entry"
	"sesamepitch/src/lease"
	"sesamepitch/src/notice"
	"sesamepitch/src/operator"
	"sesamepitch/src/orders"
	"sesamepitch/src/peer"
	"sesamepitch/src/pool"
	"sesamepitch/src/retention"
	"sesamepitch/src/rollout"
	"sesamepitch/src/rowstore"
	"sesamepitch/src/step"
	"sesamepitch/src/supervisor"
	"sesamepitch/src/usage"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	// A new owner of a cell waits for takeoverBeats heartbeats and
	// takeoverMargin, so that the entries can report the streams that the
	// previous owner granted.
	takeoverBeats        = 2
	takeoverMargin       = 500 * time.Millisecond
	finalFlushTimeout    = 5 * time.Second
	finalFlushRetryDelay = 100 * time.Millisecond
	incarnationLength    = 8
)

// Daemon is one entry instance.
type Daemon struct {
	settings     Settings
	clock        sesamepitch.Clock
	log          logr.Logger
	listeners    listeners
	dialer       *peer.Dialer
	rpc          *rpc.Server
	node         *centre.Node
	owner        *pool.Owner
	streams      *pool.Client
	meter        *usage.Meter
	usageReplica *usage.Replica
	reporter     *usage.Reporter
	reportLease  *lease.Lease
	retention    *retention.Scheduler
	orders       *orders.Manager
	admission    *entry.Admission
	steps        *step.Manager
	callers      *entry.Server
	operators    *operator.Server
}

// listeners are a daemon's three listeners.
type listeners struct {
	callers, operators, peers net.Listener
}

func listen(s Settings) (listeners, error) {
	var opened listeners
	var err error
	targets := []struct {
		address string
		target  *net.Listener
	}{{s.Callers, &opened.callers}, {s.Operators, &opened.operators}, {s.PeersListen, &opened.peers}}
	for _, t := range targets {
		if *t.target, err = net.Listen("tcp", t.address); err != nil {
			opened.close()
			return listeners{}, &Error{Op: "daemon.listen", Kind: sesamepitch.KindUnavailable, Err: err}
		}
	}
	return opened, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// prices reads the endpoints' prices of a token from the configuration in
// force.
type prices struct{ holder *document.Holder }

// MilliPrice implements rollout.Prices.
func (p prices) MilliPrice(name string) int64 {
	e, _ := p.holder.Current().Endpoint(name)
	return e.MilliPrice
}

// New opens a daemon's ports and assembles its components.
func New(settings Settings, clock sesamepitch.Clock, log logr.Logger) (*Daemon, error) {
	opened, err := listen(settings)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: settings, clock: clock, log: log.WithValues("instance", settings.Instance, "centre_of", settings.Centre), listeners: opened}
	if err := d.assemble(); err != nil {
		opened.close()
		return nil, err
	}
	return d, nil
}

// assemble creates the components in order of their dependencies: configuration
// and notices, membership, streams, usage, orders, steps and the servers of the
// callers' and operators' listeners.
func (d *Daemon) assemble() error {
	s := d.settings
	self := centre.Member{ID: s.Instance, Incarnation: uuid.NewString()[:incarnationLength], Address: s.Peers}
	runName := usage.RunName(self.Address, self.Incarnation)
	times := lease.Settings{TTL: s.LeaseTTL, Margin: s.LeaseMargin}
	platform := rowstore.New(s.Platform, rowstore.WithSource(s.Source))
	holder, notices := document.NewHolder(), notice.NewSet(d.clock)
	engines := endpoint.New(endpoint.WithStallTimeout(s.StreamStall), endpoint.WithSource(s.Source))
	d.dialer, d.rpc = peer.NewDialer(s.Source), rpc.NewServer()
	d.node = centre.New(centre.Settings{Centre: s.Centre, Self: self, Seeds: s.Seeds, Beat: s.Beat, Lease: times, CellLease: s.CellLease},
		d.clock, d.log, platform, d.dialer, holder, notices)
	flushInterval := usage.FlushIntervalFor(d.node.DaemonCount)
	d.meter = usage.NewMeter(d.clock, d.log, platform, runName, s.UsageWindow, flushInterval)
	d.usageReplica = usage.NewReplica(d.clock, d.log, platform, runName, s.UsageWindow, flushInterval, d.hasExited)
	d.owner = pool.NewOwner(d.clock, d.log, d.node, s.Centre, holder, notices, engines,
		pool.WithTakeoverDelay(takeoverBeats*s.Beat+takeoverMargin), pool.WithUsageReplica(d.usageReplica))
	d.streams = pool.NewClient(d.clock, d.log, d.node, d.dialer, notices, d.owner, d.meter.Accounting)
	runner := rollout.New(d.clock, d.log, d.streams, engines, notices, prices{holder: holder}, d.meter)
	d.reportLease = usage.NewLease(d.clock, platform, runName, self.Address, times)
	reportTable := rowstore.New(s.Platform, rowstore.WithTransport(lease.NewTransport(d.reportLease, s.Source)))
	d.reporter = usage.NewReporter(d.clock, d.log, platform, reportTable, d.reportLease, runName, s.UsageWindow, s.UsageSettle, d.node.IsLeader)
	calls := call.NewJournal(d.clock, platform)
	maySweep := func() bool {
		_, _, held := d.reportLease.Held()
		return held
	}
	d.retention = retention.New(d.clock, d.log, maySweep, step.NewSweeper(d.clock, platform), calls,
		usage.NewSweeper(d.clock, platform, s.UsageWindow), d.node.NoticeLog())
	leaderTransport := lease.NewTransport(d.node.Lease(), s.Source)
	orderTable := rowstore.New(s.Platform, rowstore.WithTransport(leaderTransport))
	d.orders = orders.New(d.clock, d.log, d.node, platform, orderTable, holder, notices, engines, leaderTransport, runName)
	d.steps = step.NewManager(d.clock, d.log, platform, holder, notices, runner, runName, s.UsageWindow)
	d.admission = entry.NewAdmission(d.clock, d.log, holder, notices, d.node)
	observer := newMetrics()
	observer.registerComponents(d.clock, holder, d.node, d.owner, d.steps, d.dialer.Traffic())
	d.callers = entry.New(entry.Dependencies{
		Clock: d.clock, Log: d.log, Holder: holder, Notices: notices, Admission: d.admission, Runner: runner,
		Streams: d.streams, Services: engines, Calls: calls, Steps: d.steps,
		Recorder: d.meter, Table: platform, Publisher: d.node, Observer: observer,
	})
	d.operators = operator.New(operator.Dependencies{
		Clock: d.clock, Log: d.log, Node: d.node, Holder: holder, Notices: notices, Table: platform, Owner: d.owner,
		Usage: d.reporter, Metrics: observer.handler(), TokenHash: s.OperatorHash,
	})
	return errors.Join(d.node.Register(d.rpc), d.owner.Register(d.rpc))
}

// hasExited reports whether the run of a daemon is known to have exited.
func (d *Daemon) hasExited(ctx context.Context, run string) bool {
	run, _, _ = strings.Cut(run, "#")
	address, incarnation, _ := strings.Cut(run, "@")
	return d.node.HasExited(ctx, address, incarnation)
}

// tree returns the supervisor tree with all goroutines that live as long as the
// daemon.
func (d *Daemon) tree() *supervisor.Tree {
	var workers []supervisor.Worker
	workers = append(workers, supervisor.NewWorker("peer-listener", d.servePeers))
	workers = append(workers, supervisor.NewWorker("operator-listener", d.serveOperators))
	workers = append(workers, d.node.Workers()...)
	workers = append(workers, d.owner.Workers()...)
	workers = append(workers, d.streams.Workers()...)
	workers = append(workers, d.meter.Workers()...)
	workers = append(workers, d.usageReplica.Workers()...)
	workers = append(workers, d.reporter.Workers()...)
	workers = append(workers, d.retention.Workers()...)
	workers = append(workers, d.orders.Workers()...)
	workers = append(workers, d.steps.Workers()...)
	workers = append(workers, d.admission.Workers()...)
	return supervisor.New(d.clock, d.log, workers...)
}

func (d *Daemon) servePeers(ctx context.Context) error {
	return d.dialer.Serve(ctx, d.listeners.peers, d.rpc)
}

func (d *Daemon) serveOperators(ctx context.Context) error {
	server := &http.Server{Handler: d.operators, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(d.listeners.operators)
}

// Run serves until ctx ends and then shuts down gracefully: open requests are
// finished, and nothing that was delivered is lost.
func (d *Daemon) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	treeDone := make(chan struct{})
	go func() {
		d.tree().Run(workCtx)
		close(treeDone)
	}()
	server := &http.Server{Handler: d.callers, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	serverDone := make(chan error, 1)
	go func() { serverDone <- server.Serve(d.listeners.callers) }()
	d.log.Info("daemon started", "callers", d.settings.Callers, "operators", d.settings.Operators, "peers", d.settings.Peers)
	select {
	case err := <-serverDone:
		return &Error{Op: "daemon.run", Kind: sesamepitch.KindInternal, Err: err}
	case <-ctx.Done():
	}
	d.drain(server)
	stopWork()
	<-treeDone
	d.dialer.Close()
	d.listeners.close()
	d.log.Info("daemon stopped")
	return nil
}

// drain waits until the load balancer stops sending requests, finishes the open
// ones, writes usage and samples to the table, and gives up leases and
// membership.
func (d *Daemon) drain(server *http.Server) {
	d.log.Info("daemon draining", "open", d.callers.Active())
	d.callers.Drain()
	d.steps.Drain()
	server.SetKeepAlivesEnabled(false)
	<-d.clock.After(d.settings.DrainDelay)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTime)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		d.log.Info("open requests closed after the drain time", "open", d.callers.Active(), "cause", err.Error())
		_ = server.Close()
	}
	d.finalFlush()
	leaveCtx, done := context.WithTimeout(context.Background(), finalFlushTimeout)
	defer done()
	if err := d.reportLease.Release(leaveCtx); err != nil {
		d.log.Info("lease not released", "cause", err.Error())
	}
	d.node.Leave(leaveCtx)
}

// finalFlush writes usage and samples that only this process holds to the
// table. It retries until finalFlushTimeout.
func (d *Daemon) finalFlush() {
	flushCtx, cancel := context.WithTimeout(context.Background(), finalFlushTimeout)
	defer cancel()
	for flushCtx.Err() == nil {
		d.steps.CommitPending(flushCtx)
		err := d.meter.Flush(flushCtx)
		if err == nil && d.steps.PendingBatches() == 0 {
			return
		}
		<-d.clock.After(finalFlushRetryDelay)
	}
	d.log.Info("usage or samples not flushed before exit", "batches", d.steps.PendingBatches())
}
