package generator

import (
	"context"
	"encoding/json"
	"net/http"

	"limpetcleat/failer"
)

// Unreadable is the kind of error for an engine whose token counts could not be read.
const Unreadable Kind = "unreadable"

// Waste holds the number of tokens that engines computed, and the number of those that were
// discarded.
type Waste struct {
	Computed  int64 `json:"computedTokens"`
	Discarded int64 `json:"discardedTokens"`
}

// Share returns the discarded fraction of the computed tokens, or 0 if none were computed.
func (waste Waste) Share() float64 {
	if waste.Computed == 0 {
		return 0
	}
	return float64(waste.Discarded) / float64(waste.Computed)
}

// TotalWaste returns the total waste of the stand-in engines at the addresses. It returns an error
// of kind Unreadable if any engine cannot be read.
func TotalWaste(ctx context.Context, engines []string) (Waste, error) {
	var total Waste
	for _, address := range engines {
		waste, err := readWaste(ctx, address)
		if err != nil {
			return Waste{}, err
		}
		total.Computed += waste.Computed
		total.Discarded += waste.Discarded
	}
	return total, nil
}

// Sub returns the difference from an earlier reading.
func (waste Waste) Sub(earlier Waste) Waste {
	return Waste{Computed: waste.Computed - earlier.Computed, Discarded: waste.Discarded - earlier.Discarded}
}

// WasteByEngine returns the waste of each stand-in engine by address. It omits engines that cannot
// be read.
func WasteByEngine(ctx context.Context, engines []string) map[string]Waste {
	wasteByEngine := make(map[string]Waste, len(engines))
	for _, address := range engines {
		if waste, err := readWaste(ctx, address); err == nil {
			wasteByEngine[address] = waste
		}
	}
	return wasteByEngine
}

func readWaste(ctx context.Context, address string) (Waste, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", http.NoBody)
	if err != nil {
		return Waste{}, failer.New("generator.readWaste", Unreadable, "%w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Waste{}, failer.New("generator.readWaste", Unreadable, "%w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var waste Waste
	if err := json.NewDecoder(response.Body).Decode(&waste); err != nil {
		return Waste{}, failer.New("generator.readWaste", Unreadable, "%w", err)
	}
	return waste, nil
}
