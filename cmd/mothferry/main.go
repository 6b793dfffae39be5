// Command mothferry is the fleet capacity and maintenance manager.
package main

import (
	"context"
	"os"

	"mothferry/mfclock"
	"mothferry/mfcommand"
)

const version = "0.1.0"

func main() {
	os.Exit(mfcommand.Main(context.Background(), &mfcommand.Environment{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Clock: mfclock.System{}, Random: mfclock.SystemRandom{},
		Getenv: os.Getenv, Version: version,
	}))
}
