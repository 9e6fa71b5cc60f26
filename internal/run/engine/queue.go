package engine

const startClasses = 3 // number of priority classes; priorities from startClasses-1 on share the last one

// startQueue holds the members whose starts wait to be sent, by priority. It limits the
// starts in flight: starts beyond this VM's capacity would time out and look like
// workers that do not answer.
type startQueue struct {
	waiting     [startClasses][]*member
	inFlight    int // dispatched starts without an outcome so far
	maxInFlight int // limit of inFlight
}

// push adds a member at the end of its priority class.
func (q *startQueue) push(m *member, priority int) {
	class := min(max(priority, 0), startClasses-1)
	q.waiting[class] = append(q.waiting[class], m)
}

// pop returns the next member to start, or nil if none waits or the limit of starts in
// flight is reached.
func (q *startQueue) pop() *member {
	if q.inFlight >= q.maxInFlight {
		return nil
	}
	for class, ms := range q.waiting {
		if len(ms) > 0 {
			q.waiting[class] = ms[1:]

			return ms[0]
		}
	}

	return nil
}
