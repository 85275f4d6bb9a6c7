package accepter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
)

const (
	// maxDepth limits the nesting depth of a body. Tool schemas of common clients
	// are nested less than 20 levels deep.
	maxDepth = 64
	// maxTopLevelKeys limits the keys of the top-level object. The OpenAI interface
	// defines fewer than 50.
	maxTopLevelKeys = 256
	// maxMessages limits the messages of a chat request.
	maxMessages = 4096
	// maxStops and maxTemperature are limits of the OpenAI interface.
	maxStops       = 4
	maxTemperature = 2
)

// jsonObject is a JSON object with its keys exactly as sent. encoding/json matches the
// names of struct fields in any case and keeps the last of duplicate keys, so the engine
// could decode a different request from the same body.
type jsonObject map[string]json.RawMessage

// decodeChat decodes a body of /v1/chat/completions, for example
//
//	{"model":"mould-assistant","messages":[{"role":"user","content":"hello"}],"stream":true}
func decodeChat(body []byte) (*identifier.Completion, error) {
	o, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	c := &identifier.Completion{Chat: true, Body: body}
	if c.Prompt, err = chatPrompt(o["messages"]); err != nil {
		return nil, err
	}
	f := fields{object: o}
	c.MaxTokens = f.positiveInt("max_completion_tokens")
	if c.MaxTokens == 0 {
		c.MaxTokens = f.positiveInt("max_tokens")
	}
	f.rejectUnsupported("logprobs", "functions", "audio")
	f.requireOneOf("tool_choice", "none", "auto")
	f.requireEmptyList("tools")
	return c, f.decodeCommon(c)
}

// decodeText decodes a body of /v1/completions.
func decodeText(body []byte) (*identifier.Completion, error) {
	o, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	c := &identifier.Completion{Body: body}
	f := fields{object: o}
	c.Prompt = f.prompt()
	c.MaxTokens = f.positiveInt("max_tokens")
	f.requireOne("best_of")
	f.rejectUnsupported("echo", "logprobs", "suffix")
	return c, f.decodeCommon(c)
}

// decodeCommon decodes the fields that both formats have in common.
func (f *fields) decodeCommon(c *identifier.Completion) error {
	f.decodeField("model", &c.Model)
	if c.Model == "" {
		f.fail("model", "missing_required_parameter", "the field \"model\" is missing")
	}
	f.decodeField("stream", &c.Stream)
	f.decodeField("seed", &c.Seed)
	f.requireOne("n")
	c.Temperature = f.temperature()
	c.Stop = f.stop()
	c.IncludeUsage = f.includeUsage(c.Stream)
	return f.err
}

// parseObject checks the encoding, nesting depth and syntax of a body and returns its
// top-level object. Duplicate top-level keys are an error.
func parseObject(body []byte) (jsonObject, error) {
	if !utf8.Valid(body) {
		return nil, invalidRequestError("", "invalid_json", "the body is not UTF-8")
	}
	if nestingDepth(body) > maxDepth {
		return nil, invalidRequestError("", "invalid_json", "the body is nested too deeply")
	}
	if !json.Valid(body) {
		return nil, invalidRequestError("", "invalid_json", "the body is not valid JSON")
	}
	return parseTopLevel(body)
}

func parseTopLevel(body []byte) (jsonObject, error) {
	notObject := invalidRequestError("", "invalid_json", "the body is not a JSON object")
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, notObject
	}
	o := jsonObject{}
	for d.More() {
		t, err := d.Token()
		key, ok := t.(string)
		if err != nil || !ok {
			return nil, notObject
		}
		if len(o) == maxTopLevelKeys {
			return nil, invalidRequestError("", "invalid_json", "the body has too many keys")
		}
		if _, duplicate := o[key]; duplicate {
			return nil, invalidRequestError(key, "invalid_json", "the body has the same key twice")
		}
		var raw json.RawMessage
		if d.Decode(&raw) != nil {
			return nil, notObject
		}
		o[key] = raw
	}
	return o, nil
}

