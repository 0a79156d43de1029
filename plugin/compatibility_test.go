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

// The texts of errors are part of what users see: they stay to the byte.
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
		{"class without a name", plugin.Options{Classes: []plugin.Class{{Aim: 1, Deadline: 1}}}, "plugin: Classes[0]: want a Name, an Aim and a Deadline"},
		{"second class without an objective", plugin.Options{Classes: []plugin.Class{valid, {Name: "form", Deadline: 1}}}, "plugin: Classes[1]: want a Name, an Aim and a Deadline"},
		{"class without a deadline", plugin.Options{Classes: []plugin.Class{{Name: "part", Aim: 1}}}, "plugin: Classes[0]: want a Name, an Aim and a Deadline"},
		{"class of an operation", plugin.Options{Classes: []plugin.Class{valid}, Operations: plugin.Operations{"Get": {ID: "Get", Class: "form"}}}, `plugin: Operations["Get"]: class "form" is not one of Classes`},
		{"negative interval", plugin.Options{Classes: []plugin.Class{valid}, Refresh: -1}, "plugin: Refresh, Attempts: want more than 0"},
		{"negative attempts", plugin.Options{Classes: []plugin.Class{valid}, Attempts: -1}, "plugin: Refresh, Attempts: want more than 0"},
		{"trace directory", plugin.Options{Classes: []plugin.Class{valid}, Trace: &plugin.Trace{Folder: notDirectory}}, "plugin: Trace: mkdir FILE: not a directory"},
	} {
		t.Run(test.name, func(t *testing.T) {
			accepted, err := plugin.New(test.options)
			if err == nil {
				accepted.Close()
				t.Fatal("New accepted the options")
			}
			if got := strings.ReplaceAll(err.Error(), notDirectory, "FILE"); got != test.want {
				t.Errorf("error %q, want %q", got, test.want)
			}
		})
	}
}

// The texts of errors in descriptions stay to the byte.
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
		{"no id", plugin.OpenAPI, openAPI("tags: [part], "), "openapi: paths./a.get: operationId: missing"},
		{"no class", plugin.OpenAPI, openAPI("operationId: Get, tags: [part, form], "), "openapi: paths./a.get: no class: want x-garnetline-class or one tag"},
		{"unknown class", plugin.OpenAPI, openAPI("operationId: Get, tags: [other], "), `openapi: paths./a.get: class "other" is not one of part, form`},
		{"class of another type", plugin.OpenAPI, openAPI("operationId: Get, x-garnetline-class: 7, "), "openapi: paths./a.get.x-garnetline-class: not a text"},
		{"unknown effect", plugin.OpenAPI, openAPI("operationId: Get, tags: [part], x-garnetline-effect: maybe, "), `openapi: paths./a.get.x-garnetline-effect: "maybe" is not safe, keyed or unsafe`},
		{"malformed method", plugin.OpenAPI, openAPI("operationId: Get, tags: [part], x-garnetline-rpc: Get, "), `openapi: paths./a.get.x-garnetline-rpc: "Get" is not /package.Service/Method`},
		{"two of one id", plugin.AsyncAPI, "asyncapi: 2.6.0\nchannels:\n  a: {publish: {operationId: Get, tags: [{name: part}]}}\n" +
			"  b: {publish: {operationId: Get, tags: [{name: part}]}}\n", `asyncapi: channels.b.publish: operationId: "Get" stands for two operations`},
		{"not a document", plugin.AsyncAPI, "[]", "asyncapi: not a document"},
		{"version", plugin.AsyncAPI, "asyncapi: 1.2.0", `asyncapi: asyncapi: version "1.2.0" is neither 2 nor 3`},
		{"action", plugin.AsyncAPI, asyncAPI("action: wait"), `asyncapi: operations.get.action: "wait" is neither send nor receive`},
		{"class of another type, AsyncAPI", plugin.AsyncAPI, asyncAPI("action: receive, x-garnetline-class: 7"), "asyncapi: operations.get.x-garnetline-class: line 3: not a text"},
		{"reference to another document", plugin.AsyncAPI, asyncAPI(`action: send, messages: {$ref: other.yaml}`), `asyncapi: operations.get.messages: line 3: $ref "other.yaml" leads out of the document`},
		{"reference to nothing", plugin.AsyncAPI, asyncAPI(`action: send, messages: {$ref: "#/a~1b"}`), `asyncapi: operations.get.messages: line 3: $ref "#/a~1b" leads nowhere`},
		{"reference to itself", plugin.AsyncAPI, asyncAPI(`action: send, messages: {$ref: "#/operations/get/messages"}`), "asyncapi: operations.get.messages: $ref goes round in a circle"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := test.read([]byte(test.doc), []string{"part", "form"})
			if err == nil {
				t.Fatal("the description was accepted")
			}
			if err.Error() != test.want {
				t.Errorf("error %q, want %q", err, test.want)
			}
		})
	}
}

// The codes and texts with which RPCs fail without a server stay as they are.
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
			t.Errorf("%v %q, want %v %q", got.Code(), got.Message(), code, text)
		}
	}
	check(call("/a.B/Other"), codes.FailedPrecondition, "garnetline: /a.B/Other is not in the description")
	rejected := call("/a.B/Get")
	check(rejected, codes.Unavailable, "garnetline: refused, a retry is harmless")
	if details := rejected.Details(); len(details) != 1 {
		t.Errorf("details %v, want one", details)
	} else if _, ok := details[0].(*errdetails.RetryInfo); !ok {
		t.Errorf("details %T, want a RetryInfo", details[0])
	}
	_, err = client.NewStream(t.Context(), &grpc.StreamDesc{ServerStreams: true}, "/a.B/Get")
	check(status.Convert(err), codes.Unavailable, "garnetline: refused, a retry is harmless")
	router.Close()
	check(call("/a.B/Get"), codes.Canceled, "garnetline: the plugin is closed")
}

// The older names are the new ones, so that users' code compiles and behaves as before.
func TestDeprecatedNamesAreTheSame(t *testing.T) {
	for name, pair := range map[string]struct {
		deprecated plugin.Effect
		current    plugin.Idempotency
	}{
		"Safe":   {plugin.Safe, plugin.Idempotent},
		"Keyed":  {plugin.Keyed, plugin.IdempotentWithKey},
		"Unsafe": {plugin.Unsafe, plugin.NonIdempotent},
	} {
		if pair.deprecated != pair.current {
			t.Errorf("%s is %d, want %d", name, pair.deprecated, pair.current)
		}
	}
	if got := int(plugin.Unsafe); got != 2 {
		t.Errorf("Unsafe is %d, want 2", got)
	}
}
