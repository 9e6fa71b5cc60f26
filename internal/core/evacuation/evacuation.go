// Package evacuation decides which failure domains are evacuated, from the operator's records,
// and whether that is known recently enough to start runs. It has no clock and no I/O.
package evacuation

import "time"

const (
	// A new planner needs a read of the operator's records that is newer than this before its
	// first start.
	firstMaxAge = time.Second
	// A start is sent at most this long after the check of the newest read: it waits for a
	// connection meanwhile.
	sendMargin = time.Second
)

type (
	// Records holds the newest record of each domain. Readers that run at the same time may
	// apply their reads in any order. It answers an operator who evacuates and restores domains
	// while some VMs read the records late.
	Records struct {
		byDomain map[string]record
		complete int64 // records before this offset are superseded by a complete read
	}

	record struct {
		offset    int64
		evacuated bool
	}

	// Gate tells whether a planner may send starts. It answers a planner that cannot read the
	// operator's records: without a bound on the age of its knowledge it would go on starting
	// runs in an evacuated domain.
	Gate struct {
		Bound time.Duration // from the write of a record until no start may be sent any more

		passed bool // a read newer than firstMaxAge has been seen
	}
)

// Update applies the record of a domain. It reports whether that has changed the set of evacuated
// domains.
func (r *Records) Update(domain string, offset int64, evacuated bool) bool {
	old, known := r.byDomain[domain]
	if offset < r.complete || (known && offset <= old.offset) {
		return false
	}
	if r.byDomain == nil {
		r.byDomain = map[string]record{}
	}
	r.byDomain[domain] = record{offset, evacuated}

	return old.evacuated != evacuated
}

// DropBefore applies a complete read up to the given end: the domains that it does not name have
// no record, unless a later read has found one at or after the end. It returns the domains that
// were evacuated and are no longer.
func (r *Records) DropBefore(end int64, named map[string]bool) []string {
	if end < r.complete {
		return nil
	}
	r.complete = end
	var restored []string
	for domain, old := range r.byDomain {
		if named[domain] || old.offset >= end {
			continue
		}
		delete(r.byDomain, domain)
		if old.evacuated {
			restored = append(restored, domain)
		}
	}

	return restored
}

// Domains returns the evacuated domains.
func (r *Records) Domains() map[string]bool {
	all := map[string]bool{}
	for domain, record := range r.byDomain {
		if record.evacuated {
			all[domain] = true
		}
	}

	return all
}

// Open reports whether starts may be sent by what was read the given time ago.
func (g *Gate) Open(age time.Duration) bool {
	g.passed = g.passed || age < firstMaxAge

	return g.passed && age < max(firstMaxAge, g.Bound-sendMargin)
}
