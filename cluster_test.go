package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/operator"
	"sesamepitch/src/standin"

	"gotest.tools/v3/assert"
)

var binary string

// TestMain builds the program that the tests run as separate processes.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "sesamepitch")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "sesamepitch")
	args := []string{"build", "-o", binary, "."}
	if raceEnabled {
		args = []string{"build", "-race", "-o", binary, "."}
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	// Each test process begins elsewhere in the loopback range.
	subnets.Store(int64(os.Getpid()) * 7 % subnetCount)
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one running program of the cluster.
type process struct {
	command *exec.Cmd
	log     *syncBuffer
	ended   chan struct{}
}

type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// daemonProcess is a daemon with its addresses.
type daemonProcess struct {
	*process
	name, centre, ip             string
	callers, operators, platform string
	args                         []string
}

// cluster is a platform, endpoints and daemons as separate processes. Daemons
// reach the platform and each other through the network's proxies.
type cluster struct {
	t        *testing.T
	net      *network
	subnet   int64
	platform string
	daemons  []*daemonProcess
	engines  map[string]*process
	address  map[string]string
	document string
	keys     map[string]string
	started  []*process
}

// subnetCount is how many clusters have addresses of their own: 127.10 to 127.209.
const subnetCount = 200

var subnets atomic.Int64

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, net: &network{}, subnet: subnets.Add(1), engines: map[string]*process{}, address: map[string]string{}, keys: map[string]string{},
	}
	t.Cleanup(c.stop)
	c.platform = c.ip(0, 1) + ":9000"
	c.start("platform", "standin", "platform", "--listen", c.platform)
	c.await("platform", c.platform)
	return c
}

// ip is an address of this cluster's own part of the loopback range.
func (c *cluster) ip(centre, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+c.subnet%subnetCount, centre, host)
}

func (c *cluster) start(name string, args ...string) *process {
	c.t.Helper()
	p := &process{command: exec.Command(binary, args...), log: &syncBuffer{}, ended: make(chan struct{})}
	p.command.Stderr = p.log
	p.command.Stdout = p.log
	assert.NilError(c.t, p.command.Start(), name)
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	c.started = append(c.started, p)
	return p
}

func (c *cluster) stop() {
	for _, p := range c.started {
		p.kill()
	}
	for _, d := range c.daemons {
		log := d.log.String()
		if strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic") {
			c.t.Errorf("daemon %s:\n%s", d.name, log)
		}
	}
	if folder := os.Getenv("SESAMEPITCH_TEST_LOGS"); folder != "" {
		for _, d := range c.daemons {
			_ = os.WriteFile(filepath.Join(folder, strings.ReplaceAll(c.t.Name(), "/", "_")+"-"+d.name+".log"), []byte(d.log.String()), 0o600)
		}
	}
}

