package engine

// semaphore bounds the number of concurrent calls.
type semaphore chan struct{}

// acquire waits for a slot. It returns false if done is closed first.
func (s semaphore) acquire(done <-chan struct{}) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-done:
		return false
	}
}

// release returns the slot.
func (s semaphore) release() { <-s }
