package scheduler

import (
	"math/bits"

	"limpetcleat/definer"
)

// wordBits is the number of bits in a word of a mask.
const wordBits = 64

// shape is the set of upstreams that fit a model and a list of exclusions.
type shape struct {
	key string
	// model and excluded are what key was made of.
	model    string
	excluded []definer.UpstreamName
	// table holds the upstreams in order of name.
	table []*slots
	// mask has the bit of each upstream in table.
	mask []uint64
	// limit and ordinary add up the slots of the upstreams in table.
	limit    int
	ordinary int
}

func newShape(key string, table []*slots, width int) *shape {
	shape := &shape{key: key, table: table, mask: make([]uint64, width)}
	for _, slots := range table {
		shape.mask[slots.position/wordBits] |= 1 << (slots.position % wordBits)
	}
	shape.sum()
	return shape
}

// sum adds up the slots anew after a limit changed.
func (shape *shape) sum() {
	shape.limit, shape.ordinary = 0, 0
	for _, slots := range shape.table {
		shape.limit += slots.limit
		shape.ordinary += slots.ordinary
	}
}

// part returns the part of the other shape's slots that this one has.
func (shape *shape) part(other *shape) float64 {
	return float64(shape.limit) / float64(max(other.limit, 1))
}

// meets tells whether some upstream of the shape is in the mask.
func (shape *shape) meets(mask []uint64) bool {
	for index, word := range shape.mask {
		if word&mask[index] != 0 {
			return true
		}
	}
	return false
}

// overlap returns the part of the shape's upstreams that other has too.
func (shape *shape) overlap(other *shape) float64 {
	if shape == other {
		return 1
	}
	if len(shape.table) == 0 {
		return 0
	}
	common := 0
	for index, word := range shape.mask {
		common += bits.OnesCount64(word & other.mask[index])
	}
	return float64(common) / float64(len(shape.table))
}
