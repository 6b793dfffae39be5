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

// Size of the demo's traffic.
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

// reply is what the demo reads of a runner's answer.
type reply struct {
	Request  mothferry.RequestID  `json:"request"`
	Customer mothferry.CustomerID `json:"customer"`
	Service  mothferry.ServiceID  `json:"service"`
	BodyHash string               `json:"body_hash"`
}

// run sends the traffic, kills a runner under it, and checks every promise
// that the demo can see.
func (t *traffic) run(ctx context.Context) []checkResult {
	var group sync.WaitGroup
	for c := range customers {
		for i, service := range t.services {
			group.Go(func() { t.sendAll(ctx, service, c, i) })
		}
	}
	victim := t.killRunner()
	group.Wait()
	replayed := t.repeatKeyed(ctx)
	t.client.CloseIdleConnections()
	runs := t.deployment.standin.Workers.Journal.Runs()
	twice, falseNotRun := t.countViolations(runs)
	return []checkResult{
		{"each answer whole and the caller's own", fmt.Sprintf("%d wrong of %d", len(t.mismatches), t.sent()), len(t.mismatches) == 0},
		{"posted requests run at most once", fmt.Sprintf("%d ran twice, with runner %s killed meanwhile", twice, victim), twice == 0},
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

// send posts one request and notes its end.
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
	wrong := ""
	if end == mothferry.EndAnswered {
		wrong = compareReply(data, reply{Request: id, Customer: customer, Service: service, BodyHash: hash(body)})
	}
	t.record(service, end, id, wrong)
	return response
}

func hash(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:])
}

// compareReply says what is wrong with an answer; nothing if it is empty.
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

func (t *traffic) record(service mothferry.ServiceID, end mothferry.End, id mothferry.RequestID, wrong string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ends[service][end]++
	if end == mothferry.EndNotRun {
		t.notRun[id] = true
	}
	if wrong != "" {
		t.mismatches = append(t.mismatches, wrong)
	}
}

// killRunner kills a runner once a few requests have run.
func (t *traffic) killRunner() mothferry.TaskID {
	for len(t.deployment.standin.Workers.Journal.Runs()) < requestsBeforeKill*len(t.services) {
		<-t.deployment.clock.After(time.Millisecond)
	}
	runners := t.deployment.standin.Workers.Runners()
	victim, err := t.deployment.standin.Workers.Runner(runners[0].Runner)
	if err != nil {
		return ""
	}
	victim.SetFaults(mfstandin.RunnerFaults{Dead: true})
	return runners[0].Runner
}

// repeatKeyed posts one keyed request to each service and repeats it at an
// entry host of another data centre. It returns how many repeats were
// answered from the ledger.
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

// countViolations compares what callers were told with what the runners' journal shows.
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
