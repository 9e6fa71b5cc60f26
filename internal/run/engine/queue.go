package engine

const startClasses = 3 // priorities from the last one on share a queue

// startQueue holds the members whose starts wait to be sent, by priority. Few are sent
// at a time: what this VM cannot carry at once would time out, and look like workers
// that do not answer.
type startQueue struct {
	waiting [startClasses][]*member
	sent    int // without an answer
	most    int // that may be sent at a time
}

// push adds a member at the end of its priority's queue.
func (q *startQueue) push(m *member, priority int) {
	class := min(max(priority, 0), startClasses-1)
	q.waiting[class] = append(q.waiting[class], m)
}

// pop returns the next member to start, nil if there is none or too many are on
// their way.
func (q *startQueue) pop() *member {
	if q.sent >= q.most {
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
