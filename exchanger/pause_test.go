package exchanger

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/selector"
)

// discard is a Sender that sends nothing.
type discard struct{}

func (discard) Send(context.Context, string, messenger.Message) {}

// Guards against a node that takes all others for silent after a pause of its own process, as it has not read what
// they sent meanwhile.
func TestPauseIsNoSilenceOfOthers(t *testing.T) {
	const span = 6 * time.Second
	for name, paused := range map[string]bool{"paused": true, "running": false} {
		t.Run(name, func(t *testing.T) {
			exchanger := New(Peer{VM: "b", DataCentre: "west"}, selector.New("west"), discard{})
			exchanger.Replace([]Peer{{VM: "a", DataCentre: "west", Address: "a"}, {VM: "b", DataCentre: "west", Address: "b"}})
			began := time.Now()
			exchanger.compose(began, memberStage)
			exchanger.receive(began, definer.Member{VM: "a"}, &messenger.LoadReport{Scope: messenger.FleetLoad})
			if !paused {
				for at := interval; at < span; at += interval {
					exchanger.compose(began.Add(at), memberStage)
				}
			}
			standing := exchanger.Standing(began.Add(span))
			assert.Equal(t, standing.HasReports, paused)
			assert.Equal(t, standing.IsAggregator, !paused)
		})
	}
}
