package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	officeService = "backoffice"
	officeSlots   = 8
	unknownKey    = "key-of-nobody"
	// routedRequests is the number of requests of each kind.
	routedRequests = 40
	routedPause    = 50 * time.Millisecond
	// applyTime is ConfigApplyMs with a margin.
	applyTime = 3 * time.Second
)

// Paths of requests, and the prefixes that configuration 2 adds. No prefix but /records/ begins the paths.
const (
	archivePath   = "/records/archive%2Fdoor-7"
	statusPath    = "/records/status%2Fdoor-7"
	soundPath     = "/records/door-7"
	archivePrefix = "/records/archive/"
	statusPrefix  = "/records/status/"
)

// encodedSlash plays a configuration that adds routes whose prefixes end in a slash where the paths of requests have
// an encoded one: a route to another service, and one for callers without a key.
func encodedSlash(s *site) error {
	if err := s.open(); err != nil {
		return err
	}
	newRoute := func(name, prefix, service string) route {
		return route{Name: name, Host: callerHost, PathPrefix: prefix, Kind: "non_idempotent", Service: service, TimeoutMs: 1000, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1}
	}
	routes := []route{newRoute("r-records", "/records/", recordsService), newRoute("r-billing", "/billing/", officeService)}
	services := []service{{Name: recordsService, HealthPath: "/healthz", MaxConns: 110}, {Name: officeService, HealthPath: "/healthz", MaxConns: 48}}
	if err := s.configure(1, maxBodyBytes, routes, services); err != nil {
		return err
	}
	records, office := &replica{service: recordsService, slots: recordsSlots}, &replica{service: officeService, slots: officeSlots}
	for i, r := range []*replica{records, office} {
		if err := s.startReplica(r, i); err != nil {
			return err
		}
	}
	if err := s.startEntry(); err != nil {
		return err
	}
	if s.trouble {
		status := newRoute("r-status", statusPrefix, recordsService)
		status.Anonymous = true
		if err := s.configure(2, maxBodyBytes, append(routes, newRoute("r-archive", archivePrefix, officeService), status), services); err != nil {
			return err
		}
		time.Sleep(applyTime)
	}
	for i := range routedRequests {
		for name, c := range map[string]call{"sound": {Path: soundPath}, "archive": {Path: archivePath}, "keyless": {Path: statusPath, Header: map[string]string{"X-Key": unknownKey}}} {
			c.ID, c.Method, c.Body, c.Deadline = fmt.Sprintf("%s-%d", name, i), http.MethodPost, "order", time.Second
			s.record.add("%s: POST %s: %v", c.ID, c.Path, s.send(c))
		}
		time.Sleep(routedPause)
	}
	return judgeRoutes(s, records, office)
}

// judgeRoutes judges the rule ROUTE.
func judgeRoutes(s *site, records, office *replica) error {
	keyless := 0
	for _, run := range records.ran() {
		if run.Path == statusPath {
			keyless++
			s.record.add("a replica of %s ran %s, whose key no configuration held: POST %s", recordsService, run.ID, run.Path)
		}
	}
	for _, run := range office.ran() {
		s.record.add("a replica of %s ran %s: POST %s", officeService, run.ID, run.Path)
	}
	s.record.add("%d requests of each kind were sent; %d ran at %s, %d of them without a known key, and %d at %s",
		routedRequests, len(records.ran()), recordsService, keyless, len(office.ran()), officeService)
	if n := len(office.ran()); n > 0 || keyless > 0 {
		return &brokenError{What: fmt.Sprintf("%d requests were run by the service %s, to which no configuration lets them go, and %d with a key that no configuration held", n, officeService, keyless)}
	}
	return nil
}

// pathHeader plays callers that send the header Path, in which the system names the replicas and layers that a
// request passes through.
func pathHeader(s *site) error {
	if err := s.open(); err != nil {
		return err
	}
	routes := []route{
		{Name: "r-draft", Host: callerHost, PathPrefix: "/draft/", Kind: "streaming", Service: draftService, TimeoutMs: 6000, TargetLatencyMs: 500, GapTargetMs: 400, Priority: 1, MaxAttempts: 2, Sticky: true, Resumable: true},
	}
	if err := s.configure(1, maxBodyBytes, routes, []service{{Name: draftService, HealthPath: "/healthz", MaxConns: 274, Engine: engine(engineSlots)}}); err != nil {
		return err
	}
	r := &replica{service: draftService, slots: engineSlots, isEngine: true}
	if err := s.startReplica(r, 0); err != nil {
		return err
	}
	if err := s.startEntry(); err != nil {
		return err
	}
	for i := range routedRequests {
		c := call{ID: fmt.Sprintf("draft-%d", i), Method: http.MethodPost, Path: "/draft/x", Body: "draft", Deadline: 6 * time.Second, Header: map[string]string{
			"X-Model": modelName, "X-Token-Count": "100,30", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:60", i),
		}}
		if s.trouble && i%2 == 1 {
			c.Header["Path"] = r.address + "=0-4"
		}
		s.record.add("%s: header Path %q: %v", c.ID, c.Header["Path"], s.send(c))
		time.Sleep(routedPause)
	}
	all := make([]int, modelLayers)
	for layer := range all {
		all[layer] = layer
	}
	wrong := 0
	for _, run := range r.ran() {
		if !slices.Equal(run.Layers, all) {
			wrong++
			s.record.add("the replica ran %s with the layers %v", run.ID, run.Layers)
		}
	}
	s.record.add("%d requests were run, %d of them not with every layer", len(r.ran()), wrong)
	if wrong > 0 {
		return &brokenError{What: fmt.Sprintf("tokens of %d requests were made without every layer", wrong)}
	}
	return nil
}
