package accepter

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
)

const (
	// maxDepth bounds nesting; tool schemas of real clients stay below 20.
	maxDepth = 64
	// maxKeys bounds the top-level keys; the interface has fewer than 50.
	maxKeys = 256
	// maxMessages bounds the messages of one chat.
	maxMessages = 4096
	// maxStops is the limit of the OpenAI interface.
	maxStops       = 4
	maxTemperature = 2
)

// object is a JSON object with its keys exactly as sent. encoding/json would
// match field names in any case and keep the last of duplicate keys, so the
// engine could read another request from the same body.
type object map[string]json.RawMessage

// decodeChat reads a body of /v1/chat/completions, for example
//
//	{"model":"mould-assistant","messages":[{"role":"user","content":"hello"}],"stream":true}
func decodeChat(body []byte) (*identifier.Completion, error) {
	o, err := readObject(body)
	if err != nil {
		return nil, err
	}
	c := &identifier.Completion{Chat: true, Body: body}
	if c.Prompt, err = chatPrompt(o["messages"]); err != nil {
		return nil, err
	}
	f := fields{object: o}
	c.MaxTokens = f.count("max_completion_tokens")
	if c.MaxTokens == 0 {
		c.MaxTokens = f.count("max_tokens")
	}
	f.unsupported("logprobs", "functions", "audio")
	f.only("tool_choice", "none", "auto")
	f.emptyList("tools")
	return c, f.common(c)
}

// decodeText reads a body of /v1/completions.
func decodeText(body []byte) (*identifier.Completion, error) {
	o, err := readObject(body)
	if err != nil {
		return nil, err
	}
	c := &identifier.Completion{Body: body}
	f := fields{object: o}
	c.Prompt = f.prompt()
	c.MaxTokens = f.count("max_tokens")
	f.one("best_of")
	f.unsupported("echo", "logprobs", "suffix")
	return c, f.common(c)
}

// common reads the fields that both formats share.
func (f *fields) common(c *identifier.Completion) error {
	f.value("model", &c.Model)
	if c.Model == "" {
		f.fail("model", "missing_required_parameter", "the field \"model\" is missing")
	}
	f.value("stream", &c.Stream)
	f.value("seed", &c.Seed)
	f.one("n")
	c.Temperature = f.temperature()
	c.Stop = f.stop()
	c.IncludeUsage = f.includeUsage(c.Stream)
	return f.err
}

// readObject checks encoding, depth and duplicate keys of a body and returns
// its top level.
func readObject(body []byte) (object, error) {
	if !utf8.Valid(body) {
		return nil, invalid("", "invalid_json", "the body is not UTF-8")
	}
	if depth(body) > maxDepth {
		return nil, invalid("", "invalid_json", "the body is nested too deeply")
	}
	if !json.Valid(body) {
		return nil, invalid("", "invalid_json", "the body is not valid JSON")
	}
	return topLevel(body)
}

func topLevel(body []byte) (object, error) {
	notObject := invalid("", "invalid_json", "the body is not a JSON object")
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, notObject
	}
	o := object{}
	for d.More() {
		t, err := d.Token()
		key, ok := t.(string)
		if err != nil || !ok {
			return nil, notObject
		}
		if len(o) == maxKeys {
			return nil, invalid("", "invalid_json", "the body has too many keys")
		}
		if _, twice := o[key]; twice {
			return nil, invalid(key, "invalid_json", "the body has the same key twice")
		}
		var raw json.RawMessage
		if d.Decode(&raw) != nil {
			return nil, notObject
		}
		o[key] = raw
	}
	return o, nil
}

// depth returns the deepest nesting of a JSON text without parsing it.
func depth(body []byte) int {
	now, most := 0, 0
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
			now++
			most = max(most, now)
		case b == '}' || b == ']':
			now--
		}
	}
	return most
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// chatPrompt renders messages as "role: text" lines that end with the turn of
// the assistant. An engine with a chat template of its own uses the JSON body.
func chatPrompt(raw json.RawMessage) (string, error) {
	var messages []chatMessage
	if raw == nil || json.Unmarshal(raw, &messages) != nil || len(messages) == 0 {
		return "", invalid("messages", "invalid_type", "the field \"messages\" is not a list of messages")
	}
	if len(messages) > maxMessages {
		return "", invalid("messages", "too_many_messages", "the request has too many messages")
	}
	var prompt strings.Builder
	for _, m := range messages {
		text, err := m.text()
		if err != nil {
			return "", err
		}
		prompt.WriteString(m.Role + ": " + text + "\n")
	}
	prompt.WriteString("assistant:")
	return prompt.String(), nil
}

