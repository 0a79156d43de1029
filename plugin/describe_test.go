package plugin

import (
	"strings"
	"testing"
)

var classes = []string{"part", "form"}

const openapi = `openapi: 3.0.3
info: {title: puzzles, version: "1"}
paths:
  /parts/{id}:
    get:
      operationId: GetPart
      tags: [part]
      parameters: [{name: id, in: path, required: true, schema: {type: string}}]
      responses: {"200": {description: the part}}
  /solutions:
    post:
      operationId: Solve
      x-garnetline-class: form
      parameters: [{name: idempotency-key, in: header, schema: {type: string}}]
      responses: {"200": {description: taken}}
    delete:
      operationId: Forget
      x-garnetline-class: form
      x-garnetline-rpc: /puzzles.Solutions/Remove
      responses: {"200": {description: gone}}
    put:
      operationId: Replace
      x-garnetline-class: form
      x-garnetline-effect: safe
      responses: {"200": {description: replaced}}
`

const asyncapi3 = `asyncapi: 3.0.0
channels:
  solutions:
    messages:
      solution: {$ref: "#/components/messages/solution"}
operations:
  sendSolution:
    action: send
    channel: {$ref: "#/channels/solutions"}
    x-garnetline-class: form
  sendNote:
    action: send
    channel: {$ref: "#/channels/solutions"}
    messages: [{$ref: "#/components/messages/note"}]
    x-garnetline-class: form
  receivePart:
    action: receive
    tags: [{name: part}]
components:
  messages:
    solution:
      headers: {type: object, properties: {Idempotency-Key: {type: string}}}
    note:
      payload: {type: string}
`

const asyncapi2 = `asyncapi: 2.6.0
channels:
  parts:
    subscribe:
      operationId: receivePart
      tags: [{name: part}]
  solutions:
    publish:
      operationId: sendSolution
      x-garnetline-class: form
      message: {oneOf: [{headers: {properties: {idempotency-key: {}}}}]}
`

func TestDescriptions(t *testing.T) {
	for _, c := range []struct {
		name string
		read func([]byte, []string) (Operations, error)
		doc  string
		want []Operation
	}{
		{"OpenAPI", OpenAPI, openapi, []Operation{{"GetPart", "", "part", Idempotent}, {"Solve", "", "form", IdempotentWithKey},
			{"Forget", "/puzzles.Solutions/Remove", "form", NonIdempotent}, {"Replace", "", "form", Idempotent}}},
		{"AsyncAPI 3", AsyncAPI, asyncapi3, []Operation{{"sendSolution", "", "form", IdempotentWithKey}, {"sendNote", "", "form", NonIdempotent},
			{"receivePart", "", "part", Idempotent}}},
		{"AsyncAPI 2", AsyncAPI, asyncapi2, []Operation{{"receivePart", "", "part", Idempotent}, {"sendSolution", "", "form", IdempotentWithKey}}},
	} {
		ops, err := c.read([]byte(c.doc), classes)
		if err != nil || len(ops) != len(c.want) {
			t.Errorf("%s: %+v, %v", c.name, ops, err)
		}
		for _, want := range c.want {
			if ops[want.ID] != want {
				t.Errorf("%s: %+v, want %+v", c.name, ops[want.ID], want)
			}
		}
	}
	ops, _ := OpenAPI([]byte(openapi), classes)
	for method, id := range map[string]string{"/a.B/GetPart": "GetPart", "/puzzles.Solutions/Remove": "Forget", "/a.B/Forget": "", "/a.B/Other": ""} {
		if op, ok := ops.Find(method); ok != (id != "") || ok && op.ID != id {
			t.Errorf("%s is taken for %+v, %v", method, op, ok)
		}
	}
}

// An error names the place in the document.
func TestDescriptionErrorsNameThePlace(t *testing.T) {
	for _, c := range []struct {
		read             func([]byte, []string) (Operations, error)
		doc, old, new    string
		want, wantSecond string
	}{
		{OpenAPI, openapi, "tags: [part]", "tags: [part, other]", "paths./parts/{id}.get", "no class"},
		{OpenAPI, openapi, "tags: [part]", "tags: [cat]", "paths./parts/{id}.get", `"cat"`},
		{OpenAPI, openapi, "effect: safe", "effect: maybe", "paths./solutions.put.x-garnetline-effect", "maybe"},
		{OpenAPI, openapi, "/puzzles.Solutions/Remove", "Remove", "paths./solutions.delete.x-garnetline-rpc", "Remove"},
		{OpenAPI, openapi, "operationId: GetPart", "summary: x", "paths./parts/{id}.get", "operationId"},
		{OpenAPI, openapi, "x-garnetline-class: form", "x-garnetline-class: 7", "x-garnetline-class", "not a text"},
		{OpenAPI, openapi, "openapi: 3.0.3", "openapi: [", "openapi", ""},
		{AsyncAPI, asyncapi3, "action: receive", "action: wait", "operations.receivePart.action", "wait"},
		{AsyncAPI, asyncapi3, "messages/note\"", "messages/nothing\"", "operations.sendNote.messages", "nowhere"},
		{AsyncAPI, asyncapi3, "\"#/channels/solutions\"", "other.yaml", "operations.sendSolution.channel", "out of the document"},
		{AsyncAPI, asyncapi3, "tags: [{name: part}]", "", "operations.receivePart", "no class"},
		{AsyncAPI, asyncapi3, "payload: {type: string}", "$ref: \"#/components/messages/note\"", "operations.sendNote.messages", "circle"},
		{AsyncAPI, asyncapi2, "operationId: receivePart", "summary: x", "channels.parts.subscribe", "operationId"},
		{AsyncAPI, asyncapi2, "asyncapi: 2.6.0", "asyncapi: 1.2.0", "asyncapi", "version"},
	} {
		doc := strings.Replace(c.doc, c.old, c.new, 1)
		if doc == c.doc {
			t.Fatalf("%q is not in the document", c.old)
		}
		if _, err := c.read([]byte(doc), classes); err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), c.wantSecond) {
			t.Errorf("%q: %v, want %s and %s", c.new, err, c.want, c.wantSecond)
		}
	}
}

// FuzzAsyncAPI: any text is a description or an error.
func FuzzAsyncAPI(f *testing.F) {
	f.Add([]byte(asyncapi2))
	f.Add([]byte(asyncapi3))
	f.Add([]byte("asyncapi: 3.0.0\noperations: &a {x: *a}"))
	f.Fuzz(func(t *testing.T, doc []byte) {
		ops, err := AsyncAPI(doc, classes)
		for id, op := range ops {
			if err == nil && (op.ID != id || op.Class != "part" && op.Class != "form" || op.Effect > NonIdempotent) {
				t.Errorf("%s: %+v", id, op)
			}
		}
	})
}
