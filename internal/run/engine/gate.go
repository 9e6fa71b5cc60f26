package engine

// gate bounds the calls that are made at a time.
type gate chan struct{}

// enter waits for a place and reports whether it has one: not once done is closed.
func (g gate) enter(done <-chan struct{}) bool {
	select {
	case g <- struct{}{}:
		return true
	case <-done:
		return false
	}
}

// leave gives the place back.
func (g gate) leave() { <-g }
