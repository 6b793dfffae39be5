//go:build review

// Command standin-2 plays the cases of the second review: it starts the daemons as processes, stands in
// for the store, the runners, the list of machines and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// setupTime is how long runners register, and the daemons find an owner, before clients come.
const setupTime = 5 * time.Second

// play is one case. It returns whether the rule held; an error means that the case couldn't run.
type play struct {
	machines int
	advice   bool
	run      func(d *deployment, trouble bool) (held bool, err error)
}

var plays = map[string]play{
	"gang":   {machines: 44, run: playGang},
	"cancel": {machines: 8, run: playCancel},
	"advice": {machines: 12, advice: true, run: playAdvice},
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin-2 CASE PROGRAM RECORD")
		return exitFailed
	}
	p, known := plays[os.Args[1]]
	if !known {
		fmt.Println("unknown case", os.Args[1])
		return exitFailed
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption %v", os.Args[1], trouble)
	d, err := newDeployment(r, os.Args[2], p.machines, p.advice)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.printf("the case couldn't run: %v", err)
		return exitFailed
	}
	time.Sleep(setupTime)
	held, err := p.run(d, trouble)
	switch {
	case err != nil:
		r.printf("the case couldn't run: %v", err)
		return exitFailed
	case !held:
		r.printf("the rule was broken")
		return exitBroken
	}
	r.printf("the rule held")
	return exitHeld
}
