package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"sesameyoke/internal/core/policy"
	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
)

type (
	// knownQueue is the newest known configuration of a queue. Jobs need it also after the queue
	// has been removed from the configuration.
	knownQueue struct {
		policy.Queue
		version     int64        // of the configuration that contained the queue
		recorded    *queueRecord // newest record of the queue in JobsTopic, or scheduled for it; nil if there is none
		handin      handinState  // whether HandinTopic holds a record of the queue
		unusedSince time.Duration
	}

	// queueRecord is what the jobs of a queue need to know of it. Decoding ignores fields of
	// later versions.
	queueRecord struct {
		Name     string `cbor:",omitempty"` // of the queue; empty if the record's key has it
		Version  int64  // of the configuration
		Service  string
		Priority int
		Attempts int
		Stretch  float64
		Target   time.Duration
		Advised  bool
	}
)

// newQueueRecord returns the record of a queue in a version of the configuration.
func newQueueRecord(q policy.Queue, version int64) queueRecord {
	return queueRecord{
		Version: version, Service: q.Service, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Target: q.Target, Advised: q.Advised,
	}
}

// QueueRecord returns the record that an entry VM writes beside a job that it hands in without
// the planner, which perhaps doesn't know the job's queue.
func QueueRecord(q policy.Queue, version int64) (store.Record, error) {
	return encodeQueue(q.Name, newQueueRecord(q, version))
}

func encodeQueue(name string, r queueRecord) (store.Record, error) {
	key := queueKey(name)
	if key != work.Key(work.QueueRecord, name) {
		r.Name = name
	}
	b, err := work.Encode(r)

	return store.Record{Key: key, Value: b}, errors.Wrapf(err, "queue %q", name)
}

// queueKey returns the key of a queue's record. It has a hash of a name that is too long for a key.
func queueKey(name string) string {
	key := work.Key(work.QueueRecord, name)
	if len(key) <= store.MaxKeyBytes {
		return key
	}
	sum := sha256.Sum256([]byte(name))

	return work.Key(work.QueueRecord, "sha256/"+hex.EncodeToString(sum[:]))
}

// queue returns the entry of a queue, which has no name while the queue is not known.
func (e *Engine) queue(name string) *knownQueue {
	k := e.queues[name]
	if k == nil {
		k = &knownQueue{}
		e.queues[name] = k
	}
	if p := e.Policy(); p != nil && p.Version > k.version {
		if q := p.Queue(name); q != nil {
			k.Queue, k.version = *q, p.Version
		}
	}

	return k
}

// queuePolicy returns the newest known configuration of a queue, also after the queue has been
// removed from the configuration.
func (e *Engine) queuePolicy(name string) policy.Queue { return e.queue(name).Queue }

// knowsQueue reports whether the configuration of a queue is or was known.
func (e *Engine) knowsQueue(name string) (known bool) {
	e.contain("queue", name, func() { known = e.queue(name).Name != "" })

	return known
}

// dueQueueRecord returns the record of a queue if it is not in JobsTopic as it is known now. The
// caller schedules it.
func (e *Engine) dueQueueRecord(name string) (store.Record, bool) {
	k := e.queue(name)
	if k.Name == "" {
		return store.Record{}, false
	}
	r := newQueueRecord(k.Queue, k.version)
	if k.recorded != nil {
		if same := *k.recorded; r.Version >= same.Version {
			same.Version = r.Version
			if same == r {
				return store.Record{}, false
			}
		}
	}
	k.recorded = &r // also if that fails, which is logged once
	record, err := encodeQueue(name, r)
	if err != nil {
		e.Log.Error().Str("event", "record-not-encoded").Str("key", queueKey(name)).Err(err).Msg("")

		return store.Record{}, false
	}

	return record, true
}

// recordQueues schedules the records of the active jobs' queues that have changed.
func (e *Engine) recordQueues() {
	for _, j := range e.active {
		if r, due := e.dueQueueRecord(j.Queue); due {
			e.writer.putRecord(r.Key, r.Value, func(error) {})
		}
	}
}

// applyQueue applies the record of a queue, which may be older than what is known.
func (e *Engine) applyQueue(r store.Record) *knownQueue {
	_, name := work.ParseKey(r.Key)
	var q queueRecord
	err := cbor.Unmarshal(r.Value, &q)
	if err == nil && q.Name != "" {
		name = q.Name
	}
	k := e.queue(name)
	if err != nil || name == "" {
		e.Log.Error().Str("event", "record-unreadable").Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("")

		return k
	}
	if k.Name == "" || q.Version > k.version {
		k.Queue = policy.Queue{
			Name: name, Service: q.Service, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Target: q.Target, Advised: q.Advised,
		}
		k.version = q.Version
	}

	return k
}

// applyQueueJobs applies the record of a queue from JobsTopic.
func (e *Engine) applyQueueJobs(r store.Record) {
	var q queueRecord
	k := e.applyQueue(r)
	if cbor.Unmarshal(r.Value, &q) == nil {
		q.Name = ""
		k.recorded = &q
	}
}

// applyQueueHandin applies the record of a queue that an entry VM wrote to HandinTopic.
func (e *Engine) applyQueueHandin(r store.Record) { e.applyQueue(r).handin.noteOpen(r.Offset) }

// dropUnusedQueues forgets the queues that are no longer configured and have had no jobs for the
// retention period. It returns the keys of their records in HandinTopic, which are deleted first.
func (e *Engine) dropUnusedQueues() []handinDeletion {
	p := e.Policy()
	if p == nil {
		return nil
	}
	var removed []string
	for name := range e.queues {
		if p.Queue(name) == nil {
			removed = append(removed, name)
		}
	}
	if len(removed) == 0 {
		return nil
	}
	used := map[string]bool{}
	for _, j := range e.jobs {
		used[j.Queue] = true
	}
	var deletions []handinDeletion
	for _, name := range removed {
		k := e.queues[name]
		switch {
		case used[name]:
			k.unusedSince = 0
		case k.unusedSince == 0:
			k.unusedSince = e.SinceBoot()
		case e.SinceBoot() < k.unusedSince+e.Timing.Retention:
		case k.handin.present():
			deletions = append(deletions, handinDeletion{keys: []string{queueKey(name)}, done: k.handin.noteDeletion})
		default:
			if k.recorded != nil {
				e.writer.putRecord(queueKey(name), nil, func(error) {})
			}
			delete(e.queues, name)
		}
	}

	return deletions
}
