// Package mflog sets up logging as text or JSON, with a logger for each component
// whose level can be set by the component's name.
package mflog

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// partField is the log field that holds the name of the component.
const partField = "part"

// Format is the output format of logs.
type Format string

// Formats of logs.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Logs creates the loggers for the components of one process.
type Logs struct {
	Output io.Writer
	Format Format
	Level  log.Level
	// Parts overrides the level of single components by name.
	Parts map[string]log.Level
	mutex sync.Mutex
}

// Part returns the logger of the component with this name.
func (l *Logs) Part(name string) *log.Entry {
	level := l.Level
	if own, ok := l.Parts[name]; ok {
		level = own
	}
	var handler log.Handler = log.HandlerFunc(l.writeText)
	if l.Format == FormatJSON {
		handler = json.New(l.Output)
	}
	logger := &log.Logger{Handler: handler, Level: level}
	return logger.WithField(partField, name)
}

func (l *Logs) writeText(e *log.Entry) error {
	var line strings.Builder
	part, _ := e.Fields[partField].(string)
	fmt.Fprintf(&line, "%s %-5s %s: %s", e.Timestamp.UTC().Format(time.RFC3339Nano), e.Level, part, e.Message)
	for _, n := range e.Fields.Names() {
		if n != partField {
			fmt.Fprintf(&line, " %s=%v", n, e.Fields.Get(n))
		}
	}
	line.WriteByte('\n')
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, err := io.WriteString(l.Output, line.String())
	return err
}

// Discard returns a logger that writes nothing.
func Discard() *log.Entry {
	logs := &Logs{Output: io.Discard, Level: log.FatalLevel}
	return logs.Part("none")
}
