package mfdemo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"mothferry"
	"mothferry/mfstandin"
)

const (
	customers           = 6
	requestsPerCustomer = 20
	callerConnections   = 256
	callerTimeout       = 10 * time.Second
	requestsBeforeKill  = 5
)

// traffic sends requests to a deployment and checks their answers.
type traffic struct {
	deployment *deployment
	client     *http.Client
	services   []mothferry.ServiceID

	mutex      sync.Mutex
	ends       map[mothferry.ServiceID]map[mothferry.End]int
	mismatches []string
	notRun     map[mothferry.RequestID]bool
}

func newTraffic(d *deployment) *traffic {
	t := &traffic{
		deployment: d,
		client:     &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callerConnections}},
		ends:       map[mothferry.ServiceID]map[mothferry.End]int{},
		notRun:     map[mothferry.RequestID]bool{},
	}
	seen := map[mothferry.ServiceID]bool{}
	for _, r := range d.standin.Workers.Runners() {
		if !seen[r.Service] {
			seen[r.Service] = true
			t.services = append(t.services, r.Service)
			t.ends[r.Service] = map[mothferry.End]int{}
		}
	}
	return t
}

// reply is the part of a runner's answer that the demo checks.
type reply struct {
	Request  mothferry.RequestID  `json:"request"`
	Customer mothferry.CustomerID `json:"customer"`
	Service  mothferry.ServiceID  `json:"service"`
	BodyHash string               `json:"body_hash"`
}

// run sends the traffic, kills a runner meanwhile, and checks every guarantee that is visible
// to callers.
func (t *traffic) run(ctx context.Context) []checkResult {
	var group sync.WaitGroup
	for c := range customers {
		for i, service := range t.services {
			group.Go(func() { t.sendAll(ctx, service, c, i) })
		}
	}
	killed := t.killRunner()
	group.Wait()
	replayed := t.repeatKeyed(ctx)
	t.client.CloseIdleConnections()
	runs := t.deployment.standin.Workers.Journal.Runs()
	twice, falseNotRun := t.countViolations(runs)
	return []checkResult{
		{"each answer whole and the caller's own", fmt.Sprintf("%d wrong of %d", len(t.mismatches), t.sent()), len(t.mismatches) == 0},
		{"posted requests run at most once", fmt.Sprintf("%d ran twice, with runner %s killed meanwhile", twice, killed), twice == 0},
		{"\"not run\" is true", fmt.Sprintf("%d ran in spite of it", falseNotRun), falseNotRun == 0},
		{"a repeated key gets the recorded answer", fmt.Sprintf("%d of %d repeats, each at another data centre", replayed, len(t.services)), replayed == len(t.services)},
	}
}

func (t *traffic) sent() int {
	total := 0
	for _, ends := range t.ends {
		for _, n := range ends {
			total += n
		}
	}
	return total
}

// sendAll sends one customer's requests to one service, over all entry hosts.
func (t *traffic) sendAll(ctx context.Context, service mothferry.ServiceID, c, offset int) {
	for i := range requestsPerCustomer {
		n := t.deployment.nodes[(c+i+offset)%len(t.deployment.nodes)]
		id := mothferry.RequestID(fmt.Sprintf("demo-%s-%d-%d", service, c, i))
		customer := mothferry.CustomerID(fmt.Sprintf("customer-%d", c))
		t.send(ctx, n, service, customer, id, "")
	}
}

// send posts one request and records its end.
func (t *traffic) send(ctx context.Context, n *node, service mothferry.ServiceID, customer mothferry.CustomerID, id mothferry.RequestID, key string) *http.Response {
	body := "body of " + string(id)
	url := fmt.Sprintf("%s/%s/orders?work=5ms&size=%d", n.callersURL(), service, len(id)*100)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.record(service, "", id, err.Error())
		return nil
	}
	request.Header.Set(mothferry.HeaderRequestID, string(id))
	request.Header.Set(mothferry.HeaderCustomer, string(customer))
	if key != "" {
		request.Header.Set(mothferry.HeaderKey, key)
	}
	response, err := t.client.Do(request)
	if err != nil {
		t.record(service, mothferry.EndUnknown, id, "")
		return nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.record(service, mothferry.EndUnknown, id, "")
		return response
	}
	end := mothferry.End(response.Header.Get(mothferry.HeaderEnd))
	mismatch := ""
	if end == mothferry.EndAnswered {
		mismatch = compareReply(data, reply{Request: id, Customer: customer, Service: service, BodyHash: hash(body)})
	}
	t.record(service, end, id, mismatch)
	return response
}

func hash(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:])
}

// compareReply returns how an answer differs from the expected one, or an empty string.
func compareReply(data []byte, want reply) string {
	var got reply
	if err := json.Unmarshal(data, &got); err != nil {
		return err.Error()
	}
	if got != want {
		return fmt.Sprintf("got %v, want %v", got, want)
	}
	return ""
}

func (t *traffic) record(service mothferry.ServiceID, end mothferry.End, id mothferry.RequestID, mismatch string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ends[service][end]++
	if end == mothferry.EndNotRun {
		t.notRun[id] = true
	}
	if mismatch != "" {
		t.mismatches = append(t.mismatches, mismatch)
	}
}

// killRunner kills a runner once a few requests have run.
func (t *traffic) killRunner() mothferry.TaskID {
	for len(t.deployment.standin.Workers.Journal.Runs()) < requestsBeforeKill*len(t.services) {
		<-t.deployment.clock.After(time.Millisecond)
	}
	runners := t.deployment.standin.Workers.Runners()
	runner, err := t.deployment.standin.Workers.Runner(runners[0].Runner)
	if err != nil {
		return ""
	}
	runner.SetFaults(mfstandin.RunnerFaults{Dead: true})
	return runners[0].Runner
}

// repeatKeyed posts one keyed request to each service and repeats it at an entry host of
// another data centre. It returns the number of repeats that were answered from the ledger.
func (t *traffic) repeatKeyed(ctx context.Context) int {
	replayed := 0
	for i, service := range t.services {
		id := mothferry.RequestID("demo-keyed-" + string(service))
		first := t.deployment.nodes[i%len(t.deployment.nodes)]
		other := t.deployment.nodes[(i+daemonsPerDataCentre)%len(t.deployment.nodes)]
		t.send(ctx, first, service, "customer-keyed", id, "key-1")
		_ = t.deployment.waitUntil(ctx, time.Second, "answer is recorded", func(ctx context.Context) bool {
			response := t.send(ctx, other, service, "customer-keyed", id, "key-1")
			return response != nil && response.Header.Get(mothferry.HeaderReplayed) != ""
		})
		response := t.send(ctx, other, service, "customer-keyed", id, "key-1")
		if response != nil && response.Header.Get(mothferry.HeaderReplayed) != "" {
			replayed++
		}
	}
	return replayed
}

// countViolations counts the requests that ran twice, and those that ran although the caller
// was told otherwise, by the runners' journal.
func (t *traffic) countViolations(runs []mfstandin.Run) (twice, falseNotRun int) {
	count := map[mothferry.RequestID]int{}
	for _, r := range runs {
		count[r.Request]++
	}
	for id, n := range count {
		if n > 1 {
			twice++
		}
		if t.notRun[id] {
			falseNotRun++
		}
	}
	return twice, falseNotRun
}