func (m *chatMessage) text() (string, error) {
	switch m.Role {
	case "system", "developer", "user", "assistant", "tool":
	default:
		return "", invalid("messages", "invalid_value", "a message has no known role")
	}
	if empty(m.Content) {
		return "", nil
	}
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", invalid("messages", "invalid_type", "the content of a message is neither a text nor a list of parts")
	}
	var joined strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", invalid("messages", "unsupported_value", "only parts of type \"text\" are supported")
		}
		joined.WriteString(p.Text)
	}
	return joined.String(), nil
}

// fields reads fields of an object and keeps the first error.
type fields struct {
	object object
	err    error
}

func (f *fields) fail(param, code, message string) {
	if f.err == nil {
		f.err = invalid(param, code, message)
	}
}

// value reads an optional field; null counts as absent.
func (f *fields) value(name string, into any) {
	raw := f.object[name]
	if !empty(raw) && json.Unmarshal(raw, into) != nil {
		f.fail(name, "invalid_type", "the field \""+name+"\" has the wrong type")
	}
}

func (f *fields) count(name string) int {
	if empty(f.object[name]) {
		return 0
	}
	var n int32
	f.value(name, &n)
	if n <= 0 {
		f.fail(name, "invalid_value", "the field \""+name+"\" is not a positive number")
	}
	return int(n)
}

// one accepts only 1: several answers to one request are not supported.
func (f *fields) one(name string) {
	if !empty(f.object[name]) && f.count(name) != 1 {
		f.fail(name, "unsupported_value", "only 1 is supported for the field \""+name+"\"")
	}
}

// unsupported refuses fields that would change the answer and are not
// implemented, rather than to ignore them.
func (f *fields) unsupported(names ...string) {
	for _, name := range names {
		switch string(f.object[name]) {
		case "", "null", "false", `""`, "[]":
			continue
		}
		f.fail(name, "unsupported_value", "the field \""+name+"\" is not supported")
	}
}

func (f *fields) only(name string, allowed ...string) {
	if empty(f.object[name]) {
		return
	}
	var value string
	f.value(name, &value)
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	f.fail(name, "unsupported_value", "this value of the field \""+name+"\" is not supported")
}

func (f *fields) emptyList(name string) {
	var list []json.RawMessage
	f.value(name, &list)
	if len(list) > 0 {
		f.fail(name, "unsupported_value", "the field \""+name+"\" is not supported")
	}
}

// prompt accepts a text or a list with one text.
func (f *fields) prompt() string {
	raw := f.object["prompt"]
	var text string
	if !empty(raw) && json.Unmarshal(raw, &text) == nil {
		return text
	}
	var texts []string
	if empty(raw) || json.Unmarshal(raw, &texts) != nil || len(texts) != 1 {
		f.fail("prompt", "invalid_type", "the field \"prompt\" is not one text")
		return ""
	}
	return texts[0]
}

func (f *fields) temperature() float64 {
	t := 1.0
	f.value("temperature", &t)
	if t < 0 || t > maxTemperature {
		f.fail("temperature", "invalid_value", "the field \"temperature\" is not between 0 and 2")
	}
	return t
}

func (f *fields) stop() []string {
	raw := f.object["stop"]
	if empty(raw) {
		return nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []string{text}
	}
	var texts []string
	f.value("stop", &texts)
	if len(texts) > maxStops {
		f.fail("stop", "invalid_value", "the field \"stop\" has more than 4 texts")
	}
	return texts
}

func (f *fields) includeUsage(stream bool) bool {
	if empty(f.object["stream_options"]) {
		return false
	}
	if !stream {
		f.fail("stream_options", "invalid_value", "the field \"stream_options\" is allowed only with \"stream\": true")
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	f.value("stream_options", &options)
	return options.IncludeUsage
}

func empty(raw json.RawMessage) bool { return len(raw) == 0 || string(raw) == "null" }

func invalid(param, code, message string) error {
	return &identifier.RequestError{
		Status: http.StatusBadRequest, Type: identifier.TypeInvalidRequest, Code: code, Param: param,
		Message: message, Outcome: identifier.OutcomeNotRun,
	}
}
