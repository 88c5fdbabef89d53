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
	// maxAnswerBytes bounds the sections in one answer, so that no message
	// holds up those behind it for long.
	maxAnswerBytes = 48 << 10
	// maxWanted bounds the sections that one ask names.
	maxWanted = 128
	// fetchPatience is how long an ask waits for its answer.
	fetchPatience = 150 * time.Millisecond
	// maxFetchTries bounds the asks in a row that bring nothing new.
	maxFetchTries = 30
	// maxAtOnce bounds the sources asked at once after tries without an answer.
	maxAtOnce = 3
)

// fetch is a newer version on its way from peers.
type fetch struct {
	// version and digest are what is known of it; digest may be empty.
	version uint64
	digest  string
	// sums is nil until the list is known.
	sums []messenger.SectionSum
	// contents holds whole sections of sums, partial those that have begun.
	contents map[string][]byte
	partial  map[string][]byte
	// sources are peers that have the version, the one asked last first.
	sources []definer.VM
	// tries counts the asks since anything new came.
	tries int
}

// learn begins to fetch a version that a peer has and that is newer.
func (configurer *configurer) learn(from definer.VM, version uint64, digest string) {
	if version <= configurer.head.Version {
		if version == configurer.head.Version {
			configurer.agree(version, digest)
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

// ask tells a peer what is in force here and asks for anything newer.
func (configurer *configurer) ask(peer definer.VM, hashes []string, offset int) {
	configurer.send(peer, &messenger.ConfigurationAsk{Version: configurer.head.Version, Digest: configurer.digest, Hashes: hashes, Offset: offset})
}

// askSource asks the first source for what is missing; the next ones as well
// when tries went without an answer.
func (configurer *configurer) askSource() {
	fetch := configurer.fetch
	missing := configurer.missing()
	offset := 0
	if len(missing) > 0 {
		offset = len(fetch.partial[missing[0]])
	}
	for _, source := range fetch.sources[:min(len(fetch.sources), 1+fetch.tries, maxAtOnce)] {
		configurer.ask(source, missing[:min(len(missing), maxWanted)], offset)
	}
	configurer.after(configurerPart, fetchTimer, fetchPatience)
}

// missing returns the sections of the version being fetched that are not here.
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

// fetchAgain asks once more: another source, or a peer at random as long as
// there is no configuration at all.
func (configurer *configurer) fetchAgain() {
	fetch := configurer.fetch
	if fetch == nil {
		configurer.askAnyone()
		return
	}
	fetch.tries++
	if fetch.tries > maxFetchTries {
		configurer.fetch = nil
		configurer.askAnyone()
		return
	}
	fetch.sources = append(fetch.sources[1:], fetch.sources[0])
	configurer.askSource()
}

// askAnyone asks a peer at random while there is no configuration.
func (configurer *configurer) askAnyone() {
	if configurer.configuration != nil {
		return
	}
	if peer, ok := configurer.any(configurer.candidates()); ok {
		configurer.ask(peer, nil, 0)
	}
	configurer.after(configurerPart, fetchTimer, fetchPatience)
}

// candidates returns whom a new node can ask: its data centre's members, and
// the VMs that it was told of at its start.
func (configurer *configurer) candidates() []definer.VM {
	candidates := slices.Clone(configurer.members().line)
	for _, vm := range configurer.seeds {
		if !vm.Upstream {
			candidates = append(candidates, definer.VM(vm.Name))
		}
	}
	return slices.DeleteFunc(candidates, func(vm definer.VM) bool { return vm == configurer.self.VM })
}

// answered takes in the list and the sections that a peer sent.
func (configurer *configurer) answered(from definer.VM, answer *messenger.ConfigurationAnswer) {
	configurer.begin(from, answer)
	fetch := configurer.fetch
	if fetch == nil || fetch.digest != answer.Digest || !configurer.list(answer) {
		return
	}
	progress := false
	for _, piece := range answer.Pieces {
		progress = fetch.add(piece) || progress
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
	head := Head{Version: answer.Version, Sections: fetch.sums}
	configurer.take(head, fetch.digest, configurer.complete(fetch.sums, fetch.contents))
}

func (configurer *configurer) endFetch() {
	configurer.fetch = nil
	configurer.clear(configurerPart, fetchTimer)
}

// begin turns to the answer's version if it is newer than the one being
// fetched, or the first word of which content that one has.
func (configurer *configurer) begin(from definer.VM, answer *messenger.ConfigurationAnswer) {
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

// list works out the version's list of sections and tells whether it is right.
func (configurer *configurer) list(answer *messenger.ConfigurationAnswer) bool {
	if configurer.fetch.sums != nil {
		return true
	}
	sums := answer.Changed
	if answer.Base != "" && answer.Base != configurer.digest {
		return false
	}
	if answer.Base != "" {
		sums = sectioner.Amend(configurer.head.Sections, answer.Changed, answer.Removed)
	}
	if sectioner.Digest(sums) != answer.Digest {
		return false
	}
	configurer.fetch.sums = sums
	configurer.fetch.prune()
	return true
}

// prune drops what the list does not name.
func (fetch *fetch) prune() {
	unnamed := func(hash string, _ []byte) bool { return !fetch.names(hash) }
	maps.DeleteFunc(fetch.contents, unnamed)
	maps.DeleteFunc(fetch.partial, unnamed)
}

func (fetch *fetch) names(hash string) bool {
	return slices.ContainsFunc(fetch.sums, func(sum messenger.SectionSum) bool { return sum.Hash == hash })
}

// add takes in a part of a section if it is the next one and tells whether it
// was; a section whose content does not have its hash is begun anew.
func (fetch *fetch) add(piece messenger.Piece) bool {
	begun := fetch.partial[piece.Hash]
	whole := len(begun) + len(piece.Data)
	_, got := fetch.contents[piece.Hash]
	if got || piece.Offset != len(begun) || piece.Size > sectioner.MaxSection || whole > piece.Size || !fetch.names(piece.Hash) {
		return false
	}
	data := append(slices.Clip(begun), piece.Data...)
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
