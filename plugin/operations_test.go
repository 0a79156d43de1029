package plugin

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

// testClasses lists the classes that the descriptions in these tests may use.
var testClasses = []string{"part", "form"}

const openAPIDocument = `openapi: 3.0.3
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

const asyncAPI3Document = `asyncapi: 3.0.0
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

const asyncAPI2Document = `asyncapi: 2.6.0
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

// readFunc is the type of OpenAPI and AsyncAPI, which read a description.
type readFunc func(doc []byte, classes []string) (Operations, error)

func TestReadOperationsFromDescriptions(t *testing.T) {
	for _, test := range []struct {
		name string
		read readFunc
		doc  string
		want []Operation
	}{
		{"OpenAPI", OpenAPI, openAPIDocument, []Operation{
			{ID: "GetPart", Class: "part", Effect: Idempotent},
			{ID: "Solve", Class: "form", Effect: IdempotentWithKey},
			{ID: "Forget", RPC: "/puzzles.Solutions/Remove", Class: "form", Effect: NonIdempotent},
			{ID: "Replace", Class: "form", Effect: Idempotent},
		}},
		{"AsyncAPI 3", AsyncAPI, asyncAPI3Document, []Operation{
			{ID: "sendSolution", Class: "form", Effect: IdempotentWithKey},
			{ID: "sendNote", Class: "form", Effect: NonIdempotent},
			{ID: "receivePart", Class: "part", Effect: Idempotent},
		}},
		{"AsyncAPI 2", AsyncAPI, asyncAPI2Document, []Operation{
			{ID: "receivePart", Class: "part", Effect: Idempotent},
			{ID: "sendSolution", Class: "form", Effect: IdempotentWithKey},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			want := Operations{}
			for _, operation := range test.want {
				want[operation.ID] = operation
			}
			got, err := test.read([]byte(test.doc), testClasses)
			if err != nil {
				t.Fatal(err)
			}
			if !maps.Equal(got, want) {
				t.Errorf("got operations %+v, want %+v", got, want)
			}
		})
	}
}

func TestFindOperation(t *testing.T) {
	operations, err := OpenAPI([]byte(openAPIDocument), testClasses)
	if err != nil {
		t.Fatal(err)
	}
	for fullMethod, wantID := range map[string]string{
		"/a.B/GetPart":              "GetPart",
		"/puzzles.Solutions/Remove": "Forget",
		"/a.B/Forget":               "", // the description gives the operation Forget another RPC name
		"/a.B/Other":                "",
	} {
		t.Run(fullMethod, func(t *testing.T) {
			operation, found := operations.Find(fullMethod)
			if found != (wantID != "") || found && operation.ID != wantID {
				t.Errorf("got found %v, operation %+v; want id %q", found, operation, wantID)
			}
		})
	}
}

func TestDescriptionErrorsNameTheLocation(t *testing.T) {
	for _, test := range []struct {
		read             readFunc
		doc              string
		old, replacement string   // the first occurrence of the text old in doc is replaced
		want             []string // substrings of the error text
	}{
		{OpenAPI, openAPIDocument, "tags: [part]", "tags: [part, other]", []string{"paths./parts/{id}.get", "no class"}},
		{OpenAPI, openAPIDocument, "tags: [part]", "tags: [cat]", []string{"paths./parts/{id}.get", `"cat"`}},
		{OpenAPI, openAPIDocument, "effect: safe", "effect: maybe", []string{"paths./solutions.put.x-garnetline-effect", "maybe"}},
		{OpenAPI, openAPIDocument, "/puzzles.Solutions/Remove", "Remove", []string{"paths./solutions.delete.x-garnetline-rpc", "Remove"}},
		{OpenAPI, openAPIDocument, "operationId: GetPart", "summary: x", []string{"paths./parts/{id}.get", "operationId"}},
		{OpenAPI, openAPIDocument, "x-garnetline-class: form", "x-garnetline-class: 7", []string{"x-garnetline-class", "expected a string"}},
		{OpenAPI, openAPIDocument, "openapi: 3.0.3", "openapi: [", []string{"openapi"}},
		{AsyncAPI, asyncAPI3Document, "action: receive", "action: wait", []string{"operations.receivePart.action", "wait"}},
		{AsyncAPI, asyncAPI3Document, "messages/note\"", "messages/nothing\"", []string{"operations.sendNote.messages", "not found in the document"}},
		{AsyncAPI, asyncAPI3Document, "\"#/channels/solutions\"", "other.yaml", []string{"operations.sendSolution.channel", "expected a $ref within the document"}},
		{AsyncAPI, asyncAPI3Document, "tags: [{name: part}]", "", []string{"operations.receivePart", "no class"}},
		{AsyncAPI, asyncAPI3Document, "payload: {type: string}", "$ref: \"#/components/messages/note\"", []string{"operations.sendNote.messages", "circular"}},
		{AsyncAPI, asyncAPI2Document, "operationId: receivePart", "summary: x", []string{"channels.parts.subscribe", "operationId"}},
		{AsyncAPI, asyncAPI2Document, "asyncapi: 2.6.0", "asyncapi: 1.2.0", []string{"asyncapi", "version"}},
	} {
		t.Run(test.replacement, func(t *testing.T) {
			doc := strings.Replace(test.doc, test.old, test.replacement, 1)
			if doc == test.doc {
				t.Fatalf("%q is not in the document", test.old)
			}
			_, err := test.read([]byte(doc), testClasses)
			if err == nil {
				t.Fatal("got no error for an invalid description")
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got error %q, want it to contain %q", err, want)
				}
			}
		})
	}
}

// FuzzAsyncAPI checks that AsyncAPI returns either an error or valid operations for any input. The
// ID of a valid operation equals its key in Operations. Its class and its idempotency are known.
func FuzzAsyncAPI(f *testing.F) {
	f.Add([]byte(asyncAPI2Document))
	f.Add([]byte(asyncAPI3Document))
	f.Add([]byte("asyncapi: 3.0.0\noperations: &a {x: *a}"))
	f.Fuzz(func(t *testing.T, doc []byte) {
		operations, err := AsyncAPI(doc, testClasses)
		if err != nil {
			return
		}
		for id, operation := range operations {
			if operation.ID != id || !slices.Contains(testClasses, operation.Class) || operation.Effect > NonIdempotent {
				t.Errorf("operation %q: got %+v, want the key as ID, a known class and a known idempotency", id, operation)
			}
		}
	})
}
