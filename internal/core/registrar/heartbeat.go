package registrar

import (
	"net/netip"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/balancer"
	"github.com/heatherslip/heatherslip/internal/core/dater"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Heartbeat is the state that an instance reports to another one. Each replaces the
// one before, so that lost ones do no harm.
type Heartbeat struct {
	// Name identifies one incarnation of the instance. It is set on receipt.
	Name string `cbor:"-"`
	// SourceAddr is the address that the heartbeat came from. It is set on receipt.
	SourceAddr netip.Addr `cbor:"-"`
	// SentAt is the sender's clock when the heartbeat was sent. It is set on receipt.
	SentAt dater.Reading `cbor:"-"`
	Domain namer.Domain  `cbor:"1,keyasint"`
	RunTag namer.RunTag  `cbor:"2,keyasint"`
	// ConfigOffset is the offset after the last change of the configuration or of the
	// evacuations, and WorkerListOffset that after the last change of the worker list;
	// zero if there is none. Both are set when the heartbeat is sent.
	ConfigOffset     uint64 `cbor:"6,keyasint"`
	WorkerListOffset uint64 `cbor:"7,keyasint"`
	// Draining is set if the instance shuts down once its jobs have ended.
	Draining bool `cbor:"9,keyasint,omitempty"`
	// CPULimit is the processor share that the instance may use.
	CPULimit namer.MilliCores `cbor:"10,keyasint,omitempty"`
	// Owner is set if the instance owns workers.
	Owner bool `cbor:"11,keyasint,omitempty"`
	// Interval is the time until the next heartbeat to the same receiver; zero if none
	// is planned.
	Interval time.Duration `cbor:"12,keyasint,omitempty"`
	// Joining is set while the instance knows no owner of its domain. It asks the
	// receiver to list the members of that domain.
	Joining bool `cbor:"13,keyasint,omitempty"`
	// FreeCores lists, by service, the free capacity of each worker that the instance
	// owns, the largest first. A service without free capacity has an empty list.
	FreeCores map[namer.Service][]namer.MilliCores `cbor:"16,keyasint,omitempty"`
	// Load is that of the workers that the instance owns; nil if it owns none.
	Load *balancer.Load `cbor:"17,keyasint,omitempty"`
	// Owners lists owners of other domains that the sender hears directly.
	Owners []OwnerSummary `cbor:"14,keyasint,omitempty"`
	// Members lists some of the instances that the sender knows.
	Members []MemberSummary `cbor:"15,keyasint,omitempty"`
}

// OwnerSummary is the state of an owner as relayed to the instances of another
// domain.
type OwnerSummary struct {
	Name     string           `cbor:"1,keyasint"`
	Addr     netip.Addr       `cbor:"2,keyasint"`
	Domain   namer.Domain     `cbor:"3,keyasint"`
	RunTag   namer.RunTag     `cbor:"4,keyasint"`
	CPULimit namer.MilliCores `cbor:"5,keyasint,omitempty"`
	// FreeCores is that of the owner's heartbeat.
	FreeCores map[namer.Service][]namer.MilliCores `cbor:"6,keyasint,omitempty"`
	// Age is the time since the owner sent this state.
	Age time.Duration `cbor:"7,keyasint"`
	// Load is that of the owner's heartbeat.
	Load *balancer.Load `cbor:"8,keyasint,omitempty"`
}

// MemberSummary says that an instance exists.
type MemberSummary struct {
	Addr     netip.Addr       `cbor:"1,keyasint"`
	Domain   namer.Domain     `cbor:"2,keyasint"`
	CPULimit namer.MilliCores `cbor:"3,keyasint,omitempty"`
	// Age is the time since the instance was last known to be alive.
	Age      time.Duration `cbor:"4,keyasint"`
	Draining bool          `cbor:"5,keyasint,omitempty"`
	Owner    bool          `cbor:"6,keyasint,omitempty"`
}

// Transmission is a heartbeat and the addresses that it is sent to.
type Transmission struct {
	To        []netip.Addr
	Heartbeat Heartbeat
}
