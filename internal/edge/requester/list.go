package requester

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/dghubble/sling"

	"github.com/heatherslip/heatherslip/internal/wire/describer"
	"github.com/heatherslip/heatherslip/internal/wire/pruner"
)

const (
	// maxListBytes bounds the platform's list.
	maxListBytes = 32 << 20
	// maxAmount bounds each number in the list, so that sums do not overflow.
	maxAmount = 1_000_000_000
)

// rawList is the platform's list before its entries are decoded.
type rawList struct {
	Instances []json.RawMessage `json:"instances"`
	Workers   []json.RawMessage `json:"workers"`
	Minions   []json.RawMessage `json:"minions"`
}

// listDecoder decodes the list without the entries that are nested too deeply.
type listDecoder struct{}

// Decode implements sling.ResponseDecoder.
func (listDecoder) Decode(resp *http.Response, v any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return fmt.Errorf("read list: %w", err)
	}
	if err := json.Unmarshal(pruner.Prune(body), v); err != nil {
		return fmt.Errorf("decode list: %w", err)
	}
	return nil
}

// GetList returns the platform's list of instances, workers and minions. Entries that can't
// be read, or that have no address that can be dialed, are left out.
func (r *Requester) GetList(ctx context.Context) (*describer.List, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var raw rawList
	request := sling.New().ResponseDecoder(listDecoder{}).Base(r.platformURL).Get("/v1/list")
	if _, err := r.doRequest(ctx, request, &raw); err != nil {
		return nil, err
	}
	return decodeList(&raw), nil
}

func decodeList(raw *rawList) *describer.List {
	var list describer.List
	for _, entry := range raw.Instances {
		var i describer.ListInstance
		if json.Unmarshal(entry, &i) == nil && i.Name != "" && isDialable(i.PeerAddress) {
			list.Instances = append(list.Instances, i)
		}
	}
	for _, entry := range raw.Workers {
		var w describer.ListWorker
		if json.Unmarshal(entry, &w) == nil && w.Name != "" && isDialable(w.Addr) &&
			areAmounts(w.Capacity.Cores, w.Capacity.Memory, w.Capacity.Accelerators) {
			list.Workers = append(list.Workers, w)
		}
	}
	for _, entry := range raw.Minions {
		var m describer.ListMinion
		if json.Unmarshal(entry, &m) == nil && m.Name != "" && isDialable(m.Addr) && areAmounts(m.Slots, m.Connections) {
			list.Minions = append(list.Minions, m)
		}
	}
	return &list
}

// isDialable reports whether an address consists of an IP address and a port.
func isDialable(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() > 0
}

// areAmounts reports whether numbers are in the bounds of the list.
func areAmounts(numbers ...int) bool {
	for _, n := range numbers {
		if n < 0 || n > maxAmount {
			return false
		}
	}
	return true
}
