package follower_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/follower"
	"limpetcleat/router"
)

// TestConfirmerTakesPeersWordForItsOwnVersion checks that a peer's confirmation counts
// for the version in force only, that an older version changes nothing, and that a newer
// version is passed on to be fetched.
func TestConfirmerTakesPeersWordForItsOwnVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name      string
		version   uint64
		at        time.Duration
		confirmed time.Duration
		behind    bool
	}{
		{"the version in force, later", 5, 3 * time.Second, 3 * time.Second, false},
		{"the version in force, earlier than the store said", 5, time.Second, 2 * time.Second, false},
		{"an older version", 4, 3 * time.Second, 2 * time.Second, false},
		{"a newer version", 6, 3 * time.Second, 2 * time.Second, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			behind := false
			holder := follower.NewHolder(func(*router.Table, error) {})
			confirmer := follower.NewConfirmer(holder, func() time.Time { return start.Add(2 * time.Second) }, func(newer uint64, at time.Time) {
				behind = newer == test.version && at.Equal(start.Add(test.at))
			})
			_, at := confirmer.StoreConfirmation()
			assert.Assert(t, at.IsZero(), "a time is returned while no configuration is in force")
			holder.Replace([]router.Definition{{Version: 5}}, follower.Reading{})
			confirmer.Learn(test.version, start.Add(test.at))
			assert.Equal(t, confirmer.Confirmed(), start.Add(test.confirmed))
			assert.Equal(t, behind, test.behind)
			version, at := confirmer.StoreConfirmation()
			assert.Equal(t, version, uint64(5))
			assert.Equal(t, at, start.Add(2*time.Second), "a confirmation of a peer is returned as one of the store")
		})
	}
}
