package mfcommand

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfstory"
)

func explainCommand() command {
	return command{
		name: "explain", arguments: "ID [FILE...]", help: "Print one job's story from the daemons' logs.",
		details: "Reads the logs of all daemons from files, or from standard input, and prints the lines that name the job,\nand those on its workers and on the shard's ownership while it was there, in the order of time.\n" +
			"Below them it says in words what the lines tell of refusals, slow workers, copies, and calls passed on to peers.",
		prepare: func(e *Environment, _ *flag.FlagSet) runFunc {
			return func(_ context.Context, arguments []string) error {
				if len(arguments) == 0 {
					return &errUsage{"give a job's id"}
				}
				lines, err := readLogs(e, arguments[1:])
				if err != nil {
					return err
				}
				job := mothferry.JobID(arguments[0])
				story := mfstory.JobLines(job, lines)
				if len(story) == 0 {
					return trace.Errorf("no line of these logs names job %s: were all daemons' logs given?", job)
				}
				for _, l := range story {
					fmt.Fprintln(e.Out, l)
				}
				if told := mfstory.Explain(job, story); len(told) > 0 {
					fmt.Fprintln(e.Out)
					for _, sentence := range told {
						fmt.Fprintln(e.Out, sentence)
					}
				}
				return nil
			}
		},
	}
}

func readLogs(e *Environment, files []string) ([]mfstory.Line, error) {
	if len(files) == 0 {
		return mfstory.Decode(e.In)
	}
	var lines []mfstory.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		some, err := mfstory.Decode(f)
		_ = f.Close()
		if err != nil {
			return nil, trace.Wrap(err, name)
		}
		lines = append(lines, some...)
	}
	return lines, nil
}
