package platformconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"garnetline/internal/wire"
	"garnetline/routing"
)

// parseSettings reads the settings, which stand here as nested JSON under the
// names that the simulator's wire gives as paths.
func (c *Config) parseSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return errors.New("settings: missing")
	}
	var tree map[string]any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	m := map[string]string{}
	flatten(m, "", tree)
	s, report, err := wire.ParseSettings(m)
	if err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	if _, err := routing.New(s, 0); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Settings, c.LoadReportFields = s, report
	c.Zones, c.Kinds = strings.Split(m["areas"], ","), strings.Split(m["machine_types"], ",")
	c.Upstream = Upstream{IdleTimeout: 15000, ConnectTimeout: 400, MaxStreams: 100}
	for path, v := range map[string]*float64{"limits.conn_idle_us": &c.Upstream.IdleTimeout, "limits.connect_timeout_us": &c.Upstream.ConnectTimeout} {
		if m[path] == "" {
			continue
		}
		us, err := strconv.ParseFloat(m[path], 64)
		if err != nil || !(us > 0) || math.IsInf(us, 0) {
			return fmt.Errorf("settings.%s: %q is not a time in microseconds", path, m[path])
		}
		*v = us / 1000
	}
	if v := m["limits.max_streams"]; v != "" {
		if c.Upstream.MaxStreams, err = strconv.Atoi(v); err != nil || c.Upstream.MaxStreams < 1 {
			return fmt.Errorf("settings.limits.max_streams: %q is not a number from 1", v)
		}
	}
	return nil
}

// flatten writes a tree as path=value pairs, in the form of the wire.
func flatten(m map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(m, strings.TrimPrefix(path+"."+k, "."), x)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, x := range v {
			switch x.(type) {
			case map[string]any, []any:
				flatten(m, path+"."+strconv.Itoa(i), x)
			default:
				plain = append(plain, formatScalar(x))
			}
		}
		m[path+".count"] = strconv.Itoa(len(v))
		m[path] = strings.Join(plain, ",")
	default:
		m[path] = formatScalar(v)
	}
}

func formatScalar(v any) string {
	if v == nil {
		return "-"
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(v))
}
