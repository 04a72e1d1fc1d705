package scheduler

import "github.com/heatherslip/heatherslip/internal/wire/namer"

// Size is an amount of each resource: what a task needs or a worker offers.
type Size struct {
	Cores        namer.MilliCores
	Memory       namer.Megabytes
	Accelerators namer.Accelerators
}

func (s Size) fitsIn(capacity Size) bool {
	return s.Cores <= capacity.Cores && s.Memory <= capacity.Memory && s.Accelerators <= capacity.Accelerators
}

func (s Size) plus(other Size) Size {
	return Size{s.Cores + other.Cores, s.Memory + other.Memory, s.Accelerators + other.Accelerators}
}

func (s Size) minus(other Size) Size {
	return Size{s.Cores - other.Cores, s.Memory - other.Memory, s.Accelerators - other.Accelerators}
}
