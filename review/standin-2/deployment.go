//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	hostName   = "pule25.example"
	prefix     = "/puxa400/"
	service    = "press"
	frontPort  = 8624
	readyPort  = 8622
	storePort  = 8621
	cloudPort  = 8620
	advicePort = 8630
	runnerPort = 7200
	deadlineMs = 3000
)

var zones = []string{"z-a", "z-b", "z-c"}

// record is the list of what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// note records what runners run, without a line on the standard output.
func (r *record) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f s  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

// deployment is the daemons, as processes of their own, and the stand-ins of all that they call.
type deployment struct {
	record  *record
	store   *store
	fleet   *fleet
	daemons []*daemon
	subnet  string
	dir     string
	client  *http.Client
	// advice is whether the queue has advice.
	advice   bool
	advisers []*adviser
}

type daemon struct {
	name, ip string
	process  *exec.Cmd
	exited   chan struct{}
}

// freeSubnet returns the first three numbers of a loopback subnet in which nothing listens yet.
func freeSubnet() (string, error) {
	for range 100 {
		subnet := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", subnet+".250:7199")
		if err != nil {
			continue
		}
		_ = listener.Close()
		return subnet, nil
	}
	return "", fmt.Errorf("no loopback subnet is free")
}

// newDeployment starts the stand-ins and the daemons, and returns once all daemons are ready.
func newDeployment(r *record, program string, machines int, advice bool) (*deployment, error) {
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mothferry-review")
	if err != nil {
		return nil, err
	}
	s := &store{record: r}
	d := &deployment{record: r, store: s, fleet: newFleet(s, r), subnet: subnet, dir: dir, client: &http.Client{Timeout: deadlineMs * time.Millisecond}, advice: advice}
	if advice {
		d.fleet.tickets = map[string]ticket{}
	}
	d.configure()
	for _, server := range []struct {
		port    int
		handler http.Handler
	}{{storePort, s}, {cloudPort, http.HandlerFunc(d.fleet.serveMachines)}} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.2:%d", subnet, server.port))
		if err != nil {
			return d, err
		}
		go func() { _ = (&http.Server{Handler: server.handler}).Serve(listener) }()
	}
	for i := range zones {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.2:%d", subnet, advicePort+i))
		if err != nil {
			return d, err
		}
		a := &adviser{fleet: d.fleet, name: zones[i]}
		d.advisers = append(d.advisers, a)
		go func() { _ = (&http.Server{Handler: a}).Serve(listener) }()
	}
	for i := range machines {
		if err := d.fleet.addMachine(service, fmt.Sprintf("%s.%d", subnet, 100+i), runnerPort, 4); err != nil {
			return d, err
		}
	}
	for i := range zones {
		if err := d.startDaemon(program, i); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// configure writes the operator's config: one queue and its service.
func (d *deployment) configure() {
	route := map[string]any{"name": "quote", "host": hostName, "path_prefix": prefix, "service": service, "timeout_ms": deadlineMs, "target_latency_ms": 2000, "priority": 0, "max_attempts": 3, "stretch": 1.6}
	if d.advice {
		route["advice"] = map[string]any{"decide_ms": decideTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "valid_ms": ticketTime.Milliseconds()}
	}
	d.store.put("op", "config", map[string]any{
		"version":  7,
		"routes":   []map[string]any{route},
		"services": []map[string]any{{"name": service, "enforces_capacity": true}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
}

func (d *deployment) settings(i int, ip string) string {
	return fmt.Sprintf(`node_name: "front-%s-1"
role: "entry"
machine_class: "front"
serves: ["front"]
ip: "%s"
zone: "%s"
region: "r"
zones: {z-a: "r", z-b: "r", z-c: "r"}
listen: {front: "%s:%d", ready: "%s:%d"}
internal_ports: [7060, 7075]
seeds: []
bootstrap: true
loss_counted: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
fault_tolerance: {machines: 2, zones: 1, regions: 0}
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000, hold_max_ms: 6000, stop_ms: 900, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, notice_ms: 4500, move_s: 1.5, upkeep_s: 2, require_fence: false, lease_ms: 3000}
control_mode: "rpc"
advice: "%s.2:%d"
platform: {addr: "%s.2:%d", form: "table", writes_per_s: 800, reads_per_s: 2000, tx_ms: 4.0, write_rate_s: 250, row_bytes: 65536, across: true, history_s: 20}
cloud: {addr: "%s.2:%d", rate_per_s: 64.0, duties: [], duty_rate_s: 64.0}
`, zones[i], ip, zones[i], ip, frontPort, ip, readyPort, d.subnet, advicePort+i, d.subnet, storePort, d.subnet, cloudPort)
}

// startDaemon starts one daemon with the command of the deploy file.
func (d *deployment) startDaemon(program string, i int) error {
	ip := fmt.Sprintf("%s.%d", d.subnet, 10+i)
	file := filepath.Join(d.dir, zones[i]+".yaml")
	if err := os.WriteFile(file, []byte(d.settings(i, ip)), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(d.dir, zones[i]+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	n := &daemon{name: "front-" + zones[i] + "-1", ip: ip, process: exec.Command(program, "fleet"), exited: make(chan struct{})}
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MOTHFERRY_NODE_FILE=" + file}
	n.process.Stdout, n.process.Stderr = out, out
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	d.daemons = append(d.daemons, n)
	go func() {
		_ = n.process.Wait()
		close(n.exited)
	}()
	return nil
}

func (d *deployment) awaitReady() error {
	for _, n := range d.daemons {
		for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
			response, err := d.client.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, readyPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(start) > 10*time.Second {
				return fmt.Errorf("%s does not get ready", n.name)
			}
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, n := range d.daemons {
		_ = n.process.Process.Kill()
		<-n.exited
	}
	_ = os.RemoveAll(d.dir)
}

// call sends a client's request to a daemon. Status 0 means that there was no answer.
func (d *deployment) call(n *daemon, method, id string, body any) (status int, state string) {
	data := []byte{}
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", n.ip, frontPort, prefix, id), bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Mothferry-Deadline-Ms", fmt.Sprint(deadlineMs))
	response, err := d.client.Do(request)
	if err != nil {
		d.record.printf("client: %s %s at %s: no answer", method, id, n.name)
		return 0, ""
	}
	defer response.Body.Close()
	var reply struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(response.Body).Decode(&reply)
	d.record.printf("client: %s %s at %s: %d %s", method, id, n.name, response.StatusCode, reply.State)
	return response.StatusCode, reply.State
}

// submit hands a job in and reports whether it was accepted.
func (d *deployment) submit(n *daemon, j *job) bool {
	d.addJob(j)
	status, _ := d.call(n, http.MethodPost, j.ID, j)
	return status/100 == 2
}

func (d *deployment) addJob(j *job) {
	d.fleet.mutex.Lock()
	defer d.fleet.mutex.Unlock()
	d.fleet.jobs[j.ID] = j
	d.record.printf("client: job %s has %s", j.ID, describe(j))
}

func describe(j *job) string {
	var parts []string
	for _, s := range j.Steps {
		parts = append(parts, fmt.Sprintf("%d tasks of %d thousandths of a core and %d MB, %d ms, gang %v, long-running %v", s.Count, s.CPU, s.MemMB, s.EstMs, s.Gang, s.LongRunning))
	}
	return strings.Join(parts, "; ")
}

// await waits until a condition holds, for at most limit.
func await(limit time.Duration, holds func() bool) bool {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
