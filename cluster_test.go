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
	"slices"
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
	// Each test process starts at a different subnet of the loopback range, so that
	// concurrent test processes rarely use the same addresses.
	subnets.Store(int64(os.Getpid()) * 7 % subnetCount)
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one program of the cluster with its output.
type process struct {
	command *exec.Cmd
	log     *syncBuffer
	exited  chan struct{}
}

// syncBuffer is a buffer that is safe for concurrent use.
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

// kill kills the process, also while it is stopped, and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// daemonProcess is a daemon with its addresses.
type daemonProcess struct {
	*process
	name, centre, ip             string
	callers, operators, platform string
	args                         []string
}

// cluster is a platform, endpoints and daemons as separate processes. Daemons
// reach the platform and each other through the proxies of net.
type cluster struct {
	t         *testing.T
	net       *network
	subnet    int64
	platform  string
	daemons   []*daemonProcess
	engines   map[string]*process
	addresses map[string]string
	document  string
	keys      map[string]string
	processes []*process
}

// subnetCount is the number of clusters with distinct addresses: 127.10.0.0/16 to
// 127.209.0.0/16.
const subnetCount = 200

var subnets atomic.Int64

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, net: &network{}, subnet: subnets.Add(1), engines: map[string]*process{}, addresses: map[string]string{}, keys: map[string]string{},
	}
	t.Cleanup(c.stop)
	c.platform = c.ip(0, 1) + ":9000"
	c.startProcess("platform", "standin", "platform", "--listen", c.platform)
	c.awaitListening("platform", c.platform)
	return c
}

// ip returns an address in the cluster's subnet of the loopback range.
func (c *cluster) ip(centre, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+c.subnet%subnetCount, centre, host)
}

func (c *cluster) startProcess(name string, args ...string) *process {
	c.t.Helper()
	p := &process{command: exec.Command(binary, args...), log: &syncBuffer{}, exited: make(chan struct{})}
	p.command.Stderr = p.log
	p.command.Stdout = p.log
	assert.NilError(c.t, p.command.Start(), name)
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	c.processes = append(c.processes, p)
	return p
}

