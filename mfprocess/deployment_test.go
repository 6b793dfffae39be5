// Package mfprocess tests whole deployments: daemons and the platform's
// stand-in as separate processes on loopback addresses.
package mfprocess

import (
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
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfdaemon"
	"mothferry/mfexample"
	"mothferry/mffake"
	"mothferry/mfoperate"
	"mothferry/mfplacement"
	"mothferry/mfstandin"
)

// waitTimeout bounds waits for what must happen. It is far above what is needed,
// so that no verdict depends on how busy the machine is.
const waitTimeout = time.Minute

// binaryDir are the programs under test, built once.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mothferry")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaryDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running daemon.
type process struct {
	name         mothferry.DaemonID
	centre       mothferry.DataCentre
	address      string
	settingsFile string
	command      *exec.Cmd
	exited       chan struct{}
	operator     *mfoperate.Client
}

func (p *process) callerURL() string { return "http://" + p.address + ":7300" }

// deployment is a set of processes.
type deployment struct {
	platformAddress string
	processes       []*process
	client          *http.Client
}

// startDeployment runs the stand-in and, in each of three data centres, some daemons.
func startDeployment(t testing.TB, perCentre int, settings string) *deployment {
	t.Helper()
	return startDeploymentWith(t, perCentre, settings, "--hosts", "16")
}

// startDeploymentWith does the same with flags for the stand-in.
func startDeploymentWith(t testing.TB, perCentre int, settings string, flags ...string) *deployment {
	t.Helper()
	subnet := mffake.ClaimSubnet(t)
	d := &deployment{
		platformAddress: subnet + ".1:7400",
		client:          &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	t.Cleanup(d.client.CloseIdleConnections)
	d.startProgram(t, "standin", "mothferry-standin", append([]string{"--listen", d.platformAddress, "--start-delay", "20ms"}, flags...)...)
	eventually(t, "the stand-in listens", func() bool {
		connection, err := net.Dial("tcp", d.platformAddress)
		if err != nil {
			return false
		}
		return connection.Close() == nil
	})
	for i := range 3 * perCentre {
		p := &process{
			name:    mothferry.DaemonID(fmt.Sprintf("entry-%d", i+1)),
			centre:  mothferry.DataCentre(fmt.Sprintf("dc%d", i/perCentre+1)),
			address: fmt.Sprintf("%s.%d", subnet, 10+i),
			exited:  make(chan struct{}),
		}
		p.operator = &mfoperate.Client{URL: "http://" + p.address + ":7302", HTTP: d.client}
		d.processes = append(d.processes, p)
	}
	dir := t.TempDir()
	for _, p := range d.processes {
		p.settingsFile = filepath.Join(dir, string(p.name)+".yaml")
		assert.NilError(t, os.WriteFile(p.settingsFile, []byte(d.daemonSettings(p)+settings), 0o600))
		d.startDaemon(t, p)
	}
	return d
}

func (d *deployment) daemonSettings(p *process) string {
	var out strings.Builder
	fmt.Fprintf(&out, "daemon: %s\ndata_centre: %s\n", p.name, p.centre)
	fmt.Fprintf(&out, "listen: {callers: '%[1]s:7300', peers: '%[1]s:7301', operators: '%[1]s:7302'}\n", p.address)
	fmt.Fprintf(&out, "platform: {url: 'http://%s', timeout: 1s}\npeers:\n", d.platformAddress)
	for _, o := range d.processes {
		if o != p {
			fmt.Fprintf(&out, "  - {daemon: %s, data_centre: %s, address: '%s:7301'}\n", o.name, o.centre, o.address)
		}
	}
	return out.String()
}

// startDaemon starts a daemon's process, or starts it again.
func (d *deployment) startDaemon(t testing.TB, p *process) {
	t.Helper()
	p.command = d.startProgram(t, string(p.name), "mothferry", "serve", "--settings", p.settingsFile)
	ended := make(chan struct{})
	p.exited = ended
	command := p.command
	go func() { _ = command.Wait(); close(ended) }()
}

// startProgram starts a program and kills it at the end of the test. Its log is shown
// if the test failed.
func (d *deployment) startProgram(t testing.TB, name, program string, arguments ...string) *exec.Cmd {
	t.Helper()
	log, err := os.CreateTemp(t.TempDir(), name)
	assert.NilError(t, err)
	command := exec.Command(filepath.Join(binaryDir, program), arguments...)
	command.Stdout, command.Stderr = log, log
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		if t.Failed() {
			data, _ := os.ReadFile(log.Name())
			t.Logf("log of %s:\n%s", name, lastLines(string(data), 40))
		}
	})
	return command
}

func lastLines(text string, lines int) string {
	all := strings.Split(text, "\n")
	return strings.Join(all[max(len(all)-lines, 0):], "\n")
}

// signal sends a signal to a daemon's process.
func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.command.Process.Signal(s))
}

// kill ends a daemon's process without warning and waits until it is gone.
func (p *process) kill(t testing.TB) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.exited
}

// eventually asserts that done becomes true.
func eventually(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("still not so after %s: %s", waitTimeout, what)
		}
	}
}

