package informer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
	"limpetcleat/router"
)

// partServer answers a fetcher's requests from an encoded configuration.
type partServer struct {
	version uint64
	encoded []byte
}

func (partServer *partServer) answer(ask *messenger.DefinitionAsk) *messenger.DefinitionPart {
	end := min(ask.Offset+partBytes, len(partServer.encoded))
	return &messenger.DefinitionPart{Version: partServer.version, Offset: ask.Offset, Size: len(partServer.encoded), Data: partServer.encoded[ask.Offset:end]}
}

func randomBytes(count int) []byte {
	random := rand.NewChaCha8([32]byte{1})
	data := make([]byte, count)
	for index := range data {
		data[index] = byte(random.Uint64())
	}
	return data
}

// held returns the offer of a peer that has a version.
func held(version uint64) offer { return offer{version: version, held: true} }

// TestCourierGetsAllParts checks that a fetcher assembles the whole configuration
// although parts are lost or arrive twice.
func TestCourierGetsAllParts(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		partServer := &partServer{version: 8, encoded: randomBytes(partBytes + 1 + random.IntN(partBytes-1))}
		fetcher := &fetcher{replyTo: "here"}
		now := time.Unix(1000, 0)
		var got []byte
		next := fetcher.requestVersion(now, held(8))
		for range 200 {
			now = now.Add(50 * time.Millisecond)
			if next.encoded != nil {
				got = next.encoded
				break
			}
			if next.ask == nil || random.IntN(3) == 0 {
				next = fetcher.requestVersion(now, held(8))
				continue
			}
			assert.Equal(t, next.ask.ReplyTo, "here")
			part := partServer.answer(next.ask)
			next = fetcher.addPart(now, part)
			if random.IntN(3) == 0 {
				again := fetcher.addPart(now, part)
				assert.Assert(t, again.encoded == nil, "a duplicate part must not complete the configuration a second time")
			}
		}
		assert.Assert(t, bytes.Equal(got, partServer.encoded), "seed %d", seed)
	}
}

// TestCourierLeavesLargeOnesToTheStore checks that a configuration above
// maxPeerFetchBytes is read from the store, and fetched from a peer only after
// storeReadTimeout.
func TestCourierLeavesLargeOnesToTheStore(t *testing.T) {
	partServer := &partServer{version: 8, encoded: randomBytes(maxPeerFetchBytes + 1)}
	fetcher := &fetcher{}
	now := time.Unix(1000, 0)
	next := fetcher.addPart(now, partServer.answer(fetcher.requestVersion(now, held(8)).ask))
	assert.Assert(t, next.readStore && next.ask == nil)
	assert.Assert(t, fetcher.requestVersion(now.Add(partTimeout), held(8)).readStore)
	now = now.Add(storeReadTimeout)
	next = fetcher.requestVersion(now, held(8))
	for next.ask != nil {
		next = fetcher.addPart(now, partServer.answer(next.ask))
	}
	assert.Assert(t, bytes.Equal(next.encoded, partServer.encoded))
}

// TestCourierAsksThoseThatHaveTheVersion guards against requests to peers that have merely heard of a version, and against
// nodes that wait for a store which does not answer them.
func TestCourierAsksThoseThatHaveTheVersion(t *testing.T) {
	cases := map[string]struct {
		offer     offer
		after     time.Duration
		asks      bool
		readStore bool
	}{
		"held":                            {held(8), 0, true, false},
		"heard of":                        {offer{version: 8}, 0, false, false},
		"heard of for long":               {offer{version: 8}, partTimeout, false, true},
		"older":                           {held(7), partTimeout, false, false},
		"held, the store is read":         {offer{version: 8, held: true, reads: true}, 0, false, false},
		"held, the store is read in vain": {offer{version: 8, held: true, reads: true}, ownReadTime, true, true},
		"held, the store fails":           {offer{version: 8, held: true, fails: true}, 0, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fetcher := &fetcher{}
			now := time.Unix(1000, 0)
			fetcher.requestVersion(now, offer{version: 8, reads: true})
			next := fetcher.requestVersion(now.Add(test.after), test.offer)
			assert.Equal(t, next.ask != nil, test.asks)
			assert.Equal(t, next.readStore, test.readStore)
		})
	}
}

