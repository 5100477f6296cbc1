// Package daemon puts one entry instance together: its listeners, its parts
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
	readHeaderTime  = 5 * time.Second
	idleTime        = 2 * time.Minute
	maxHeaderBytes  = 32 << 10
	adoptionBeats   = 2
	adoptionSlack   = 500 * time.Millisecond
	finalFlushTime  = 5 * time.Second
	finalFlushPause = 100 * time.Millisecond
	shortID         = 8
)

// Daemon is one entry instance.
type Daemon struct {
	settings  Settings
	clock     sesamepitch.Clock
	log       logr.Logger
	listeners listeners
	dialer    *peer.Dialer
	rpc       *rpc.Server
	node      *centre.Node
	owner     *pool.Owner
	streams   *pool.Client
	meter     *usage.Meter
	shadow    *usage.Replica
	reporter  *usage.Reporter
	reporting *lease.Lease
	retention *retention.Scheduler
	orders    *orders.Manager
	admission *entry.Admission
	steps     *step.Manager
	callers   *entry.Server
	operators *operator.Server
}

// listeners are a daemon's three open ports.
type listeners struct {
	callers, operators, peers net.Listener
}

func listen(s Settings) (listeners, error) {
	var all listeners
	var err error
	targets := []struct {
		address string
		target  *net.Listener
	}{{s.Callers, &all.callers}, {s.Operators, &all.operators}, {s.PeersListen, &all.peers}}
	for _, t := range targets {
		if *t.target, err = net.Listen("tcp", t.address); err != nil {
			all.close()
			return listeners{}, &Error{Op: "daemon.listen", Kind: sesamepitch.KindUnavailable, Err: err}
		}
	}
	return all, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// prices reads the price of a token from the configuration in force.
type prices struct{ holder *document.Holder }

// MilliPrice implements rollout.Prices.
func (p prices) MilliPrice(name string) int64 {
	e, _ := p.holder.Current().Endpoint(name)
	return e.MilliPrice
}

// New opens a daemon's ports and puts its parts together.
func New(settings Settings, clock sesamepitch.Clock, log logr.Logger) (*Daemon, error) {
	all, err := listen(settings)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: settings, clock: clock, log: log.WithValues("instance", settings.Instance, "centre_of", settings.Centre), listeners: all}
	if err := d.assemble(); err != nil {
		all.close()
		return nil, err
	}
	return d, nil
}

// assemble builds the parts from the bottom up: knowledge, membership, streams,
// usage, orders, steps and the two listeners' servers.
func (d *Daemon) assemble() error {
	s := d.settings
	self := centre.Member{ID: s.Instance, Incarnation: uuid.NewString()[:shortID], Address: s.Peers}
	run := usage.RunName(self.Address, self.Incarnation)
	times := lease.Settings{TTL: s.LeaseTTL, Margin: s.LeaseMargin}
	services := rowstore.New(s.Platform, rowstore.WithSource(s.Source))
	holder, notices := document.NewHolder(), notice.NewSet(d.clock)
	engines := endpoint.New(endpoint.WithStallTimeout(s.StreamStall), endpoint.WithSource(s.Source))
	d.dialer, d.rpc = peer.NewDialer(s.Source), rpc.NewServer()
	d.node = centre.New(centre.Settings{Centre: s.Centre, Self: self, Seeds: s.Seeds, Beat: s.Beat, Lease: times, CellLease: s.CellLease},
		d.clock, d.log, services, d.dialer, holder, notices)
	pace := usage.FlushIntervalFor(d.node.DaemonCount)
	d.meter = usage.NewMeter(d.clock, d.log, services, run, s.UsageWindow, pace)
	d.shadow = usage.NewReplica(d.clock, d.log, services, run, s.UsageWindow, pace, d.isGone)
	d.owner = pool.NewOwner(d.clock, d.log, d.node, s.Centre, holder, notices, engines,
		pool.WithTakeoverDelay(adoptionBeats*s.Beat+adoptionSlack), pool.WithUsageReplica(d.shadow))
	d.streams = pool.NewClient(d.clock, d.log, d.node, d.dialer, notices, d.owner, d.meter.Accounting)
	runner := rollout.New(d.clock, d.log, d.streams, engines, notices, prices{holder: holder}, d.meter)
	d.reporting = usage.NewLease(d.clock, services, run, self.Address, times)
	reports := rowstore.New(s.Platform, rowstore.WithTransport(lease.NewTransport(d.reporting, s.Source)))
	d.reporter = usage.NewReporter(d.clock, d.log, services, reports, d.reporting, run, s.UsageWindow, s.UsageSettle, d.node.IsLeader)
	calls := call.NewJournal(d.clock, services)
	sweeps := func() bool {
		_, _, held := d.reporting.Held()
		return held
	}
	d.retention = retention.New(d.clock, d.log, sweeps, step.NewSweeper(d.clock, services), calls,
		usage.NewSweeper(d.clock, services, s.UsageWindow), d.node.NoticeLog())
	guarded := lease.NewTransport(d.node.Lease(), s.Source)
	ordering := rowstore.New(s.Platform, rowstore.WithTransport(guarded))
	d.orders = orders.New(d.clock, d.log, d.node, services, ordering, holder, notices, engines, guarded, run)
	d.steps = step.NewManager(d.clock, d.log, services, holder, notices, runner, run, s.UsageWindow)
	d.admission = entry.NewAdmission(d.clock, d.log, holder, notices, d.node)
	measured := newMetrics()
	measured.watch(d.clock, holder, d.node, d.owner, d.steps, d.dialer.Traffic())
	d.callers = entry.New(entry.Dependencies{
		Clock: d.clock, Log: d.log, Holder: holder, Notices: notices, Admission: d.admission, Runner: runner,
		Streams: d.streams, Services: engines, Calls: calls, Steps: d.steps,
		Recorder: d.meter, Table: services, Publisher: d.node, Observer: measured,
	})
	d.operators = operator.New(operator.Dependencies{
		Clock: d.clock, Log: d.log, Node: d.node, Holder: holder, Notices: notices, Table: services, Owner: d.owner,
		Usage: d.reporter, Metrics: measured.handler(), TokenHash: s.OperatorHash,
	})
	return errors.Join(d.node.Register(d.rpc), d.owner.Register(d.rpc))
}

