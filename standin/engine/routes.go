package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// LoadReport is the delayed load report that GET /load returns.
type LoadReport struct {
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	CachedBlocks int      `json:"cachedBlocks"`
	Leaving      bool     `json:"leaving"`
	Models       []string `json:"models"`
	// AtMs is the time that the report describes, in milliseconds since the Unix epoch.
	AtMs int64 `json:"atMs"`
}

type cancelRequest struct {
	AttemptID string `json:"attemptId"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (engine *Engine) routes() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", engine.hangIfDead(engine.handleCompletion(chatFormat{})))
	router.POST("/v1/completions", engine.hangIfDead(engine.handleCompletion(textFormat{})))
	router.GET("/v1/models", engine.hangIfDead(engine.listModels))
	router.POST("/cancel", engine.hangIfDead(engine.postCancel))
	router.GET("/load", engine.hangIfDead(engine.getLoad))
	router.GET("/health", engine.hangIfDead(engine.getHealth))
	router.POST("/admin/leave", engine.hangIfDead(engine.postLeave))
	router.GET("/runs", engine.getRuns)
	router.GET("/faults", engine.getFaults)
	router.POST("/faults", engine.setFaults)
	return router
}

func (engine *Engine) loadReportLocked(now time.Time) LoadReport {
	return LoadReport{
		Running:      len(engine.batch.running),
		Queued:       len(engine.batch.waiting),
		CachedBlocks: engine.prefixCache.len(),
		Leaving:      engine.leaving,
		Models:       engine.models,
		AtMs:         now.UnixMilli(),
	}
}

// publishLoadLocked records the current load, which GET /load reports after the load lag.
func (engine *Engine) publishLoadLocked(now time.Time) {
	engine.loadHistory.Put(now, engine.loadReportLocked(now))
}

func (engine *Engine) getLoad(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now := time.Now()
	engine.mu.Lock()
	load := engine.loadHistory.Get(now)
	engine.mu.Unlock()
	load.AtMs = now.Add(-engine.options.loadLag).UnixMilli()
	host.WriteJSON(writer, http.StatusOK, load)
}

func (engine *Engine) getHealth(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	leaving := engine.leaving
	engine.mu.Unlock()
	if leaving {
		host.WriteError(writer, http.StatusServiceUnavailable, string(KindLeaving), "the engine is leaving")
		return
	}
	host.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (engine *Engine) postLeave(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	engine.leaving = true
	engine.publishLoadLocked(time.Now())
	engine.mu.Unlock()
	host.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (engine *Engine) postCancel(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var body cancelRequest
	if !host.DecodeJSON(writer, request, &body) {
		return
	}
	host.WriteJSON(writer, http.StatusOK, engine.cancel(body.AttemptID))
}

func (engine *Engine) listModels(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	models := slices.Clone(engine.models)
	engine.mu.Unlock()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range models {
		list.Data = append(list.Data, modelItem{ID: model, Object: "model"})
	}
	host.WriteJSON(writer, http.StatusOK, list)
}

func (engine *Engine) getRuns(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	id := request.URL.Query().Get("attemptId")
	engine.mu.Lock()
	runs := Runs{Attempts: []Record{}, Totals: engine.recorder.totals}
	if id == "" {
		runs = engine.recorder.runs()
	} else if record, found := engine.recorder.find(id); found {
		runs.Attempts = append(runs.Attempts, *record)
	}
	engine.mu.Unlock()
	host.WriteJSON(writer, http.StatusOK, runs)
}
