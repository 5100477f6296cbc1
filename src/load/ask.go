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

// askDaemon runs one interactive request through a daemon.
func askDaemon(ctx context.Context, client *http.Client, address, key, prompt string, tokens int) (answer, error) {
	body, err := json.Marshal(question{Model: memberModel, Prompt: prompt, MaxTokens: tokens})
	if err != nil {
		return answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	if response.StatusCode != http.StatusOK {
		return answer{}, &Error{Op: "load.ask", Kind: sesamepitch.KindUnavailable, Err: fmt.Errorf("status %d: %s", response.StatusCode, content)}
	}
	var r reply
	if err := json.Unmarshal(content, &r); err != nil {
		return answer{}, err
	}
	return answer{tokens: r.Usage.CompletionTokens, versions: r.Versions}, nil
}
