//go:build race

package engine_test

// raceDetector tells whether the race detector is compiled in.
const raceDetector = true