// TestCourierFetchesLargeOnesIfTheStoreFails guards against nodes that leave a large configuration to a store that does not
// answer them.
func TestCourierFetchesLargeOnesIfTheStoreFails(t *testing.T) {
	partServer := &partServer{version: 8, encoded: randomBytes(maxPeerFetchBytes + 1)}
	fetcher := &fetcher{}
	now := time.Unix(1000, 0)
	next := fetcher.requestVersion(now, offer{version: 8, held: true, fails: true})
	for next.ask != nil {
		next = fetcher.addPart(now, partServer.answer(next.ask))
	}
	assert.Assert(t, bytes.Equal(next.encoded, partServer.encoded))
}

// TestCourierGoesOverToANewerVersion checks that parts of two versions are never joined
// when a newer version replaces the one being fetched.
func TestCourierGoesOverToANewerVersion(t *testing.T) {
	older, newer := &partServer{8, randomBytes(2 * partBytes)}, &partServer{9, randomBytes(partBytes + 7)}
	fetcher := &fetcher{}
	now := time.Unix(1000, 0)
	fetcher.addPart(now, older.answer(fetcher.requestVersion(now, held(8)).ask))
	next := fetcher.addPart(now, newer.answer(&messenger.DefinitionAsk{Offset: 0}))
	assert.Equal(t, next.ask.Version, uint64(9))
	assert.Equal(t, next.ask.Offset, partBytes)
	assert.Assert(t, fetcher.addPart(now, older.answer(&messenger.DefinitionAsk{Offset: partBytes})).encoded == nil)
	next = fetcher.addPart(now, newer.answer(next.ask))
	assert.Assert(t, bytes.Equal(next.encoded, newer.encoded))
	assert.Equal(t, next.version, uint64(9))
}

// TestDefinitionsGoBetweenNodes checks that an encoded configuration of 1,400 rules is
// small enough to be fetched from a peer, decodes to the same configuration, and is
// rejected under another version.
func TestDefinitionsGoBetweenNodes(t *testing.T) {
	definition := router.Definition{Version: 8, Limits: router.Limits{MaxBodyBytes: 5}, Organisations: []router.Organisation{{Name: "guild", Keys: []string{"key"}}}}
	for number := range 1400 {
		definition.Rules = append(definition.Rules, router.Rule{
			Name: fmt.Sprintf("r-%07x", number), Host: "h.example", PathPrefix: fmt.Sprintf("/%05x/", number),
			Targets: []router.Target{{Service: "desk", Weight: 1}}, Timeout: time.Second, MaxAttempts: 1,
		})
	}
	encoded, err := encode(definition)
	assert.NilError(t, err)
	t.Logf("1,400 rules take %d bytes", len(encoded))
	assert.Assert(t, len(encoded) <= maxPeerFetchBytes)
	decoded, err := decode(encoded, 8)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, definition)
	_, err = decode(encoded, 9)
	assert.ErrorContains(t, err, "version 8")
}

// FuzzParts checks that no bytes from a peer crash a node or exhaust its memory.
func FuzzParts(f *testing.F) {
	encoded, err := encode(router.Definition{Version: 8})
	assert.NilError(f, err)
	f.Add(uint64(8), 0, len(encoded), encoded)
	f.Add(uint64(9), -1, 1<<40, []byte{0})
	f.Fuzz(func(t *testing.T, version uint64, offset, size int, data []byte) {
		fetcher := &fetcher{}
		fetcher.requestVersion(time.Unix(1000, 0), held(8))
		next := fetcher.addPart(time.Unix(1000, 0), &messenger.DefinitionPart{Version: version, Offset: offset, Size: size, Data: data})
		assert.Assert(t, len(fetcher.data) <= maxEncodedBytes)
		if next.encoded == nil {
			return
		}
		definition, err := decode(next.encoded, next.version)
		assert.Assert(t, err != nil || definition.Version == next.version)
	})
}
