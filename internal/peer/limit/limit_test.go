package limit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

var phases = map[string]phase{"head": readingHead, "body": readingBody, "waiting": waiting, "answering": answering, "idle": idle}

// TestOrder plays testdata/order. It guards against closing the connection of a client that makes
// progress, and against clients that hold their place by a fast start or by single bytes.
func TestOrder(t *testing.T) {
	datadriven.RunTest(t, "testdata/order", func(t *testing.T, d *datadriven.TestData) string {
		var out []string
		switch d.Cmd {
		case "close":
			out = closingOrder(t, d.Input)
		case "credit":
			out = credits(t, d.Input)
		}

		return strings.TrimSpace(strings.Join(out, " ")) + "\n"
	})
}

func closingOrder(t *testing.T, input string) []string {
	now := time.Unix(1000, 0)
	s := New(Config{})
	names := map[*conn]string{}
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		lag, err := time.ParseDuration(f[2])
		require.NoError(t, err)
		c := &conn{phase: phases[f[1]], paid: now.Add(-lag)}
		s.conns[c], names[c] = true, f[0]
	}
	var out []string
	for c := s.leastProgress(now); c != nil; c = s.leastProgress(now) {
		out = append(out, names[c])
		delete(s.conns, c)
	}

	if len(out) == 0 {
		out = append(out, "none")
	}

	return out
}

// credits shows how far a client is ahead after each arrival of bytes.
func credits(t *testing.T, input string) []string {
	start := time.Unix(1000, 0)
	now, c := start, &conn{phase: readingBody, paid: start}
	var out []string
	for line := range strings.Lines(input) {
		var n int
		var pause string
		_, err := fmt.Sscan(line, &n, &pause)
		require.NoError(t, err)
		d, err := time.ParseDuration(pause)
		require.NoError(t, err)
		now = now.Add(d)
		c.paid = credit(c.paid, now, n)
		out = append(out, c.paid.Sub(now).String())
	}
	if c.stalled(now) {
		out = append(out, "stalled")
	}

	return out
}

// start serves h with small limits and returns the address.
func start(t *testing.T, change func(*Config), h http.HandlerFunc) string {
	c := Defaults(0, 0, 0)
	c.BodyTimeout = 100 * time.Millisecond
	change(&c)
	s := New(c)
	ln, err := s.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	server := s.HTTP(h)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })

	return ln.Addr().String()
}

// send sends the start of a request on a new connection.
func send(t *testing.T, address, request string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, request)
	require.NoError(t, err)

	return c
}

func status(t *testing.T, c net.Conn) int {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_ = resp.Body.Close()

	return resp.StatusCode
}

func post(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
}

func readAll(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); errors.Is(err, ErrBusy) {
		w.WriteHeader(http.StatusTooManyRequests)
	} else if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// TestLongAnswer lets a handler work for longer than a body may take. It guards against a deadline of
// the body that ends the request.
func TestLongAnswer(t *testing.T) {
	ended := make(chan error, 1)
	address := start(t, func(*Config) {}, func(w http.ResponseWriter, r *http.Request) {
		readAll(w, r)
		time.Sleep(300 * time.Millisecond)
		ended <- r.Context().Err()
	})
	require.Equal(t, http.StatusOK, status(t, send(t, address, post(5)+"abcde")))
	require.NoError(t, <-ended)
}

// TestLargestHead guards against a limit that refuses a legal head, or that accepts one without end.
func TestLargestHead(t *testing.T) {
	address := start(t, func(*Config) {}, readAll)
	head := "GET / HTTP/1.1\r\nHost: a\r\nX-Pad: "
	legal := head + strings.Repeat("a", 16384-len(head)-4) + "\r\n\r\n"
	require.Equal(t, http.StatusOK, status(t, send(t, address, legal)))
	c := send(t, address, head+strings.Repeat("a", 20480))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(t, c))
}

// TestManyLines holds the memory for heads of many lines. It guards against heads whose short lines take
// many times their size in memory, and against the refusal of a single one that is legal.
func TestManyLines(t *testing.T) {
	one := func(c *Config) { c.BodyBudget = longHeadBytes }
	address := start(t, one, readAll)
	head := "GET / HTTP/1.1\r\nHost: a\r\n"
	request := func(lines int) string { return head + strings.Repeat("a:\r\n", lines) + "\r\n" }
	for range 3 {
		require.Equal(t, http.StatusOK, status(t, send(t, address, request(3000)+request(250))))
	}
	_ = send(t, address, head+strings.Repeat("a:\r\n", 300)) // holds the memory
	refused := func() bool {
		return status(t, send(t, address, request(300))) == http.StatusRequestHeaderFieldsTooLarge
	}
	require.Eventually(t, refused, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, status(t, send(t, address, request(250))))
	c := send(t, address, head+strings.Repeat("a:\r\n", 2000))
	_, err := io.Copy(io.Discard, c)
	require.True(t, err == nil || errors.Is(err, syscall.ECONNRESET), err)
}

