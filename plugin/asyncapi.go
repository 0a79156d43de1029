package plugin

import (
	"errors"
	"fmt"
	"strings"

	"gopkg.in/yaml.v3"
)

// AsyncAPI reads an AsyncAPI document of version 2 or 3, in JSON or YAML, whose operations
// have one of classes. An operation that receives is Idempotent; one that sends is
// IdempotentWithKey if the headers of each of its messages have an Idempotency-Key, and
// NonIdempotent otherwise; the extension x-garnetline-effect (safe, keyed or unsafe)
// overrides that. An error names the place in the document.
func AsyncAPI(doc []byte, classes []string) (Operations, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(doc, &root); err != nil {
		return nil, fmt.Errorf("asyncapi: %w", err)
	}
	if len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		return nil, errors.New("asyncapi: not a document")
	}
	document := &asyncAPIDocument{root: root.Content[0], classes: classes, operations: Operations{}}
	err := document.read()
	return document.operations, err
}

// asyncAPIDocument is an AsyncAPI document that is being read.
type asyncAPIDocument struct {
	root       *yaml.Node
	classes    []string
	operations Operations // read so far
}

func (d *asyncAPIDocument) read() error {
	version := scalarText(mappingValue(d.root, "asyncapi"))
	switch {
	case strings.HasPrefix(version, "2."):
		return d.readVersion2()
	case strings.HasPrefix(version, "3."):
		return d.readVersion3()
	}
	return fmt.Errorf("asyncapi: asyncapi: version %q is neither 2 nor 3", version)
}

// version2Operations are the operations of a channel in version 2, whose names are seen from
// the client: it publishes what the application receives.
var version2Operations = []struct {
	name     string
	receives bool
}{
	{"publish", false},
	{"subscribe", true},
}

