package journal_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sesameyoke/internal/core/journal"
)

// TestTarget runs testdata/target. Each case changes a state in which the journal moves from partition
// 0 to partition 1. It guards against a move while another planner, an earlier version or an earlier
// journal could make two partitions count, and against moves that go on for ever.
func TestTarget(t *testing.T) {
	datadriven.RunTest(t, "testdata/target", func(t *testing.T, d *datadriven.TestData) string {
		s := journal.State{
			Parts: 12, Stalled: 800 * time.Millisecond, LeaseAge: 100 * time.Millisecond, SinceMove: time.Minute,
			Unclean: map[int]bool{}, Tried: map[int]time.Duration{}, AllRead: true,
		}
		for _, a := range d.CmdArgs {
			apply(t, &s, a)
		}
		part, ok, why := journal.Target(s)
		if !ok {
			return strings.TrimSpace(fmt.Sprintf("stays in %d: %s", part, why))
		}

		return fmt.Sprintf("moves to %d", part)
	})
}

func apply(t *testing.T, s *journal.State, a datadriven.CmdArg) {
	times := map[string]*time.Duration{"stalled": &s.Stalled, "transfer": &s.Transfer, "lease": &s.LeaseAge, "moved": &s.SinceMove}
	numbers := map[string]*int{"part": &s.Part, "parts": &s.Parts}
	for _, v := range a.Vals {
		var err error
		switch {
		case times[a.Key] != nil:
			*times[a.Key], err = time.ParseDuration(v)
		case numbers[a.Key] != nil:
			*numbers[a.Key], err = strconv.Atoi(v)
		default:
			p, since, _ := strings.Cut(v, "@")
			n, e := strconv.Atoi(p)
			require.NoError(t, e)
			if a.Key == "unclean" {
				s.Unclean[n] = true
			} else {
				s.Tried[n], err = time.ParseDuration(since)
			}
		}
		require.NoError(t, err)
	}
	s.AllRead = s.AllRead && a.Key != "earlier"
	s.Unreadable = s.Unreadable || a.Key == "unreadable"
	s.TooLarge = s.TooLarge || a.Key == "large"
}
