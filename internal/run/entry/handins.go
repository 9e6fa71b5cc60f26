package entry

import (
	"sync"
	"time"
)

// handinRefill is the time in which the whole budget of hand-ins is free again.
const handinRefill = 2 * time.Minute

type (
	// handinBudget bounds the jobs that a VM appends to the store without the planner, which has to keep
	// them all. What has been taken becomes free at a constant rate. Its zero value has no limit.
	handinBudget struct {
		bytes int // taken at once at most; 0 for no limit

		mu    sync.Mutex
		taken float64 // bytes
		at    time.Duration
	}

	// handinClaim is the part of the budget that one job takes, however often it is appended.
	handinClaim struct {
		budget *handinBudget
		size   int // bytes
		taken  bool
	}
)

// take reports whether there is room for the job.
func (c *handinClaim) take(now time.Duration) bool {
	if !c.taken {
		c.taken = c.budget.take(c.size, now)
	}

	return c.taken
}

// release gives the room back if the job was certainly not appended.
func (c *handinClaim) release() {
	if !c.taken {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.taken = false
	c.budget.taken -= float64(c.size)
}

// take takes n bytes, and reports whether there is room for them.
func (b *handinBudget) take(n int, now time.Duration) bool {
	if b.bytes == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken = max(0, b.taken-float64(b.bytes)*float64(now-b.at)/float64(handinRefill))
	b.at = now
	if b.taken+float64(n) > float64(b.bytes) {
		return false
	}
	b.taken += float64(n)

	return true
}
