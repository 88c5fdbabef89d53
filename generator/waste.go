package generator

import (
	"context"
	"encoding/json"
	"net/http"

	"limpetcleat/failer"
)

// Unreadable marks an engine whose record could not be read.
const Unreadable Kind = "unreadable"

// Waste is the work that engines computed and then discarded, in tokens.
type Waste struct {
	Computed  int64 `json:"computedTokens"`
	Discarded int64 `json:"discardedTokens"`
}

// Share returns the share of computed work that was discarded.
func (waste Waste) Share() float64 {
	if waste.Computed == 0 {
		return 0
	}
	return float64(waste.Discarded) / float64(waste.Computed)
}

// ReadWaste adds up what the stand-in engines at the addresses recorded.
func ReadWaste(ctx context.Context, engines []string) (Waste, error) {
	var sum Waste
	for _, address := range engines {
		waste, err := readWaste(ctx, address)
		if err != nil {
			return Waste{}, err
		}
		sum.Computed += waste.Computed
		sum.Discarded += waste.Discarded
	}
	return sum, nil
}

// Since returns the work done after the earlier reading.
func (waste Waste) Since(earlier Waste) Waste {
	return Waste{Computed: waste.Computed - earlier.Computed, Discarded: waste.Discarded - earlier.Discarded}
}

// WasteOf returns what each stand-in engine recorded, by address, and leaves out
// those that do not answer.
func WasteOf(ctx context.Context, engines []string) map[string]Waste {
	found := make(map[string]Waste, len(engines))
	for _, address := range engines {
		if waste, err := readWaste(ctx, address); err == nil {
			found[address] = waste
		}
	}
	return found
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
