// Package deployment runs a whole deployment in one process on loopback:
// stand-ins of the platform and the endpoints, and real daemons. The demo and
// the load tool use it.
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
	loopback    = "127.0.0.1"
	readyTime   = 20 * time.Second
	readyPoll   = 50 * time.Millisecond
	keyMark     = "sp-local-"
	defaultBeat = 500 * time.Millisecond
	leaseTTL    = 3 * time.Second
	leaseMargin = 500 * time.Millisecond
	cellLease   = 6 * time.Second
	stall       = 10 * time.Second
	drainDelay  = 100 * time.Millisecond
	drainTime   = 5 * time.Second
)

// Engine describes one model engine and its place in the document.
type Engine struct {
	Endpoint document.Endpoint
	Settings standin.EngineSettings
}

// Spec describes a deployment. Base is the document without endpoints and keys;
// each workspace gets a key, and each data centre an endpoint of each service.
type Spec struct {
	Base        document.Document
	Daemons     int
	Engines     []Engine
	UsageWindow time.Duration
	UsageSettle time.Duration
}

// Instance is one running daemon.
type Instance struct {
	name, centre, callers, operators string
	stop                             context.CancelFunc
	ended                            chan struct{}
}

// Name returns the instance's name.
func (i *Instance) Name() string { return i.name }

// Centre returns the instance's data centre.
func (i *Instance) Centre() string { return i.centre }

// CallerAddress returns the address for callers.
func (i *Instance) CallerAddress() string { return i.callers }

// Operator returns a client of the instance's operator listener.
func (i *Instance) Operator() *operator.Client { return operator.NewClient(i.operators, "") }

// Deployment is a running deployment.
type Deployment struct {
	ctx       context.Context
	cancel    context.CancelFunc
	log       logr.Logger
	spec      Spec
	platform  *standin.Platform
	address   string
	engines   map[string]*standin.Engine
	services  map[string]*standin.Service
	instances []*Instance
	ended     chan error
	running   int
	document  document.Document
}

// Start starts all stand-ins and daemons and applies the document.
func Start(ctx context.Context, log logr.Logger, spec Spec) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{
		ctx: ctx, cancel: cancel, log: log, spec: spec, platform: standin.NewPlatform(),
		engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{}, ended: make(chan error), document: spec.Base,
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

// serve runs a stand-in on a free port.
func (d *Deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	d.running++
	go func() { d.ended <- standin.Serve(d.ctx, listener, handler) }()
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
	serviceStreams = 64
	portTries      = 5
)

func (d *Deployment) startService(service, centreName string) error {
	stand := standin.NewService()
	address, err := d.serve(stand)
	if err != nil {
		return err
	}
	name := service + "-" + centreName
	d.services[name] = stand
	d.document.Endpoints = append(d.document.Endpoints, document.Endpoint{
		Name: name, DataCentre: centreName, Service: service, Address: address, Knee: serviceStreams, ColdLimit: serviceStreams,
	})
	return nil
}

// freeAddress finds a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startDaemon tries other ports if another process has taken one meanwhile.
func (d *Deployment) startDaemon(name, centreName string) error {
	var err error
	for range portTries {
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
		Platform: d.address, Beat: defaultBeat, LeaseTTL: leaseTTL, LeaseMargin: leaseMargin, CellLease: cellLease,
		UsageWindow: d.spec.UsageWindow, UsageSettle: d.spec.UsageSettle, DrainDelay: drainDelay, DrainTime: drainTime, StreamStall: stall,
	}
	started, err := daemon.New(settings, sesamepitch.SystemClock{}, d.log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(d.ctx)
	instance := &Instance{name: name, centre: centreName, callers: addresses[0], operators: addresses[1], stop: stop, ended: make(chan struct{})}
	go func() {
		if err := started.Run(ctx); err != nil {
			d.log.Error(err, "daemon failed", "instance", name)
		}
		close(instance.ended)
	}()
	d.instances = append(d.instances, instance)
	return nil
}

func (d *Deployment) apply() error {
	content, err := yaml.MarshalWithOptions(d.document, yaml.UseJSONMarshaler())
	if err != nil {
		return err
	}
	limit := time.Now().Add(readyTime)
	for {
		_, err = d.instances[0].Operator().Apply(d.ctx, content, -1, "deployment")
		if err == nil || time.Now().After(limit) {
			break
		}
		time.Sleep(readyPoll)
	}
	if err != nil {
		return err
	}
	for _, instance := range d.instances {
		if err := awaitReady(instance.callers, limit); err != nil {
			return err
		}
	}
	return nil
}

func awaitReady(address string, limit time.Time) error {
	for time.Now().Before(limit) {
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
func (d *Deployment) Key(workspace string) string { return keyMark + workspace }

// Instances lists the daemons.
func (d *Deployment) Instances() []*Instance { return d.instances }

// CallerAddresses lists the daemons' addresses for callers.
func (d *Deployment) CallerAddresses() []string {
	var list []string
	for _, instance := range d.instances {
		list = append(list, instance.callers)
	}
	return list
}

// Document returns the document that was applied.
func (d *Deployment) Document() document.Document { return d.document }

// Platform returns the platform stand-in.
func (d *Deployment) Platform() *standin.Platform { return d.platform }

// Engine returns an engine stand-in by its endpoint's name.
func (d *Deployment) Engine(name string) *standin.Engine { return d.engines[name] }

// Stop ends the daemons gracefully and then the stand-ins.
func (d *Deployment) Stop() {
	for _, instance := range d.instances {
		instance.stop()
	}
	for _, instance := range d.instances {
		<-instance.ended
	}
	d.cancel()
	for range d.running {
		<-d.ended
	}
}
