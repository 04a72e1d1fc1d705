//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	prefix = "/drills/"
	// routeTimeout is the time-out of the queue. Clients name shorter ones.
	routeTimeout = 15 * time.Second
	// taskCpu and taskMem are the size of a task, and minionSize that of a minion: two
	// tasks fit.
	taskCpu = 6800
	taskMem = 64
)

var minionSize = size{Cpu: 16000, MemMb: 32768}

// start starts the minions and machines of each zone, and waits until all machines are
// ready. machines and minions are the numbers of each in a zone.
func (e *environment) start(zones []string, machines, minions int) ([]*node, []*place, error) {
	e.site.publish(prefix, routeTimeout)
	var places []*place
	for z, zone := range zones {
		for n := range minions {
			p, err := e.site.addMinion(fmt.Sprintf("i-%s-%d", zone, n), "a", zone, fmt.Sprintf("r%d-%d", z, n/3), minionSize)
			if err != nil {
				return nil, nil, err
			}
			places = append(places, p)
		}
	}
	seeds := []string{e.fleet.ip(1), e.fleet.ip(2), e.fleet.ip(machines * len(zones))}
	var nodes []*node
	for z, zone := range zones {
		for m := range machines {
			n, err := e.fleet.start(z*machines+m+1, fmt.Sprintf("edge-%s-%d", zone, m+1), zone, zones, seeds, true)
			if err != nil {
				return nil, nil, err
			}
			nodes = append(nodes, n)
		}
	}
	if err := e.fleet.awaitReady(10*time.Second, nodes...); err != nil {
		return nil, nil, err
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(max(0, 10*time.Second-e.record.now()))
	return nodes, places, nil
}

// press submits a job of one step at a machine at regular intervals until done is closed. Its
// tasks take the given time, a quarter more or less.
func (e *environment) press(n *node, interval time.Duration, s step, ms int, done <-chan struct{}) {
	c := newClient(e.record, 1500*time.Millisecond)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.submit(n, prefix, newJob(ms*3/4+rand.IntN(ms/2), s))
		}()
	}
}
