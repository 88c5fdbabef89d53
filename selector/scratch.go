package selector

import "limpetcleat/messenger"

// scratch holds memory that one choice after the other uses: with 10,000 engines each of them would
// otherwise allocate 4 MB. The selector's mutex is held while it is used.
type scratch struct {
	kinds      map[string]messenger.KindWork
	candidates []candidate
	priced     []priced
	harmless   []priced
	equal      []priced
	sorted     []priced
}
