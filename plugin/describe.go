package plugin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"gopkg.in/yaml.v3"
)

// Idempotency tells what executing an operation twice may do. Its values are those of
// routing.Idempotency.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent operations may be repeated at will, as reads.
	Idempotent Idempotency = iota
	// IdempotentWithKey operations carry an idempotency key: servers discard repeats of a key
	// for a while (Class.KeyWindow).
	IdempotentWithKey
	// NonIdempotent operations must not be executed twice.
	NonIdempotent
)

// Effect is the older name of Idempotency.
//
// Deprecated: use Idempotency.
type Effect = Idempotency

// Older names of the kinds of idempotency.
const (
	// Safe is Idempotent.
	//
	// Deprecated: use Idempotent.
	Safe = Idempotent
	// Keyed is IdempotentWithKey.
	//
	// Deprecated: use IdempotentWithKey.
	Keyed = IdempotentWithKey
	// Unsafe is NonIdempotent.
	//
	// Deprecated: use NonIdempotent.
	Unsafe = NonIdempotent
)

// idempotencyByEffect holds the values of effectExtension.
var idempotencyByEffect = map[string]Idempotency{"safe": Idempotent, "keyed": IdempotentWithKey, "unsafe": NonIdempotent}

// Extensions that a description may use.
const (
	classExtension  = "x-garnetline-class"  // the class; without it, the operation's one tag
	effectExtension = "x-garnetline-effect" // safe, keyed or unsafe; without it, see OpenAPI and AsyncAPI
	rpcExtension    = "x-garnetline-rpc"    // the RPC's full name; without it, operationId is the method's
)

// idempotencyKeyHeader is the header by which a description shows that an operation
// carries an idempotency key.
const idempotencyKeyHeader = "Idempotency-Key"

// Operation is how one operation of a description is treated.
type Operation struct {
	ID     string
	RPC    string // full name of the RPC, as /package.Service/Method; may be empty
	Class  string
	Effect Idempotency
}

// Operations are the operations of a description by id.
type Operations map[string]Operation

// Find returns the operation of an RPC, by its full name or its method's.
func (o Operations) Find(fullMethod string) (Operation, bool) {
	for _, op := range o {
		if op.RPC != "" && op.RPC == fullMethod {
			return op, true
		}
	}
	op, ok := o[fullMethod[strings.LastIndexByte(fullMethod, '/')+1:]]
	return op, ok && op.RPC == ""
}

func (o Operations) add(place string, op Operation, classes []string) error {
	switch _, twice := o[op.ID]; {
	case op.ID == "":
		return fmt.Errorf("%s: operationId: missing", place)
	case twice:
		return fmt.Errorf("%s: operationId: %q stands for two operations", place, op.ID)
	case op.Class == "":
		return fmt.Errorf("%s: no class: want %s or one tag", place, classExtension)
	case !slices.Contains(classes, op.Class):
		return fmt.Errorf("%s: class %q is not one of %s", place, op.Class, strings.Join(classes, ", "))
	}
	o[op.ID] = op
	return nil
}

// OpenAPI reads an OpenAPI 3 document. An operation is safe where its method
// is safe, keyed where it declares an Idempotency-Key header, else unsafe;
// x-garnetline-effect goes before that. An error names the place.
func OpenAPI(doc []byte, classes []string) (Operations, error) {
	loader := openapi3.NewLoader()
	t, err := loader.LoadFromData(doc)
	if err != nil {
		return nil, fmt.Errorf("openapi: %w", err)
	}
	if err := t.Validate(context.Background()); err != nil {
		return nil, fmt.Errorf("openapi: %w", err)
	}
	ops := Operations{}
	paths := t.Paths.Map()
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		item := paths[path].Operations()
		for _, method := range slices.Sorted(maps.Keys(item)) {
			o, place := item[method], fmt.Sprintf("openapi: paths.%s.%s", path, strings.ToLower(method))
			op := Operation{ID: o.OperationID, Effect: NonIdempotent}
			switch method {
			case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
				op.Effect = Idempotent
			default:
				for _, p := range slices.Concat(paths[path].Parameters, o.Parameters) {
					if p.Value != nil && p.Value.In == "header" && strings.EqualFold(p.Value.Name, idempotencyKeyHeader) {
						op.Effect = IdempotentWithKey
					}
				}
			}
			get := func(name string) (string, bool, error) {
				v, ok := o.Extensions[name]
				s, isText := v.(string)
				if ok && !isText {
					return "", ok, fmt.Errorf("%s.%s: not a text", place, name)
				}
				return s, ok, nil
			}
			if err := op.applyExtensions(place, o.Tags, get); err != nil {
				return nil, err
			}
			if err := ops.add(place, op, classes); err != nil {
				return nil, err
			}
		}
	}
	return ops, nil
}

