// Package deployment runs a complete deployment in one process on loopback:
// stand-ins for the platform and the endpoints, and real daemons. The demo and
// load commands use it.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/daemon"
	"sesamepitch/src/document"
	"sesamepitch/src/operator"
	"sesamepitch/src/standin"

	"github.com/go-logr/logr"
	"github.com/goccy/go-yaml"
)

const (
	loopback     = "127.0.0.1"
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	keyPrefix    = "sp-local-"
	heartbeat    = 500 * time.Millisecond
	leaseTTL     = 3 * time.Second
	leaseMargin  = 500 * time.Millisecond
	cellLease    = 6 * time.Second
	streamStall  = 10 * time.Second
	drainDelay   = 100 * time.Millisecond
	drainTime    = 5 * time.Second
)

// Engine describes one model engine: its entry in the document and the settings
// of its stand-in.
type Engine struct {
	Endpoint document.Endpoint
	Settings standin.EngineSettings
}

// Spec describes a deployment. Base is the document without endpoints and keys:
// Start adds a key for each workspace and an endpoint of each service in each data
// centre. Daemons is the number of daemons per data centre.
type Spec struct {
	Base        document.Document
	Daemons     int
	Engines     []Engine
	UsageWindow time.Duration
	UsageSettle time.Duration
}

// Instance is a running daemon.
type Instance struct {
	name, centre, callerAddress, operatorAddress string
	stop                                         context.CancelFunc
	exited                                       chan struct{}
}

// Name returns the instance's name.
func (i *Instance) Name() string { return i.name }

// Centre returns the instance's data centre.
func (i *Instance) Centre() string { return i.centre }

// CallerAddress returns the address of the instance's caller listener.
func (i *Instance) CallerAddress() string { return i.callerAddress }

// Operator returns a client of the instance's operator listener.
func (i *Instance) Operator() *operator.Client { return operator.NewClient(i.operatorAddress, "") }

// Deployment is a running deployment; standinCount is the number of stand-ins that
// send their result to standinErrs when they end.
type Deployment struct {
	ctx          context.Context
	cancel       context.CancelFunc
	log          logr.Logger
	spec         Spec
	platform     *standin.Platform
	address      string
	engines      map[string]*standin.Engine
	services     map[string]*standin.Service
	instances    []*Instance
	standinErrs  chan error
	standinCount int
	document     document.Document
}

