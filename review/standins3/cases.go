//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// Bounds of the pages that the cases judge by, as in the settings.
const (
	graceTime   = 6 * time.Second
	cancelTime  = 3 * time.Second
	ackTime     = 4 * time.Second
	stopBound   = 50 * time.Millisecond
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

var zones = []string{"warszawa-a", "warszawa-b", "radom"}

// startThreeZones starts an instance and the given number of minions, of 16 cores each, in
// each of three zones.
func (d *deployment) startThreeZones(minionsPerZone int, stretch float64, targetLatencyMs, timeoutMs int) error {
	d.publish(stretch, targetLatencyMs, timeoutMs)
	for i, zone := range zones {
		for range minionsPerZone {
			if _, err := d.addMinion(zone, fmt.Sprintf("r%d-1", i+1), 16000); err != nil {
				return err
			}
		}
		d.addNode(zone)
	}
	return d.startNodes()
}

// playDrainWaiting stops an instance while a job that it has begun waits for room.
func playDrainWaiting(d *deployment, trouble bool) (bool, error) {
	if err := d.startThreeZones(1, 3, 400, 20000); err != nil {
		return false, err
	}
	// One long task on each minion leaves seven cores free there.
	longReply := d.submitAsync(d.nodes[1], oneStep(3, 9000, 8000, 20000))
	time.Sleep(300 * time.Millisecond)
	// The first step fits beside the long tasks, the second one after them.
	j := &job{
		id: newID(), works: []work{{200, 6800}, {500, 8000}}, deadlineMs: 18000,
		steps: []step{{Count: 1, Cpu: 6800, MemMb: 64, EstimateMs: 200}, {Count: 1, Cpu: 8000, MemMb: 64, EstimateMs: 1000, DependsOn: []int{0}}},
	}
	replies := d.submitAsync(d.nodes[0], j)
	time.Sleep(time.Second)
	stoppedAt := time.Now()
	if trouble {
		if err := d.signal(d.nodes[0], syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	r := <-replies
	if long := <-longReply; long.status != 200 {
		return false, fmt.Errorf("the long job got status %d, %v", long.status, long.err)
	}
	runs := d.runsOf(j.id)
	if len(runs) == 0 {
		return false, fmt.Errorf("the job was never passed on")
	}
	// The rule excuses a minion that is still at work in the last sixth of GraceS.
	for _, run := range runs {
		if run.endedAt.IsZero() || run.endedAt.After(stoppedAt.Add(graceTime*5/6)) && run.startedAt.Before(stoppedAt.Add(graceTime)) && trouble {
			return false, fmt.Errorf("%s was at work at the end of GraceS", run.task)
		}
	}
	took := r.endedAt.Sub(r.sentAt)
	d.rec.addf("the job was sent, %s of it was run, and its connection ended after %v with status %d, %v", runs[0].task, took.Round(time.Millisecond), r.status, r.err)
	return r.status == 0 && took < time.Duration(j.deadlineMs)*time.Millisecond, nil
}

// playCancel cancels two of eight jobs while their callers wait: one that runs, and one that
// waits for room.
func playCancel(d *deployment, trouble bool) (bool, error) {
	if err := d.startThreeZones(1, 3, 400, 20000); err != nil {
		return false, err
	}
	a := d.nodes[0]
	others := []<-chan reply{d.submitAsync(d.nodes[1], oneStep(3, 9000, 9000, 20000))}
	for range 5 {
		others = append(others, d.submitAsync(d.nodes[2], oneStep(1, 500, 300, 5000)))
	}
	time.Sleep(300 * time.Millisecond)
	running := oneStep(1, 500, 9500, 20000)
	waiting := &job{
		id: newID(), works: []work{{200, 5000}, {500, 8000}}, deadlineMs: 18000,
		steps: []step{{Count: 1, Cpu: 5000, MemMb: 64, EstimateMs: 200}, {Count: 1, Cpu: 8000, MemMb: 64, EstimateMs: 1000, DependsOn: []int{0}}},
	}
	canceled := []*job{running, waiting}
	var replies []<-chan reply
	for _, j := range canceled {
		replies = append(replies, d.submitAsync(a, j))
	}
	time.Sleep(500 * time.Millisecond)
	canceledAt := make(map[string]time.Time)
	isAcked := make(map[string]bool)
	if trouble {
		for _, j := range canceled {
			r := d.call(a, "DELETE", j.id, "", 4000)
			canceledAt[j.id], isAcked[j.id] = r.endedAt, r.status/100 == 2 || r.status == 410
		}
	}
	for i, j := range canceled {
		r := <-replies[i]
		d.rec.addf("the call for %s ended with status %d, %v", j.id, r.status, r.err)
	}
	for _, o := range others {
		<-o
	}
	if !trouble {
		return false, nil
	}
	isBroken := false
	for _, j := range canceled {
		// Without an acknowledgment the cancelling counts once it has waited AckMs. Both
		// bounds are shown; the longer one decides.
		for _, run := range d.runsOf(j.id) {
			startedAfter, endedAfter := run.startedAt.Sub(canceledAt[j.id]), run.endedAt.Sub(canceledAt[j.id])
			startsLate, runsOn := startedAfter > ackTime+cancelTime, endedAfter > ackTime+cancelTime+stopBound
			d.rec.addf("run of %s started %v and ended %v after the answer to the cancelling (acknowledged: %v); bounds %v and %v, with AckMs %v and %v",
				run.task, startedAfter.Round(time.Millisecond), endedAfter.Round(time.Millisecond), isAcked[j.id],
				cancelTime, cancelTime+stopBound, ackTime+cancelTime, ackTime+cancelTime+stopBound)
			isBroken = isBroken || startsLate || runsOn
		}
	}
	return isBroken, nil
}

// playAntiAffinity stops and starts the instances in turn. Each gets a job whose tasks have
// to be on different minions.
func playAntiAffinity(d *deployment, trouble bool) (bool, error) {
	if err := d.startThreeZones(2, 3, 400, 5000); err != nil {
		return false, err
	}
	isBroken := false
	for _, n := range d.nodes {
		if trouble {
			if err := d.signal(n, syscall.SIGTERM); err != nil {
				return false, err
			}
			time.Sleep(500 * time.Millisecond)
		}
		j := oneStep(2, 2000, 800, 4000)
		j.steps[0].AntiAffinity = 1
		r := d.submit(n, j)
		if r.status != 200 {
			d.rec.addf("the job was not served: status %d, %v", r.status, r.err)
		}
		if sharing := runsSharingMinion(d.runsOf(j.id)); sharing > 1 {
			d.rec.addf("%d tasks of job %s ran on one minion at the same time, AntiAffinity is 1", sharing, j.id)
			isBroken = true
		}
		if trouble {
			<-n.exited
			if err := d.startNode(n); err != nil {
				return false, err
			}
			if err := d.awaitReady(n); err != nil {
				return false, err
			}
		}
		time.Sleep(3 * time.Second)
	}
	return isBroken, nil
}

// runsSharingMinion returns the largest number of runs of different tasks that were on one
// minion at the same time.
func runsSharingMinion(runs []minionRun) int {
	most := 0
	for _, r := range runs {
		tasks := make(map[string]bool)
		for _, other := range runs {
			isActive := !other.startedAt.After(r.startedAt) && (other.endedAt.IsZero() || other.endedAt.After(r.startedAt))
			if other.minion == r.minion && isActive {
				tasks[other.task] = true
			}
		}
		most = max(most, len(tasks))
	}
	return most
}

// playRelistedLeaver cuts one of five minions off from the store while it is draining, until
// its entry has expired, under a steady load.
func playRelistedLeaver(d *deployment, trouble bool) (bool, error) {
	const (
		cutTime = 5 * time.Second
		// relistTime is within the two seconds after which an expired entry is back.
		relistTime = 1900 * time.Millisecond
		stays      = 20 * time.Second
	)
	d.publish(3, 400, 5000)
	for i := range 5 {
		if _, err := d.addMinion(zones[0], fmt.Sprintf("r1-%d", i/3+1), 16000); err != nil {
			return false, err
		}
	}
	for range 2 {
		d.addNode(zones[0])
	}
	if err := d.startNodes(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	d.startLoad(stop)
	time.Sleep(2 * time.Second)
	leaver := d.minions[0]
	leaver.drain(stays)
	d.writeEntry(leaver)
	drainedAt := time.Now()
	d.rec.addf("store accepts that minion %s is draining; it stays for %v", leaver.id, stays)
	if trouble {
		d.setCut(leaver, true)
	}
	time.Sleep(cutTime)
	healedAt := time.Now()
	if trouble {
		d.rec.addf("minion %s can reach the store again", leaver.id)
		time.Sleep(relistTime)
		d.setCut(leaver, false)
		d.writeEntry(leaver)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	time.Sleep(500 * time.Millisecond)
	late, inTouch := 0, 0
	for _, run := range leaver.allRuns() {
		after := run.startedAt.Sub(drainedAt)
		if after <= drainTime {
			continue
		}
		late++
		sinceHealed := run.startedAt.Sub(healedAt)
		// From ContactMs after the end of the cut on, everything is in touch by any reading.
		if sinceHealed > contactTime {
			inTouch++
		}
		d.rec.addf("%s was started on draining minion %s %v after the store had accepted that, %v after the cut", run.task, leaver.id,
			after.Round(time.Millisecond), sinceHealed.Round(time.Millisecond))
	}
	d.rec.addf("%d starts later than DrainMs of %v, %d of them later than ContactMs of %v after the cut", late, drainTime, inTouch, contactTime)
	return inTouch > 0, nil
}

// startLoad lets clients submit short jobs, a little more than the minions have room for.
func (d *deployment) startLoad(stop <-chan struct{}) {
	const interval = 7 * time.Millisecond
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-d.done:
				return
			case <-ticker.C:
			}
			go d.submit(d.nodes[n%len(d.nodes)], oneStep(1, 7500, 100, 1500))
		}
	}()
}
