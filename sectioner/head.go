package sectioner

import (
	"encoding/json"
	"time"

	"limpetcleat/messenger"
)

const (
	// HeadKind is the kind of the platform's object that holds the head.
	HeadKind = "configuration"
	// HeadName is the name of the only object of HeadKind.
	HeadName = "head"
	// SectionKind is the kind of the platform's objects that hold sections. Each object
	// is named by the hash of its content and never changes.
	SectionKind = "configurationSection"
	// MaxHistory is the largest number of earlier edits that a head holds.
	MaxHistory = 20
	// garbageVersions is the number of versions for which a section stays on the list of
	// garbage; each edit in that time may try to delete it.
	garbageVersions = 5
	// maxGarbage is the largest number of sections on the list of garbage.
	maxGarbage = 1000
)

// Head is the stored form of the newest version of the configuration: its edit, the
// names and hashes of its sections, and the history. Its fields are exported for
// encoding/json.
type Head struct {
	Edit
	// Sections lists the sections of the version in the order of Split.
	Sections []Entry `json:"sections"`
	// History holds earlier edits, the latest first.
	History []Edit `json:"history,omitempty"`
	// Garbage lists sections that no version within History uses any more, the oldest
	// first.
	Garbage []Garbage `json:"garbage,omitempty"`
}

// Garbage is an unused section that an edit may delete.
type Garbage struct {
	Hash string `json:"hash"`
	// Since is the version that put the section on the list.
	Since uint64 `json:"since"`
}

// Edit is an accepted change of the configuration.
type Edit struct {
	// Version grows by one with each edit.
	Version uint64 `json:"version"`
	// EditID is unique to the edit. It shows whether a write took effect when its
	// response was lost.
	EditID string `json:"editID"`
	// Editor is the name of the author of the edit.
	Editor   string    `json:"editor"`
	EditedAt time.Time `json:"editedAt"`
	Summary  string    `json:"summary"`
	// Undo lists the sections that the edit changed, added or removed, with the hashes
	// from before the edit; the hash of an added section is empty.
	Undo []Entry `json:"undo,omitempty"`
}

// Entry is the stored form of a messenger.SectionSum: a section's name and the hash of
// its content.
type Entry struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

// Sums returns the head's sections in the form that nodes send to each other.
func (head *Head) Sums() []messenger.SectionSum {
	sums := make([]messenger.SectionSum, 0, len(head.Sections))
	for _, entry := range head.Sections {
		sums = append(sums, messenger.SectionSum(entry))
	}
	return sums
}

// Entries returns sums in their stored form.
func Entries(sums []messenger.SectionSum) []Entry {
	entries := make([]Entry, 0, len(sums))
	for _, sum := range sums {
		entries = append(entries, Entry(sum))
	}
	return entries
}

// ParseHead decodes a head from JSON. The error is of kind Malformed, also for a head
// without a version or without sections.
func ParseHead(data []byte) (*Head, error) {
	head := &Head{}
	if err := json.Unmarshal(data, head); err != nil {
		return nil, fail("parseHead", Malformed, "%w", err)
	}
	if head.Version == 0 || len(head.Sections) == 0 {
		return nil, fail("parseHead", Malformed, "version %d has %d sections", head.Version, len(head.Sections))
	}
	return head, nil
}

// Next returns the head that follows from an edit whose sections are sums. It computes
// the edit's Undo and keeps History and Garbage within MaxHistory and maxGarbage.
func (head *Head) Next(edit Edit, sums []messenger.SectionSum) *Head {
	changed, removed := Difference(head.Sums(), sums)
	edit.Undo = undoEntries(head, changed, removed)
	next := &Head{Edit: edit, Sections: Entries(sums)}
	if head.Version > 0 {
		next.History = append([]Edit{head.Edit}, head.History...)
	}
	dropped := next.trimHistory()
	next.Garbage = next.pendingGarbage(append(head.Garbage, dropped...))
	return next
}

// undoEntries returns the Undo of an edit of head, given the result of Difference.
func undoEntries(head *Head, changed []messenger.SectionSum, removed []string) []Entry {
	before := make(map[string]string, len(head.Sections))
	for _, entry := range head.Sections {
		before[entry.Name] = entry.Hash
	}
	var entries []Entry
	for _, sum := range changed {
		entries = append(entries, Entry{Name: sum.Name, Hash: before[sum.Name]})
	}
	for _, name := range removed {
		entries = append(entries, Entry{Name: name, Hash: before[name]})
	}
	return entries
}

// trimHistory removes the edits beyond MaxHistory, and clears the Undo of the last one
// kept, since no version before it can be loaded. It returns the sections of the Undos
// removed.
func (head *Head) trimHistory() []Garbage {
	var dropped []Garbage
	for index := MaxHistory - 1; index < len(head.History); index++ {
		for _, entry := range head.History[index].Undo {
			if entry.Hash != "" {
				dropped = append(dropped, Garbage{Hash: entry.Hash, Since: head.Version})
			}
		}
		head.History[index].Undo = nil
	}
	head.History = head.History[:min(len(head.History), MaxHistory)]
	return dropped
}

// pendingGarbage returns the garbage that is still to be deleted. It leaves out sections
// that are in use again, duplicates, and sections that have been on the list for
// garbageVersions; beyond maxGarbage the oldest are dropped.
func (head *Head) pendingGarbage(garbage []Garbage) []Garbage {
	reachable := head.reachableHashes()
	var kept []Garbage
	for _, item := range garbage {
		if !reachable[item.Hash] && item.Since+garbageVersions > head.Version {
			reachable[item.Hash] = true
			kept = append(kept, item)
		}
	}
	return kept[max(0, len(kept)-maxGarbage):]
}

// reachableHashes returns the hashes of the sections of all versions that can still be
// loaded.
func (head *Head) reachableHashes() map[string]bool {
	reachable := make(map[string]bool)
	for _, entry := range head.Sections {
		reachable[entry.Hash] = true
	}
	for _, edit := range append([]Edit{head.Edit}, head.History...) {
		for _, entry := range edit.Undo {
			reachable[entry.Hash] = true
		}
	}
	return reachable
}

// SectionsAt returns the sections of this version or of an earlier one, by applying the Undos of
// the edits since. The error is of kind Incomplete if the version is not in the history.
func (head *Head) SectionsAt(version uint64) ([]messenger.SectionSum, error) {
	sums := head.Sums()
	edits := append([]Edit{head.Edit}, head.History...)
	for _, edit := range edits {
		if edit.Version == version {
			return sums, nil
		}
		var changed []messenger.SectionSum
		var removed []string
		for _, entry := range edit.Undo {
			if entry.Hash == "" {
				removed = append(removed, entry.Name)
			} else {
				changed = append(changed, messenger.SectionSum(entry))
			}
		}
		sums = Apply(sums, changed, removed)
	}
	return nil, fail("at", Incomplete, "version %d is not among the last %d versions", version, len(edits))
}

// FindEdit reports whether an edit is that of this head or in its history. The result known
// is false if the edit is not found but could be older than the history; version is the
// version that the edit made, if it was accepted.
func (head *Head) FindEdit(editID string, version uint64) (found, known bool) {
	oldest := head.Version
	for _, edit := range append([]Edit{head.Edit}, head.History...) {
		if edit.EditID == editID {
			return true, true
		}
		oldest = edit.Version
	}
	return false, oldest <= version || len(head.History) < MaxHistory
}
