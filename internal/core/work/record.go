package work

import (
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Prefixes of record keys, by kind of record.
const (
	openPrefix     = "o/"
	cancelPrefix   = "c/"
	progressPrefix = "p/"
	wavePrefix     = "w/"
	silentPrefix   = "silent/"
	crashPrefix    = "x/"
	queuePrefix    = "q/"
	stalePrefix    = "stale/"
	partPrefix     = "part/"
	startsPrefix   = "starts/"
	speedPrefix    = "speed/"
)

// Kinds of record.
const (
	OpenRecord     Kind = iota + 1 // the job as submitted; every writer writes the same content
	CancelRecord                   // the job has been cancelled by its caller
	ProgressRecord                 // progress of the job; written only by the planner
	WaveRecord                     // progress of a maintenance wave; written only by the planner
	SilentRecord                   // workers without a recent lease; written only by the planner
	CrashRecord                    // crashes of workers under the job's tasks; written only by the planner
	QueueRecord                    // what jobs need to know of their queue, by the queue's name
	StaleRecord                    // restarted workers that an order for their earlier clock may reach; written only by the planner
	PartRecord                     // part of a value that is larger than a record; written only by the planner
	StartsRecord                   // workers with starts whose outcome is not known; written only by the planner
	SpeedRecord                    // estimated speeds of the workers of an uneven fleet; written only by the planner
)

// noWorkspace precedes the workspace in a cancellation of a caller who has none, on a public queue. The value is not
// empty then: an empty value deletes the record.
const noWorkspace = "\x00"

// Kind is the kind of a record.
type Kind int

var keyPrefixes = map[Kind]string{
	OpenRecord: openPrefix, CancelRecord: cancelPrefix, ProgressRecord: progressPrefix, WaveRecord: wavePrefix, SilentRecord: silentPrefix, CrashRecord: crashPrefix, QueueRecord: queuePrefix,
	StaleRecord: stalePrefix, PartRecord: partPrefix, StartsRecord: startsPrefix, SpeedRecord: speedPrefix,
}

// Key returns the key of a record of a job or a queue.
func Key(k Kind, id string) string { return keyPrefixes[k] + id }

// WaveKey returns the key of a maintenance wave's record.
func WaveKey(number int) string { return wavePrefix + strconv.Itoa(number) }

// ParseKey returns the kind and the identifier of a key. The kind is 0 if the key has
// none of the prefixes.
func ParseKey(key string) (Kind, string) {
	for k, p := range keyPrefixes {
		if id, ok := strings.CutPrefix(key, p); ok {
			return k, id
		}
	}

	return 0, ""
}

// Encode encodes a value as a record.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)

	return b, errors.Wrap(err, "encode record")
}

// EncodeCancel returns the value of a CancelRecord of a caller's workspace. It is never empty. Earlier versions wrote
// the name alone, also an empty one.
func EncodeCancel(workspace string) []byte {
	if workspace == "" || strings.HasPrefix(workspace, noWorkspace) {
		return []byte(noWorkspace + workspace)
	}

	return []byte(workspace)
}

// DecodeCancel returns the workspace in the value of a CancelRecord.
func DecodeCancel(value []byte) string { return strings.TrimPrefix(string(value), noWorkspace) }

// DecodeJob decodes and validates an open record.
func DecodeJob(b []byte) (Job, error) {
	var j Job
	if err := cbor.Unmarshal(b, &j); err != nil {
		return j, errors.Wrap(err, "decode job")
	}

	return j, errors.Wrap(j.Validate(), "decode job")
}
