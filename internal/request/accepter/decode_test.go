package accepter

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
)

const helloPrefix = `{"model":"m","messages":[{"role":"user","content":"hello"}]`

// TestDecodeChat guards against bodies that the engine would interpret differently, and
// against refusing bodies of common clients.
func TestDecodeChat(t *testing.T) {
	tests := []struct {
		name string
		body string
		want identifier.Completion
		// param and code are those of the expected error. Without a code, the body
		// must be accepted.
		param string
		code  string
	}{
		{name: "required fields only", body: helloPrefix + `}`, want: identifier.Completion{Prompt: "user: hello\nassistant:", Temperature: 1}},
		{
			name: "all fields", body: helloPrefix + `,"max_completion_tokens":5,"temperature":0,"stop":["x"],"seed":3,"stream":true,"stream_options":{"include_usage":true},"n":1,"user":"u","tools":[],"logprobs":false}`,
			want: identifier.Completion{Prompt: "user: hello\nassistant:", MaxTokens: 5, Stop: []string{"x"}, Seed: 3, Stream: true, IncludeUsage: true},
		},
		{name: "parts", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, want: identifier.Completion{Prompt: "user: ab\nassistant:", Temperature: 1}},
		{name: "null fields", body: helloPrefix + `,"max_tokens":null,"stop":null,"seed":null,"stream":null}`, want: identifier.Completion{Prompt: "user: hello\nassistant:", Temperature: 1}},
		{name: "no model", body: `{"messages":[{"role":"user","content":"hello"}]}`, param: "model", code: "missing_required_parameter"},
		{name: "model in another case", body: strings.Replace(helloPrefix, "model", "Model", 1) + `}`, param: "model", code: "missing_required_parameter"},
		{name: "no messages", body: `{"model":"m"}`, param: "messages", code: "invalid_type"},
		{name: "duplicate key", body: helloPrefix + `,"model":"other"}`, param: "model", code: "invalid_json"},
		{name: "trailing data", body: helloPrefix + `}{}`, code: "invalid_json"},
		{name: "not JSON", body: `model=m`, code: "invalid_json"},
		{name: "not an object", body: `[1]`, code: "invalid_json"},
		{name: "not UTF-8", body: helloPrefix + ",\"user\":\"\xff\"}", code: "invalid_json"},
		{name: "nested too deeply", body: helloPrefix + `,"x":` + strings.Repeat("[", maxDepth+1) + strings.Repeat("]", maxDepth+1) + `}`, code: "invalid_json"},
		{name: "brackets in a string", body: strings.Replace(helloPrefix, "hello", strings.Repeat("[", 200), 1) + `}`, want: identifier.Completion{Prompt: "user: " + strings.Repeat("[", 200) + "\nassistant:", Temperature: 1}},
		{name: "several answers", body: helloPrefix + `,"n":2}`, param: "n", code: "unsupported_value"},
		{name: "wrong type", body: helloPrefix + `,"stream":"yes"}`, param: "stream", code: "invalid_type"},
		{name: "negative tokens", body: helloPrefix + `,"max_tokens":-1}`, param: "max_tokens", code: "invalid_value"},
		{name: "huge tokens", body: helloPrefix + `,"max_tokens":99999999999}`, param: "max_tokens", code: "invalid_type"},
		{name: "temperature too high", body: helloPrefix + `,"temperature":3}`, param: "temperature", code: "invalid_value"},
		{name: "image", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, param: "messages", code: "unsupported_value"},
		{name: "messages that are no list", body: `{"model":"m","messages":{"role":"user"}}`, param: "messages", code: "invalid_type"},
		{name: "no message", body: `{"model":"m","messages":[]}`, param: "messages", code: "invalid_type"},
		{name: "a message that is none", body: `{"model":"m","messages":[1]}`, param: "messages", code: "invalid_type"},
		{name: "too many messages", body: `{"model":"m","messages":[` + strings.Repeat(`{"role":"user"},`, maxMessages) + `{"role":"user"}]}`, param: "messages", code: "too_many_messages"},
		{name: "a part that is none", body: `{"model":"m","messages":[{"role":"user","content":[1]}]}`, param: "messages", code: "invalid_type"},
		{name: "most stops", body: helloPrefix + `,"stop":["a","b","c","d"]}`, want: identifier.Completion{Prompt: "user: hello\nassistant:", Temperature: 1, Stop: []string{"a", "b", "c", "d"}}},
		{name: "too many stops", body: helloPrefix + `,"stop":["a","b","c","d","e"]}`, param: "stop", code: "invalid_value"},
		{name: "a stop that is no text", body: helloPrefix + `,"stop":[1]}`, param: "stop", code: "invalid_type"},
		{name: "tools", body: helloPrefix + `,"tools":[{}]}`, param: "tools", code: "unsupported_value"},
		{name: "tools that are no list", body: helloPrefix + `,"tools":1}`, param: "tools", code: "invalid_type"},
		{name: "unknown role", body: `{"model":"m","messages":[{"role":"root","content":"x"}]}`, param: "messages", code: "invalid_value"},
		{name: "options without a stream", body: helloPrefix + `,"stream_options":{"include_usage":true}}`, param: "stream_options", code: "invalid_value"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got, err := decodeChat([]byte(tt.body))
			if tt.code != "" {
				var e *identifier.RequestError
				c.Assert(errors.As(err, &e), qt.IsTrue)
				c.Assert(e.Code, qt.Equals, tt.code)
				c.Assert(e.Param, qt.Equals, tt.param)
				c.Assert(e.Text(), qt.Contains, "the request was not run")
				return
			}
			c.Assert(err, qt.IsNil)
			tt.want.Chat, tt.want.Model, tt.want.Body = true, "m", []byte(tt.body)
			c.Assert(*got, qt.DeepEquals, tt.want)
		})
	}
}

// FuzzDecode guards against panics, and against accepted requests whose values exceed
// the limits.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(helloPrefix + `,"stop":"x","stream":true,"stream_options":{"include_usage":true}}`))
	f.Add([]byte(`{"model":"m","prompt":["x"],"max_tokens":1,"best_of":1}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"tool","content":[{"type":"text","text":"\ud800"}]}],"tools":[{}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, decode := range []decoder{decodeChat, decodeText} {
			c, err := decode(body)
			if err != nil {
				var e *identifier.RequestError
				qt.Assert(t, errors.As(err, &e), qt.IsTrue)
				qt.Assert(t, e.Outcome, qt.Equals, identifier.OutcomeNotRun)
				continue
			}
			qt.Assert(t, c.Model, qt.Not(qt.Equals), "")
			qt.Assert(t, c.MaxTokens >= 0 && len(c.Stop) <= maxStops, qt.IsTrue)
			qt.Assert(t, c.Temperature >= 0 && c.Temperature <= maxTemperature, qt.IsTrue)
		}
	})
}
