package tester

import (
	"crypto/sha256"
	"encoding/hex"

	"limpetcleat/definer"
)

const (
	// ModelName is the model of all engines.
	ModelName = "model-a"
	// ModelsPool is the pool of the engines.
	ModelsPool = "models"
	// ButtonsAPIKey is the key of an Organisation.
	ButtonsAPIKey = "key-of-the-buttons-organisation"
	repliesAPIKey = "key-of-the-replies-organisation"
	// ServiceSlots is the number of slots of the service.
	ServiceSlots = 4
	// EngineSlots is the number of slots of each engine.
	EngineSlots = 4
	deadlineMs  = 8000
)

// configurationDocument returns the configuration, in which every upstream is reached through its
// relay.
func (system *System) configurationDocument() definer.Document {
	models := definer.PoolDocument{Name: "models", Kind: string(definer.Engine)}
	for _, engine := range system.Engines {
		models.Upstreams = append(models.Upstreams, definer.UpstreamDocument{Name: engine.Name, DataCentre: engine.DataCentre, Address: engine.Relay.Address(), Models: []string{ModelName}, Slots: EngineSlots})
	}
	stock := definer.PoolDocument{Name: "stock", Kind: string(definer.Service), Upstreams: []definer.UpstreamDocument{
		{Name: system.Service.Name, DataCentre: system.Service.DataCentre, Address: system.Service.Relay.Address(), Slots: ServiceSlots},
	}}
	return definer.Document{
		Classes: []definer.ClassDocument{
			{Name: "orderDesk", Tier: 0, Protected: true, TotalMs: 20000, Attainment: 0.99, LongestWaitMs: deadlineMs},
			{Name: "chat", Tier: 1, FirstTokenMs: 5000, BetweenTokensMs: 200, Attainment: 0.95, LongestWaitMs: 30000},
			{Name: "digest", Tier: 3, Preemptible: true, TotalMs: 60000, Attainment: 0.9, FloorShare: 0.1, LongestWaitMs: 60000},
		},
		Pools: []definer.PoolDocument{models, stock},
		Organisations: []definer.OrganisationDocument{
			{Name: "buttons", KeyHashes: []string{keyHash(ButtonsAPIKey)}},
			{Name: "replies", KeyHashes: []string{keyHash(repliesAPIKey)}},
		},
		Rules: []definer.RuleDocument{
			{Name: "order desk", When: `service == "stock"`, Then: definer.ActionDocument{Class: "orderDesk", Pool: "stock", Repeat: string(definer.Keyed), DeadlineMs: deadlineMs, LocalKeys: true}},
			{Name: "digests", When: `model != "" && headers["x-workload"] == "digest"`, Then: definer.ActionDocument{Class: "digest", Pool: "models", Repeat: string(definer.Idempotent)}},
			{Name: "chats", When: `model != ""`, Then: definer.ActionDocument{Class: "chat", Pool: "models", Repeat: string(definer.Idempotent)}},
		},
		Limits: definer.LimitsDocument{RetryShare: 0.1, ClaimKeepMs: 600000},
	}
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