// TestDecodedBody sends the end of a chunked body after what a decoder reads of it. It guards against a
// connection that is closed in spite of a legal request.
func TestDecodedBody(t *testing.T) {
	decoded := make(chan bool, 2)
	address := start(t, func(*Config) {}, func(_ http.ResponseWriter, r *http.Request) {
		err := json.NewDecoder(r.Body).Decode(&struct{}{})
		_ = r.Body.Close()
		decoded <- err == nil
	})
	request := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
	c := send(t, address, request)
	require.True(t, <-decoded)
	for range 2 {
		_, err := io.WriteString(c, "0\r\n\r\n"+request)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status(t, c))
		require.True(t, <-decoded)
	}
}

// TestUnreadBody lets a handler refuse a request without reading its body. It guards against a server
// that waits for the rest of the body before it answers or closes the connection.
func TestUnreadBody(t *testing.T) {
	long := func(c *Config) { c.BodyTimeout = time.Hour }
	address := start(t, long, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	c := send(t, address, post(100_000))
	require.Equal(t, http.StatusUnauthorized, status(t, c))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// TestShare fills the memory for bodies with one that stops short of its end. It guards against a body
// that keeps its share without progress, and against small bodies that wait for a share.
func TestShare(t *testing.T) {
	stalls := make(chan bool)
	long := func(c *Config) { c.BodyTimeout, c.BodyWait, c.BodyBudget = time.Hour, time.Hour, 2*c.BodyBytes }
	address := start(t, long, func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 262_144 {
			_, _ = io.ReadFull(r.Body, make([]byte, 200_000))
			stalls <- true
		}
		readAll(w, r)
	})
	stalled := send(t, address, post(262_144)+strings.Repeat("a", 262_143))
	<-stalls
	require.Equal(t, http.StatusOK, status(t, send(t, address, post(16_000)+strings.Repeat("a", 16_000))))
	require.Equal(t, http.StatusOK, status(t, send(t, address, post(200_000)+strings.Repeat("a", 200_000))))
	require.Equal(t, http.StatusTooManyRequests, status(t, stalled))
}

// TestShareOfWaitingHandler lets handlers wait after they have read their bodies. It guards against bodies
// that take memory without a share while their handlers wait, and against a share that exceeds the body.
func TestShareOfWaitingHandler(t *testing.T) {
	read, leave := make(chan bool), make(chan bool)
	change := func(c *Config) {
		c.BodyTimeout, c.BodyWait, c.BodyBudget = time.Hour, 300*time.Millisecond, 2*c.BodyBytes
	}
	address := start(t, change, func(w http.ResponseWriter, r *http.Request) {
		readAll(w, r)
		if r.Header.Get("Wait") != "" {
			read <- true
			<-leave
		}
	})
	waiting := func(header, body string) net.Conn {
		c := send(t, address, "POST / HTTP/1.1\r\nHost: a\r\nWait: 1\r\n"+header+"\r\n\r\n"+body)
		<-read

		return c
	}
	large := post(200_000) + strings.Repeat("a", 200_000)
	chunked := waiting("Transfer-Encoding: chunked", "5000\r\n"+strings.Repeat("a", 0x5000)+"\r\n0\r\n\r\n")
	require.Equal(t, http.StatusOK, status(t, send(t, address, large)))
	declared := waiting("Content-Length: 200000", strings.Repeat("a", 200_000))
	require.Equal(t, http.StatusTooManyRequests, status(t, send(t, address, large)))
	close(leave)
	require.Equal(t, http.StatusOK, status(t, chunked))
	require.Equal(t, http.StatusOK, status(t, declared))
	require.Equal(t, http.StatusOK, status(t, send(t, address, large)))
}

// TestDefaults guards against limits that exceed the process or that no legal request fits in.
func TestDefaults(t *testing.T) {
	for _, memoryMB := range []int{0, 1, 64, 144, 536} {
		for _, fds := range []int{0, 100, 400, 3075, 10250} {
			c := Defaults(memoryMB, fds, 0)
			require.GreaterOrEqual(t, c.BodyBudget, 2*c.BodyBytes)
			require.GreaterOrEqual(t, c.Connections, minConnections)
			require.GreaterOrEqual(t, c.Internal(0, 4<<20).BodyBudget, int64(8<<20))
			if memoryMB >= 64 && fds >= 400 {
				most := int64(c.Connections)*connectionBytes + c.BodyBudget
				require.LessOrEqual(t, most, int64(memoryMB)<<20/2)
				require.LessOrEqual(t, 2*c.Connections, (fds-reservedFDs)/2)
			}
		}
	}
	require.Equal(t, 552, Defaults(144, 3075, 0).Connections)
}
