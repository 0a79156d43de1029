package plugin_test

import (
	"fmt"

	"garnetline/plugin"
)

// A description tells which operations may be repeated. A write that carries an idempotency key may
// be repeated while the servers remember the key.
func ExampleOpenAPI() {
	operations, err := plugin.OpenAPI([]byte(`
openapi: 3.0.3
info: {title: puzzles, version: "1"}
paths:
  /solutions:
    post:
      operationId: Solve
      x-garnetline-class: solution
      parameters: [{name: Idempotency-Key, in: header, schema: {type: string}}]
      responses: {"200": {description: taken}}
`), []string{"solution"})
	if err != nil {
		fmt.Println(err)
		return
	}
	operation, ok := operations.Find("/puzzles.Solutions/Solve")
	fmt.Println(ok, operation.Class, operation.Effect == plugin.IdempotentWithKey)
	// Output: true solution true
}