// nestingDepth returns the maximum nesting depth of a JSON text. It counts
// brackets outside of strings and does not validate the text.
func nestingDepth(body []byte) int {
	current, deepest := 0, 0
	quoted, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case quoted && b == '\\':
			escaped = true
		case b == '"':
			quoted = !quoted
		case quoted:
		case b == '{' || b == '[':
			current++
			deepest = max(deepest, current)
		case b == '}' || b == ']':
			current--
		}
	}
	return deepest
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// chatPrompt renders messages as "role: text" lines, followed by "assistant:" for the
// answer. Engines with their own chat template use the JSON body instead.
func chatPrompt(raw json.RawMessage) (string, error) {
	var prompt strings.Builder
	messages := 0
	err := eachElement(raw, func(m chatMessage) error {
		if messages++; messages > maxMessages {
			return invalidRequestError("messages", "too_many_messages", "the request has too many messages")
		}
		text, err := m.text()
		if err != nil {
			return err
		}
		prompt.WriteString(m.Role + ": " + text + "\n")
		return nil
	})
	var invalid *identifier.RequestError
	if errors.As(err, &invalid) {
		return "", err
	}
	if err != nil || messages == 0 {
		return "", invalidRequestError("messages", "invalid_type", "the field \"messages\" is not a list of messages")
	}
	prompt.WriteString("assistant:")
	return prompt.String(), nil
}

// notListError reports that a JSON value is not a list.
type notListError struct{}

func (e *notListError) Error() string { return "the value is not a list" }

// eachElement decodes the elements of a JSON list one after the other and stops at the first
// error. A list in memory needs many times the bytes of its text if the elements are short, so it
// is not decoded as a whole.
func eachElement[T any](raw json.RawMessage, do func(T) error) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return &notListError{}
	}
	for d.More() {
		var element T
		if err := d.Decode(&element); err != nil {
			return err
		}
		if err := do(element); err != nil {
			return err
		}
	}
	return nil
}

// tooManyError reports a list with more elements than are accepted.
type tooManyError struct{ Limit int }

func (e *tooManyError) Error() string {
	return fmt.Sprintf("the list has more than %d elements", e.Limit)
}

// atMost decodes a JSON list of at most limit elements. The error is a *tooManyError if it has
// more.
func atMost[T any](raw json.RawMessage, limit int) ([]T, error) {
	var out []T
	err := eachElement(raw, func(element T) error {
		if len(out) == limit {
			return &tooManyError{Limit: limit}
		}
		out = append(out, element)
		return nil
	})
	return out, err
}

func (m *chatMessage) text() (string, error) {
	switch m.Role {
	case "system", "developer", "user", "assistant", "tool":
	default:
		return "", invalidRequestError("messages", "invalid_value", "a message has no known role")
	}
	if isAbsent(m.Content) {
		return "", nil
	}
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var joined strings.Builder
	err := eachElement(m.Content, func(p contentPart) error {
		if p.Type != "text" {
			return invalidRequestError("messages", "unsupported_value", "only parts of type \"text\" are supported")
		}
		joined.WriteString(p.Text)
		return nil
	})
	var invalid *identifier.RequestError
	if err != nil && !errors.As(err, &invalid) {
		return "", invalidRequestError("messages", "invalid_type", "the content of a message is neither a text nor a list of parts")
	}
	return joined.String(), err
}

// fields decodes the fields of a JSON object and keeps the first error.
type fields struct {
	object jsonObject
	err    error
}

func (f *fields) fail(param, code, message string) {
	if f.err == nil {
		f.err = invalidRequestError(param, code, message)
	}
}

// decodeField decodes an optional field. null is treated as an absent field.
func (f *fields) decodeField(name string, into any) {
	raw := f.object[name]
	if !isAbsent(raw) && json.Unmarshal(raw, into) != nil {
		f.failType(name)
	}
}

