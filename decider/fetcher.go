package decider

import (
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

const (
	// maxAnswerBytes bounds the section data in one answer, so that no message
	// delays those behind it for long.
	maxAnswerBytes = 48 << 10
	// maxHashesPerAsk bounds the sections that one ask names.
	maxHashesPerAsk = 128
	// fetchTimeout is how long an ask waits for its answer.
	fetchTimeout = 150 * time.Millisecond
	// maxFetchTries bounds the consecutive asks that bring nothing new.
	maxFetchTries = 30
	// maxParallelAsks bounds the sources asked in parallel after asks without
	// an answer.
	maxParallelAsks = 3
)

// fetch is the state of fetching a newer version from peers.
type fetch struct {
	// version and digest identify the version; digest is empty while it is
	// unknown.
	version uint64
	digest  string
	// sums is nil until the list is known.
	sums []messenger.SectionSum
	// contents holds the complete sections of sums, partial those received in
	// part.
	contents map[string][]byte
	partial  map[string][]byte
	// sources are peers that have the version; the one asked last comes first.
	sources []definer.VM
	// tries counts the asks since new data last arrived.
	tries int
}

// learnVersion starts to fetch a version that a peer has, if it is newer than
// the one in force.
func (configurer *configurer) learnVersion(from definer.VM, version uint64, digest string) {
	if version <= configurer.head.Version {
		if version == configurer.head.Version {
			configurer.checkDivergence(version, digest)
		}
		return
	}
	if known, ok := configurer.rejected[version]; ok && (digest == "" || digest == known) {
		return
	}
	current := configurer.fetch
	if current != nil && current.version >= version {
		if !slices.Contains(current.sources, from) {
			current.sources = append(current.sources, from)
		}
		return
	}
	if current == nil {
		current = &fetch{contents: make(map[string][]byte), partial: make(map[string][]byte)}
	}
	current.version, current.digest = version, digest
	current.sources = []definer.VM{from}
	current.tries = 0
	configurer.fetch = current
	configurer.askSource()
}

// ask tells a peer which version is in force here and asks for any newer one.
func (configurer *configurer) ask(peer definer.VM, hashes []string, offset int) {
	configurer.send(peer, &messenger.ConfigurationAsk{Version: configurer.head.Version, Digest: configurer.digest, Hashes: hashes, Offset: offset})
}

// askSource asks the first source for the missing sections. After asks without
// an answer, it asks further sources as well.
func (configurer *configurer) askSource() {
	fetch := configurer.fetch
	missing := configurer.missing()
	offset := 0
	if len(missing) > 0 {
		offset = len(fetch.partial[missing[0]])
	}
	for _, source := range fetch.sources[:min(len(fetch.sources), 1+fetch.tries, maxParallelAsks)] {
		configurer.ask(source, missing[:min(len(missing), maxHashesPerAsk)], offset)
	}
	configurer.setTimer(configurerComponent, fetchTimer, fetchTimeout)
}

// missing returns the hashes of the sections still to be fetched.
func (configurer *configurer) missing() []string {
	var missing []string
	for _, sum := range configurer.fetch.sums {
		_, held := configurer.contents[sum.Hash]
		_, got := configurer.fetch.contents[sum.Hash]
		if !held && !got && !slices.Contains(missing, sum.Hash) {
			missing = append(missing, sum.Hash)
		}
	}
	return missing
}

// retryFetch repeats the ask with another source, or with a random peer while
// there is no configuration at all.
func (configurer *configurer) retryFetch() {
	fetch := configurer.fetch
	if fetch == nil {
		configurer.askRandomPeer()
		return
	}
	fetch.tries++
	if fetch.tries > maxFetchTries {
		configurer.fetch = nil
		configurer.askRandomPeer()
		return
	}
	fetch.sources = append(fetch.sources[1:], fetch.sources[0])
	configurer.askSource()
}

// askRandomPeer asks a random peer while there is no configuration.
func (configurer *configurer) askRandomPeer() {
	if configurer.configuration != nil {
		return
	}
	if peer, ok := configurer.randomPeer(configurer.bootstrapPeers()); ok {
		configurer.ask(peer, nil, 0)
	}
	configurer.setTimer(configurerComponent, fetchTimer, fetchTimeout)
}

// bootstrapPeers returns the peers that a new node can ask: the members of its
// data centre and the VMs configured at its start.
func (configurer *configurer) bootstrapPeers() []definer.VM {
	candidates := slices.Clone(configurer.members().order)
	for _, vm := range configurer.bootstrapVMs {
		if !vm.Upstream {
			candidates = append(candidates, definer.VM(vm.Name))
		}
	}
	return slices.DeleteFunc(candidates, func(vm definer.VM) bool { return vm == configurer.self.VM })
}

// handleAnswer handles a section list and sections that a peer sent.
func (configurer *configurer) handleAnswer(from definer.VM, answer *messenger.ConfigurationAnswer) {
	configurer.switchFetch(from, answer)
	fetch := configurer.fetch
	if fetch == nil || fetch.digest != answer.Digest || !configurer.resolveSections(answer) {
		return
	}
	progress := false
	for _, piece := range answer.Pieces {
		progress = fetch.addPiece(piece) || progress
	}
	if len(configurer.missing()) > 0 {
		if progress {
			fetch.tries = 0
			fetch.sources = append([]definer.VM{from}, slices.DeleteFunc(fetch.sources, func(vm definer.VM) bool { return vm == from })...)
			configurer.askSource()
		}
		return
	}
	configurer.endFetch()
	head := ConfigurationHead{Version: answer.Version, Sections: fetch.sums}
	configurer.apply(head, fetch.digest, configurer.collectSections(fetch.sums, fetch.contents))
}

func (configurer *configurer) endFetch() {
	configurer.fetch = nil
	configurer.clearTimer(configurerComponent, fetchTimer)
}

// switchFetch turns the fetch to the answer's version if that is newer than the
// one being fetched, or if it is that one and its digest was unknown.
func (configurer *configurer) switchFetch(from definer.VM, answer *messenger.ConfigurationAnswer) {
	if answer.Version <= configurer.head.Version || configurer.rejected[answer.Version] == answer.Digest {
		return
	}
	current := configurer.fetch
	switch {
	case current == nil:
		current = &fetch{contents: make(map[string][]byte), partial: make(map[string][]byte), sources: []definer.VM{from}}
	case answer.Version < current.version, answer.Version == current.version && current.digest != "":
		return
	}
	current.version, current.digest = answer.Version, answer.Digest
	current.sums = nil
	configurer.fetch = current
}

// resolveSections derives the version's list of sections from the answer and
// reports whether its digest matches.
func (configurer *configurer) resolveSections(answer *messenger.ConfigurationAnswer) bool {
	if configurer.fetch.sums != nil {
		return true
	}
	sums := answer.Changed
	if answer.Base != "" && answer.Base != configurer.digest {
		return false
	}
	if answer.Base != "" {
		sums = sectioner.Apply(configurer.head.Sections, answer.Changed, answer.Removed)
	}
	if sectioner.Digest(sums) != answer.Digest {
		return false
	}
	configurer.fetch.sums = sums
	configurer.fetch.prune()
	return true
}

// prune drops the sections that the list does not name.
func (fetch *fetch) prune() {
	unnamed := func(hash string, _ []byte) bool { return !fetch.hasSection(hash) }
	maps.DeleteFunc(fetch.contents, unnamed)
	maps.DeleteFunc(fetch.partial, unnamed)
}

func (fetch *fetch) hasSection(hash string) bool {
	return slices.ContainsFunc(fetch.sums, func(sum messenger.SectionSum) bool { return sum.Hash == hash })
}

// addPiece adds the next piece of a section and reports whether it was added. A
// section whose content does not match its hash is fetched anew.
func (fetch *fetch) addPiece(piece messenger.Piece) bool {
	received := fetch.partial[piece.Hash]
	whole := len(received) + len(piece.Data)
	_, got := fetch.contents[piece.Hash]
	if got || piece.Offset != len(received) || piece.Size > sectioner.MaxSectionBytes || whole > piece.Size || !fetch.hasSection(piece.Hash) {
		return false
	}
	data := append(slices.Clip(received), piece.Data...)
	if whole < piece.Size {
		fetch.partial[piece.Hash] = data
		return len(piece.Data) > 0
	}
	delete(fetch.partial, piece.Hash)
	if sectioner.Hash(data) != piece.Hash {
		return false
	}
	fetch.contents[piece.Hash] = data
	return true
}
