package engine

import (
	"fmt"
	"runtime/debug"
)

// contain runs f, and goes on without it if it panics: one input from outside that
// nobody has thought of must not end the process. It is called under the lock.
func (e *Engine) contain(what, name string, f func()) {
	defer func() {
		if r := recover(); r != nil {
			e.Count("panics", 1)
			e.Log.Error().Str("event", "panic").Str("what", what).Str("name", name).Str("reason", fmt.Sprint(r)).
				Str("stack", string(debug.Stack())).Msg("")
		}
	}()
	f()
}
