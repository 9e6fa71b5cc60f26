package engine

import (
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"sesameyoke/internal/core/work"
	"sesameyoke/internal/peer/store"
)

// A value that is larger than a record is stored in parts, which are records of their own. They are
// written by the same append as the record with its key, the head, which tells how many there are.
// No CBOR value begins with partsMark, so a reader that expects one finds the head unreadable.
const (
	partsMark = 0xff
	// Largest share of an append that one value may have: a job's state has two values.
	maxValueShare = 0.4
)

type (
	// partsHead is the content of the record with the key of a value in parts, after partsMark.
	partsHead struct {
		_     struct{} `cbor:",toarray"`
		Parts int
		Bytes int // of the value
	}

	// partCounts holds how many parts the store has of each key's value, or will have once the
	// records scheduled so far are written.
	partCounts map[string]int
)

// maxValue returns the size of the largest value that can be stored.
func (e *Engine) maxValue() int { return int(maxValueShare * float64(e.RequestBytes)) }

// partKey returns the key of a part of a value, counted from 0.
func partKey(key string, part int) string {
	return work.Key(work.PartRecord, strconv.Itoa(part)+"/"+key)
}

// parsePartKey returns the key of the value to which a record belongs as a part, and its number. It
// returns false if the record is none.
func parsePartKey(key string) (of string, part int, ok bool) {
	kind, id := work.ParseKey(key)
	number, of, found := strings.Cut(id, "/")
	n, err := strconv.Atoi(number)

	return of, n, kind == work.PartRecord && found && err == nil && n >= 0
}

// splitValue returns the records that hold a value, each of at most the given size.
func splitValue(r store.Record, recordBytes int) ([]store.Record, error) {
	if r.Size() <= recordBytes {
		return []store.Record{r}, nil
	}
	all := []store.Record{{Key: r.Key}}
	for rest := r.Value; len(rest) > 0; {
		part := store.Record{Key: partKey(r.Key, len(all)-1)}
		n := min(len(rest), recordBytes-part.Size())
		if n <= 0 || len(part.Key) > store.MaxKeyBytes {
			return nil, ErrTooLarge
		}
		part.Value, rest = rest[:n], rest[n:]
		all = append(all, part)
	}
	b, err := work.Encode(partsHead{Parts: len(all) - 1, Bytes: len(r.Value)})
	all[0].Value = append([]byte{partsMark}, b...)

	return all, err
}

// split returns the records that replace the value of a key, and those that delete parts which it no
// longer has.
func (p partCounts) split(r store.Record, recordBytes int) ([]store.Record, error) {
	all, err := splitValue(r, recordBytes)
	if err != nil {
		return nil, err
	}
	for n := len(all) - 1; n < p[r.Key]; n++ {
		all = append(all, store.Record{Key: partKey(r.Key, n)})
	}

	return all, nil
}

// note counts the parts in records that have been scheduled.
func (p partCounts) note(records []store.Record) {
	for _, r := range records {
		of, n, ok := parsePartKey(r.Key)
		switch {
		case !ok:
		case len(r.Value) > 0:
			p[of] = max(p[of], n+1)
		default:
			p[of] = min(p[of], n)
		}
		if p[of] == 0 {
			delete(p, of)
		}
	}
}

// joinParts returns the records of a topic with the values in parts put together, and counts the
// parts. A value that lacks a part keeps its head, which is not readable.
func joinParts(records []store.Record) ([]store.Record, partCounts) {
	parts, counts := map[string][]byte{}, partCounts{}
	counts.note(records)
	var joined []store.Record
	for _, r := range records {
		if _, _, ok := parsePartKey(r.Key); ok {
			parts[r.Key] = r.Value
		} else {
			joined = append(joined, r)
		}
	}
	for i, r := range joined {
		if len(r.Value) > 0 && r.Value[0] == partsMark {
			joined[i].Value = joinValue(r, parts)
		}
	}

	return joined, counts
}

// joinValue returns the value of a head's key, or the head's own content if parts are missing.
func joinValue(head store.Record, parts map[string][]byte) []byte {
	var h partsHead
	if err := cbor.Unmarshal(head.Value[1:], &h); err != nil {
		return head.Value
	}
	var value []byte
	for n := range h.Parts {
		part, ok := parts[partKey(head.Key, n)]
		if !ok {
			return head.Value
		}
		value = append(value, part...)
	}
	if len(value) != h.Bytes {
		return head.Value
	}

	return value
}

// deleteOrphanParts schedules the deletion of parts whose key has no record: a planner of a version
// without parts has deleted it.
func (e *Engine) deleteOrphanParts(records []store.Record) {
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = true
	}
	for key := range e.writer.parts {
		if !present[key] {
			e.writer.putRecord(key, nil, func(error) {})
		}
	}
}