// Start starts all stand-ins and daemons, applies the document and waits until
// every daemon is ready.
func Start(ctx context.Context, log logr.Logger, spec Spec) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{
		ctx: ctx, cancel: cancel, log: log, spec: spec, platform: standin.NewPlatform(),
		engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{}, standinErrs: make(chan error), document: spec.Base,
	}
	if err := d.startAll(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startAll() error {
	var err error
	if d.address, err = d.serve(d.platform); err != nil {
		return err
	}
	if err := d.startEndpoints(); err != nil {
		return err
	}
	for _, w := range d.spec.Base.Workspaces {
		hash := sesamepitch.KeyHash(d.Key(w.Name))
		d.document.Keys = append(d.document.Keys, document.Key{Name: w.Name + "-1", Workspace: w.Name, Hash: hash})
	}
	for _, c := range d.spec.Base.DataCentres {
		for number := 1; number <= d.spec.Daemons; number++ {
			if err := d.startDaemon(fmt.Sprintf("%s-%d", c.Name, number), c.Name); err != nil {
				return err
			}
		}
	}
	return d.apply()
}

// serve runs a stand-in on a free port and returns its address.
func (d *Deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	d.standinCount++
	go func() { d.standinErrs <- standin.Serve(d.ctx, listener, handler) }()
	return listener.Addr().String(), nil
}

func (d *Deployment) startEndpoints() error {
	for _, e := range d.spec.Engines {
		engine := standin.NewEngine(e.Settings)
		address, err := d.serve(engine)
		if err != nil {
			return err
		}
		d.engines[e.Endpoint.Name] = engine
		e.Endpoint.Address = address
		d.document.Endpoints = append(d.document.Endpoints, e.Endpoint)
	}
	for _, s := range d.spec.Base.Services {
		for _, c := range d.spec.Base.DataCentres {
			if err := d.startService(s.Name, c.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	serviceKnee  = 64
	maxPortTries = 5
)

func (d *Deployment) startService(service, centreName string) error {
	handler := standin.NewService()
	address, err := d.serve(handler)
	if err != nil {
		return err
	}
	name := service + "-" + centreName
	d.services[name] = handler
	d.document.Endpoints = append(d.document.Endpoints, document.Endpoint{
		Name: name, DataCentre: centreName, Service: service, Address: address, Knee: serviceKnee, ColdLimit: serviceKnee,
	})
	return nil
}

// freeAddress returns a loopback address whose port is free at the time of the call.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startDaemon starts a daemon. It retries on other ports, since another process
// can bind a port between freeAddress and the daemon's start.
func (d *Deployment) startDaemon(name, centreName string) error {
	var err error
	for range maxPortTries {
		if err = d.startDaemonOnce(name, centreName); err == nil {
			return nil
		}
	}
	return err
}

func (d *Deployment) startDaemonOnce(name, centreName string) error {
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return err
		}
	}
	settings := daemon.Settings{
		Instance: name, Centre: centreName, Callers: addresses[0], Operators: addresses[1], Peers: addresses[2], PeersListen: addresses[2],
		Platform: d.address, Beat: heartbeat, LeaseTTL: leaseTTL, LeaseMargin: leaseMargin, CellLease: cellLease,
		UsageWindow: d.spec.UsageWindow, UsageSettle: d.spec.UsageSettle, DrainDelay: drainDelay, DrainTime: drainTime, StreamStall: streamStall,
	}
	started, err := daemon.New(settings, sesamepitch.SystemClock{}, d.log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(d.ctx)
	instance := &Instance{name: name, centre: centreName, callerAddress: addresses[0], operatorAddress: addresses[1], stop: stop, exited: make(chan struct{})}
	go func() {
		if err := started.Run(ctx); err != nil {
			d.log.Error(err, "daemon failed", "instance", name)
		}
		close(instance.exited)
	}()
	d.instances = append(d.instances, instance)
	return nil
}

func (d *Deployment) apply() error {
	content, err := yaml.MarshalWithOptions(d.document, yaml.UseJSONMarshaler())
	if err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err = d.instances[0].Operator().Apply(d.ctx, content, -1, "deployment")
		if err == nil || time.Now().After(deadline) {
			break
		}
		time.Sleep(readyPoll)
	}
	if err != nil {
		return err
	}
	for _, instance := range d.instances {
		if err := awaitReady(instance.callerAddress, deadline); err != nil {
			return err
		}
	}
	return nil
}

func awaitReady(address string, deadline time.Time) error {
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPoll)
	}
	return &Error{Op: "deployment.ready", Kind: sesamepitch.KindTimeout, Err: errors.New(address)}
}

// Key returns a workspace's key.
func (d *Deployment) Key(workspace string) string { return keyPrefix + workspace }

// Instances returns the daemons in the order of their start.
func (d *Deployment) Instances() []*Instance { return d.instances }

// CallerAddresses returns the addresses of the daemons' caller listeners.
func (d *Deployment) CallerAddresses() []string {
	var list []string
	for _, instance := range d.instances {
		list = append(list, instance.callerAddress)
	}
	return list
}

// Document returns the applied document.
func (d *Deployment) Document() document.Document { return d.document }

// Platform returns the platform stand-in.
func (d *Deployment) Platform() *standin.Platform { return d.platform }

// Engine returns the engine stand-in of an endpoint, or nil if there is none.
func (d *Deployment) Engine(name string) *standin.Engine { return d.engines[name] }

// Stop shuts the daemons down gracefully, then the stand-ins.
func (d *Deployment) Stop() {
	for _, instance := range d.instances {
		instance.stop()
	}
	for _, instance := range d.instances {
		<-instance.exited
	}
	d.cancel()
	for range d.standinCount {
		<-d.standinErrs
	}
}
