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

// question is the body of an interactive request.
type question struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// reply is the part of a completion that the report reads.
type reply struct {
	Versions []int64 `json:"weight_versions"`
	Usage    struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// modelList is the part of the model list that load reads.
type modelList struct {
	Data []struct {
		ID      string `json:"id"`
		Version int64  `json:"weight_version"`
	} `json:"data"`
}

// askDaemon runs one interactive request through a daemon.
func askDaemon(ctx context.Context, client *http.Client, address, key string, in question) (answer, error) {
	var r reply
	if err := exchange(ctx, client, http.MethodPost, "http://"+address+"/v1/completions", key, "", in, &r); err != nil {
		return answer{}, err
	}
	return answer{tokens: r.Usage.CompletionTokens, versions: r.Versions}, nil
}

// callBody is what load sends to plain services.
type callBody struct {
	Load string `json:"load"`
}

// callDaemon calls a plain service through a daemon; the idempotency key may be
// empty.
func callDaemon(ctx context.Context, client *http.Client, address, key, service, idempotencyKey string) error {
	url := "http://" + address + "/v1/services/" + service + "/load"
	return exchange(ctx, client, http.MethodPost, url, key, idempotencyKey, callBody{Load: idempotencyKey}, nil)
}

func listModels(ctx context.Context, client *http.Client, address, key string) (modelList, error) {
	var list modelList
	err := exchange(ctx, client, http.MethodGet, "http://"+address+"/v1/models", key, "", nil, &list)
	return list, err
}

// exchange sends one request and decodes its answer into out, if out is given.
func exchange(ctx context.Context, client *http.Client, method, url, key, idempotencyKey string, in, out any) error {
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
