package informer

import (
	"testing"
	"time"

	"limpetcleat/delegator"
)

func TestZZCost(t *testing.T) {
	for _, size := range []struct {
		sizes []int
		bound time.Duration
	}{{[]int{3, 3, 2}, 2 * time.Second}, {[]int{22, 22, 22}, 3 * time.Second}, {[]int{50, 49, 49, 49, 49, 49}, 4 * time.Second}, {[]int{165, 165, 164, 164, 164, 164}, 5 * time.Second}} {
		bounds = delegator.Bounds{Revocation: 5 * time.Second, Application: size.bound, Leaving: size.bound}
		withCluster(t, 1, size.sizes, func(cluster *cluster) {
			started, _ := cluster.takeCosts()
			cluster.run(20 * time.Second)
			resting, _ := cluster.takeCosts()
			cluster.setReachability(unreachable, cluster.all()...)
			cluster.run(4500 * time.Millisecond)
			silent, _ := cluster.takeCosts()
			cluster.setReachability(served, cluster.all()...)
			cluster.run(10 * time.Second)
			cluster.takeCosts()
			cluster.setReachability(rejected, cluster.all()...)
			cluster.run(4500 * time.Millisecond)
			rejecting, _ := cluster.takeCosts()
			cluster.setReachability(served, cluster.all()...)
			cluster.run(10 * time.Second)
			cluster.takeCosts()
			cluster.setReachability(unreachable, "0-000")
			cluster.run(4500 * time.Millisecond)
			cut, _ := cluster.takeCosts()
			t.Logf("%v: start %.0f, 20 s rest %.0f, 4.5 s silent %.0f, rejecting %.0f, reader cut %.0f", size.sizes, started, resting, silent, rejecting, cut)
		})
	}
}
