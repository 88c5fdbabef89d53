package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// steppedLimiter is a Limiter whose limits the test changes.
type steppedLimiter struct{ limits map[definer.UpstreamName]int }

func (limiter steppedLimiter) Limit(upstream *definer.Upstream) int {
	if limit, ok := limiter.limits[upstream.Name()]; ok {
		return limit
	}
	return upstream.Slots()
}

func (steppedLimiter) Observe(time.Time, *definer.Upstream, *definer.Class, messenger.Observation) {
}

// driver makes random calls to a scheduler and checks the decisions.
type driver struct {
	*checker
	t           testing.TB
	poolSetting poolSetting
	limiter     steppedLimiter
	classes     []*definer.Class
	now         time.Time
	asked       int
	adopted     int
}

func newDriver(t testing.TB, change func(*Scheduler)) *driver {
	limiter := steppedLimiter{limits: make(map[definer.UpstreamName]int)}
	made := New(messenger.Shard{Pool: "shared"}, definer.Member{VM: "vm1", Incarnation: 1}, WithLimiter(limiter))
	change(made)
	driver := &driver{
		checker: newChecker(made), t: t, limiter: limiter, now: start(),
		poolSetting: poolSetting{upstreams: 5, slots: 3, protectedShare: 0.2, leaving: make(map[int]bool), gone: make(map[int]bool), classes: shortWaitClasses()},
	}
	driver.configure()
	return driver
}

func (driver *driver) configure() {
	pool, classes := driver.poolSetting.build(driver.t)
	driver.classes = classes
	driver.check(driver.now, driver.scheduler.Expire(driver.now))
	driver.scheduler.SetPool(pool)
	driver.check(driver.now, driver.scheduler.Configure(driver.now, pool.Upstreams(), classes))
}

// step makes one random call; draw returns a number from 0 up to below its argument.
func (driver *driver) step(draw func(int) int) {
	clear(driver.paused)
	for _, upstream := range driver.scheduler.upstreams {
		for _, grant := range upstream.paused {
			driver.paused[grant.id] = true
		}
	}
	driver.now = driver.now.Add(time.Duration(draw(60)) * time.Millisecond)
	switch choice := draw(1000); {
	case choice < 500:
		driver.ask(draw)
	case choice < 880:
		driver.release(draw)
	case choice < 930:
		driver.check(driver.now, driver.scheduler.Expire(driver.now))
	case choice < 960:
		driver.withdraw(draw)
	case choice < 985:
		driver.limiter.limits[definer.UpstreamName(fmt.Sprintf("runner%02d", draw(5)))] = 1 + draw(6)
	case choice < 993:
		driver.adopt(draw)
	case choice < 995:
		driver.forget(draw)
	default:
		driver.reconfigure(draw)
	}
}

// reconfigure marks at most one upstream as leaving, removes at most one, and changes
// classes and the protected share.
func (driver *driver) reconfigure(draw func(int) int) {
	clear(driver.poolSetting.leaving)
	clear(driver.poolSetting.gone)
	driver.poolSetting.leaving[draw(7)] = true
	driver.poolSetting.gone[draw(7)] = true
	driver.poolSetting.protectedShare = float64(draw(4)) / 10
	driver.poolSetting.classes = shortWaitClasses()
	driver.poolSetting.classes[2].Preemptible = draw(2) == 0
	driver.poolSetting.classes[4].FloorShare = float64(draw(4)) / 10
	driver.poolSetting.classes[3].Tier = 2 + draw(3)
	driver.configure()
}

