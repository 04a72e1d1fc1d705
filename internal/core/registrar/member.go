package registrar

import (
	"net/netip"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/balancer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// member is an entry of the roster: an address at which an instance runs or ran.
type member struct {
	addr netip.Addr
	// addrHash ranks members with the same CPU limit.
	addrHash uint64
	// name is the incarnation that was heard last, and formerName the one before
	// it; empty if there is none.
	name, formerName string
	// domain is empty while the address is only known as a seed.
	domain   namer.Domain
	cpuLimit namer.MilliCores
	runTag   namer.RunTag
	// owner and draining are as of the last heartbeat or summary.
	owner, draining bool
	freeCores       map[namer.Service][]namer.MilliCores
	load            *balancer.Load
	// listedAt is when the address was added to the roster.
	listedAt time.Time
	// heardAt is when the newest heartbeat was sent; zero if there was none.
	heardAt time.Time
	// interval is the time until the next heartbeat as announced in the last one; zero
	// if none was announced.
	interval time.Duration
	// relayedAt is when the state was sent that an owner of this domain has relayed
	// last; zero if there was none.
	relayedAt time.Time
	// aliveAt is the newest evidence that the instance is alive, from heartbeats and
	// lists.
	aliveAt time.Time
	// expectedAt is when the instance was first expected to become an owner; zero if
	// it is not.
	expectedAt time.Time
	// partneredAt is when the instance last worked with this one.
	partneredAt time.Time
	// sentAt is when a heartbeat was last sent to the member, and sentInterval the
	// interval that it announced.
	sentAt       time.Time
	sentInterval time.Duration
}

// outranks reports whether a member owns workers before another one: the stronger
// one does, and the hash of the address decides between equals.
func (m *member) outranks(other *member) bool {
	if m.cpuLimit != other.cpuLimit {
		return m.cpuLimit > other.cpuLimit
	}
	return m.addrHash < other.addrHash
}

// silenceLimit returns how long a member may be silent.
func (m *member) silenceLimit() time.Duration {
	return max(SilenceTimeout, time.Duration(silentIntervals*float64(m.interval)))
}

// lastState returns when the newest known state was sent.
func (m *member) lastState() time.Time {
	if m.relayedAt.After(m.heardAt) {
		return m.relayedAt
	}
	return m.heardAt
}
