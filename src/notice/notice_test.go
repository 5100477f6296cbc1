package notice_test

import (
	"fmt"
	"testing"
	"time"

	"sesamepitch/src/notice"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMergeInAnyOrder checks that sets that received the same notices in
// different orders, some of them twice, hold the same.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		drawn := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) notice.Notice {
			return notice.Notice{
				Kind: notice.Centre, Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				Seq: rapid.Int64Range(1, 4).Draw(t, "seq"), Origin: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "origin"),
			}
		}), 0, 12).Draw(t, "notices")
		for i := range drawn {
			// An origin publishes one value under each sequence number.
			drawn[i].Value = []string{notice.In, notice.Out}[int(drawn[i].Seq+int64(len(drawn[i].Origin+drawn[i].Name)))%2]
		}
		one, other := notice.NewSet(clock), notice.NewSet(clock)
		one.Add("", drawn...)
		other.Add("", rapid.Permutation(drawn).Draw(t, "order")...)
		other.Add("", drawn...)
		for _, name := range []string{"a", "b"} {
			if one.IsOut(name) != other.IsOut(name) {
				t.Fatalf("%s differs", name)
			}
		}
	})
}

func TestWithdrawalIsPermanent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	set := notice.NewSet(clock)
	withdrawal := set.NewWithdrawal("hash", "d1")
	assert.Equal(t, set.Add("peer", withdrawal), 1)
	assert.Equal(t, set.Add("peer", withdrawal), 0)
	assert.Assert(t, set.IsWithdrawn("hash"))
	returned, _ := set.Since(0, "peer")
	assert.Equal(t, len(returned), 0, "not sent back to its source")
	forwarded, _ := set.Since(0, "other")
	assert.Equal(t, len(forwarded), 1)
}

func TestCrashesExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	set := notice.NewSet(clock)
	for i := range 3 {
		set.Add("", set.NewCrash("content", fmt.Sprint("engine/", i/2), "d1"))
	}
	assert.Equal(t, set.Crashes("content"), 2, "two streams of one crash are one event")
	clock.Advance(11 * time.Minute)
	assert.Equal(t, set.Crashes("content"), 0)
	set.Add("", set.NewCrash("content", "engine/9", "d1"))
	assert.Equal(t, set.Crashes("content"), 1)
	clock.Advance(time.Second)
	set.Add("", set.NewCleared("content", "d1"))
	assert.Equal(t, set.Crashes("content"), 0, "a complete answer clears it")
	clock.Advance(time.Second)
	set.Add("", set.NewCrash("content", "engine/10", "d1"))
	assert.Equal(t, set.Crashes("content"), 1)
}

// TestLongLogIsCompacted reads a set from several earlier indexes after its log
// was compacted. No notice in effect is missing, and expired crashes are
// dropped.
func TestLongLogIsCompacted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	set, indexes := notice.NewSet(clock), []int{0}
	const rounds = 5000
	readers := map[int]*notice.Set{}
	for i := range rounds {
		set.Add("", set.NewVersion("coach", int64(i+1), "w", "d1"), set.NewCrash("content", fmt.Sprint(i), "d1"))
		if i%500 == 0 {
			set.Add("", set.NewWithdrawal(fmt.Sprint("hash", i), "d1"))
			reader := notice.NewSet(clock)
			seen, index := set.Since(0, "reader")
			reader.Add("", seen...)
			readers[index] = reader
			indexes = append(indexes, index)
		}
		clock.Advance(time.Second)
	}
	readers[0] = notice.NewSet(clock)
	for _, index := range indexes {
		unread, next := set.Since(index, "reader")
		assert.Equal(t, next, set.Index())
		readers[index].Add("", unread...)
		assert.Equal(t, readers[index].ModelVersion("coach"), int64(rounds))
		for i := 0; i < rounds; i += 500 {
			assert.Assert(t, readers[index].IsWithdrawn(fmt.Sprint("hash", i)), "from index %d", index)
		}
	}
	all, _ := set.Since(0, "reader")
	assert.Assert(t, len(all) < 3000, "%d notices; crashes of the last 20 minutes are 1200", len(all))
	assert.Equal(t, set.Crashes("content"), 599, "one a second in less than ten minutes")
}
