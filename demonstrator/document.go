package demonstrator

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"limpetcleat/definer"
	"limpetcleat/generator"
)

const (
	// ModelName is the one model of the stand-in engines.
	ModelName = "demo-model"
	// RepliesKey is the key of the second organisation's callers.
	RepliesKey = "demo-replies-key"
	// ButtonsKey is the first organisation's key where none is chosen.
	ButtonsKey = "demo-buttons-key"

	workloadHeader = "X-Workload"
)

// Document returns the configuration of the demonstration: the classes of both
// co-operatives over one pool of engines and one plain service.
func Document(key string, engines, services []string) definer.Document {
	return definer.Document{
		Classes: []definer.ClassDocument{
			{Name: "orderDesk", Tier: 0, Protected: true, TotalMs: 1000, Attainment: 0.99, LongestWaitMs: 1000},
			{Name: "waitingManager", Tier: 0, Protected: true, FirstTokenMs: 1100, BetweenTokensMs: 27, Attainment: 0.95, LongestWaitMs: 3000},
			{Name: "counterQuery", Tier: 1, FirstTokenMs: 1100, BetweenTokensMs: 27, Attainment: 0.95, LongestWaitMs: 4000},
			{Name: "restockProposal", Tier: 2, Preemptible: true, TotalMs: 10000, Attainment: 0.9, FloorShare: 0.1, LongestWaitMs: 20000},
			{Name: "seasonDigest", Tier: 3, Preemptible: true, TotalMs: 30000, Attainment: 0.9, FloorShare: 0.1, LongestWaitMs: 60000},
		},
		Pools: []definer.PoolDocument{
			{Name: "models", Kind: string(definer.Engine), ProtectedShare: 0.1, Upstreams: upstreams("engine", engines, engineRunning, ModelName)},
			{Name: "stock", Kind: string(definer.Service), Upstreams: upstreams("stock", services, 32)},
		},
		Organisations: []definer.OrganisationDocument{
			{Name: "buttons", KeyHashes: []string{keyHash(key)}},
			{Name: "replies", KeyHashes: []string{keyHash(RepliesKey)}},
		},
		Rules: []definer.RuleDocument{
			{Name: "order desk", When: `service == "stock"`, Then: definer.ActionDocument{Class: "orderDesk", Pool: "stock", Repeat: string(definer.Keyed), DeadlineMs: 5000, LocalKeys: true}},
			workload("waiting manager", "waitingManager"),
			workload("restocking proposals", "restockProposal"),
			workload("season digests", "seasonDigest"),
			{Name: "everything else", When: `model != ""`, Then: definer.ActionDocument{Class: "counterQuery", Pool: "models"}},
		},
		Limits: definer.LimitsDocument{RetryShare: 0.1, ClaimKeepMs: 600000},
	}
}

func workload(name, class string) definer.RuleDocument {
	return definer.RuleDocument{
		Name: name,
		When: `model != "" && headers["x-workload"] == "` + class + `"`,
		Then: definer.ActionDocument{Class: class, Pool: "models"},
	}
}

func upstreams(prefix string, addresses []string, slots int, models ...string) []definer.UpstreamDocument {
	var documents []definer.UpstreamDocument
	for index, address := range addresses {
		documents = append(documents, definer.UpstreamDocument{Name: prefix + "-" + strconv.Itoa(index+1), DataCentre: string(DataCentre), Address: address, Slots: slots, Models: models})
	}
	return documents
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Mix returns a short mixed load for the demonstration's classes.
func Mix(key string) generator.Mix {
	chat := func(name, apiKey string, rate float64, prompt, output int) generator.Stream {
		return generator.Stream{
			Name: name, APIKey: apiKey, Path: "/v1/completions", Rate: rate, Model: ModelName,
			PromptTokens: prompt, OutputTokens: output, Streamed: true, Header: map[string]string{workloadHeader: name},
		}
	}
	manager := chat("waitingManager", RepliesKey, 3, 300, 60)
	manager.FirstTokenMs, manager.BetweenTokensMs = 1100, 27
	counter := chat("counterQuery", key, 6, 150, 40)
	counter.FirstTokenMs, counter.BetweenTokensMs = 1100, 27
	counter.Burst = &generator.Burst{AtMs: 3000, ForMs: 1000, Factor: 6}
	restock := chat("restockProposal", key, 3, 1500, 200)
	restock.TotalMs = 10000
	digest := chat("seasonDigest", RepliesKey, 2, 2000, 300)
	digest.TotalMs = 30000
	return generator.Mix{Streams: []generator.Stream{
		{Name: "orderDesk", APIKey: key, Path: "/services/stock/reservations", Rate: 10, Keyed: true, TotalMs: 1000},
		manager, counter, restock, digest,
	}}
}
