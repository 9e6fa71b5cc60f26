// Package logs writes events as key=value lines. It limits their rate, and drops lines
// rather than block the process.
package logs

import (
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

const (
	queueLines        = 4096 // lines buffered while the output blocks; further ones are dropped
	typicalLineLength = 256  // in bytes; initial capacity of a line's buffer
	lineRate          = 1000 // sustained rate in lines per second
	lineBurst         = 5000 // lines that may exceed the sustained rate at once
)

// Limit is a token bucket that limits the rate of lines passed to Writer. It logs how many
// lines it has dropped.
type Limit struct {
	Writer log.Writer
	Rate   float64 // tokens (lines) added per second
	Burst  float64 // capacity in tokens
	Now    func() time.Time

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	dropped    int

	closing sync.RWMutex // held for reading while a line is passed on
	closed  bool
}

// New returns a logger that writes lines of at least the given level to w.
func New(level string, w io.Writer) *log.Logger {
	lines := &log.AsyncWriter{
		ChannelSize: queueLines, DiscardOnFull: true,
		Writer: &log.ConsoleWriter{Formatter: WritePairs, Writer: w},
	}

	return &log.Logger{
		Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer: &Limit{Writer: lines, Rate: lineRate, Burst: lineBurst, Now: time.Now, tokens: lineBurst},
	}
}

// WriteEntry writes a line, or drops and counts it if the rate is exceeded. Lines of all
// levels count towards the same limit.
func (l *Limit) WriteEntry(e *log.Entry) (int, error) {
	l.closing.RLock()
	defer l.closing.RUnlock()
	if l.closed {
		return 0, nil
	}
	dropped, ok := l.takeToken()
	if !ok {
		return 0, nil
	}
	if dropped > 0 {
		logger := log.Logger{Writer: l.Writer, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
		logger.Warn().Str("event", "lines-dropped").Int("count", dropped).Msg("")
	}

	return l.Writer.WriteEntry(e)
}

// Close writes the lines that are still buffered; later ones are dropped. It gives up after the timeout,
// because the output may block.
func Close(l *log.Logger, timeout time.Duration) error {
	limit, ok := l.Writer.(*Limit)
	if !ok {
		return nil
	}
	closed := make(chan error, 1)
	go func() { closed <- limit.close() }()
	select {
	case err := <-closed:
		return errors.Wrap(err, "close log")
	case <-time.After(timeout):
		return errors.Errorf("close log: the output has blocked for %v", timeout)
	}
}

// close closes the writer, to which no line may be passed after that.
func (l *Limit) close() error {
	l.closing.Lock()
	l.closed = true
	l.closing.Unlock()
	if c, ok := l.Writer.(io.Closer); ok {
		return c.Close()
	}

	return nil
}

// takeToken reports whether a line may be written. If so, it also returns the number of
// lines dropped since the last line that was written.
func (l *Limit) takeToken() (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if !l.refilledAt.IsZero() {
		l.tokens = min(l.Burst, l.tokens+l.Rate*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
	if l.tokens < 1 {
		l.dropped++

		return 0, false
	}
	l.tokens--
	dropped, l.dropped = l.dropped, 0

	return dropped, true
}

// WritePairs writes an event as a line of key=value pairs. A value is quoted if it is empty
// or contains a space, tab, newline, equals sign or double quote.
func WritePairs(w io.Writer, args *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, typicalLineLength)
	line = append(line, "time="...)
	line = append(line, args.Time...)
	line = append(line, " level="...)
	line = append(line, args.Level...)
	for _, kv := range args.KeyValues {
		line = append(line, ' ')
		line = append(line, kv.Key...)
		line = append(line, '=')
		if kv.Value == "" || strings.ContainsAny(kv.Value, " =\"\n\t") {
			line = strconv.AppendQuote(line, kv.Value)

			continue
		}
		line = append(line, kv.Value...)
	}
	line = append(line, '\n')

	return w.Write(line)
}
