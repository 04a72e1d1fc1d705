package scheduler

import "github.com/heatherslip/heatherslip/internal/wire/namer"

// Resources is an amount of each resource: what a task needs or a worker has.
type Resources struct {
	Cores        namer.MilliCores
	Memory       namer.Megabytes
	Accelerators namer.Accelerators
}

func (r Resources) fitsIn(capacity Resources) bool {
	return r.Cores <= capacity.Cores && r.Memory <= capacity.Memory && r.Accelerators <= capacity.Accelerators
}

func (r Resources) add(other Resources) Resources {
	return Resources{r.Cores + other.Cores, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

func (r Resources) sub(other Resources) Resources {
	return Resources{r.Cores - other.Cores, r.Memory - other.Memory, r.Accelerators - other.Accelerators}
}
