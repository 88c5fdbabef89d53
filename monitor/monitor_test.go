package monitor_test

import (
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/logger"
	"limpetcleat/monitor"
)

// script returns one reading after the other.
type script struct {
	readings []monitor.Usage
	err      error
}

func (script *script) Read() (monitor.Usage, error) {
	if script.err != nil {
		return monitor.Usage{}, script.err
	}
	next := script.readings[0]
	script.readings = script.readings[1:]
	return next, nil
}

type logged struct {
	number   int
	resource any
	high     any
}

// TestHighUseIsLoggedOnce guards against a process that is killed for its memory, or gets no more
// descriptors, without a word, and against a line for each reading.
func TestHighUseIsLoggedOnce(t *testing.T) {
	const limit = 1000
	cases := []struct {
		name    string
		limits  monitor.Limits
		memory  []int64
		wanted  []logged
		streams int64
	}{
		{"low", monitor.Limits{Memory: limit}, []int64{100, 799, 100}, nil, 0},
		{"high and low again", monitor.Limits{Memory: limit}, []int64{100, 800, 900, 750, 699, 799}, []logged{
			{logger.EventResourceHigh, "memory", true}, {logger.EventResourceHigh, "memory", false},
		}, 7},
		{"high at once", monitor.Limits{Memory: limit}, []int64{990}, []logged{{logger.EventResourceHigh, "memory", true}}, 0},
		{"no limit", monitor.Limits{}, []int64{1 << 40}, nil, 0},
		{"descriptors", monitor.Limits{Descriptors: limit}, []int64{100, 900, 100}, []logged{
			{logger.EventResourceHigh, "descriptors", true}, {logger.EventResourceHigh, "descriptors", false},
		}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got []logged
			readings := &script{}
			for _, used := range test.memory {
				readings.readings = append(readings.readings, monitor.Usage{Memory: used, Descriptors: used})
			}
			reports := 0
			watch := monitor.New(test.limits, readings, func() monitor.Work { return monitor.Work{Streams: test.streams} },
				monitor.WithReports(func(monitor.Usage, monitor.Work) { reports++ }),
				monitor.WithLog(func(number int, pairs ...any) {
					values := pairMap(pairs)
					assert.Equal(t, values["streams"], test.streams)
					got = append(got, logged{number, values["resource"], values["high"]})
				}))
			for range test.memory {
				watch.Check()
			}
			assert.Equal(t, reports, len(test.memory))
			assert.Equal(t, len(got), len(test.wanted), "%v", got)
			for index, wanted := range test.wanted {
				assert.Equal(t, got[index], wanted)
			}
		})
	}
}

// TestUnreadableUsageIsLoggedOnce guards against a line for each reading where the kernel provides none.
func TestUnreadableUsageIsLoggedOnce(t *testing.T) {
	var numbers []int
	readings := &script{err: errors.New("no such file")}
	watch := monitor.New(monitor.Limits{Memory: 1}, readings, func() monitor.Work { return monitor.Work{} },
		monitor.WithLog(func(number int, _ ...any) { numbers = append(numbers, number) }))
	watch.Check()
	watch.Check()
	assert.DeepEqual(t, numbers, []int{logger.EventUsageUnreadable})
}

// TestProcessIsRead guards against figures that do not follow what the process opens and holds.
func TestProcessIsRead(t *testing.T) {
	before, err := monitor.Process{}.Read()
	assert.NilError(t, err)
	assert.Assert(t, before.Memory > 1<<20 && before.Heap > 0 && before.Heap < before.Memory, "%+v", before)
	var listeners []net.Listener
	for range 5 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close()
		listeners = append(listeners, listener)
	}
	after, err := monitor.Process{}.Read()
	assert.NilError(t, err)
	assert.Assert(t, after.Descriptors >= before.Descriptors+int64(len(listeners)), "%+v %+v", before, after)
	assert.Assert(t, monitor.DescriptorLimit() >= after.Descriptors)
}

func pairMap(pairs []any) map[any]any {
	values := make(map[any]any)
	for index := 0; index+1 < len(pairs); index += 2 {
		values[pairs[index]] = pairs[index+1]
	}
	return values
}
