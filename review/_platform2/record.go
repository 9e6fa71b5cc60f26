package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

type (
	// record holds what was sent, answered and run.
	record struct {
		mu     sync.Mutex
		began  time.Time
		lines  []string
		starts []startRecord
		ends   []endRecord
	}

	startRecord struct {
		at                 time.Time
		minion, kind, task string
		run, token         int64
	}

	endRecord struct {
		at           time.Time
		minion, task string
		run          int64
		how          string
		notedAt      time.Time // when the end was taken note of; zero if it was not
	}
)

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) started(minion, kind, task string, run, token int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, startRecord{time.Now(), minion, kind, task, run, token})
	r.line("minion %s (kind %s) starts %s run %d, token %d", minion, kind, task, run, token)
}

func (r *record) ended(minion, task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, endRecord{at: time.Now(), minion: minion, task: task, run: run, how: how})
	r.line("minion %s: %s run %d ends %s", minion, task, run, how)
}

func (r *record) noted(minion string, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.ends {
		if x := &r.ends[i]; x.minion == minion && x.task == e.task && x.run == e.run && x.notedAt.IsZero() {
			x.notedAt = time.Now()
		}
	}
}

// startsOf returns the starts of a job's tasks.
func (r *record) startsOf(job string) []startRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []startRecord
	for _, s := range r.starts {
		if jobOf(s.task) == job {
			all = append(all, s)
		}
	}

	return all
}

// endsOf returns the ends of a job's runs that have ended in the given way.
func (r *record) endsOf(job, how string) []endRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []endRecord
	for _, e := range r.ends {
		if jobOf(e.task) == job && e.how == how {
			all = append(all, e)
		}
	}

	return all
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b []byte
	for _, l := range r.lines {
		b = append(append(b, l...), '\n')
	}

	return os.WriteFile(path, b, 0o644)
}
