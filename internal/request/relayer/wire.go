package relayer

import (
	"strconv"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
)

// The types in this file define the response formats of the OpenAI interface.

type completionAnswer struct {
	ID                string   `json:"id"`
	Object            string   `json:"object"`
	Created           int64    `json:"created"`
	Model             string   `json:"model"`
	SystemFingerprint string   `json:"system_fingerprint,omitempty"`
	Choices           []choice `json:"choices"`
	Usage             *usage   `json:"usage,omitempty"`
}

// choice is a chatChoice, chatDelta or textChoice.
type choice interface {
	choice()
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	Logprobs     *struct{}   `json:"logprobs"`
	FinishReason string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

type chatDelta struct {
	Index        int       `json:"index"`
	Delta        delta     `json:"delta"`
	Logprobs     *struct{} `json:"logprobs"`
	FinishReason *string   `json:"finish_reason"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type textChoice struct {
	Text         string    `json:"text"`
	Index        int       `json:"index"`
	Logprobs     *struct{} `json:"logprobs"`
	FinishReason *string   `json:"finish_reason"`
}

func (chatChoice) choice() {}
func (chatDelta) choice()  {}
func (textChoice) choice() {}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// errorBody is an error response of the OpenAI interface, for example
//
//	{"error":{"message":"the API key belongs to no team; the request was not run",
//	 "type":"authentication_error","param":null,"code":"invalid_api_key"}}
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
}

func newErrorBody(err *identifier.RequestError) errorBody {
	return errorBody{Error: errorFields{
		Message: err.Text(), Type: err.Type, Param: nilIfEmpty(err.Param), Code: nilIfEmpty(err.Code),
	}}
}

func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// finishReason returns the finish reason of the engine, or "stop", which clients know, if
// the engine reports none.
func finishReason(reason string) string {
	if reason == "" {
		return "stop"
	}
	return reason
}

// retryAfterSeconds returns the value of the Retry-After header, rounded up to seconds.
func retryAfterSeconds(err *identifier.RequestError) string {
	seconds := (err.RetryAfter + 999_999_999) / 1_000_000_000
	return strconv.Itoa(int(seconds))
}