func (c *cluster) await(name, address string) {
	c.t.Helper()
	eventually(c.t, 10*time.Second, name+" listens", func() bool {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// eventually waits until the condition holds.
func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// engine starts a model engine in a data centre.
func (c *cluster) engine(name string, centre, host int, args ...string) {
	c.t.Helper()
	address := c.ip(100+centre, host) + ":9100"
	c.address[name] = address
	c.engines[name] = c.start(name, append([]string{"standin", "engine", "--listen", address}, args...)...)
	c.await(name, address)
}

// service starts a judge or plain service.
func (c *cluster) service(name string, centre, host int) {
	c.t.Helper()
	address := c.ip(100+centre, host) + ":9200"
	c.address[name] = address
	c.engines[name] = c.start(name, "standin", "service", "--listen", address)
	c.await(name, address)
}

// daemon starts a daemon; its peers and its platform are behind proxies.
func (c *cluster) daemon(name, centreName string, centre, host int, extra ...string) *daemonProcess {
	c.t.Helper()
	ip := c.ip(centre, host)
	d := &daemonProcess{name: name, centre: centreName, ip: ip, callers: ip + ":8080", operators: ip + ":8081", platform: ip + ":9000"}
	c.net.proxy(c.t, d.platform, c.platform)
	c.net.proxy(c.t, ip+":8082", ip+":8083")
	d.args = append([]string{
		"serve", "--instance", name, "--data-centre", centreName, "--callers", d.callers, "--operators", d.operators,
		"--peers", ip + ":8082", "--peers-listen", ip + ":8083", "--source", ip, "--platform", d.platform,
		"--drain-delay", "300ms", "--usage-window", "2s", "--usage-settle", "1s",
		"--seed", c.ip(centre, 1) + ":8082", "--seed", c.ip(centre, 2) + ":8082", "--seed", c.ip(centre, 3) + ":8082",
	}, extra...)
	c.daemons = append(c.daemons, d)
	c.run(d)
	return d
}

// run starts a daemon's process, also again after it has ended.
func (c *cluster) run(d *daemonProcess) {
	c.t.Helper()
	var before *syncBuffer
	if d.process != nil {
		before = d.log
	}
	d.process = c.start(d.name, d.args...)
	if before != nil {
		_, _ = d.log.Write([]byte(before.String()))
	}
	c.await(d.name, d.callers)
}

// key makes a key for the document.
func (c *cluster) key(name string) string {
	if c.keys[name] == "" {
		c.keys[name] = "sp-test-" + name + "-" + fmt.Sprint(c.subnet)
	}
	return c.keys[name]
}

func (c *cluster) keyHash(name string) string { return sesamepitch.KeyHash(c.key(name)) }

func (d *daemonProcess) client() *operator.Client { return operator.NewClient(d.operators, "") }

// apply applies the cluster's document through the first daemon and waits
// until every daemon has it.
func (c *cluster) apply(yaml string) {
	c.t.Helper()
	c.document = yaml
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var err error
	eventually(c.t, 15*time.Second, "document applied", func() bool {
		base := int64(-1)
		if current, readErr := c.daemons[0].client().Document(ctx); readErr == nil && current.Version > 0 {
			base = current.Version
		}
		_, err = c.daemons[0].client().Apply(ctx, []byte(yaml), base, "test")
		return err == nil
	})
	c.awaitReady()
}

func (c *cluster) awaitReady() {
	c.t.Helper()
	for _, d := range c.daemons {
		eventually(c.t, 10*time.Second, d.name+" is ready", func() bool { return get(d.callers, "/readyz") == http.StatusOK })
	}
}

func get(address, path string) int {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// control sets a stand-in's faults, or another control route.
func (c *cluster) control(address, path string, in any) {
	c.t.Helper()
	body, err := json.Marshal(in)
	assert.NilError(c.t, err)
	response, err := http.Post("http://"+address+"/control/"+path, "application/json", bytes.NewReader(body))
	assert.NilError(c.t, err)
	_ = response.Body.Close()
	assert.Equal(c.t, response.StatusCode, http.StatusOK)
}

func (c *cluster) faults(f standin.PlatformFaults) { c.control(c.platform, "faults", f) }

func (c *cluster) read(address, path string, out any) {
	c.t.Helper()
	response, err := http.Get("http://" + address + "/control/" + path)
	assert.NilError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(c.t, json.NewDecoder(response.Body).Decode(out))
}

func (c *cluster) seen(engine string) standin.EngineStats {
	c.t.Helper()
	var seen standin.EngineStats
	c.read(c.address[engine], "seen", &seen)
	return seen
}

func (c *cluster) served(service string) standin.ServiceStats {
	c.t.Helper()
	var seen standin.ServiceStats
	c.read(c.address[service], "seen", &seen)
	return seen
}

func (c *cluster) journal() standin.PlatformJournal {
	c.t.Helper()
	var journal standin.PlatformJournal
	c.read(c.platform, "journal", &journal)
	return journal
}

// standard starts two data centres with two daemons, two engines and a judge
// each, and applies their document.
func standard(t *testing.T, engineArgs ...string) *cluster {
	t.Helper()
	c := newCluster(t)
	for centre := 1; centre <= 2; centre++ {
		for host := 1; host <= 2; host++ {
			c.engine(fmt.Sprintf("engine-%d-%d", centre, host), centre, host, engineArgs...)
		}
		c.service(fmt.Sprintf("judge-%d", centre), centre, 50)
		c.service(fmt.Sprintf("lots-%d", centre), centre, 51)
	}
	for centre := 1; centre <= 2; centre++ {
		for host := 1; host <= 2; host++ {
			c.daemon(fmt.Sprintf("d%d%d", centre, host), fmt.Sprintf("dc-%d", centre), centre, host)
		}
	}
	c.apply(c.standardDocument())
	return c
}

func (c *cluster) standardDocument() string {
	var b strings.Builder
	fmt.Fprintf(&b, `workspaces:
  - {name: coaching, class: training, weight: 1, cut_off_grace: 1h}
  - {name: field, class: interactive, weight: 1, cut_off_grace: 1h}
  - {name: other, class: interactive, weight: 1, cut_off_grace: 0s}
keys:
  - {name: coaching-1, workspace: coaching, hash: %s}
  - {name: field-1, workspace: field, hash: %s}
  - {name: other-1, workspace: other, hash: %s}
trainers:
  - {name: painter, workspace: coaching, model: coach, judge: judge, max_lag: 1, step_time: 60s}
models:
  - {name: coach, version: 1}
data_centres:
  - {name: dc-1, region: south}
  - {name: dc-2, region: south}
services:
  - {name: judge, repeatable: true}
  - {name: lots, repeatable: false, workspaces: [field]}
open_routes:
  - {name: about, path: /about, service: judge, workspace: field}
endpoints:
`, c.keyHash("coaching"), c.keyHash("field"), c.keyHash("other"))
	for centre := 1; centre <= 2; centre++ {
		for host := 1; host <= 2; host++ {
			name := fmt.Sprintf("engine-%d-%d", centre, host)
			fmt.Fprintf(&b, "  - {name: %s, data_centre: dc-%d, model: coach, address: \"%s\", knee: 8, cold_limit: 2, warm_after: 2, cold_time: 300ms, milli_price: 1000, checks_fence: true}\n", name, centre, c.address[name])
		}
		for _, service := range []string{"judge", "lots"} {
			name := fmt.Sprintf("%s-%d", service, centre)
			fmt.Fprintf(&b, "  - {name: %s, data_centre: dc-%d, service: %s, address: \"%s\", knee: 16, cold_limit: 16, milli_price: 0}\n", name, centre, service, c.address[name])
		}
	}
	return b.String()
}

const (
	stopSignal     = syscall.SIGSTOP
	continueSignal = syscall.SIGCONT
	termSignal     = syscall.SIGTERM
)

// cutOff cuts a data centre off from the platform and from all others.
func (c *cluster) cutOff(centre int) {
	own := c.ip(centre, 0)
	own = own[:strings.LastIndex(own, ".")+1]
	for other := 1; other <= 3; other++ {
		theirs := c.ip(other, 0)
		theirs = theirs[:strings.LastIndex(theirs, ".")+1]
		if other == centre {
			continue
		}
		c.net.set(own, theirs, cutting)
		c.net.set(theirs, own, cutting)
	}
	for _, d := range c.daemons {
		if strings.HasPrefix(d.ip, own) {
			c.net.set(own, d.platform, cutting)
		}
	}
}
