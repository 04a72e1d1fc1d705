//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long one instance stands still, the site's for_s of node_freeze.
	freezeTime = 4 * time.Second
	// resendTime is how long a client waits before it sends a job again (RetransmitMs).
	resendTime = 1300 * time.Millisecond
	// watchedJobs is the number of jobs whose tasks outlast their clients' patience.
	watchedJobs = 12
	// freezeAfter is the time from these jobs to the freeze.
	freezeAfter = 890 * time.Millisecond
	// freezes is how often an owner is frozen.
	freezes = 6
)

// playFrozenOwner freezes an instance that owns minions on which another one has runs. The
// minions do not check their capacity.
func playFrozenOwner(d *deployment, trouble bool) (bool, error) {
	d.unguarded = true
	d.publish(1.6, 60, 3000)
	for i, zone := range zones {
		for n := range 8 {
			if _, err := d.addMinion(zone, fmt.Sprintf("r%d-%d", i+1, n/8+1), 16000); err != nil {
				return false, err
			}
		}
		d.addNode(zone)
		d.addNode(zone)
	}
	if err := d.startNodes(); err != nil {
		return false, err
	}
	var jobs []*job
	for n := range freezes {
		watched, err := playFreeze(d, d.nodes[2+n%2], trouble)
		if err != nil {
			return false, err
		}
		jobs = append(jobs, watched...)
	}
	isBroken := false
	for _, j := range jobs {
		isBroken = d.overlaps(d.runsOf(j.id)) || isBroken
	}
	return isBroken, nil
}

// playFreeze submits jobs that outlast their deadlines at another instance, and freezes
// the owner before. It returns the jobs when all of them are over.
func playFreeze(d *deployment, owner *node, trouble bool) ([]*job, error) {
	// The minions of the first zone are full, so that its jobs go to the others.
	full := d.submitAsync(d.nodes[0], oneStep(8, 15500, 7000, 9000))
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	var jobs []*job
	for n := range watchedJobs {
		j := oneStep(1, 6800, 3500, 1500)
		// Estimates are rough.
		j.steps[0].EstimateMs = 1100
		jobs = append(jobs, j)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := d.submit(d.nodes[0], j)
			for try := 0; try < 3 && (r.status == 0 || r.status == 502 || r.status == 504); try++ {
				time.Sleep(resendTime)
				r = d.submit(d.nodes[[]int{1, 4, 5}[(n+try)%3]], j)
			}
		}()
	}
	time.Sleep(freezeAfter)
	if trouble {
		if err := d.signal(owner, syscall.SIGSTOP); err != nil {
			return nil, err
		}
		time.Sleep(freezeTime)
		if err := d.signal(owner, syscall.SIGCONT); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	<-full
	time.Sleep(time.Second)
	return jobs, nil
}
