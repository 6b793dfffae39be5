package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the time since its start.
type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f ", time.Since(r.began).Seconds())
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.out.Flush()
	r.file.Close()
}
