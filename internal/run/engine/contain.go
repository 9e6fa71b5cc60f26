package engine

import (
	"fmt"
	"runtime/debug"
)

// contain runs f and recovers from a panic in it, so that an unforeseen external input does
// not end the process. The caller holds the engine's lock.
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
