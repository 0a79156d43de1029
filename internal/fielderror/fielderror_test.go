package fielderror

import (
	"errors"
	"io"
	"testing"
)

func TestErrorNamesFieldAndCause(t *testing.T) {
	for want, err := range map[string]error{
		`listen: expected a port: EOF`:      Errorf("listen", "expected a port: %w", io.EOF),
		`class "a b": duplicate name: EOF`:  LabeledErrorf("class", "a b", "duplicate name: %w", io.EOF),
		`collector: url: expected one: EOF`: Errorf("collector", "%w", Errorf("url", "expected one: %w", io.EOF)),
	} {
		if err.Error() != want {
			t.Errorf("got %q, want %q", err, want)
		}
		if !errors.Is(err, io.EOF) {
			t.Errorf("error %q does not wrap its cause", err)
		}
	}
}
