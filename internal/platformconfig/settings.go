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

// Defaults of connections to servers.
const (
	defaultIdleTimeout    = 15_000.0 // ms
	defaultConnectTimeout = 400.0    // ms
	defaultMaxStreams     = 100
)

// absent is how the simulator's protocol writes a value that is not there.
const absent = "-"

// parseSettings reads the settings. They are nested JSON here; the simulator's protocol names
// the same ones by path, and its reader is used for both.
func (c *Config) parseSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return &FieldError{Field: "settings", Err: errors.New("missing")}
	}
	values, err := flattenSettings(raw)
	if err != nil {
		return &FieldError{Field: "settings", Err: err}
	}
	settings, reportFields, err := simproto.ParseSettings(values)
	if err != nil {
		return fmt.Errorf("settings.%w", err) // the error begins with the path
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

// parseUpstream reads what the settings say of connections to servers.
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
			return upstream, fielderror.Errorf("settings.limits.max_streams", "%q is not a number from 1", text)
		}
		upstream.MaxStreams = streams
	}
	return upstream, nil
}

// parseMicroseconds reads the time of a path into milliseconds, if there is one.
func parseMicroseconds(values map[string]string, path string, milliseconds *float64) error {
	text := values[path]
	if text == "" {
		return nil
	}
	microseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(microseconds > 0) || math.IsInf(microseconds, 0) {
		return fielderror.Errorf("settings."+path, "%q is not a time in microseconds", text)
	}
	*milliseconds = microseconds / 1000
	return nil
}

// flattenSettings returns the values of a JSON object by path, in the form of the simulator's
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

// flatten adds a value and all below it. A list stands under its path with its plain
// elements, and under path.count with the number of all.
func flatten(values map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, child := range value {
			flatten(values, strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		plain := make([]string, 0, len(value))
		for i, element := range value {
			switch element.(type) {
			case map[string]any, []any:
				flatten(values, path+"."+strconv.Itoa(i), element)
			default:
				plain = append(plain, formatScalar(element))
			}
		}
		values[path+".count"] = strconv.Itoa(len(value))
		values[path] = strings.Join(plain, ",")
	default:
		values[path] = formatScalar(value)
	}
}

// formatScalar writes a plain value without the characters that separate values.
func formatScalar(value any) string {
	if value == nil {
		return absent
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(value))
}
