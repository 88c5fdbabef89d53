package analyser

import (
	"math"
	"time"
)

// request is a request that was sent and has not finished.
type request struct {
	rule     string
	upstream string
	// sentAt is when it was last sent, in nanoseconds since 1970.
	sentAt int64
	// expected is the predicted time from the last send to the first event, in milliseconds.
	expected int
	// sends counts the sends in the log.
	sends int
	// lastFailure is the upstream and reason of the latest failed send.
	lastFailure string
	// outOfOrder is set if a send is out of order; the upstream's other requests are then
	// not known.
	outOfOrder bool
}

// failure is a kind of failed sends.
type failure struct {
	upstream string
	reason   string
	presence string
}

func (analyser *Analyser) recordSent(event *event) {
	sent := analyser.inFlight[event.request]
	if sent == nil {
		sent = &request{}
		analyser.inFlight[event.request] = sent
	} else {
		analyser.neighbours.end(sent)
	}
	sent.rule, sent.upstream, sent.sentAt, sent.expected = event.rule, event.upstream, event.at, event.expected
	sent.sends++
	if event.outOfOrder {
		sent.outOfOrder = true
		return
	}
	analyser.spread.add(event.at, event.rule, event.upstream)
	analyser.neighbours.add(sent)
}

func (analyser *Analyser) recordFailure(event *event) {
	analyser.failures[failure{upstream: event.upstream, reason: event.reason, presence: event.presence}]++
	if sent := analyser.inFlight[event.request]; sent != nil {
		sent.lastFailure = event.upstream + ": " + event.reason
	}
}

func (analyser *Analyser) recordFinished(event *event) {
	sent := analyser.inFlight[event.request]
	if sent == nil {
		sent = &request{expected: absent}
		if event.sends > 0 {
			analyser.finishedAlone++
		}
	}
	objectives := analyser.objectivesOf(event)
	how := judge(event, objectives)
	analyser.tallies.add(event, how, objectives)
	others := absent
	if sent.sends > 0 {
		if !sent.outOfOrder && !event.outOfOrder {
			others = analyser.neighbours.count(sent, event.at)
		}
		if how.served() && sent.sends == 1 {
			analyser.recordPrediction(event, sent)
			if others != absent && objectives.Pause > 0 {
				analyser.neighbours.record(sent.rule, others, how == latePause || how == lateBoth)
			}
		}
		analyser.neighbours.end(sent)
		delete(analyser.inFlight, event.request)
	}
	analyser.samples.add(analyser.examples, newSample(event, sent, how, objectives, others))
}

// objectivesOf returns the objectives of a finished request: those set for its rule, else those in
// the log.
func (analyser *Analyser) objectivesOf(event *event) Objectives {
	if set, ok := analyser.objectives[event.rule]; ok {
		return set
	}
	if event.rule != "" && event.objective == absent {
		analyser.unjudged[event.rule] = true
	}
	return Objectives{
		First: time.Duration(max(event.objective, 0)) * time.Millisecond,
		Pause: time.Duration(max(event.gapObjective, 0)) * time.Millisecond,
	}
}

// recordPrediction compares the predicted with the actual time from the send to the first event.
// The logged time counts from the request's arrival, so the time up to the send is subtracted.
func (analyser *Analyser) recordPrediction(event *event, sent *request) {
	if sent.expected <= 0 {
		return
	}
	firstEventAt := event.arrival() + int64(event.first)*int64(time.Millisecond)
	actual := max(float64(firstEventAt-sent.sentAt)/float64(time.Millisecond), 0)
	known := analyser.predictions[sent.upstream]
	if known == nil {
		known = &prediction{ratios: make(map[int]int)}
		analyser.predictions[sent.upstream] = known
	}
	known.add(actual / float64(sent.expected))
}

// prediction holds the ratios of actual over predicted first events of one upstream. Ratios are
// counted in steps of 1%, so that its memory does not grow with the number of requests.
type prediction struct {
	ratios map[int]int
	count  int
}

const (
	ratioStep = 1.01
	minRatio  = 0.001
)

func (prediction *prediction) add(ratio float64) {
	prediction.ratios[int(math.Round(math.Log(max(ratio, minRatio))/math.Log(ratioStep)))]++
	prediction.count++
}

// quantile returns the ratio that the share of the requests does not exceed, within 0.5%.
func (prediction *prediction) quantile(share float64) float64 {
	rank := int(math.Ceil(share * float64(prediction.count)))
	for _, step := range sortedKeys(prediction.ratios) {
		if rank -= prediction.ratios[step]; rank <= 0 {
			return math.Pow(ratioStep, float64(step))
		}
	}
	return 0
}
