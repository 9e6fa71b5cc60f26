package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const usageExplain = `Prints the lines of the collected VM logs that concern a job, sorted by time: its
submission, each decision with its inputs, and the events of the planners and
workers involved.

    sesameyoke explain 5c0e7a21d94b36f8 vm1.log vm2.log
    cat *.log | sesameyoke explain 5c0e7a21d94b36f8`

const maxLine = 1 << 20 // longest log line in bytes

var (
	lineTime   = regexp.MustCompile(`time=(\S+)`)
	lineWorker = regexp.MustCompile(`worker=(\S+)`)

	// contextEvents matches the events that show which VM was the planner, when the
	// lease or the store was lost, and when VMs started or stopped.
	contextEvents = regexp.MustCompile(`event=(lease-taken|lease-lost|planning|store-lost|store-regained|started|stopped)\b`)
	workerEvents  = regexp.MustCompile(`event=(worker-\S+|lease-lapsed)`)
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the events of a job from collected logs", ArgsUsage: "ID [FILE...]", Description: usageExplain,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("missing argument: ID of the job")
			}
			lines, err := readLines(c.Args().Tail())
			if err != nil {
				return err
			}

			return explain(os.Stdout, c.Args().First(), lines)
		},
	}
}

func readLines(files []string) ([]string, error) {
	if len(files) == 0 {
		return scanLines(os.Stdin)
	}
	var all []string
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err := scanLines(f)
		_ = f.Close() // the file was only read; a close error loses nothing
		if err != nil {
			return nil, errors.Wrapf(err, "read %q", name)
		}
		all = append(all, lines...)
	}

	return all, nil
}

func scanLines(r io.Reader) ([]string, error) {
	var lines []string
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if lineTime.MatchString(s.Text()) {
			lines = append(lines, s.Text())
		}
	}

	return lines, s.Err()
}

// explain writes the lines about a job, and those about its workers and the planners
// between the first and the last line of the job.
func explain(w io.Writer, id string, lines []string) error {
	jobLine := regexp.MustCompile(`\b(id|key|unit)="?(o/|c/)?` + regexp.QuoteMeta(id) + `\b`)
	workers := map[string]bool{}
	var first, last string
	for _, l := range lines {
		if !jobLine.MatchString(l) {
			continue
		}
		t := lineTime.FindStringSubmatch(l)[1]
		if first == "" || t < first {
			first = t
		}
		last = max(last, t)
		if m := lineWorker.FindStringSubmatch(l); m != nil {
			workers[m[1]] = true
		}
	}
	if first == "" {
		return errors.Errorf("no log line mentions job %q", id)
	}
	selected := slices.DeleteFunc(lines, func(l string) bool { return !related(l, jobLine, workers, first, last) })
	slices.SortStableFunc(selected, func(a, b string) int {
		return strings.Compare(lineTime.FindStringSubmatch(a)[1], lineTime.FindStringSubmatch(b)[1])
	})
	for _, l := range selected {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}

	return nil
}

// related reports whether a line concerns the job, or between the times first and last the
// job's workers or the planners.
func related(l string, jobLine *regexp.Regexp, workers map[string]bool, first, last string) bool {
	if jobLine.MatchString(l) {
		return true
	}
	t := lineTime.FindStringSubmatch(l)[1]
	if t < first || t > last {
		return false
	}
	if m := lineWorker.FindStringSubmatch(l); m != nil && workers[m[1]] && workerEvents.MatchString(l) {
		return true
	}

	return contextEvents.MatchString(l)
}
