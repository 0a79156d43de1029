package plugin

import (
	"fmt"
	"slices"
	"strings"
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

// Extensions that a description may use.
const (
	// classExtension names the class; without it, the operation's only tag does.
	classExtension = "x-garnetline-class"
	// effectExtension is a key of idempotencyByEffect; without it, see OpenAPI and AsyncAPI.
	effectExtension = "x-garnetline-effect"
	// rpcExtension is the RPC's full name; without it, operationId is the method's name.
	rpcExtension = "x-garnetline-rpc"
)

// idempotencyByEffect holds the values of effectExtension.
var idempotencyByEffect = map[string]Idempotency{
	"safe":   Idempotent,
	"keyed":  IdempotentWithKey,
	"unsafe": NonIdempotent,
}

// idempotencyKeyHeader is the header by which a description shows that an operation carries
// an idempotency key. Its case does not matter.
const idempotencyKeyHeader = "Idempotency-Key"

// Operation tells how one operation of a description is treated.
type Operation struct {
	ID    string
	RPC   string // full name of the RPC, as /package.Service/Method; empty: its method is ID
	Class string
	// Effect is the operation's idempotency. It is named for the extension
	// x-garnetline-effect, which sets it.
	Effect Idempotency
}

// Operations are the operations of a description by id.
type Operations map[string]Operation

// Find returns the operation of an RPC, by its full name or, if no operation has that, by
// the name of its method. It reports whether there is one.
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

// add adds an operation that stands at a place of its document. Its class must be one of
// classes.
func (o Operations) add(place string, operation Operation, classes []string) error {
	switch _, duplicate := o[operation.ID]; {
	case operation.ID == "":
		return fmt.Errorf("%s: operationId: missing", place)
	case duplicate:
		return fmt.Errorf("%s: operationId: %q stands for two operations", place, operation.ID)
	case operation.Class == "":
		return fmt.Errorf("%s: no class: want %s or one tag", place, classExtension)
	case !slices.Contains(classes, operation.Class):
		return fmt.Errorf("%s: class %q is not one of %s", place, operation.Class, strings.Join(classes, ", "))
	}
	o[operation.ID] = operation
	return nil
}

// extensionReader returns the text of an operation's extension, and whether the operation
// has the extension.
type extensionReader func(name string) (value string, found bool, err error)

// applyExtensions sets the class, the RPC and the idempotency by the operation's extensions,
// and the class by its tags where no extension does.
func (o *Operation) applyExtensions(place string, tags []string, extension extensionReader) error {
	class, found, err := extension(classExtension)
	if err != nil {
		return err
	}
	o.Class = class
	if !found && len(tags) == 1 {
		o.Class = tags[0]
	}
	if err := o.applyRPCExtension(place, extension); err != nil {
		return err
	}
	return o.applyEffectExtension(place, extension)
}

func (o *Operation) applyRPCExtension(place string, extension extensionReader) error {
	rpc, found, err := extension(rpcExtension)
	if err != nil || !found {
		return err
	}
	if !strings.HasPrefix(rpc, "/") || strings.Count(rpc, "/") != 2 {
		return fmt.Errorf("%s.%s: %q is not /package.Service/Method", place, rpcExtension, rpc)
	}
	o.RPC = rpc
	return nil
}

func (o *Operation) applyEffectExtension(place string, extension extensionReader) error {
	effect, found, err := extension(effectExtension)
	if err != nil || !found {
		return err
	}
	idempotency, ok := idempotencyByEffect[effect]
	if !ok {
		return fmt.Errorf("%s.%s: %q is not safe, keyed or unsafe", place, effectExtension, effect)
	}
	o.Effect = idempotency
	return nil
}
