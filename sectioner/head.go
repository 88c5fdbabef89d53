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
)

// Head is the stored form of one version of the configuration. Its fields are
// exported because the JSON codec needs it.
type Head struct {
	Edit
	// History holds the edits before this one, the latest first.
	History []Edit `json:"history,omitempty"`
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
	// Sections lists what the version is made of, in the order of Cut.
	Sections []Entry `json:"sections,omitempty"`
}

// Entry is the stored form of a section's name and content hash.
type Entry struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

// Sums returns the edit's sections as they cross the inner protocol.
func (edit *Edit) Sums() []messenger.SectionSum {
	sums := make([]messenger.SectionSum, 0, len(edit.Sections))
	for _, entry := range edit.Sections {
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
