package plugin

import (
	"fmt"
	"slices"
	"strings"
)

// Idempotency tells whether an operation may be executed more than once. Its values equal those
// of routing.Idempotency.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent operations, such as reads, may be executed any number of times.
	Idempotent Idempotency = iota
	// IdempotentWithKey operations carry an idempotency key. For the duration Class.KeyWindow,
	// servers discard repeated operations with the same key.
	IdempotentWithKey
	// NonIdempotent operations must not be executed twice.
	NonIdempotent
)

// Effect is the former name of Idempotency.
//
// Deprecated: use Idempotency.
type Effect = Idempotency

// Former names of the kinds of idempotency.
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

// Names of the extensions that an operation in a description may have.
const (
	// classExtension holds the class. If it is absent, the class is the operation's only tag.
	classExtension = "x-garnetline-class"
	// effectExtension holds a key of idempotencyByEffect. If it is absent, the idempotency is the
	// default that the comments on OpenAPI and AsyncAPI describe.
	effectExtension = "x-garnetline-effect"
	// rpcExtension holds the RPC's full name. If it is absent, the operationId is the name of the
	// RPC's method.
	rpcExtension = "x-garnetline-rpc"
)

// idempotencyByEffect maps each valid value of effectExtension to its idempotency.
var idempotencyByEffect = map[string]Idempotency{
	"safe":   Idempotent,
	"keyed":  IdempotentWithKey,
	"unsafe": NonIdempotent,
}

// idempotencyKeyHeader is the header that carries an idempotency key. The description of an
// operation declares this header if the operation carries a key. The comparison of header names
// ignores case.
const idempotencyKeyHeader = "Idempotency-Key"

// Operation is one operation of a description, with the properties that decide how it is routed
// and whether it is retried.
type Operation struct {
	ID    string
	RPC   string // full name of the RPC, as /package.Service/Method; if empty, the operation applies to each RPC whose method name is ID
	Class string // name of a class in Options.Classes
	// Effect is the operation's idempotency. The field is named after the extension
	// x-garnetline-effect, which sets it.
	Effect Idempotency
}

// Operations maps the id of each operation of a description to the operation.
type Operations map[string]Operation

// Find returns the operation of an RPC and whether it found an operation. It prefers the operation
// whose RPC field equals fullMethod. Otherwise it returns the operation whose RPC field is empty
// and whose ID is the method name at the end of fullMethod.
func (o Operations) Find(fullMethod string) (Operation, bool) {
	for _, operation := range o {
		if operation.RPC != "" && operation.RPC == fullMethod {
			return operation, true
		}
	}
	method := fullMethod[strings.LastIndexByte(fullMethod, '/')+1:]
	operation, ok := o[method]
	return operation, ok && operation.RPC == ""
}

// add adds an operation. It returns an error if the operation has no id, if its id is already in
// use, or if its class is not in the list classes. location says where the document describes the
// operation, for error texts.
func (o Operations) add(location string, operation Operation, classes []string) error {
	switch _, duplicate := o[operation.ID]; {
	case operation.ID == "":
		return fmt.Errorf("%s: operationId is missing or empty", location)
	case duplicate:
		return fmt.Errorf("%s: duplicate operationId %q: another operation already has it", location, operation.ID)
	case operation.Class == "":
		return fmt.Errorf("%s: no class: expected a non-empty extension %s or, without it, exactly one tag", location, classExtension)
	case !slices.Contains(classes, operation.Class):
		return fmt.Errorf("%s: unknown class %q: expected one of %s", location, operation.Class, strings.Join(classes, ", "))
	}
	o[operation.ID] = operation
	return nil
}

// extensionReader returns the text of the named extension of an operation and whether the
// operation has that extension. It returns an error if the extension's value is not a string.
type extensionReader func(name string) (value string, found bool, err error)

// applyExtensions sets the class, the RPC and the idempotency from the operation's extensions.
// If there is no class extension and exactly one tag, the tag is the class.
func (o *Operation) applyExtensions(location string, tags []string, extension extensionReader) error {
	class, found, err := extension(classExtension)
	if err != nil {
		return err
	}
	o.Class = class
	if !found && len(tags) == 1 {
		o.Class = tags[0]
	}
	if err := o.applyRPCExtension(location, extension); err != nil {
		return err
	}
	return o.applyEffectExtension(location, extension)
}

func (o *Operation) applyRPCExtension(location string, extension extensionReader) error {
	rpc, found, err := extension(rpcExtension)
	if err != nil || !found {
		return err
	}
	if !strings.HasPrefix(rpc, "/") || strings.Count(rpc, "/") != 2 {
		return fmt.Errorf("%s.%s: expected the form /package.Service/Method, got %q", location, rpcExtension, rpc)
	}
	o.RPC = rpc
	return nil
}

func (o *Operation) applyEffectExtension(location string, extension extensionReader) error {
	effect, found, err := extension(effectExtension)
	if err != nil || !found {
		return err
	}
	idempotency, ok := idempotencyByEffect[effect]
	if !ok {
		return fmt.Errorf("%s.%s: expected \"safe\", \"keyed\" or \"unsafe\", got %q", location, effectExtension, effect)
	}
	o.Effect = idempotency
	return nil
}
