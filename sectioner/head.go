package sectioner

import (
	"encoding/json"
	"time"

	"limpetcleat/messenger"
)

const (
	// HeadKind and HeadName name the platform's object that holds the head.
	HeadKind = "configuration"
	// HeadName is the name of the one object of HeadKind.
	HeadName = "head"
	// SectionKind is the kind of the platform's objects that hold sections;
	// each is named by its hash and never changes.
	SectionKind = "configurationSection"
	// MaxHistory is the number of earlier edits that a head keeps.
	MaxHistory = 20
	// garbageVersions is for how many edits a section is tried to be deleted.
	garbageVersions = 5
	// maxGarbage bounds the list of sections to delete.
	maxGarbage = 1000
)

// Head is the stored form of the newest version of the configuration. Its
// fields are exported because the JSON codec needs it.
type Head struct {
	Edit
	// Sections lists what the version is made of, in the order of Cut.
	Sections []Entry `json:"sections"`
	// History holds the edits before this one, the latest first.
	History []Edit `json:"history,omitempty"`
	// Garbage lists sections that no version within History has any more.
	Garbage []Garbage `json:"garbage,omitempty"`
}

// Garbage is a section that an edit may delete.
type Garbage struct {
	Hash string `json:"hash"`
	// Since is the version that put it on the list.
	Since uint64 `json:"since"`
}

// Edit is one accepted change of the configuration.
type Edit struct {
	// Version grows by one with each edit.
	Version uint64 `json:"version"`
	// EditID is unique to the edit; it settles a write whose answer was lost.
	EditID string `json:"editID"`
	// Editor is who made the edit.
	Editor   string    `json:"editor"`
	EditedAt time.Time `json:"editedAt"`
	Summary  string    `json:"summary"`
	// Undo lists the sections that the edit replaced, as they were before it;
	// a section that the edit added has no hash.
	Undo []Entry `json:"undo,omitempty"`
}

// Entry is the stored form of a section's name and content hash.
type Entry struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

// Sums returns the head's sections as they cross the inner protocol.
func (head *Head) Sums() []messenger.SectionSum {
	sums := make([]messenger.SectionSum, 0, len(head.Sections))
	for _, entry := range head.Sections {
		sums = append(sums, messenger.SectionSum(entry))
	}
	return sums
}

// Entries returns the stored form of the sums.
func Entries(sums []messenger.SectionSum) []Entry {
	entries := make([]Entry, 0, len(sums))
	for _, sum := range sums {
		entries = append(entries, Entry(sum))
	}
	return entries
}

// ParseHead decodes a head. The error is of kind Malformed.
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

// Next returns the head after an edit that leads to the sums. The edit's Undo
// is worked out; history and garbage are kept within their bounds.
func (head *Head) Next(edit Edit, sums []messenger.SectionSum) *Head {
	changed, removed := Difference(head.Sums(), sums)
	edit.Undo = undo(head, changed, removed)
	next := &Head{Edit: edit, Sections: Entries(sums)}
	if head.Version > 0 {
		next.History = append([]Edit{head.Edit}, head.History...)
	}
	dropped := next.trim()
	next.Garbage = next.collect(append(head.Garbage, dropped...))
	return next
}

func undo(head *Head, changed []messenger.SectionSum, removed []string) []Entry {
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

// trim drops the edits beyond MaxHistory, and what the last one replaced, since
// no version before it can be loaded. It returns the sections dropped.
func (head *Head) trim() []Garbage {
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

// collect returns the garbage that is still to be deleted: what is needed again
// or has been on the list for long is taken off.
func (head *Head) collect(garbage []Garbage) []Garbage {
	needed := head.needed()
	var kept []Garbage
	for _, item := range garbage {
		if !needed[item.Hash] && item.Since+garbageVersions > head.Version {
			needed[item.Hash] = true
			kept = append(kept, item)
		}
	}
	return kept[max(0, len(kept)-maxGarbage):]
}

// needed returns the hashes of the sections of every version that can still be
// loaded.
func (head *Head) needed() map[string]bool {
	needed := make(map[string]bool)
	for _, entry := range head.Sections {
		needed[entry.Hash] = true
	}
	for _, edit := range append([]Edit{head.Edit}, head.History...) {
		for _, entry := range edit.Undo {
			needed[entry.Hash] = true
		}
	}
	return needed
}

// At returns the sections of an earlier version. The error is of kind
// Incomplete when the history does not reach back to it.
func (head *Head) At(version uint64) ([]messenger.SectionSum, error) {
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
		sums = Amend(sums, changed, removed)
	}
	return nil, fail("at", Incomplete, "version %d is not among the last %d", version, len(edits))
}

// Has tells whether the edit is this head's or in its history; known is false
// when the edit could be older than the history.
func (head *Head) Has(editID string, version uint64) (found, known bool) {
	oldest := head.Version
	for _, edit := range append([]Edit{head.Edit}, head.History...) {
		if edit.EditID == editID {
			return true, true
		}
		oldest = edit.Version
	}
	return false, oldest <= version || len(head.History) < MaxHistory
}
