package plugin_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/emptypb"

	"garnetline/plugin"
)

// Users see the error texts of New, so the test compares them exactly.
func TestOptionErrorTexts(t *testing.T) {
	valid := plugin.Class{Name: "part", Aim: time.Second, Deadline: time.Second}
	notDirectory := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(notDirectory, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		options plugin.Options
		want    string
	}{
		{"no class", plugin.Options{}, "plugin: routing: Classes: expected at least one class, got none"},
		{"class without a name", plugin.Options{Classes: []plugin.Class{{Aim: 1, Deadline: 1}}}, "plugin: Classes[0]: expected a non-empty Name, a positive LatencyObjective and a positive Deadline, got Name \"\", LatencyObjective 1ns and Deadline 1ns"},
		{"second class without an objective", plugin.Options{Classes: []plugin.Class{valid, {Name: "form", Deadline: 1}}}, "plugin: Classes[1]: expected a non-empty Name, a positive LatencyObjective and a positive Deadline, got Name \"form\", LatencyObjective 0s and Deadline 1ns"},
		{"class without a deadline", plugin.Options{Classes: []plugin.Class{{Name: "part", Aim: 1}}}, "plugin: Classes[0]: expected a non-empty Name, a positive LatencyObjective and a positive Deadline, got Name \"part\", LatencyObjective 1ns and Deadline 0s"},
		{"class of an operation", plugin.Options{Classes: []plugin.Class{valid}, Operations: plugin.Operations{"Get": {ID: "Get", Class: "form"}}}, `plugin: Operations["Get"]: expected the Name of a class in Options.Classes and a valid Effect, got class "form" and Effect 0`},
		{"negative interval", plugin.Options{Classes: []plugin.Class{valid}, Refresh: -1}, "plugin: Options: expected RefreshInterval and MaxAttempts of at least 0 (0 selects the default), got RefreshInterval -1ns and MaxAttempts 4"},
		{"negative attempts", plugin.Options{Classes: []plugin.Class{valid}, Attempts: -1}, "plugin: Options: expected RefreshInterval and MaxAttempts of at least 0 (0 selects the default), got RefreshInterval 500ms and MaxAttempts -1"},
		{"trace directory", plugin.Options{Classes: []plugin.Class{valid}, Trace: &plugin.Trace{Folder: notDirectory}}, "plugin: Trace: open trace store: mkdir FILE: not a directory"},
	} {
		t.Run(test.name, func(t *testing.T) {
			accepted, err := plugin.New(test.options)
			if err == nil {
				accepted.Close()
				t.Fatal("New returned no error for invalid options")
			}
			if got := strings.ReplaceAll(err.Error(), notDirectory, "FILE"); got != test.want {
				t.Errorf("got error %q, want %q", got, test.want)
			}
		})
	}
}