func (d *asyncAPIDocument) readVersion2() error {
	for channel, channelNode := range mappingEntries(mappingValue(d.root, "channels")) {
		for _, kind := range version2Operations {
			node := mappingValue(channelNode, kind.name)
			if node == nil {
				continue
			}
			described := asyncAPIOperation{
				place:    fmt.Sprintf("asyncapi: channels.%s.%s", channel, kind.name),
				id:       scalarText(mappingValue(node, "operationId")),
				node:     node,
				receives: kind.receives,
				messages: mappingValue(node, "message"),
			}
			if err := d.addOperation(described); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *asyncAPIDocument) readVersion3() error {
	for id, node := range mappingEntries(mappingValue(d.root, "operations")) {
		described := asyncAPIOperation{place: "asyncapi: operations." + id, id: id, node: node}
		action := scalarText(mappingValue(node, "action"))
		if action != "send" && action != "receive" {
			return fmt.Errorf("%s.action: %q is neither send nor receive", described.place, action)
		}
		described.receives = action == "receive"
		described.messages = mappingValue(node, "messages")
		if described.messages == nil {
			channel, err := d.followReference(described.place+".channel", mappingValue(node, "channel"))
			if err != nil {
				return err
			}
			described.messages = mappingValue(channel, "messages")
		}
		if err := d.addOperation(described); err != nil {
			return err
		}
	}
	return nil
}

// asyncAPIOperation is an operation as a document of either version describes it.
type asyncAPIOperation struct {
	place    string // in the document
	id       string
	node     *yaml.Node
	receives bool
	messages *yaml.Node // one message, a list or a mapping; nil: none
}

// addOperation adds an operation to those of the document.
func (d *asyncAPIDocument) addOperation(described asyncAPIOperation) error {
	idempotency, err := d.idempotencyOf(described)
	if err != nil {
		return err
	}
	operation := Operation{ID: described.id, Effect: idempotency}
	if err := operation.applyExtensions(described.place, described.tags(), described.extension); err != nil {
		return err
	}
	return d.operations.add(described.place, operation, d.classes)
}

// idempotencyOf returns the idempotency of an operation without extensions.
func (d *asyncAPIDocument) idempotencyOf(described asyncAPIOperation) (Idempotency, error) {
	if described.receives {
		return Idempotent, nil
	}
	keyed, err := d.allCarryKey(described.place+".messages", described.messages)
	if keyed {
		return IdempotentWithKey, err
	}
	return NonIdempotent, err
}

// tags returns the names of the operation's tags.
func (o asyncAPIOperation) tags() []string {
	var names []string
	for _, tag := range childNodes(mappingValue(o.node, "tags")) {
		names = append(names, scalarText(mappingValue(tag, "name")))
	}
	return names
}

// extension is an extensionReader.
func (o asyncAPIOperation) extension(name string) (string, bool, error) {
	value := mappingValue(o.node, name)
	if value == nil {
		return "", false, nil
	}
	if value.Kind != yaml.ScalarNode || value.Tag != "!!str" {
		return "", true, fmt.Errorf("%s.%s: line %d: not a text", o.place, name, value.Line)
	}
	return scalarText(value), true, nil
}

// allCarryKey reports whether there are messages and all have an idempotency key in their
// headers.
func (d *asyncAPIDocument) allCarryKey(place string, messages *yaml.Node) (bool, error) {
	if messages == nil {
		return false, nil
	}
	messages, err := d.followReference(place, messages)
	if err != nil {
		return false, err
	}
	list := messageList(messages)
	for _, message := range list {
		carriesKey, err := d.carriesKey(place, message)
		if err != nil || !carriesKey {
			return false, err
		}
	}
	return len(list) > 0, nil
}

// messageList returns the messages of a node that is a message, a choice of messages, a list
// or a mapping of messages by name.
func messageList(node *yaml.Node) []*yaml.Node {
	if alternatives := mappingValue(node, "oneOf"); alternatives != nil {
		return childNodes(alternatives)
	}
	isMessage := mappingValue(node, "headers") != nil || mappingValue(node, "payload") != nil
	if node.Kind == yaml.SequenceNode || !isMessage {
		return childNodes(node)
	}
	return []*yaml.Node{node}
}

// carriesKey reports whether a message has an idempotency key in its headers.
func (d *asyncAPIDocument) carriesKey(place string, message *yaml.Node) (bool, error) {
	message, err := d.followReference(place, message)
	if err != nil {
		return false, err
	}
	headers, err := d.followReference(place+".headers", mappingValue(message, "headers"))
	if err != nil {
		return false, err
	}
	for name := range mappingEntries(mappingValue(headers, "properties")) {
		if strings.EqualFold(name, idempotencyKeyHeader) {
			return true, nil
		}
	}
	return false, nil
}

// maxReferences is how many references are followed in a row: a circle of them ends.
const maxReferences = 16

// followReference returns the node that a node refers to within the document, or the node
// itself if it is no reference.
func (d *asyncAPIDocument) followReference(place string, node *yaml.Node) (*yaml.Node, error) {
	for range maxReferences {
		reference := mappingValue(node, "$ref")
		if reference == nil {
			return node, nil
		}
		target := scalarText(reference)
		path, ok := strings.CutPrefix(target, "#/")
		if !ok {
			return nil, fmt.Errorf("%s: line %d: $ref %q leads out of the document", place, reference.Line, target)
		}
		if node = d.resolvePointer(path); node == nil {
			return nil, fmt.Errorf("%s: line %d: $ref %q leads nowhere", place, reference.Line, target)
		}
	}
	return nil, fmt.Errorf("%s: $ref goes round in a circle", place)
}

// pointerEscapes are the escapes of a JSON pointer (RFC 6901), in the order in which they are
// undone.
var pointerEscapes = []struct{ escaped, plain string }{{"~1", "/"}, {"~0", "~"}}

// resolvePointer returns the node at a JSON pointer, given without its leading "/", or nil.
func (d *asyncAPIDocument) resolvePointer(pointer string) *yaml.Node {
	node := d.root
	for key := range strings.SplitSeq(pointer, "/") {
		for _, escape := range pointerEscapes {
			key = strings.ReplaceAll(key, escape.escaped, escape.plain)
		}
		if node = mappingValue(node, key); node == nil {
			return nil
		}
	}
	return node
}