func (f *fields) failType(name string) {
	f.fail(name, "invalid_type", "the field \""+name+"\" has the wrong type")
}

// positiveInt decodes an optional positive number. It returns 0 for an absent field.
func (f *fields) positiveInt(name string) int {
	if isAbsent(f.object[name]) {
		return 0
	}
	var n int32
	f.decodeField(name, &n)
	if n <= 0 {
		f.fail(name, "invalid_value", "the field \""+name+"\" is not a positive number")
	}
	return int(n)
}

// requireOne accepts only 1 as the value of a field, because several answers to one
// request are not supported.
func (f *fields) requireOne(name string) {
	if !isAbsent(f.object[name]) && f.positiveInt(name) != 1 {
		f.fail(name, "unsupported_value", "only 1 is supported for the field \""+name+"\"")
	}
}

// rejectUnsupported reports an error for fields that are not supported. They are not
// ignored because they would change the answer.
func (f *fields) rejectUnsupported(names ...string) {
	for _, name := range names {
		switch string(f.object[name]) {
		case "", "null", "false", `""`, "[]":
			continue
		}
		f.fail(name, "unsupported_value", "the field \""+name+"\" is not supported")
	}
}

// requireOneOf reports an error if an optional field has none of the allowed values.
func (f *fields) requireOneOf(name string, allowed ...string) {
	if isAbsent(f.object[name]) {
		return
	}
	var value string
	f.decodeField(name, &value)
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	f.fail(name, "unsupported_value", "this value of the field \""+name+"\" is not supported")
}

func (f *fields) requireEmptyList(name string) {
	raw := f.object[name]
	if isAbsent(raw) {
		return
	}
	_, err := atMost[json.RawMessage](raw, 0)
	var tooMany *tooManyError
	switch {
	case errors.As(err, &tooMany):
		f.fail(name, "unsupported_value", "the field \""+name+"\" is not supported")
	case err != nil:
		f.failType(name)
	}
}

// prompt decodes the prompt, which is a string or a list of one string.
func (f *fields) prompt() string {
	raw := f.object["prompt"]
	var text string
	if !isAbsent(raw) && json.Unmarshal(raw, &text) == nil {
		return text
	}
	texts, err := atMost[string](raw, 1)
	if err != nil || len(texts) != 1 {
		f.fail("prompt", "invalid_type", "the field \"prompt\" is not one text")
		return ""
	}
	return texts[0]
}

func (f *fields) temperature() float64 {
	t := 1.0
	f.decodeField("temperature", &t)
	if t < 0 || t > maxTemperature {
		f.fail("temperature", "invalid_value", "the field \"temperature\" is not between 0 and 2")
	}
	return t
}

func (f *fields) stop() []string {
	raw := f.object["stop"]
	if isAbsent(raw) {
		return nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []string{text}
	}
	texts, err := atMost[string](raw, maxStops)
	var tooMany *tooManyError
	switch {
	case errors.As(err, &tooMany):
		f.fail("stop", "invalid_value", "the field \"stop\" has more than 4 texts")
	case err != nil:
		f.failType("stop")
	}
	return texts
}

func (f *fields) includeUsage(stream bool) bool {
	if isAbsent(f.object["stream_options"]) {
		return false
	}
	if !stream {
		f.fail("stream_options", "invalid_value", "the field \"stream_options\" is allowed only with \"stream\": true")
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	f.decodeField("stream_options", &options)
	return options.IncludeUsage
}

func isAbsent(raw json.RawMessage) bool { return len(raw) == 0 || string(raw) == "null" }

func invalidRequestError(param, code, message string) error {
	return &identifier.RequestError{
		Status: http.StatusBadRequest, Type: identifier.TypeInvalidRequest, Code: code, Param: param,
		Message: message, Outcome: identifier.OutcomeNotRun,
	}
}