// isGone tells whether the run of a daemon is known to have ended.
func (d *Daemon) isGone(ctx context.Context, run string) bool {
	run, _, _ = strings.Cut(run, "#")
	address, incarnation, _ := strings.Cut(run, "@")
	return d.node.HasExited(ctx, address, incarnation)
}

// tree is the supervisor tree: every goroutine that lives as long as the daemon.
func (d *Daemon) tree() *supervisor.Tree {
	var workers []supervisor.Worker
	workers = append(workers, supervisor.NewWorker("peer-listener", d.servePeers))
	workers = append(workers, supervisor.NewWorker("operator-listener", d.serveOperators))
	workers = append(workers, d.node.Workers()...)
	workers = append(workers, d.owner.Workers()...)
	workers = append(workers, d.streams.Workers()...)
	workers = append(workers, d.meter.Workers()...)
	workers = append(workers, d.shadow.Workers()...)
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
	server := &http.Server{Handler: d.operators, ReadHeaderTimeout: readHeaderTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(d.listeners.operators)
}

// Run serves until ctx ends and then shuts down gracefully: requests under way
// are finished, and nothing that was delivered is lost.
func (d *Daemon) Run(ctx context.Context) error {
	working, stopWorking := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorking()
	treeEnded := make(chan struct{})
	go func() {
		d.tree().Run(working)
		close(treeEnded)
	}()
	server := &http.Server{Handler: d.callers, ReadHeaderTimeout: readHeaderTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes}
	serverEnded := make(chan error, 1)
	go func() { serverEnded <- server.Serve(d.listeners.callers) }()
	d.log.Info("daemon serves", "callers", d.settings.Callers, "operators", d.settings.Operators, "peers", d.settings.Peers)
	select {
	case err := <-serverEnded:
		return &Error{Op: "daemon.run", Kind: sesamepitch.KindInternal, Err: err}
	case <-ctx.Done():
	}
	d.drain(server)
	stopWorking()
	<-treeEnded
	d.dialer.Close()
	d.listeners.close()
	d.log.Info("daemon ended")
	return nil
}

// drain lets the balancer turn away, finishes what is open, and hands over.
func (d *Daemon) drain(server *http.Server) {
	d.log.Info("daemon drains", "open", d.callers.Active())
	d.callers.Drain()
	d.steps.Drain()
	server.SetKeepAlivesEnabled(false)
	<-d.clock.After(d.settings.DrainDelay)
	finishing, cancel := context.WithTimeout(context.Background(), d.settings.DrainTime)
	defer cancel()
	if err := server.Shutdown(finishing); err != nil {
		d.log.Info("requests cut", "open", d.callers.Active(), "cause", err.Error())
		_ = server.Close()
	}
	d.finalFlush()
	leaving, done := context.WithTimeout(context.Background(), finalFlushTime)
	defer done()
	if err := d.reporting.Release(leaving); err != nil {
		d.log.Info("lease not released", "cause", err.Error())
	}
	d.node.Leave(leaving)
}

// finalFlush brings usage and samples that only this process knows into the
// table, as long as it can be reached in time.
func (d *Daemon) finalFlush() {
	flushing, cancel := context.WithTimeout(context.Background(), finalFlushTime)
	defer cancel()
	for flushing.Err() == nil {
		d.steps.CommitPending(flushing)
		err := d.meter.Flush(flushing)
		if err == nil && d.steps.PendingBatches() == 0 {
			return
		}
		<-d.clock.After(finalFlushPause)
	}
	d.log.Info("usage not flushed", "batches", d.steps.PendingBatches())
}
