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

// minToken is the shortest token of operators, in characters.
const minToken = 8

// unknownKey matches what the YAML library says of a key that no field takes.
var unknownKey = regexp.MustCompile(`field (\S+) not found in type \S+`)

type (
	// Timing holds the intervals of an entry VM.
	Timing struct {
		Beat    unit.Duration `yaml:"beat"`    // between heartbeats to a peer
		Suspect unit.Duration `yaml:"suspect"` // a peer that is silent for so long is taken for gone
		Renew   unit.Duration `yaml:"renew"`   // between renewals of a worker's lease
		Lease   unit.Duration `yaml:"lease"`   // life of a worker's lease
		First   unit.Duration `yaml:"first"`   // life of a new task's lease until its gang is whole
		Reserve unit.Duration `yaml:"reserve"` // life of a reservation
		Call    unit.Duration `yaml:"call"`    // one call to a worker, peer or platform service
		Append  unit.Duration `yaml:"append"`  // one append to the log
		Accept  unit.Duration `yaml:"accept"`  // until a job is accepted or refused
		List    unit.Duration `yaml:"list"`    // between readings of the VM list
		Drain   unit.Duration `yaml:"drain"`   // longest graceful shutdown
	}

	// Limits bounds what one entry VM takes on.
	Limits struct {
		Body     int64         `yaml:"body"`     // bytes of a request
		Inflight int           `yaml:"inflight"` // callers' requests at once
		Hold     unit.Duration `yaml:"hold"`     // longest wait for an answer in one request
		Short    unit.Duration `yaml:"short"`    // longest declared run time that is taken while the log is down
		Snapshot int64         `yaml:"snapshot"` // offsets after which the state is written to the log again
	}

	// Settings are those of one entry VM.
	Settings struct {
		Name     string `yaml:"name"`
		Region   string `yaml:"region"`
		Domain   string `yaml:"domain"` // failure domain
		Listen   string `yaml:"listen"` // host:port by IP number
		Log      string `yaml:"log"`    // URL of the log service
		VMs      string `yaml:"vms"`    // URL of the VM list
		Token    string `yaml:"token"`  // of operators' calls
		LogLevel string `yaml:"loglevel"`
		Timing   Timing `yaml:"timing"`
		Limits   Limits `yaml:"limits"`
	}
)

