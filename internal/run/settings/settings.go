// Package settings reads the settings of one entry VM from YAML.
package settings

import (
	"bytes"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"sesameyoke/internal/core/unit"
)

// minTokenLength is the minimum length of the operators' token, in bytes.
const minTokenLength = 8

// unknownFieldPattern matches the YAML library's error for a key that has no field.
var unknownFieldPattern = regexp.MustCompile(`field (\S+) not found in type \S+`)

type (
	// Timing holds the intervals and timeouts of an entry VM.
	Timing struct {
		HeartbeatInterval unit.Duration `yaml:"beat"`    // interval between heartbeats to a peer
		SuspectTimeout    unit.Duration `yaml:"suspect"` // a peer or worker without a heartbeat or report for this long is not used
		RenewInterval     unit.Duration `yaml:"renew"`   // interval between renewals of a worker's lease
		WorkerLease       unit.Duration `yaml:"lease"`   // duration of a worker's lease
		InitialLeaseTTL   unit.Duration `yaml:"first"`   // duration of a new task's lease until its whole gang has started
		ReservationTTL    unit.Duration `yaml:"reserve"` // duration of a reservation
		CallTimeout       unit.Duration `yaml:"call"`    // timeout of one call to a worker, peer or platform service
		AppendTimeout     unit.Duration `yaml:"append"`  // timeout of one append to the log
		AcceptTimeout     unit.Duration `yaml:"accept"`  // timeout for accepting or refusing a job
		ListInterval      unit.Duration `yaml:"list"`    // interval between reads of the VM list
		DrainTimeout      unit.Duration `yaml:"drain"`   // timeout of a graceful shutdown
	}

	// Limits holds the limits of one entry VM.
	Limits struct {
		MaxBody          int64         `yaml:"body"`     // maximum size of a request body, in bytes
		MaxInflight      int           `yaml:"inflight"` // maximum number of callers' requests in flight
		MaxWait          unit.Duration `yaml:"hold"`     // longest time that one request waits for an answer
		MaxRunWithoutLog unit.Duration `yaml:"short"`    // maximum declared run time of a job that is accepted while the log is down
		SnapshotInterval int64         `yaml:"snapshot"` // number of offsets after which a snapshot of the state is appended to the log
		MemoryMB         int           `yaml:"memory"`   // of the process, in megabytes; 0 if it is not known
		MaxFDs           int           `yaml:"fds"`      // largest number of open descriptors; 0 if it is not known
	}

	// Settings holds the settings of one entry VM.
	Settings struct {
		Name     string `yaml:"name"`
		Region   string `yaml:"region"`
		Domain   string `yaml:"domain"` // failure domain
		Listen   string `yaml:"listen"` // host:port; the host must be an IP address
		Log      string `yaml:"log"`    // URL of the log service
		VMs      string `yaml:"vms"`    // URL of the VM list
		Token    string `yaml:"token"`  // bearer token that operators' requests must carry
		LogLevel string `yaml:"loglevel"`
		Timing   Timing `yaml:"timing"`
		Limits   Limits `yaml:"limits"`
	}
)