// stop kills all processes and fails the test for a data race or panic in the log
// of a daemon.
func (c *cluster) stop() {
	for _, p := range c.processes {
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

// logLines logs the daemons' log lines that contain one of the words.
func (c *cluster) logLines(words ...string) {
	c.t.Helper()
	for _, d := range c.daemons {
		for _, line := range strings.Split(d.log.String(), "\n") {
			if slices.ContainsFunc(words, func(word string) bool { return strings.Contains(line, word) }) {
				c.t.Logf("%s: %s", d.name, line)
			}
		}
	}
}

// awaitListening waits until the address accepts connections.
func (c *cluster) awaitListening(name, address string) {
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

// eventually polls the condition and fails the test if it does not hold within
// the timeout.
func eventually(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", timeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startEngine starts a model engine in a data centre.
func (c *cluster) startEngine(name string, centre, host int, args ...string) {
	c.t.Helper()
	address := c.ip(100+centre, host) + ":9100"
	c.addresses[name] = address
	c.engines[name] = c.startProcess(name, append([]string{"standin", "engine", "--listen", address}, args...)...)
	c.awaitListening(name, address)
}

// startService starts a judge or plain service in a data centre.
func (c *cluster) startService(name string, centre, host int) {
	c.t.Helper()
	address := c.ip(100+centre, host) + ":9200"
	c.addresses[name] = address
	c.engines[name] = c.startProcess(name, "standin", "service", "--listen", address)
	c.awaitListening(name, address)
}

// addDaemon starts a daemon that reaches its peers and the platform through proxies.
func (c *cluster) addDaemon(name, centreName string, centre, host int, extra ...string) *daemonProcess {
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
	c.startDaemon(d)
	return d
}

// startDaemon starts or restarts the process of a daemon; a restart keeps the log
// of the earlier processes.
func (c *cluster) startDaemon(d *daemonProcess) {
	c.t.Helper()
	var previousLog *syncBuffer
	if d.process != nil {
		previousLog = d.log
	}
	d.process = c.startProcess(d.name, d.args...)
	if previousLog != nil {
		_, _ = d.log.Write([]byte(previousLog.String()))
	}
	c.awaitListening(d.name, d.callers)
}

// key returns the key with this name, unique to the cluster.
func (c *cluster) key(name string) string {
	if c.keys[name] == "" {
		c.keys[name] = "sp-test-" + name + "-" + fmt.Sprint(c.subnet)
	}
	return c.keys[name]
}

func (c *cluster) keyHash(name string) string { return sesamepitch.KeyHash(c.key(name)) }

func (d *daemonProcess) client() *operator.Client { return operator.NewClient(d.operators, "") }

// apply applies a document through the first daemon and waits until every daemon
// is ready.
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
		eventually(c.t, 10*time.Second, d.name+" is ready", func() bool { return getStatus(d.callers, "/readyz") == http.StatusOK })
	}
}

// getStatus returns the status of a GET request, or 0 if it fails.
func getStatus(address, path string) int {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// postControl posts to a control route of a stand-in, for example its faults.
func (c *cluster) postControl(address, path string, in any) {
	c.t.Helper()
	body, err := json.Marshal(in)
	assert.NilError(c.t, err)
	response, err := http.Post("http://"+address+"/control/"+path, "application/json", bytes.NewReader(body))
	assert.NilError(c.t, err)
	_ = response.Body.Close()
	assert.Equal(c.t, response.StatusCode, http.StatusOK)
}

// setFaults sets the faults of the platform stand-in; it replaces earlier ones.
func (c *cluster) setFaults(f standin.PlatformFaults) { c.postControl(c.platform, "faults", f) }

// getControl decodes the answer of a control route of a stand-in into out.
func (c *cluster) getControl(address, path string, out any) {
	c.t.Helper()
	response, err := http.Get("http://" + address + "/control/" + path)
	assert.NilError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(c.t, json.NewDecoder(response.Body).Decode(out))
}

func (c *cluster) engineSeen(engine string) standin.EngineStats {
	c.t.Helper()
	var seen standin.EngineStats
	c.getControl(c.addresses[engine], "seen", &seen)
	return seen
}

func (c *cluster) serviceSeen(service string) standin.ServiceStats {
	c.t.Helper()
	var seen standin.ServiceStats
	c.getControl(c.addresses[service], "seen", &seen)
	return seen
}

func (c *cluster) platformJournal() standin.PlatformJournal {
	c.t.Helper()
	var journal standin.PlatformJournal
	c.getControl(c.platform, "journal", &journal)
	return journal
}

// newStandardCluster starts two data centres, each with two daemons, two engines,
// a judge and a service whose calls must not be repeated, and applies their document.
func newStandardCluster(t *testing.T, engineArgs ...string) *cluster {
	t.Helper()
	c := newCluster(t)
	for centre := 1; centre <= 2; centre++ {
		for host := 1; host <= 2; host++ {
			c.startEngine(fmt.Sprintf("engine-%d-%d", centre, host), centre, host, engineArgs...)
		}
		c.startService(fmt.Sprintf("judge-%d", centre), centre, 50)
		c.startService(fmt.Sprintf("lots-%d", centre), centre, 51)
	}
	for centre := 1; centre <= 2; centre++ {
		for host := 1; host <= 2; host++ {
			c.addDaemon(fmt.Sprintf("d%d%d", centre, host), fmt.Sprintf("dc-%d", centre), centre, host)
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
			fmt.Fprintf(&b, "  - {name: %s, data_centre: dc-%d, model: coach, address: \"%s\", knee: 8, cold_limit: 2, warm_after: 2, cold_time: 300ms, milli_price: 1000, checks_fence: true}\n", name, centre, c.addresses[name])
		}
		for _, service := range []string{"judge", "lots"} {
			name := fmt.Sprintf("%s-%d", service, centre)
			fmt.Fprintf(&b, "  - {name: %s, data_centre: dc-%d, service: %s, address: \"%s\", knee: 16, cold_limit: 16, milli_price: 0}\n", name, centre, service, c.addresses[name])
		}
	}
	return b.String()
}

const (
	stopSignal     = syscall.SIGSTOP
	continueSignal = syscall.SIGCONT
	termSignal     = syscall.SIGTERM
)

// cutOff cuts a data centre off from the platform and from all other data centres.
func (c *cluster) cutOff(centre int) {
	own := c.ip(centre, 0)
	own = own[:strings.LastIndex(own, ".")+1]
	for other := 1; other <= 3; other++ {
		theirs := c.ip(other, 0)
		theirs = theirs[:strings.LastIndex(theirs, ".")+1]
		if other == centre {
			continue
		}
		c.net.addRule(own, theirs, cutting)
		c.net.addRule(theirs, own, cutting)
	}
	for _, d := range c.daemons {
		if strings.HasPrefix(d.ip, own) {
			c.net.addRule(own, d.platform, cutting)
		}
	}
}