// applyExtensions takes what the extensions say.
func (op *Operation) applyExtensions(place string, tags []string, get func(string) (string, bool, error)) error {
	class, ok, err := get(classExtension)
	if err != nil {
		return err
	}
	if op.Class = class; !ok && len(tags) == 1 {
		op.Class = tags[0]
	}
	if op.RPC, ok, err = get(rpcExtension); err != nil {
		return err
	}
	if ok && (!strings.HasPrefix(op.RPC, "/") || strings.Count(op.RPC, "/") != 2) {
		return fmt.Errorf("%s.%s: %q is not /package.Service/Method", place, rpcExtension, op.RPC)
	}
	word, ok, err := get(effectExtension)
	if err != nil || !ok {
		return err
	}
	if op.Effect, ok = idempotencyByEffect[word]; !ok {
		return fmt.Errorf("%s.%s: %q is not safe, keyed or unsafe", place, effectExtension, word)
	}
	return nil
}

// AsyncAPI reads an AsyncAPI document, of version 2 or 3. An operation that
// receives is safe; one that sends is keyed where the headers of each of its
// messages have an Idempotency-Key, else unsafe; x-garnetline-effect goes
// before that. An error names the place.
func AsyncAPI(doc []byte, classes []string) (Operations, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(doc, &root); err != nil {
		return nil, fmt.Errorf("asyncapi: %w", err)
	}
	if len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		return nil, fmt.Errorf("asyncapi: not a document")
	}
	d := &asyncAPIDocument{root: root.Content[0], classes: classes, operations: Operations{}}
	version := scalarText(mappingValue(d.root, "asyncapi"))
	var err error
	switch {
	case strings.HasPrefix(version, "2."):
		err = d.readVersion2()
	case strings.HasPrefix(version, "3."):
		err = d.readVersion3()
	default:
		err = fmt.Errorf("asyncapi: asyncapi: version %q is neither 2 nor 3", version)
	}
	return d.operations, err
}

// asyncAPIDocument is an AsyncAPI document that is being read.
type asyncAPIDocument struct {
	root       *yaml.Node
	classes    []string
	operations Operations
}

func (d *asyncAPIDocument) readVersion2() error {
	return forEachEntry(mappingValue(d.root, "channels"), func(channel string, c *yaml.Node) error {
		for word, receives := range map[string]bool{"publish": false, "subscribe": true} {
			// In version 2 the words are those of the client.
			o := mappingValue(c, word)
			if o == nil {
				continue
			}
			place := fmt.Sprintf("asyncapi: channels.%s.%s", channel, word)
			if err := d.addOperation(place, scalarText(mappingValue(o, "operationId")), o, receives, mappingValue(o, "message")); err != nil {
				return err
			}
		}
		return nil
	})
}

func (d *asyncAPIDocument) readVersion3() error {
	return forEachEntry(mappingValue(d.root, "operations"), func(id string, o *yaml.Node) error {
		place := "asyncapi: operations." + id
		action := scalarText(mappingValue(o, "action"))
		if action != "send" && action != "receive" {
			return fmt.Errorf("%s.action: %q is neither send nor receive", place, action)
		}
		messages := mappingValue(o, "messages")
		if messages == nil {
			channel, err := d.followReference(place+".channel", mappingValue(o, "channel"))
			if err != nil {
				return err
			}
			messages = mappingValue(channel, "messages")
		}
		return d.addOperation(place, id, o, action == "receive", messages)
	})
}