func (driver *driver) ask(draw func(int) int) {
	driver.asked++
	ask := Ask{
		Request: definer.RequestID(fmt.Sprint("r", driver.asked)), Entry: definer.Member{VM: definer.VM(fmt.Sprint("vm", draw(3)))},
		Class: driver.classes[draw(5)], Organisation: definer.OrganisationName(fmt.Sprint("o", draw(4))), Weight: float64(1 + draw(3)),
		Model: []string{"", "small", "large"}[draw(3)], PromptTokens: draw(2000), OutputTokens: draw(500), Arrival: driver.now.Add(-time.Duration(draw(4000)) * time.Millisecond),
	}
	if draw(4) == 0 {
		ask.Deadline = driver.now.Add(time.Duration(draw(8000)) * time.Millisecond)
	}
	if draw(6) == 0 {
		ask.Exclude = []definer.UpstreamName{definer.UpstreamName(fmt.Sprintf("runner%02d", draw(5)))}
	}
	driver.open[ask.Request] = &record{ask: ask}
	driver.check(driver.now, driver.scheduler.Ask(driver.now, ask))
}

// pick returns a random running grant without walking a map.
func (driver *driver) pick(draw func(int) int) (definer.GrantID, bool) {
	for len(driver.ids) > 0 {
		index, last := draw(len(driver.ids)), len(driver.ids)-1
		id := driver.ids[index]
		driver.ids[index] = driver.ids[last]
		driver.ids = driver.ids[:last]
		if driver.running[id] != nil {
			return id, true
		}
	}
	return "", false
}

func (driver *driver) release(draw func(int) int) {
	// For 12 of every 100 s all upstreams hang, so that the expected waits are wrong.
	if driver.now.Unix()%100 < 12 {
		return
	}
	id, ok := driver.pick(draw)
	if !ok {
		return
	}
	delete(driver.running, id)
	observation := messenger.Observation{Tokens: 1 + draw(600), Total: time.Second, Failed: draw(20) == 0}
	driver.check(driver.now, driver.scheduler.Release(driver.now, id, observation))
	if again := driver.scheduler.Release(driver.now, id, observation); len(again) != 0 {
		driver.fault("the second release of %s returned decisions", id)
	}
}

func (driver *driver) withdraw(draw func(int) int) {
	request := definer.RequestID(fmt.Sprint("r", max(1, driver.asked-draw(60))))
	delete(driver.open, request)
	for id, record := range driver.running {
		if record.ask.Request == request {
			delete(driver.running, id)
		}
	}
	driver.check(driver.now, driver.scheduler.Withdraw(driver.now, request))
}

func (driver *driver) adopt(draw func(int) int) {
	// Adopt refuses expired asks first, so check those refusals before the change.
	driver.check(driver.now, driver.scheduler.Expire(driver.now))
	driver.adopted++
	id := definer.GrantID(fmt.Sprint("old", driver.adopted))
	class, member := driver.classes[draw(5)], definer.Member{VM: definer.VM(fmt.Sprint("vm", draw(3)))}
	upstream := definer.UpstreamName(fmt.Sprintf("runner%02d", draw(5)))
	driver.running[id] = &record{ask: Ask{Class: class, Entry: member, Request: definer.RequestID(id)}, upstream: upstream}
	driver.ids = append(driver.ids, id)
	for range 2 {
		driver.scheduler.Adopt(driver.now, member, class, messenger.HeldGrant{
			Grant: id, Request: definer.RequestID(id), Class: class.Name(), Organisation: "o1",
			Upstream: upstream, Age: time.Second,
		})
	}
	driver.check(driver.now, driver.scheduler.Expire(driver.now))
}

func (driver *driver) forget(draw func(int) int) {
	member := definer.Member{VM: definer.VM(fmt.Sprint("vm", draw(3)))}
	for request, record := range driver.open {
		if record.ask.Entry == member {
			delete(driver.open, request)
		}
	}
	for id, record := range driver.running {
		if record.ask.Entry == member {
			delete(driver.running, id)
		}
	}
	driver.check(driver.now, driver.scheduler.RemoveMember(driver.now, member))
}

func seeded(seed uint64) func(int) int {
	source := rand.New(rand.NewPCG(seed, seed))
	return source.IntN
}
