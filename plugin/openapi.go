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

// OpenAPI reads an OpenAPI 3 document, in JSON or YAML, whose operations have one of classes.
// An operation is Idempotent if its HTTP method is safe, IdempotentWithKey if it declares an
// Idempotency-Key header, and NonIdempotent otherwise; the extension x-garnetline-effect
// (safe, keyed or unsafe) overrides that. An error names the place in the document.
func OpenAPI(doc []byte, classes []string) (Operations, error) {
	document, err := openapi3.NewLoader().LoadFromData(doc)
	if err != nil {
		return nil, fmt.Errorf("openapi: %w", err)
	}
	if err := document.Validate(context.Background()); err != nil {
		return nil, fmt.Errorf("openapi: %w", err)
	}
	operations := Operations{}
	paths := document.Paths.Map()
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		byMethod := paths[path].Operations()
		for _, method := range slices.Sorted(maps.Keys(byMethod)) {
			place := fmt.Sprintf("openapi: paths.%s.%s", path, strings.ToLower(method))
			operation, err := openAPIOperation(place, method, paths[path], byMethod[method])
			if err != nil {
				return nil, err
			}
			if err := operations.add(place, operation, classes); err != nil {
				return nil, err
			}
		}
	}
	return operations, nil
}

// openAPIOperation returns the operation of an HTTP method of a path.
func openAPIOperation(place, method string, path *openapi3.PathItem, described *openapi3.Operation) (Operation, error) {
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
			return "", true, fmt.Errorf("%s.%s: not a text", place, name)
		}
		return text, found, nil
	}
	err := operation.applyExtensions(place, described.Tags, extension)
	return operation, err
}

// isSafeMethod reports whether an HTTP method is safe in the sense of RFC 9110.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// declaresKeyHeader reports whether parameters have the header of an idempotency key.
func declaresKeyHeader(parameters openapi3.Parameters) bool {
	return slices.ContainsFunc(parameters, func(parameter *openapi3.ParameterRef) bool {
		value := parameter.Value
		return value != nil && value.In == openapi3.ParameterInHeader && strings.EqualFold(value.Name, idempotencyKeyHeader)
	})
}
