package fielderror

import (
	"errors"
	"io"
	"testing"
)

func TestErrorNamesFieldAndCause(t *testing.T) {
	for want, err := range map[string]error{
		`listen: want a port: EOF`:      Errorf("listen", "want a port: %w", io.EOF),
		`class "a b": named twice: EOF`: LabeledErrorf("class", "a b", "named twice: %w", io.EOF),
		`collector: url: none: EOF`:     Errorf("collector", "%w", Errorf("url", "none: %w", io.EOF)),
	} {
		if err.Error() != want {
			t.Errorf("got %q, want %q", err, want)
		}
		if !errors.Is(err, io.EOF) {
			t.Errorf("%q does not wrap its cause", err)
		}
	}
}
