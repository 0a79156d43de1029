package plugin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
)

// OpenAPI reads the operations of an OpenAPI 3 document, in JSON or YAML. The class of each
// operation must be in the list classes. An operation is Idempotent if its HTTP method is safe,
// IdempotentWithKey if it declares an Idempotency-Key header, and NonIdempotent otherwise. The
// extension x-garnetline-effect ("safe", "keyed" or "unsafe") overrides this default. An error names
// its location in the document.
func OpenAPI(doc []byte, classes []string) (Operations, error) {
	document, err := openapi3.NewLoader().LoadFromData(doc)
	if err != nil {
		return nil, fmt.Errorf("openapi: load document: %w", err)
	}
	if err := document.Validate(context.Background()); err != nil {
		return nil, fmt.Errorf("openapi: validate document: %w", err)
	}
	operations := Operations{}
	paths := document.Paths.Map()
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		byMethod := paths[path].Operations()
		for _, method := range slices.Sorted(maps.Keys(byMethod)) {
			location := fmt.Sprintf("openapi: paths.%s.%s", path, strings.ToLower(method))
			operation, err := openAPIOperation(location, method, paths[path], byMethod[method])
			if err != nil {
				return nil, err
			}
			if err := operations.add(location, operation, classes); err != nil {
				return nil, err
			}
		}
	}
	return operations, nil
}

// openAPIOperation converts the operation that a document describes for a path and an HTTP
// method. location says where the document describes the operation, for error texts.
func openAPIOperation(location, method string, path *openapi3.PathItem, described *openapi3.Operation) (Operation, error) {
	operation := Operation{ID: described.OperationID, Effect: NonIdempotent}
	switch {
	case isSafeMethod(method):
		operation.Effect = Idempotent
	case declaresKeyHeader(path.Parameters), declaresKeyHeader(described.Parameters):
		operation.Effect = IdempotentWithKey
	}
	extension := func(name string) (string, bool, error) {
		value, found := described.Extensions[name]
		text, isText := value.(string)
		if found && !isText {
			return "", true, fmt.Errorf("%s.%s: expected a string, got %v of type %T", location, name, value, value)
		}
		return text, found, nil
	}
	err := operation.applyExtensions(location, described.Tags, extension)
	return operation, err
}

// isSafeMethod reports whether an HTTP method is safe as defined by RFC 9110.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// declaresKeyHeader reports whether the given parameters include the Idempotency-Key header.
func declaresKeyHeader(parameters openapi3.Parameters) bool {
	return slices.ContainsFunc(parameters, func(parameter *openapi3.ParameterRef) bool {
		value := parameter.Value
		return value != nil && value.In == openapi3.ParameterInHeader && strings.EqualFold(value.Name, idempotencyKeyHeader)
	})
}
