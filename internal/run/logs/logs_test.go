package logs_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/run/logs"
)

// blockedWriter emulates a pipe whose reader has stopped reading: Write blocks until block
// is closed.
type blockedWriter struct{ block chan struct{} }

func (s blockedWriter) Write([]byte) (int, error) { <-s.block; return 0, io.ErrClosedPipe }

// TestNeverBlocks logs more lines than the queue holds to a writer that blocks. It guards
// against a process that stalls because nobody reads its log.
func TestNeverBlocks(*testing.T) {
	s := blockedWriter{make(chan struct{})}
	defer close(s.block)
	l := logs.New("info", s)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for range 5000 {
				l.Info().Str("event", "x").Msg("")
			}
		})
	}
	wait.Wait()
}

// TestLimit writes more lines than the burst allows and another one after tokens have been
// added. It guards against a limit that lets all lines pass, that passes none after the
// burst, or that drops lines without logging their number.
func TestLimit(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	lim := &logs.Limit{
		Writer: &log.ConsoleWriter{Formatter: logs.WritePairs, Writer: &out}, Rate: 10, Burst: 5,
		Now: func() time.Time { return now },
	}
	l := &log.Logger{Writer: lim}
	now = now.Add(time.Second)
	l.Info().Msg("") // dropped, because the bucket starts empty; sets the time from which tokens are added
	now = now.Add(time.Second)
	for range 20 {
		l.Info().Str("event", "a b").Msg("")
	}
	now = now.Add(time.Second)
	l.Info().Str("event", "later").Msg("")
	require.Equal(t, 5, strings.Count(out.String(), `event="a b"`))
	require.Contains(t, out.String(), "event=lines-dropped count=15")
	require.Contains(t, out.String(), "event=later")
}

// TestCloseWritesLastLines writes a line and closes the log at once. It guards against a process that ends
// without its last lines, which tell how it ended.
func TestCloseWritesLastLines(t *testing.T) {
	r, w := io.Pipe()
	l := logs.New("info", w)
	l.Info().Str("event", "stopped").Msg("")
	read := make(chan string, 1)
	go func() {
		b := make([]byte, 256)
		n, _ := r.Read(b)
		read <- string(b[:n])
	}()
	require.NoError(t, logs.Close(l, time.Minute))
	require.Contains(t, <-read, "event=stopped")
}

// TestCloseGivesUp closes a log whose output blocks. It guards against a process that can't end because
// nobody reads its log.
func TestCloseGivesUp(t *testing.T) {
	_, w := io.Pipe()
	l := logs.New("info", w)
	l.Info().Str("event", "stopped").Msg("")
	require.Error(t, logs.Close(l, 10*time.Millisecond))
}
