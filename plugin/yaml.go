package plugin

import (
	"iter"

	"gopkg.in/yaml.v3"
)

// mappingEntries returns an iterator over the keys and values of a mapping, in the order of the
// document. The iterator is empty if node is nil or not a mapping.
func mappingEntries(node *yaml.Node) iter.Seq2[string, *yaml.Node] {
	return func(yield func(string, *yaml.Node) bool) {
		if node == nil || node.Kind != yaml.MappingNode {
			return
		}
		for i := 0; i+1 < len(node.Content); i += 2 {
			if !yield(node.Content[i].Value, node.Content[i+1]) {
				return
			}
		}
	}
}

// mappingValue returns the value of a key in a mapping. It returns nil if the mapping lacks the key
// or if node is nil or not a mapping.
func mappingValue(node *yaml.Node, key string) *yaml.Node {
	for name, value := range mappingEntries(node) {
		if name == key {
			return value
		}
	}
	return nil
}

// childNodes returns the values of a list or mapping. It returns nil for other nodes.
func childNodes(node *yaml.Node) []*yaml.Node {
	if node != nil && node.Kind == yaml.SequenceNode {
		return node.Content
	}
	var values []*yaml.Node
	for _, value := range mappingEntries(node) {
		values = append(values, value)
	}
	return values
}

// scalarText returns the text of a scalar. It returns "" if node is nil or not a scalar.
func scalarText(node *yaml.Node) string {
	if node == nil || node.Kind != yaml.ScalarNode {
		return ""
	}
	return node.Value
}
