//go:build review

package main

import "fmt"

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
