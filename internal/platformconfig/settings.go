package platformconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"garnetline/internal/fielderror"
	"garnetline/internal/simproto"
	"garnetline/routing"
)

// Defaults for connections to servers.
const (
	defaultIdleTimeout    = 15_000.0 // ms
	defaultConnectTimeout = 400.0    // ms
	defaultMaxStreams     = 100
)

// missingValue is the text of a missing value in the simulator's protocol.
const missingValue = "-"

// parseSettings reads the settings from nested JSON. The simulator's protocol has the same
// settings as pairs of path and value, so the JSON is flattened to such pairs and then parsed by
// package simproto.
func (c *Config) parseSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return &FieldError{Field: "settings", Err: errors.New("expected an object with the settings, got none")}
	}
	values, err := flattenSettings(raw)
	if err != nil {
		return &FieldError{Field: "settings", Err: err}
	}
	settings, reportFields, err := simproto.ParseSettings(values)
	if err != nil {
		return fmt.Errorf("settings.%w", err) // the text of err begins with the path
	}
	if _, err := routing.New(settings, 0); err != nil {
		return &FieldError{Field: "settings", Err: err}
	}
	c.Settings = settings
	c.LoadReportFields = reportFields
	c.Zones = strings.Split(values["areas"], ",")
	c.Kinds = strings.Split(values["machine_types"], ",")
	c.Upstream, err = parseUpstream(values)
	return err
}

// parseUpstream reads the settings for connections to servers.
func parseUpstream(values map[string]string) (Upstream, error) {
	upstream := Upstream{IdleTimeout: defaultIdleTimeout, ConnectTimeout: defaultConnectTimeout, MaxStreams: defaultMaxStreams}
	if err := parseMicroseconds(values, "limits.conn_idle_us", &upstream.IdleTimeout); err != nil {
		return upstream, err
	}
	if err := parseMicroseconds(values, "limits.connect_timeout_us", &upstream.ConnectTimeout); err != nil {
		return upstream, err
	}
	if text := values["limits.max_streams"]; text != "" {
		streams, err := strconv.Atoi(text)
		if err != nil || streams < 1 {
			return upstream, fielderror.Errorf("settings.limits.max_streams", "expected a positive integer, got %q", text)
		}
		upstream.MaxStreams = streams
	}
	return upstream, nil
}

// parseMicroseconds converts the value at path from microseconds to milliseconds and stores it in
// *milliseconds. If there is no value at path, *milliseconds stays unchanged.
func parseMicroseconds(values map[string]string, path string, milliseconds *float64) error {
	text := values[path]
	if text == "" {
		return nil
	}
	microseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(microseconds > 0) || math.IsInf(microseconds, 0) {
		return fielderror.Errorf("settings."+path, "expected a finite positive duration in microseconds, got %q", text)
	}
	*milliseconds = microseconds / 1000
	return nil
}

// flattenSettings returns the values of a JSON object by path, formatted as in the simulator's
// protocol.
func flattenSettings(raw json.RawMessage) (map[string]string, error) {
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	values := map[string]string{}
	flatten(values, "", tree)
	return values, nil
}

// flatten adds value and everything nested in it to values. For a list, the entry at path holds
// the scalar elements, separated by commas, and the entry at path.count holds the number of all
// elements.
func flatten(values map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, child := range value {
			flatten(values, strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		scalars := make([]string, 0, len(value))
		for i, element := range value {
			switch element.(type) {
			case map[string]any, []any:
				flatten(values, path+"."+strconv.Itoa(i), element)
			default:
				scalars = append(scalars, formatScalar(element))
			}
		}
		values[path+".count"] = strconv.Itoa(len(value))
		values[path] = strings.Join(scalars, ",")
	default:
		values[path] = formatScalar(value)
	}
}

// formatScalar returns the text of a scalar with "_" for spaces and commas, which separate values
// in the simulator's protocol.
func formatScalar(value any) string {
	if value == nil {
		return missingValue
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(value))
}
