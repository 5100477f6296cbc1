package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	sesamepitch "sesamepitch/src"
)

// completionRequest is the body of an interactive completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// completionResponse is the part of a completion response that the report uses.
type completionResponse struct {
	Versions []int64 `json:"weight_versions"`
	Usage    struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// modelList is the part of the model list that the load tool uses.
type modelList struct {
	Data []struct {
		ID      string `json:"id"`
		Version int64  `json:"weight_version"`
	} `json:"data"`
}

// requestCompletion sends one interactive completion request to a daemon.
func requestCompletion(ctx context.Context, client *http.Client, address, key string, in completionRequest) (completion, error) {
	var response completionResponse
	if err := doJSON(ctx, client, http.MethodPost, "http://"+address+"/v1/completions", key, "", in, &response); err != nil {
		return completion{}, err
	}
	return completion{tokens: response.Usage.CompletionTokens, versions: response.Versions}, nil
}

// callRequest is the body of a call to a plain service.
type callRequest struct {
	Load string `json:"load"`
}

// callService calls a plain service through a daemon. Without an idempotencyKey
// the header is not sent.
func callService(ctx context.Context, client *http.Client, address, key, service, idempotencyKey string) error {
	url := "http://" + address + "/v1/services/" + service + "/load"
	return doJSON(ctx, client, http.MethodPost, url, key, idempotencyKey, callRequest{Load: idempotencyKey}, nil)
}

func listModels(ctx context.Context, client *http.Client, address, key string) (modelList, error) {
	var list modelList
	err := doJSON(ctx, client, http.MethodGet, "http://"+address+"/v1/models", key, "", nil, &list)
	return list, err
}

// doJSON sends in as JSON and decodes the response into out unless out is nil. Any
// status but 200 is an error.
func doJSON(ctx context.Context, client *http.Client, method, url, key, idempotencyKey string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &Error{Op: "load.exchange", Kind: sesamepitch.KindUnavailable, Err: fmt.Errorf("status %d: %s", response.StatusCode, content)}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(content, out)
}