// addOperation takes one operation with its messages: one, a list or a mapping.
func (d *asyncAPIDocument) addOperation(place, id string, o *yaml.Node, receives bool, messages *yaml.Node) error {
	op := Operation{ID: id, Effect: NonIdempotent}
	if receives {
		op.Effect = Idempotent
	} else if keyed, err := d.allCarryKey(place+".messages", messages); err != nil {
		return err
	} else if keyed {
		op.Effect = IdempotentWithKey
	}
	var tags []string
	for _, t := range childNodes(mappingValue(o, "tags")) {
		tags = append(tags, scalarText(mappingValue(t, "name")))
	}
	get := func(name string) (string, bool, error) {
		n := mappingValue(o, name)
		if n != nil && (n.Kind != yaml.ScalarNode || n.Tag != "!!str") {
			return "", true, fmt.Errorf("%s.%s: line %d: not a text", place, name, n.Line)
		}
		return scalarText(n), n != nil, nil
	}
	if err := op.applyExtensions(place, tags, get); err != nil {
		return err
	}
	return d.operations.add(place, op, d.classes)
}

// allCarryKey tells whether all messages carry an idempotency key in their headers.
func (d *asyncAPIDocument) allCarryKey(place string, messages *yaml.Node) (bool, error) {
	if messages == nil {
		return false, nil
	}
	messages, err := d.followReference(place, messages)
	if err != nil {
		return false, err
	}
	list := []*yaml.Node{messages}
	switch {
	case mappingValue(messages, "oneOf") != nil:
		list = childNodes(mappingValue(messages, "oneOf"))
	case messages.Kind == yaml.SequenceNode, mappingValue(messages, "headers") == nil && mappingValue(messages, "payload") == nil:
		list = childNodes(messages)
	}
	for _, m := range list {
		if m, err = d.followReference(place, m); err != nil {
			return false, err
		}
		headers, err := d.followReference(place+".headers", mappingValue(m, "headers"))
		if err != nil {
			return false, err
		}
		found := false
		forEachEntry(mappingValue(headers, "properties"), func(name string, _ *yaml.Node) error {
			found = found || strings.EqualFold(name, idempotencyKeyHeader)
			return nil
		})
		if !found {
			return false, nil
		}
	}
	return len(list) > 0, nil
}

// followReference resolves a reference within the document. Few are followed in a row:
// a circle of them ends.
func (d *asyncAPIDocument) followReference(place string, n *yaml.Node) (*yaml.Node, error) {
	for range 16 {
		ref := mappingValue(n, "$ref")
		if ref == nil {
			return n, nil
		}
		path, ok := strings.CutPrefix(scalarText(ref), "#/")
		if !ok {
			return nil, fmt.Errorf("%s: line %d: $ref %q leads out of the document", place, ref.Line, scalarText(ref))
		}
		n = d.root
		for word := range strings.SplitSeq(path, "/") {
			word = strings.ReplaceAll(strings.ReplaceAll(word, "~1", "/"), "~0", "~")
			if n = mappingValue(n, word); n == nil {
				return nil, fmt.Errorf("%s: line %d: $ref %q leads nowhere", place, ref.Line, scalarText(ref))
			}
		}
	}
	return nil, fmt.Errorf("%s: $ref goes round in a circle", place)
}

// mappingValue returns the value of a key in a mapping, or nil.
func mappingValue(n *yaml.Node, key string) *yaml.Node {
	if n != nil && n.Kind == yaml.MappingNode {
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == key {
				return n.Content[i+1]
			}
		}
	}
	return nil
}

// forEachEntry calls f for the entries of a mapping in their order.
func forEachEntry(n *yaml.Node, f func(string, *yaml.Node) error) error {
	if n == nil || n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if err := f(n.Content[i].Value, n.Content[i+1]); err != nil {
			return err
		}
	}
	return nil
}

// childNodes returns the values of a list or mapping.
func childNodes(n *yaml.Node) (out []*yaml.Node) {
	switch {
	case n == nil:
	case n.Kind == yaml.SequenceNode:
		out = n.Content
	case n.Kind == yaml.MappingNode:
		for i := 1; i < len(n.Content); i += 2 {
			out = append(out, n.Content[i])
		}
	}
	return out
}

func scalarText(n *yaml.Node) string {
	if n == nil || n.Kind != yaml.ScalarNode {
		return ""
	}
	return n.Value
}
