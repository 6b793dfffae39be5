package mfdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfdaemon"
	"mothferry/mfexample"
)

const (
	startTimeout   = 5 * time.Second
	inForceTimeout = 4 * time.Second
	servingTimeout = 8 * time.Second
)

// Demo runs a deployment and prints the results of its checks.
type Demo struct {
	Clock  mothferry.Clock
	Random mothferry.Random
	Out    io.Writer
	// Serve keeps the deployment running until the context ends.
	Serve bool
}

// checkResult is the result of one check.
type checkResult struct {
	name   string
	detail string
	passed bool
}

// Run runs the demo. It returns an error unless all checks pass.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deployment, err := newDeployment(d.Clock, d.Random)
	if err != nil {
		return err
	}
	deployment.run(ctx)
	defer deployment.wait()
	defer cancel()
	findings, err := d.prepare(ctx, deployment)
	if err != nil {
		return err
	}
	if d.Serve {
		return d.serve(ctx, deployment)
	}
	traffic := newTraffic(deployment)
	findings = append(findings, traffic.run(ctx)...)
	jobs, err := d.runJobs(ctx)
	if err != nil {
		return err
	}
	findings = append(findings, jobs...)
	d.print(ctx, deployment, traffic, findings)
	for _, f := range findings {
		if !f.passed {
			return trace.Errorf("check failed: %s: %s", f.name, f.detail)
		}
	}
	return nil
}

// prepare applies the example documents and waits until they are in force everywhere and every
// runner serves.
func (d *Demo) prepare(ctx context.Context, k *deployment) ([]checkResult, error) {
	err := k.waitUntil(ctx, startTimeout, "every daemon answers", func(ctx context.Context) bool {
		for _, n := range k.nodes {
			if _, err := n.operator.Status(ctx); err != nil {
				return false
			}
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	documents, err := mfexample.Documents("kelani", "stoisk")
	if err != nil {
		return nil, err
	}
	start := d.Clock.Now()
	var revision mothferry.Revision
	for i, document := range documents {
		client := k.nodes[i%len(k.nodes)].operator
		revision, err = client.Apply(ctx, document.Service, document.Text, 0, "demo", mfdaemon.NewToken())
		if err != nil {
			return nil, err
		}
	}
	if err := k.waitUntil(ctx, inForceTimeout, "documents are in force everywhere", k.inForce(revision)); err != nil {
		return nil, err
	}
	inForce := d.Clock.Now().Sub(start)
	if err := k.waitUntil(ctx, servingTimeout, "every runner serves", k.serving); err != nil {
		return nil, err
	}
	return []checkResult{
		{"documents in force everywhere", fmt.Sprintf("%d documents at %d daemons, %d ms", len(documents), len(k.nodes), inForce.Milliseconds()), true},
		{"every runner placed and serving", fmt.Sprintf("%d ms after the first document", d.Clock.Now().Sub(start).Milliseconds()), true},
	}, nil
}

// inForce returns a function that reports whether a revision is in force at every daemon.
func (k *deployment) inForce(revision mothferry.Revision) func(context.Context) bool {
	return func(ctx context.Context) bool {
		for _, n := range k.nodes {
			s, err := n.operator.Status(ctx)
			if err != nil || s.Revision < revision {
				return false
			}
		}
		return true
	}
}

// serving reports whether every daemon sees all wanted runners of its data centre serve.
func (k *deployment) serving(ctx context.Context) bool {
	for _, n := range k.nodes {
		s, err := n.operator.Status(ctx)
		if err != nil || len(s.Services) == 0 {
			return false
		}
		for _, service := range s.Services {
			if service.Serving < service.Wanted {
				return false
			}
		}
	}
	return true
}

func (d *Demo) serve(ctx context.Context, k *deployment) error {
	fmt.Fprintln(d.Out, "The deployment runs until it is interrupted (ctrl-C).")
	fmt.Fprintf(d.Out, "\n%-10s %-6s %-28s %s\n", "DAEMON", "CENTRE", "CALLERS", "OPERATORS")
	for _, n := range k.nodes {
		fmt.Fprintf(d.Out, "%-10s %-6s %-28s http://%s\n", n.settings.Daemon, n.settings.DataCentre, n.callersURL(), n.settings.Listen.Operators)
	}
	first := k.nodes[0]
	fmt.Fprintf(d.Out, `
Try:
  curl -i %s/quoting/price?records=500 -H 'Mothferry-Customer: label-1'
  curl -i %s/stands/book -H 'Mothferry-Customer: exhibitor-1' -H 'Idempotency-Key: order-7' -d 'stand 12'
  export MOTHFERRY_OPERATOR=http://%s
  go run ./cmd/mothferry status
  go run ./cmd/mothferry get quoting > quoting.yaml    # edit it, then:
  go run ./cmd/mothferry apply --author me --wait quoting.yaml

The platform's stand-in is at http://%s (switches under /standin/).
`, first.callersURL(), first.callersURL(), first.settings.Listen.Operators, k.platform.Addr())
	<-ctx.Done()
	return nil
}

func (d *Demo) print(ctx context.Context, k *deployment, t *traffic, findings []checkResult) {
	status, err := k.nodes[0].operator.Status(ctx)
	if err != nil {
		fmt.Fprintf(d.Out, "Status cannot be read: %v\n", err)
		return
	}
	fmt.Fprintf(d.Out, "mothferry demo: %d daemons in %d data centres, %d hosts, revision %d in force\n\n",
		len(k.nodes), dataCentres, dataCentres*hostsPerDataCentre, status.Revision)
	d.printServices(ctx, k, t)
	fmt.Fprintln(d.Out)
	for _, f := range findings {
		mark := "held"
		if !f.passed {
			mark = "FAILED"
		}
		fmt.Fprintf(d.Out, "%-7s %-38s %s\n", mark, f.name, f.detail)
	}
}

func (d *Demo) printServices(ctx context.Context, k *deployment, t *traffic) {
	serving := map[mothferry.ServiceID][dataCentres]int{}
	for i := range dataCentres {
		s, err := k.nodes[i*daemonsPerDataCentre].operator.Status(ctx)
		if err != nil {
			continue
		}
		for _, service := range s.Services {
			counts := serving[service.Service]
			counts[i] = service.Serving
			serving[service.Service] = counts
		}
	}
	fmt.Fprintf(d.Out, "%-18s %-22s %9s %8s %8s\n", "SERVICE", "RUNNERS (dc1 dc2 dc3)", "ANSWERED", "NOT RUN", "UNKNOWN")
	for _, service := range t.services {
		counts := serving[service]
		ends := t.ends[service]
		fmt.Fprintf(d.Out, "%-18s %-22s %9d %8d %8d\n", service, fmt.Sprintf("%d %d %d", counts[0], counts[1], counts[2]),
			ends[mothferry.EndAnswered], ends[mothferry.EndNotRun], ends[mothferry.EndUnknown])
	}
}