// Defaults sets the default values of optional fields that are not set.
func (s *Settings) Defaults() {
	setDefault(&s.Timing.HeartbeatInterval, 500*time.Millisecond)
	setDefault(&s.Timing.SuspectTimeout, 2*time.Second)
	setDefault(&s.Timing.RenewInterval, 500*time.Millisecond)
	setDefault(&s.Timing.WorkerLease, 8*time.Second)
	setDefault(&s.Timing.InitialLeaseTTL, 3*time.Second)
	setDefault(&s.Timing.ReservationTTL, 5*time.Second)
	setDefault(&s.Timing.CallTimeout, time.Second)
	setDefault(&s.Timing.AppendTimeout, 2*time.Second)
	setDefault(&s.Timing.AcceptTimeout, 5*time.Second)
	setDefault(&s.Timing.ListInterval, 2*time.Second)
	setDefault(&s.Timing.DrainTimeout, 2*time.Minute)
	setDefault(&s.Limits.MaxWait, 30*time.Second)
	setDefault(&s.Limits.MaxRunWithoutLog, time.Minute)
	if s.Limits.MaxBody == 0 {
		s.Limits.MaxBody = 256 << 10
	}
	if s.Limits.MaxInflight == 0 {
		s.Limits.MaxInflight = 2000
	}
	if s.Limits.SnapshotInterval == 0 {
		s.Limits.SnapshotInterval = 5000
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
}

func setDefault(d *unit.Duration, v time.Duration) {
	if d.Duration == 0 {
		d.Duration = v
	}
}

// Validate returns an error of type unit.FieldErrors that lists all invalid fields, or nil.
func (s Settings) Validate() error {
	var f unit.FieldErrors
	for field, v := range map[string]string{"name": s.Name, "region": s.Region, "domain": s.Domain} {
		if !unit.ValidName(v) {
			f.Add(field, "%q is not a name of 1 to 64 letters, digits, '-', '_' or '.'", v)
		}
	}
	checkListen(&f, s.Listen)
	checkURL(&f, "log", s.Log)
	checkURL(&f, "vms", s.VMs)
	if len(s.Token) < minTokenLength {
		f.Add("token", "%d characters are fewer than the minimum of %d", len(s.Token), minTokenLength)
	}
	s.Timing.check(&f)
	s.Limits.check(&f)

	return f.Err()
}

func (t Timing) check(f *unit.FieldErrors) {
	all := map[string]unit.Duration{
		"beat": t.HeartbeatInterval, "suspect": t.SuspectTimeout, "renew": t.RenewInterval, "lease": t.WorkerLease, "first": t.InitialLeaseTTL,
		"reserve": t.ReservationTTL, "call": t.CallTimeout, "append": t.AppendTimeout, "accept": t.AcceptTimeout, "list": t.ListInterval, "drain": t.DrainTimeout,
	}
	for name, d := range all {
		if d.Duration <= 0 {
			f.Add("timing."+name, "%v is not positive", d)
		}
	}
	if t.SuspectTimeout.Duration < 2*t.HeartbeatInterval.Duration {
		f.Add("timing.suspect", "%v is less than twice timing.beat, which is %v", t.SuspectTimeout, t.HeartbeatInterval)
	}
	if t.WorkerLease.Duration < 4*t.RenewInterval.Duration {
		f.Add("timing.lease", "%v is less than four times timing.renew, which is %v", t.WorkerLease, t.RenewInterval)
	}
	if t.InitialLeaseTTL.Duration < 2*t.RenewInterval.Duration {
		f.Add("timing.first", "%v is less than twice timing.renew, which is %v", t.InitialLeaseTTL, t.RenewInterval)
	}
}

func (l Limits) check(f *unit.FieldErrors) {
	if l.MaxBody < 1024 {
		f.Add("limits.body", "%d is less than 1024", l.MaxBody)
	}
	if l.MaxInflight < 1 {
		f.Add("limits.inflight", "%d is less than 1", l.MaxInflight)
	}
	if l.MemoryMB < 0 {
		f.Add("limits.memory", "%d is negative", l.MemoryMB)
	}
	if l.MaxFDs < 0 {
		f.Add("limits.fds", "%d is negative", l.MaxFDs)
	}
	if l.MaxWait.Duration <= 0 {
		f.Add("limits.hold", "%v is not positive", l.MaxWait)
	}
	if l.SnapshotInterval < 100 {
		f.Add("limits.snapshot", "%d is less than 100", l.SnapshotInterval)
	}
}

func checkListen(f *unit.FieldErrors, addr string) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		f.Add("listen", "%q is not an IP address and port", addr)
	}
}

func checkURL(f *unit.FieldErrors, field, s string) {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		f.Add(field, "%q is not an http URL", s)
	}
}

// Read reads settings from a file. The error lists all invalid fields with their lines.
func Read(path string) (Settings, error) {
	var s Settings
	err := ReadYAML(path, &s, func() error {
		s.Defaults()

		return s.Validate()
	})

	return s, err
}

// ReadYAML reads a YAML file into v, rejects unknown keys, and calls finish to set
// defaults and validate v. If finish returns unit.FieldErrors, the error lists them with the
// lines of their fields.
func ReadYAML(path string, v any, finish func() error) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "ReadYAML")
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(v); err != nil {
		return errors.New(formatDecodeError(path, err))
	}
	err = finish()
	fieldErrs, ok := err.(unit.FieldErrors)
	if !ok {
		return err
	}

	return errors.New(formatFieldErrors(path, raw, fieldErrs))
}

// formatDecodeError formats the YAML library's errors, one per line of text, each with the
// path and line of its key.
func formatDecodeError(path string, err error) string {
	var typeErr *yaml.TypeError
	if !errors.As(err, &typeErr) {
		return path + ": " + err.Error()
	}
	lines := make([]string, 0, len(typeErr.Errors))
	for _, e := range typeErr.Errors {
		e = unknownFieldPattern.ReplaceAllString(e, "$1 is not a known key")
		lines = append(lines, path+":"+strings.TrimPrefix(e, "line "))
	}

	return strings.Join(lines, "\n")
}

// formatFieldErrors formats the errors, one per line of text, each with path and line, in the
// order of their lines in the file.
func formatFieldErrors(path string, raw []byte, errs unit.FieldErrors) string {
	var root yaml.Node
	if err := yaml.Unmarshal(raw, &root); err != nil {
		return errs.Error()
	}
	lines := make([]string, 0, len(errs))
	sort.SliceStable(errs, func(i, j int) bool {
		a, b := lineOf(&root, errs[i].Field), lineOf(&root, errs[j].Field)
		if a != b {
			return a < b
		}

		return errs[i].Field < errs[j].Field
	})
	for _, f := range errs {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", path, lineOf(&root, f.Field), f.Field, f.Reason))
	}

	return strings.Join(lines, "\n")
}

// lineOf returns the line of a field such as "promises[0].width", or of the innermost
// enclosing field that is present.
func lineOf(n *yaml.Node, field string) int {
	line := max(n.Line, 1)
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	for _, part := range strings.FieldsFunc(field, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		n = child(n, part)
		if n == nil {
			break
		}
		line = n.Line
	}

	return line
}

// child returns the value of the key part in a mapping, or the element at index part of a
// sequence. It returns nil if there is none.
func child(n *yaml.Node, part string) *yaml.Node {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == part {
				return n.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		var i int
		if _, err := fmt.Sscanf(part, "%d", &i); err == nil && i < len(n.Content) {
			return n.Content[i]
		}
	}

	return nil
}
