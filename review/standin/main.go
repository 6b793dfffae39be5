// Command standin plays the cases of the review: it is the platform (store and machines), the
// runners, the operator and the clients, and starts the daemons as processes of their own.
package main

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	daemonsCount = 3
)

// world is a small deployment.
type world struct {
	record  *record
	store   *store
	fleet   *fleet
	clients *clients
	daemons []*daemon
	net     string
	runners int
	version int
	trouble bool
	folder  string
	root    string
	// killed counts the processes that exceeded their memory.
	killed atomic.Int64
	ending atomic.Bool
	// logs is a folder to which the daemons' logs are copied; empty for none.
	logs string
}

// cases holds what each case does after the world has started; it returns what was broken.
var cases = map[string]struct {
	build func(w *world) error
	play  func(w *world) []string
}{
	"largejob": {buildLargeJob, playLargeJob},
	"racks":    {buildRacks, playRacks},
	"rename":   {buildRename, playRename},
	"pools":    {buildPools, playPools},
	"pending":  {buildPending, playPending},
	"waves":    {buildWaves, playWaves},
	"repeat":   {buildRepeat, playRepeat},
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file to write to")
	root := flag.String("root", ".", "the repository's root")
	trouble := flag.Bool("trouble", true, "whether there is a disruption")
	logs := flag.String("logs", "", "a folder for the daemons' logs")
	flag.Parse()
	os.Exit(play(*name, *path, *root, *logs, *trouble))
}

func play(name, path, root, logs string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return exitNotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	w := &world{record: r, trouble: trouble, folder: folder, root: root, logs: logs}
	defer w.end()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		<-signals
		w.end()
		os.Exit(exitNotRun)
	}()
	r.say("case %s, disruption %v", name, trouble)
	if err := w.start(c.build); err != nil {
		r.say("the case could not run: %v", err)
		return exitNotRun
	}
	broken := c.play(w)
	if len(w.clients.acceptedJobs()) == 0 {
		r.say("the case could not run: no job was accepted")
		return exitNotRun
	}
	if len(w.fleet.twice) > 0 {
		r.say("also seen: %d starts of a task beside another run of it", len(w.fleet.twice))
	}
	for _, b := range broken {
		r.say("BROKEN %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}

// start starts the platform, the runners and the daemons, and waits until all are ready.
func (w *world) start(build func(w *world) error) error {
	if err := w.chooseNet(); err != nil {
		return err
	}
	w.store = newStore(w.record)
	w.fleet = newFleet(w.record, w.store)
	storeAt, cloudAt, adviceAt := w.net+"1:8621", w.net+"2:8621", w.net+"3:8621"
	for address, handler := range map[string]http.Handler{storeAt: w.store, cloudAt: w.fleet} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(listener, handler) }()
	}
	if err := build(w); err != nil {
		return err
	}
	for i, zone := range []string{"za", "zb", "zc"}[:daemonsCount] {
		d, err := startDaemon(w.root, w.folder, "front-"+zone+"-1", fmt.Sprintf("%s%d", w.net, 10+i), zone, adviceAt, storeAt, cloudAt)
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	w.clients = newClients(w.record, w.fleet, w.daemons)
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range w.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return errors.New(d.name + " is not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(5 * time.Second)
	w.record.say("all daemons are ready")
	go w.watchMemory()
	return nil
}

// chooseNet chooses a loopback network of which the addresses are free.
func (w *world) chooseNet() error {
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", w.net+"1:8621")
		if err != nil {
			continue
		}
		return listener.Close()
	}
	return errors.New("no free loopback addresses")
}

// addMachines adds machines to a pool, four a rack.
func (w *world) addMachines(count int, pool, kind string, room capacity) error {
	for range count {
		n := w.runners
		w.runners++
		m := &machine{
			name: fmt.Sprintf("m-%05x", 0x10000+n*37), pool: pool, kind: kind, rack: fmt.Sprintf("r1-%d", n/4), zone: []string{"za", "zb", "zc"}[n%3],
			address: fmt.Sprintf("%s%d:8080", w.net, 100+n), capacity: room,
		}
		if err := w.fleet.add(m); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the next config.
func (w *world) configure(services []string, routes ...*route) {
	w.version += 3
	var list, pools []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
			"priority": 0, "service": r.service, "max_attempts": r.attempts, "stretch": 1.6,
		})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false,
		})
	}
	w.store.write("op", "config", map[string]any{
		"version": w.version, "routes": list, "services": pools,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.record.say("config %d is acknowledged", w.version)
}

// end ends all processes that were started.
func (w *world) end() {
	w.ending.Store(true)
	for _, d := range w.daemons {
		d.stop()
		if w.logs != "" {
			if data, err := os.ReadFile(filepath.Join(w.folder, d.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(w.logs, d.name+".log"), data, 0o600)
			}
		}
	}
	w.daemons = nil
}
