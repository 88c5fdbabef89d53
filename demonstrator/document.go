package demonstrator

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"limpetcleat/definer"
	"limpetcleat/generator"
)

const (
	// ModelName is the only model of the stand-in engines.
	ModelName = "demo-model"
	// RepliesKey is the API key of the second Organisation's callers.
	RepliesKey = "demo-replies-key"
	// ButtonsKey is the default API key of the first Organisation's callers.
	ButtonsKey = "demo-buttons-key"

	workloadHeader = "X-Workload"
)

// Document returns the configuration of the demonstration: the classes of two Organisations that
// share one pool of engines and one plain service. The key belongs to the first Organisation.
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
			{Name: "models", Kind: string(definer.Engine), ProtectedShare: 0.1, Upstreams: upstreamDocuments("engine", engines, engineMaxRunning, ModelName)},
			{Name: "stock", Kind: string(definer.Service), Upstreams: upstreamDocuments("stock", services, 32)},
		},
		Organisations: []definer.OrganisationDocument{
			{Name: "buttons", KeyHashes: []string{keyHash(key)}},
			{Name: "replies", KeyHashes: []string{keyHash(RepliesKey)}},
		},
		Rules: []definer.RuleDocument{
			{Name: "order desk", When: `service == "stock"`, Then: definer.ActionDocument{Class: "orderDesk", Pool: "stock", Repeat: string(definer.Keyed), DeadlineMs: 5000, LocalKeys: true}},
			workloadRule("waiting manager", "waitingManager"),
			workloadRule("restocking proposals", "restockProposal"),
			workloadRule("season digests", "seasonDigest"),
			{Name: "everything else", When: `model != ""`, Then: definer.ActionDocument{Class: "counterQuery", Pool: "models"}},
		},
		Limits: definer.LimitsDocument{RetryShare: 0.1, ClaimKeepMs: 600000},
	}
}

func workloadRule(name, class string) definer.RuleDocument {
	return definer.RuleDocument{
		Name: name,
		When: `model != "" && headers["x-workload"] == "` + class + `"`,
		Then: definer.ActionDocument{Class: class, Pool: "models"},
	}
}

func upstreamDocuments(prefix string, addresses []string, slots int, models ...string) []definer.UpstreamDocument {
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

// Mix returns a short mixed load with one stream for each of the demonstration's classes. The key
// is that of the first Organisation.
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