// Users see the error texts of OpenAPI and AsyncAPI, so the test compares them exactly.
func TestDescriptionErrorTexts(t *testing.T) {
	openAPI := func(operation string) string {
		return "openapi: 3.0.3\ninfo: {title: x, version: \"1\"}\npaths:\n  /a:\n    get: {" + operation + "responses: {\"200\": {description: ok}}}\n"
	}
	asyncAPI := func(operation string) string { return "asyncapi: 3.0.0\noperations:\n  get: {" + operation + "}\n" }
	for _, test := range []struct {
		name string
		read func([]byte, []string) (plugin.Operations, error)
		doc  string
		want string
	}{
		{"no id", plugin.OpenAPI, openAPI("tags: [part], "), "openapi: paths./a.get: operationId is missing or empty"},
		{"no class", plugin.OpenAPI, openAPI("operationId: Get, tags: [part, form], "), "openapi: paths./a.get: no class: expected a non-empty extension x-garnetline-class or, without it, exactly one tag"},
		{"unknown class", plugin.OpenAPI, openAPI("operationId: Get, tags: [other], "), `openapi: paths./a.get: unknown class "other": expected one of part, form`},
		{"class of another type", plugin.OpenAPI, openAPI("operationId: Get, x-garnetline-class: 7, "), "openapi: paths./a.get.x-garnetline-class: expected a string, got 7 of type float64"},
		{"unknown effect", plugin.OpenAPI, openAPI("operationId: Get, tags: [part], x-garnetline-effect: maybe, "), `openapi: paths./a.get.x-garnetline-effect: expected "safe", "keyed" or "unsafe", got "maybe"`},
		{"malformed method", plugin.OpenAPI, openAPI("operationId: Get, tags: [part], x-garnetline-rpc: Get, "), `openapi: paths./a.get.x-garnetline-rpc: expected the form /package.Service/Method, got "Get"`},
		{"two of one id", plugin.AsyncAPI, "asyncapi: 2.6.0\nchannels:\n  a: {publish: {operationId: Get, tags: [{name: part}]}}\n" +
			"  b: {publish: {operationId: Get, tags: [{name: part}]}}\n", `asyncapi: channels.b.publish: duplicate operationId "Get": another operation already has it`},
		{"not a document", plugin.AsyncAPI, "[]", "asyncapi: expected a mapping at the top level of the document, got an empty document or a value of another type"},
		{"version", plugin.AsyncAPI, "asyncapi: 1.2.0", `asyncapi: field asyncapi: expected version 2.x or 3.x, got "1.2.0"`},
		{"action", plugin.AsyncAPI, asyncAPI("action: wait"), `asyncapi: operations.get.action: expected "send" or "receive", got "wait"`},
		{"class of another type, AsyncAPI", plugin.AsyncAPI, asyncAPI("action: receive, x-garnetline-class: 7"), `asyncapi: operations.get.x-garnetline-class: line 3: expected a string, got a value with YAML tag "!!int"`},
		{"reference to another document", plugin.AsyncAPI, asyncAPI(`action: send, messages: {$ref: other.yaml}`), `asyncapi: operations.get.messages: line 3: expected a $ref within the document, starting with "#/", got "other.yaml"`},
		{"reference to nothing", plugin.AsyncAPI, asyncAPI(`action: send, messages: {$ref: "#/a~1b"}`), `asyncapi: operations.get.messages: line 3: target of $ref "#/a~1b" not found in the document`},
		{"reference to itself", plugin.AsyncAPI, asyncAPI(`action: send, messages: {$ref: "#/operations/get/messages"}`), "asyncapi: operations.get.messages: chain of $ref references is circular or has 16 or more references"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := test.read([]byte(test.doc), []string{"part", "form"})
			if err == nil {
				t.Fatal("got no error for an invalid description")
			}
			if err.Error() != test.want {
				t.Errorf("got error %q, want %q", err, test.want)
			}
		})
	}
}

// If an RPC fails without reaching a server, its caller sees a status code and text of the plugin.
// The test compares the codes and texts exactly.
func TestRPCErrorTexts(t *testing.T) {
	router, err := plugin.New(plugin.Options{
		Classes:    []plugin.Class{{Name: "part", Aim: 10 * time.Millisecond, Deadline: 20 * time.Millisecond}},
		Operations: plugin.Operations{"Get": {ID: "Get", Class: "part", Effect: plugin.Safe}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(router.Close)
	options := append(router.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	client, err := grpc.NewClient("garnetline://127.0.0.1:1/_none._tcp.example.test", options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	})
	call := func(method string) *status.Status {
		return status.Convert(client.Invoke(t.Context(), method, &emptypb.Empty{}, &emptypb.Empty{}))
	}
	check := func(got *status.Status, code codes.Code, text string) {
		t.Helper()
		if got.Code() != code || got.Message() != text {
			t.Errorf("got status %v %q, want %v %q", got.Code(), got.Message(), code, text)
		}
	}
	check(call("/a.B/Other"), codes.FailedPrecondition, "garnetline: no operation for RPC /a.B/Other in Options.Operations")
	rejected := call("/a.B/Get")
	check(rejected, codes.Unavailable, "garnetline: RPC not served; a retry is safe")
	if details := rejected.Details(); len(details) != 1 {
		t.Errorf("got status details %v, want one", details)
	} else if _, ok := details[0].(*errdetails.RetryInfo); !ok {
		t.Errorf("got status detail of type %T, want a RetryInfo", details[0])
	}
	_, err = client.NewStream(t.Context(), &grpc.StreamDesc{ServerStreams: true}, "/a.B/Get")
	check(status.Convert(err), codes.Unavailable, "garnetline: RPC not served; a retry is safe")
	router.Close()
	check(call("/a.B/Get"), codes.Canceled, "garnetline: the plugin is closed")
}

// The deprecated constants equal the constants that replace them, so that users' code still
// compiles and behaves the same.
func TestDeprecatedNamesEqualCurrentNames(t *testing.T) {
	for name, pair := range map[string]struct {
		deprecated plugin.Effect
		current    plugin.Idempotency
	}{
		"Safe":   {plugin.Safe, plugin.Idempotent},
		"Keyed":  {plugin.Keyed, plugin.IdempotentWithKey},
		"Unsafe": {plugin.Unsafe, plugin.NonIdempotent},
	} {
		if pair.deprecated != pair.current {
			t.Errorf("%s: got %d, want %d", name, pair.deprecated, pair.current)
		}
	}
	if got := int(plugin.Unsafe); got != 2 {
		t.Errorf("Unsafe: got %d, want 2", got)
	}
}
