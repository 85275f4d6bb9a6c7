package test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Compares the statuses, the headers, the bodies and the streams that callers
// get with those recorded in cases/caller.
func TestCaller(t *testing.T) {
	s := &system{Entries: 1, Engines: 1, Services: 1}
	s.start(t)
	s.set.Services["records"].MaxBodyBytes = 100
	s.set.Add(&parser.Service{Kind: parser.KindService, Name: "portal", IdempotentMethods: []string{"GET"}})
	s.set.Add(&parser.Team{
		Kind: parser.KindTeam, Name: "small", KeyDigests: []string{keyDigest("small-key")}, Weight: 1,
		RequestsPerSecond: 0.001, TokensPerSecond: 1000, Priority: "batch", Routes: []string{"draft"}, Services: []string{"portal"},
	})
	s.publish()
	s.waitUntil("the small team is known", func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+s.entryIP(0)+":8080/v1/models", nil)
		s.c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer small-key")
		resp, err := http.DefaultClient.Do(req)
		s.c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	testscript.Run(t, testscript.Params{
		Dir:                 "cases/caller",
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			env.Setenv("ENTRY", "http://"+s.entryIP(0)+":8080")
			env.Setenv("KEY", apiKey)
			// The race detector delays the end of each process by a second.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
	})
}

// shownHeaders are the response headers that a session prints.
var shownHeaders = []string{
	"Content-Type", "Cache-Control", "Retry-After", "Location", "Lentil-Outcome",
	"Lentil-Model-Version", "Lentil-Request-Id", "Lentil-Key-Expires",
}

// volatileParts match the parts of a response that differ between runs and give
// the text that replaces each.
var volatileParts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\b[0-9a-f]{64}\b`), "DIGEST"},
	{regexp.MustCompile(`\b[0-9a-f]{32}\b`), "ID"},
	{regexp.MustCompile(`"created":\d+`), `"created":0`},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`127\.\d+\.\d+\.`), "127.N.N."},
	{regexp.MustCompile(`(?m)^Retry-After: \d+$`), "Retry-After: N"},
}

// sendRequest is the program "request" of the sessions. It sends one request
// and prints the response with its volatile parts replaced:
//
//	request POST /v1/completions body.json lentil-timeout-ms:50
func sendRequest(args []string) int {
	text, err := sendAndFormat(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "request:", err)
		return 1
	}
	for _, v := range volatileParts {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	fmt.Print(text)
	return 0
}

// sendAndFormat sends the request that the arguments describe to the entry
// daemon and formats the response.
func sendAndFormat(args []string) (string, error) {
	if len(args) < 2 {
		return "", fmt.Errorf("give METHOD PATH [HEADER:VALUE | FILE] to request")
	}
	req, err := http.NewRequest(args[0], os.Getenv("ENTRY")+args[1], nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+os.Getenv("KEY"))
	for _, arg := range args[2:] {
		name, value, isHeader := strings.Cut(arg, ":")
		if isHeader {
			req.Header.Set(name, value)
			continue
		}
		body, err := os.ReadFile(arg)
		if err != nil {
			return "", err
		}
		body = bytes.TrimSuffix(body, []byte("\n"))
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	return formatResponse(resp)
}

// formatResponse returns the status, the shown headers, the body and the shown
// trailers as text.
func formatResponse(resp *http.Response) (string, error) {
	var out strings.Builder
	fmt.Fprintln(&out, resp.Status)
	for _, name := range shownHeaders {
		if value := resp.Header.Get(name); value != "" {
			fmt.Fprintf(&out, "%s: %s\n", name, value)
		}
	}
	fmt.Fprintln(&out)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		fmt.Fprintln(&out, lines.Text())
	}
	for _, name := range shownHeaders {
		if value := resp.Trailer.Get(name); value != "" {
			fmt.Fprintf(&out, "trailer %s: %s\n", name, value)
		}
	}
	return out.String(), lines.Err()
}