// Defaults fills in what may be left out.
func (s *Settings) Defaults() {
	def(&s.Timing.Beat, 500*time.Millisecond)
	def(&s.Timing.Suspect, 2*time.Second)
	def(&s.Timing.Renew, 500*time.Millisecond)
	def(&s.Timing.Lease, 8*time.Second)
	def(&s.Timing.First, 3*time.Second)
	def(&s.Timing.Reserve, 5*time.Second)
	def(&s.Timing.Call, time.Second)
	def(&s.Timing.Append, 2*time.Second)
	def(&s.Timing.Accept, 5*time.Second)
	def(&s.Timing.List, 2*time.Second)
	def(&s.Timing.Drain, 2*time.Minute)
	def(&s.Limits.Hold, 30*time.Second)
	def(&s.Limits.Short, time.Minute)
	if s.Limits.Body == 0 {
		s.Limits.Body = 256 << 10
	}
	if s.Limits.Inflight == 0 {
		s.Limits.Inflight = 2000
	}
	if s.Limits.Snapshot == 0 {
		s.Limits.Snapshot = 5000
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
}

func def(d *unit.Duration, v time.Duration) {
	if d.Duration == 0 {
		d.Duration = v
	}
}

// Validate returns all invalid fields, as unit.Faults.
func (s Settings) Validate() error {
	var f unit.Faults
	for field, v := range map[string]string{"name": s.Name, "region": s.Region, "domain": s.Domain} {
		if !unit.ValidName(v) {
			f.Add(field, "%q is not a name of 1 to 64 letters, digits, '-', '_' or '.'", v)
		}
	}
	checkListen(&f, s.Listen)
	checkURL(&f, "log", s.Log)
	checkURL(&f, "vms", s.VMs)
	if len(s.Token) < minToken {
		f.Add("token", "%d characters are fewer than %d", len(s.Token), minToken)
	}
	s.Timing.check(&f)
	s.Limits.check(&f)

	return f.Err()
}

func (t Timing) check(f *unit.Faults) {
	all := map[string]unit.Duration{
		"beat": t.Beat, "suspect": t.Suspect, "renew": t.Renew, "lease": t.Lease, "first": t.First,
		"reserve": t.Reserve, "call": t.Call, "append": t.Append, "accept": t.Accept, "list": t.List, "drain": t.Drain,
	}
	for name, d := range all {
		if d.Duration <= 0 {
			f.Add("timing."+name, "%v is not positive", d)
		}
	}
	if t.Suspect.Duration < 2*t.Beat.Duration {
		f.Add("timing.suspect", "%v is less than two beats of %v", t.Suspect, t.Beat)
	}
	if t.Lease.Duration < 4*t.Renew.Duration {
		f.Add("timing.lease", "%v is less than four renewals of %v", t.Lease, t.Renew)
	}
	if t.First.Duration < 2*t.Renew.Duration {
		f.Add("timing.first", "%v is less than two renewals of %v", t.First, t.Renew)
	}
}

func (l Limits) check(f *unit.Faults) {
	if l.Body < 1024 {
		f.Add("limits.body", "%d is less than 1024", l.Body)
	}
	if l.Inflight < 1 {
		f.Add("limits.inflight", "%d is less than 1", l.Inflight)
	}
	if l.Hold.Duration <= 0 {
		f.Add("limits.hold", "%v is not positive", l.Hold)
	}
	if l.Snapshot < 100 {
		f.Add("limits.snapshot", "%d is less than 100", l.Snapshot)
	}
}

func checkListen(f *unit.Faults, addr string) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		f.Add("listen", "%q is not an IP number and a port", addr)
	}
}

func checkURL(f *unit.Faults, field, s string) {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		f.Add(field, "%q is not an http URL", s)
	}
}

// Read reads settings from a file. The error lists all faults with their lines.
func Read(path string) (Settings, error) {
	var s Settings
	err := ReadYAML(path, &s, func() error {
		s.Defaults()

		return s.Validate()
	})

	return s, err
}

// ReadYAML reads a YAML file into v, refuses unknown keys, and calls finish, whose
// unit.Faults get the lines of their fields.
func ReadYAML(path string, v any, finish func() error) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "ReadYAML")
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(v); err != nil {
		return errors.New(decodeFaults(path, err))
	}
	err = finish()
	faults, ok := err.(unit.Faults)
	if !ok {
		return err
	}

	return errors.New(withLines(path, raw, faults))
}

// decodeFaults lists what the YAML library could not decode, by line.
func decodeFaults(path string, err error) string {
	var faults *yaml.TypeError
	if !errors.As(err, &faults) {
		return path + ": " + err.Error()
	}
	lines := make([]string, 0, len(faults.Errors))
	for _, e := range faults.Errors {
		e = unknownKey.ReplaceAllString(e, "$1 is not a known key")
		lines = append(lines, path+":"+strings.TrimPrefix(e, "line "))
	}

	return strings.Join(lines, "\n")
}

func withLines(path string, raw []byte, faults unit.Faults) string {
	var root yaml.Node
	if err := yaml.Unmarshal(raw, &root); err != nil {
		return faults.Error()
	}
	lines := make([]string, 0, len(faults))
	sort.SliceStable(faults, func(i, j int) bool {
		a, b := lineOf(&root, faults[i].Field), lineOf(&root, faults[j].Field)
		if a != b {
			return a < b
		}

		return faults[i].Field < faults[j].Field
	})
	for _, f := range faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", path, lineOf(&root, f.Field), f.Field, f.Reason))
	}

	return strings.Join(lines, "\n")
}

// lineOf returns the line of a field such as "promises[0].width", or of the
// nearest field around it.
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