// apply applies the documents of the teams at changing daemons, waits until
// they are in force at every daemon and every runner serves, and returns the
// services.
func (d *deployment) apply(t testing.TB, teams ...string) []mothferry.ServiceID {
	t.Helper()
	documents, err := mfexample.Documents(teams...)
	assert.NilError(t, err)
	var services []mothferry.ServiceID
	var revision mothferry.Revision
	for i, k := range documents {
		client := d.processes[i%len(d.processes)].operator
		eventually(t, "document is accepted", func() bool {
			r, err := client.Apply(t.Context(), k.Service, k.Text, 0, "test", mfdaemon.NewToken())
			revision = max(revision, r)
			return err == nil
		})
		services = append(services, k.Service)
	}
	d.awaitRevision(t, revision, d.processes)
	d.awaitServing(t, d.processes)
	return services
}

// awaitRevision asserts that daemons come to have a revision in force.
func (d *deployment) awaitRevision(t testing.TB, revision mothferry.Revision, processes []*process) {
	t.Helper()
	for _, p := range processes {
		eventually(t, fmt.Sprintf("revision %d in force at %s", revision, p.name), func() bool {
			s, err := p.operator.Status(t.Context())
			return err == nil && s.Revision >= revision
		})
	}
}

// awaitServing asserts that daemons come to see every wanted runner serve.
func (d *deployment) awaitServing(t testing.TB, processes []*process) {
	t.Helper()
	for _, p := range processes {
		eventually(t, "every runner serves as seen by "+string(p.name), func() bool {
			s, err := p.operator.Status(t.Context())
			if err != nil || len(s.Services) == 0 {
				return false
			}
			for _, k := range s.Services {
				if k.Serving < k.Wanted {
					return false
				}
			}
			return true
		})
	}
}

// call describes one request of a test.
type call struct {
	method   string
	service  mothferry.ServiceID
	path     string
	customer mothferry.CustomerID
	id       mothferry.RequestID
	key      string
	timeout  time.Duration
	body     string
}

// result is what a caller saw.
type result struct {
	status   int
	end      mothferry.End
	reason   mothferry.Reason
	replayed bool
	retry    string
	body     []byte
	err      error
}

// runnerAnswer is what the stand-in's runner says of the request that it ran.
type runnerAnswer struct {
	Request  mothferry.RequestID  `json:"request"`
	Customer mothferry.CustomerID `json:"customer"`
	Service  mothferry.ServiceID  `json:"service"`
	Runner   mothferry.TaskID     `json:"runner"`
	BodySize int                  `json:"body_size"`
}

// send makes a call at a daemon.
func (d *deployment) send(ctx context.Context, p *process, c call) result {
	request, err := http.NewRequestWithContext(ctx, c.method, p.callerURL()+"/"+string(c.service)+c.path, strings.NewReader(c.body))
	if err != nil {
		return result{err: err}
	}
	request.Header.Set(mothferry.HeaderRequestID, string(c.id))
	request.Header.Set(mothferry.HeaderCustomer, string(c.customer))
	if c.key != "" {
		// A spelling that net/http's own client does not take for a licence
		// to send the request twice: the test counts what it sends.
		request.Header["idempotency-key"] = []string{c.key}
	}
	if c.timeout > 0 {
		request.Header.Set(mothferry.HeaderTimeout, c.timeout.String())
	}
	response, err := d.client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode, body: body, err: err,
		end:      mothferry.End(response.Header.Get(mothferry.HeaderEnd)),
		reason:   mothferry.Reason(response.Header.Get(mothferry.HeaderReason)),
		replayed: response.Header.Get(mothferry.HeaderReplayed) != "",
		retry:    response.Header.Get("Retry-After"),
	}
}

// checkOwnAnswer asserts that an answered call got its own whole answer.
func checkOwnAnswer(t *testing.T, c call, r result) {
	t.Helper()
	var a runnerAnswer
	assert.NilError(t, json.Unmarshal(r.body, &a), "answer to %s: %q", c.id, r.body)
	assert.Equal(t, a.Request, c.id)
	assert.Equal(t, a.Customer, c.customer)
	assert.Equal(t, a.Service, c.service)
	assert.Equal(t, a.BodySize, len(c.body))
}

// setStandin sets a switch of the stand-in.
func (d *deployment) setStandin(t testing.TB, path string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+d.platformAddress+"/standin/"+path, strings.NewReader(string(data)))
	assert.NilError(t, err)
	response, err := d.client.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// getStandin reads a page of the stand-in.
func getStandin[T any](t testing.TB, d *deployment, path string) T {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.platformAddress+"/standin/"+path, nil)
	assert.NilError(t, err)
	response, err := d.client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	var value T
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&value))
	return value
}

// runCounts returns how often each request ran.
func (d *deployment) runCounts(t *testing.T) map[mothferry.RequestID]int {
	t.Helper()
	count := map[mothferry.RequestID]int{}
	for _, r := range getStandin[[]mfstandin.Run](t, d, "journal") {
		count[r.Request]++
	}
	return count
}

// placedRunners returns the runners of a service that a daemon has in force.
func placedRunners(t testing.TB, p *process, service mothferry.ServiceID) []mfplacement.Runner {
	t.Helper()
	records, err := p.operator.Placements(t.Context())
	assert.NilError(t, err)
	var runners []mfplacement.Runner
	for _, r := range records {
		for _, k := range r.Runners {
			if k.Service == service {
				runners = append(runners, k)
			}
		}
	}
	return runners
}
