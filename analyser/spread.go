package analyser

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// groupNames returns the names of the sizes of groups, from the smallest.
func groupNames() []string { return []string{"1", "2-3", "4-6", "7-10", "11+"} }

// groupIndex returns the index in groupNames of a group of at least one request.
func groupIndex(size int) int {
	switch {
	case size <= 1:
		return 0
	case size <= 3:
		return 1
	case size <= 6:
		return 2
	case size <= 10:
		return 3
	default:
		return 4
	}
}

// target is an upstream that requests of a rule are sent to.
type target struct {
	rule     string
	upstream string
}

// ruleSecond is a second, since 1970, of the sends of a rule.
type ruleSecond struct {
	second int64
	rule   string
}

// use sums up the sends of a rule in a second.
type use struct {
	sends     int
	upstreams int
	busiest   int
	// busiestName is the upstream with the most sends, the first by name of several.
	busiestName string
}

// spread counts how evenly the sends of each rule go to upstreams. Sends are added in order of
// time, so only one window and one second are held in full.
type spread struct {
	// width is the width of a window in nanoseconds.
	width int64
	// window and second are the numbers of the current ones since 1970.
	window, second int64
	inWindow       map[target]int
	inSecond       map[target]int
	// groups counts requests by rule and groupIndex.
	groups map[string]*[5]int
	// targets holds the upstreams that a rule's requests were sent to.
	targets map[string]map[string]bool
	uses    map[ruleSecond]*use
}

func newSpread(width int64) *spread {
	return &spread{
		width: width, inWindow: make(map[target]int), inSecond: make(map[target]int),
		groups: make(map[string]*[5]int), targets: make(map[string]map[string]bool), uses: make(map[ruleSecond]*use),
	}
}

func (spread *spread) add(at int64, rule, upstream string) {
	if window := at / spread.width; window != spread.window {
		spread.endWindow()
		spread.window = window
	}
	if second := at / int64(time.Second); second != spread.second {
		spread.endSecond()
		spread.second = second
	}
	to := target{rule: rule, upstream: upstream}
	spread.inWindow[to]++
	spread.inSecond[to]++
	if spread.targets[rule] == nil {
		spread.targets[rule] = make(map[string]bool)
	}
	spread.targets[rule][upstream] = true
}

// flush ends the current window and second.
func (spread *spread) flush() {
	spread.endWindow()
	spread.endSecond()
}

func (spread *spread) endWindow() {
	for to, size := range spread.inWindow {
		if spread.groups[to.rule] == nil {
			spread.groups[to.rule] = new([5]int)
		}
		spread.groups[to.rule][groupIndex(size)] += size
	}
	clear(spread.inWindow)
}

func (spread *spread) endSecond() {
	for to, sends := range spread.inSecond {
		key := ruleSecond{second: spread.second, rule: to.rule}
		sum := spread.uses[key]
		if sum == nil {
			sum = &use{}
			spread.uses[key] = sum
		}
		sum.sends += sends
		sum.upstreams++
		if sends > sum.busiest || sends == sum.busiest && to.upstream < sum.busiestName {
			sum.busiest, sum.busiestName = sends, to.upstream
		}
	}
	clear(spread.inSecond)
}

// keys returns the seconds of rules with sends, by second and rule.
func (spread *spread) keys() []ruleSecond {
	return slices.SortedFunc(maps.Keys(spread.uses), func(one, other ruleSecond) int {
		return cmp.Or(cmp.Compare(one.second, other.second), cmp.Compare(one.rule, other.rule))
	})
}

// unevenness returns how many times the mean of the rule's upstreams the busiest receives.
func (spread *spread) unevenness(key ruleSecond) float64 {
	sum := spread.uses[key]
	return float64(sum.busiest) * float64(len(spread.targets[key.rule])) / float64(sum.sends)
}
