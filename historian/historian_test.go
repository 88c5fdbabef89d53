package historian_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/historian"
	"limpetcleat/registrar"
)

// run runs a test in a bubble in which all nodes end.
func run(t *testing.T, seed uint64, test func(t *testing.T, world *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, seed)
		test(t, world)
		world.kill()
		time.Sleep(10 * time.Second) // What is under way is delivered within the bubble.
	})
}

// Guards against a stream that began at a version of which nodes that start later do not know: entries that are
// written too late or removed too early, at random releases, kills of all nodes and failures of the store.
func TestVersionsOfStreamsOutliveAllNodes(t *testing.T) {
	const (
		seeds = 20
		steps = 60
		// lifetime is how long streams may be taken up, by less than the retention of versions, since nodes
		// learn late that a version is listed no more.
		lifetime = registrar.VersionRetention - 10*time.Second
	)
	began := 0
	for seed := range uint64(seeds) {
		run(t, seed, func(t *testing.T, world *world) {
			world.start(3)
			random := rand.New(rand.NewPCG(seed, 1))
			begunAt := make(map[definer.SoftwareVersion]time.Time)
			for range steps {
				version := versionName(random.IntN(3))
				switch random.IntN(8) {
				case 0:
					world.kill()
					world.start(3)
				case 1:
					world.setFailing(random.IntN(2) == 0)
				case 2, 3, 4:
					world.setListed(version, random.IntN(2) == 0)
				case 5:
					time.Sleep(time.Duration(random.Int64N(int64(6 * time.Minute))))
				default:
					time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
				}
				for _, node := range world.nodes {
					for _, listed := range node.registrar.Versions(time.Now(), service) {
						if listed.Age == 0 && node.Recorded(service, listed.Version) {
							begunAt[listed.Version] = time.Now()
							began++
						}
					}
				}
				for version, at := range begunAt {
					assert.Assert(t, time.Since(at) > lifetime || world.hasEntry(version), "seed %d: the store lost %s %v after a stream began", seed, version, time.Since(at))
				}
			}
		})
	}
	assert.Assert(t, began > 500, "%d streams began", began)
}

// Guards against versions without an end, with which streams would be refused long after a release.
func TestVersionsThatAreGoneAreForgotten(t *testing.T) {
	run(t, 1, func(t *testing.T, world *world) {
		world.newsDelay = 100 * time.Millisecond
		world.setListed("v1", true)
		world.start(3)
		time.Sleep(2 * time.Second)
		world.setListed("v2", true)
		world.setListed("v1", false)
		time.Sleep(registrar.VersionRetention/2 + 5*time.Second)
		assert.Equal(t, len(world.versionsAfterAStart()), 2)
		// What an earlier node has measured is not lost with it.
		time.Sleep(registrar.VersionRetention/2 + 5*time.Second)
		assert.DeepEqual(t, world.versionsAfterAStart(), []definer.SoftwareVersion{"v2"})
		// Two entries, that the second has settled, half of the time, the removal.
		assert.Equal(t, world.countWrites(), 5)
	})
}

// Guards against a stream that begins at a new version at a node that has just started, since it took the version for
// the first of its service by the order in which it learned of them.
func TestVersionsThatAreLearnedTogetherSettle(t *testing.T) {
	listed := registrar.New()
	node := historian.New(listed, nil, func() historian.Role { return historian.Bystander }, nil, historian.WithSettling(time.Minute))
	older, newer := historian.Entry{Service: service, Version: "v1", Settled: true, Revision: 1}, historian.Entry{Service: service, Version: "v2", Revision: 2}
	node.Replace(time.Now(), []historian.Entry{newer, older})
	assert.Assert(t, node.Recorded(service, "v1"))
	assert.Assert(t, !node.Recorded(service, "v2"))
	newer.Settled, newer.Revision = true, 3
	node.Apply(time.Now(), []historian.Change{{Key: newer.Key(), Entry: newer}})
	assert.Assert(t, node.Recorded(service, "v2"))

	alone := historian.New(registrar.New(), nil, func() historian.Role { return historian.Bystander }, nil, historian.WithSettling(time.Minute))
	alone.Replace(time.Now(), []historian.Entry{{Service: service, Version: "v1", Revision: 1}})
	assert.Assert(t, alone.Recorded(service, "v1"))
}

// Guards against a stream that begins at a version whose entry is about to be removed.
func TestVersionThatReturnsIsRecordedAnew(t *testing.T) {
	run(t, 1, func(t *testing.T, world *world) {
		world.setListed("v1", true)
		world.start(1)
		time.Sleep(2 * time.Second)
		world.setListed("v1", false)
		time.Sleep(registrar.VersionRetention/2 + 3*time.Second)
		node := world.nodes[0]
		assert.Assert(t, !node.Recorded(service, "v1"))
		world.setListed("v1", true)
		time.Sleep(3 * time.Second)
		assert.Assert(t, node.Recorded(service, "v1"))
	})
}

// Guards against nodes that all write at once, and against one that waits for a first reader that is gone.
func TestFewNodesWriteEachVersion(t *testing.T) {
	for first, most := range map[historian.Role]int{historian.FirstReader: 1, historian.Reader: 4, historian.Bystander: 4} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			run(t, 1, func(t *testing.T, world *world) {
				world.newsDelay = 100 * time.Millisecond
				world.start(6)
				world.nodes[0].role.Store(first)
				world.setListed("v1", true)
				time.Sleep(4 * time.Second)
				writes := world.countWrites()
				assert.Assert(t, writes >= 1 && writes <= most, "%d writes", writes)
				for _, node := range world.nodes {
					assert.Assert(t, node.Recorded(service, "v1"))
				}
			})
		})
	}
}

// Guards against calls without end to a store that does not answer.
func TestWritesAreSpacedWhileTheStoreIsAway(t *testing.T) {
	run(t, 1, func(t *testing.T, world *world) {
		world.setListed("v1", true)
		world.setFailing(true)
		world.start(1)
		time.Sleep(time.Minute)
		assert.Assert(t, world.countWrites() <= 20, "%d writes", world.countWrites())
	})
}
