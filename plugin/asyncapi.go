package plugin

import (
	"errors"
	"fmt"
	"strings"

	"gopkg.in/yaml.v3"
)

// AsyncAPI reads the operations of an AsyncAPI document of version 2 or 3, in JSON or YAML. The
// class of each operation must be in the list classes. An operation that receives messages is
// Idempotent. An operation that sends messages is IdempotentWithKey if the headers of each of its
// messages declare an Idempotency-Key, and NonIdempotent otherwise. The extension
// x-garnetline-effect ("safe", "keyed" or "unsafe") overrides this default. An error names its location
// in the document.
func AsyncAPI(doc []byte, classes []string) (Operations, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(doc, &root); err != nil {
		return nil, fmt.Errorf("asyncapi: parse document: %w", err)
	}
	if len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		return nil, errors.New("asyncapi: expected a mapping at the top level of the document, got an empty document or a value of another type")
	}
	document := &asyncAPIDocument{root: root.Content[0], classes: classes, operations: Operations{}}
	err := document.read()
	return document.operations, err
}

// asyncAPIDocument holds an AsyncAPI document and the operations that are read from it.
type asyncAPIDocument struct {
	root       *yaml.Node
	classes    []string
	operations Operations // operations that have been read so far
}

func (d *asyncAPIDocument) read() error {
	version := scalarText(mappingValue(d.root, "asyncapi"))
	switch {
	case strings.HasPrefix(version, "2."):
		return d.readVersion2()
	case strings.HasPrefix(version, "3."):
		return d.readVersion3()
	}
	return fmt.Errorf("asyncapi: field asyncapi: expected version 2.x or 3.x, got %q", version)
}

// version2Operations lists the operations of a channel in AsyncAPI 2. AsyncAPI 2 names them
// from the client's side: in a "publish" operation the client sends messages to the described
// application, and in a "subscribe" operation it receives messages.
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
				location: fmt.Sprintf("asyncapi: channels.%s.%s", channel, kind.name),
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
		described := asyncAPIOperation{location: "asyncapi: operations." + id, id: id, node: node}
		action := scalarText(mappingValue(node, "action"))
		if action != "send" && action != "receive" {
			return fmt.Errorf("%s.action: expected \"send\" or \"receive\", got %q", described.location, action)
		}
		described.receives = action == "receive"
		described.messages = mappingValue(node, "messages")
		if described.messages == nil {
			channel, err := d.followReference(described.location+".channel", mappingValue(node, "channel"))
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

// asyncAPIOperation is an operation as described by a document of AsyncAPI version 2 or 3.
type asyncAPIOperation struct {
	location string // where the document describes the operation, for error texts
	id       string
	node     *yaml.Node
	receives bool
	messages *yaml.Node // one message, a list or a mapping of messages; nil if the operation has none
}

// addOperation converts a described operation and adds it to d.operations.
func (d *asyncAPIDocument) addOperation(described asyncAPIOperation) error {
	idempotency, err := d.idempotencyOf(described)
	if err != nil {
		return err
	}
	operation := Operation{ID: described.id, Effect: idempotency}
	if err := operation.applyExtensions(described.location, described.tags(), described.extension); err != nil {
		return err
	}
	return d.operations.add(described.location, operation, d.classes)
}

// idempotencyOf returns the default idempotency of an operation. The extension x-garnetline-effect
// may override it.
func (d *asyncAPIDocument) idempotencyOf(described asyncAPIOperation) (Idempotency, error) {
	if described.receives {
		return Idempotent, nil
	}
	allKeyed, err := d.allHaveIdempotencyKey(described.location+".messages", described.messages)
	if allKeyed {
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

// extension returns the text of an extension of the operation. The method value is an
// extensionReader.
func (o asyncAPIOperation) extension(name string) (string, bool, error) {
	value := mappingValue(o.node, name)
	if value == nil {
		return "", false, nil
	}
	if value.Kind != yaml.ScalarNode || value.Tag != "!!str" {
		return "", true, fmt.Errorf("%s.%s: line %d: expected a string, got a value with YAML tag %q", o.location, name, value.Line, value.Tag)
	}
	return scalarText(value), true, nil
}

// allHaveIdempotencyKey reports whether there is at least one message and the headers of every
// message declare an idempotency key.
func (d *asyncAPIDocument) allHaveIdempotencyKey(location string, messages *yaml.Node) (bool, error) {
	if messages == nil {
		return false, nil
	}
	messages, err := d.followReference(location, messages)
	if err != nil {
		return false, err
	}
	list := messageList(messages)
	for _, message := range list {
		hasKey, err := d.hasIdempotencyKey(location, message)
		if err != nil || !hasKey {
			return false, err
		}
	}
	return len(list) > 0, nil
}

// messageList returns the messages of a node. The node may be one message, a oneOf list of
// messages, a list of messages or a mapping of names to messages.
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

// hasIdempotencyKey reports whether the headers of a message declare an idempotency key.
func (d *asyncAPIDocument) hasIdempotencyKey(location string, message *yaml.Node) (bool, error) {
	message, err := d.followReference(location, message)
	if err != nil {
		return false, err
	}
	headers, err := d.followReference(location+".headers", mappingValue(message, "headers"))
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

// maxReferences limits the length of a chain of $ref references: followReference fails at this
// number of references. Without maxReferences, following a circular chain would never end.
const maxReferences = 16

// followReference returns the target of a node's $ref, which must be in the same document. If the
// target has a $ref too, followReference follows the chain to its end. If the node has no $ref, it
// returns the node itself.
func (d *asyncAPIDocument) followReference(location string, node *yaml.Node) (*yaml.Node, error) {
	for range maxReferences {
		reference := mappingValue(node, "$ref")
		if reference == nil {
			return node, nil
		}
		target := scalarText(reference)
		path, ok := strings.CutPrefix(target, "#/")
		if !ok {
			return nil, fmt.Errorf("%s: line %d: expected a $ref within the document, starting with \"#/\", got %q", location, reference.Line, target)
		}
		if node = d.resolvePointer(path); node == nil {
			return nil, fmt.Errorf("%s: line %d: target of $ref %q not found in the document", location, reference.Line, target)
		}
	}
	return nil, fmt.Errorf("%s: chain of $ref references is circular or has %d or more references", location, maxReferences)
}

// pointerEscapes lists the escape sequences of a JSON pointer (RFC 6901), in the order in which
// resolvePointer decodes them.
var pointerEscapes = []struct{ escaped, plain string }{{"~1", "/"}, {"~0", "~"}}

// resolvePointer returns the node at a JSON pointer, or nil if the document has no such node. The
// pointer must not have its leading "/".
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
