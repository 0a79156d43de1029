package simproto

import (
	"fmt"
	"strings"
	"testing"

	"garnetline/internal/golden"
)

const (
	// runningInstance holds lines 1 to 3 of a batch in which instance 3 starts.
	runningInstance = "TURN 1\nSELECT 3\nBEGIN 7 telemetry.fields=cpu,x0\n"

	// twoClasses holds the settings of an instance with two classes. It ends with a space, so that
	// a test case can append further settings.
	twoClasses = "classes.count=2 classes.0.name=a classes.1.name=b "
)

// invalidLine returns a batch that sends the given line, as line 4, to a running instance.
func invalidLine(line string) string { return runningInstance + line + "\nEND\n" }

// invalidSettings returns a batch that starts an instance on line 3 with the given path=value pairs.
func invalidSettings(pairs string) string {
	return "TURN 1\nSELECT 3\nBEGIN 7 " + pairs + "\nEND\n"
}

// invalidCatalog returns a batch with a server list that begins on line 2.
func invalidCatalog(lines string) string { return "TURN 1\nCATALOG " + lines + "\nEND\n" }

// invalidInputs holds inputs with one error each. They cover each error text and each limit.
var invalidInputs = []string{
	"END\n",
	"TURN\n",
	"TURN -5\n",
	"TURN 9223372036854776\n",
	"TURN 5 6\n",
	"TURN 5\nEND 6\n",
	"TURN 5\nSELECT 3\n",
	"TURN 5\nSEL",
	"TURN",
	"TURN 5\nWAKEUP 1\nEND\n",
	"TURN 5\nNONSENSE 1\nEND\n",
	"TURN 5\nSELECT 2147483649\nEND\n",
	"TURN 5\nSELECT\nEND\n",
	"TURN 5\nSELECT \nEND\n",
	invalidLine("NONSENSE 1"),
	invalidLine("wakeup 1"),
	invalidLine(""),
	invalidLine("INGRESS 4503599627370496 1 240000 3 0 1 91f03b7c55d20a64 640 0"),
	invalidLine("INGRESS 5 1 240000 3 0 1 91f03b7c55d20a6 640 0"),
	invalidLine("INGRESS 5 1 240000 3 0 1 g1f03b7c55d20a64 640 0"),
	invalidLine("INGRESS 5 1 240000 3 0 1 91f03b7c55d20a64 -1 0"),
	invalidLine("INGRESS 5 1 240000 3 0 1 91f03b7c55d20a64 NaN 0"),
	invalidLine("INGRESS 5 1 240000 3 0 1 91f03b7c55d20a64 Inf 0"),
	invalidLine("INGRESS 5 1 240000 3 0 1 91f03b7c55d20a64 640"),
	invalidLine("INGRESS 5 1  3 0 1 91f03b7c55d20a64 640 0"),
	invalidLine("INGRESS x y z"),
	invalidLine("VERDICT 5 fine 1 - - 5 0 1 -"),
	invalidLine("VERDICT 5 - 1 - - 5 0 1 -"),
	invalidLine("VERDICT 5 served 4294967296 - - 5 0 1 -"),
	invalidLine("VERDICT 5 served 1 - 11 5 0 1 -"),
	invalidLine("VERDICT 5 served 1 - 1 5 0 2 -"),
	invalidLine("VERDICT 5 served 1 - 1 5 0 1 0.5"),
	invalidLine("VERDICT 5 served 1 - 1 5 0 1 0.5,x"),
	invalidLine("VERDICT 5 served 1 - 1 5 0 1 Inf,1"),
	invalidLine("VERDICT 5 served 1 - 1 5 0 1 0.5,1 7"),
	invalidLine("DIRECTORY_UPDATE 4 1 0"),
	invalidLine("DIRECTORY_UPDATE 2 1 9"),
	invalidLine("DIRECTORY_UPDATE 2 1 16"),
	invalidLine("DIRECTORY_UPDATE 3 1"),
	invalidLine("WAKEUP 9223372036854775809"),
	invalidLine("WAKEUP 5 6"),
	invalidLine("OUTDATED 1 99999999999999999999 -"),
	invalidLine("OUTDATED 1 5 zz"),
	invalidLine("LEFT 4503599627370496"),
	invalidLine("FIRST_BYTE 5 300 4294967296 1"),
	invalidLine("PROBED 300 dead 1 -"),
	invalidLine("MEMO 2"),
	invalidLine("TEARDOWN 1"),
	invalidCatalog("16 0"),
	invalidCatalog("0 1"),
	invalidCatalog("0 1\nITEM 1 0 0 0 3 1 -"),
	invalidCatalog("0 1\nITEM 1 0 0 0 1 x -"),
	invalidCatalog("0 1\nITEM 1 0 0 0 1 1"),
	invalidCatalog("0 1\nITEM 1 0 0 0 1 1 - -"),
	"TURN 1\nCATALOG 0 1\n",
	"TURN 1\nCATALOG 0 1\nITEM",
	invalidSettings("zone"),
	invalidSettings("zone=x"),
	invalidSettings("zone=-2"),
	invalidSettings("zone=2147483648"),
	invalidSettings("limits.max_retry_after_us=x"),
	invalidSettings("limits.max_retry_after_us=9223372036854776"),
	invalidSettings("limits.cancel=yes"),
	invalidSettings("rules.fall_multiple=-1"),
	invalidSettings("rules.fall_multiple=Inf"),
	invalidSettings("rules.cold_from=1.5"),
	invalidSettings("family_info.parent_starts_at=2"),
	invalidSettings("family_info.seats_by_zone=1,x"),
	invalidSettings("family_info.second_tier_kind=1 family_info.root_kind=1"),
	invalidSettings("areas=a,b,a"),
	invalidSettings("machine_types=a,b,b"),
	invalidSettings("classes.count=1001"),
	invalidSettings(twoClasses + "classes.1.name=a"),
	invalidSettings(twoClasses + "classes.1.effect=maybe"),
	invalidSettings(twoClasses + "classes.1.group=far"),
	invalidSettings(twoClasses + "family_info.class_write=true"),
	invalidSettings(twoClasses + "family_info.class_write=true,false"),
	invalidSettings(twoClasses + "family_info.class_write=false,x"),
	invalidSettings(twoClasses + "family_info.lifetime_by_class_us=1,2,3"),
	invalidSettings(twoClasses + "family_info.lifetime_by_class_us=1,x"),
	invalidSettings(twoClasses + "family_info.older_by_us=1"),
	invalidSettings(twoClasses + "family_info.older_by_us=x,1"),
}

// TestGoldenErrors checks the text of each error against testdata/errors.txt. Operators see these
// texts in the output of simadapter and in errors of the platform's configuration.
func TestGoldenErrors(t *testing.T) {
	var text strings.Builder
	for _, input := range invalidInputs {
		_, err := readAll(input)
		if err == nil {
			t.Errorf("%q: got no error, want one", input)
			continue
		}
		fmt.Fprintf(&text, "%s\n\t%v\n", strings.TrimSpace(distinctPart(input)), err)
	}
	_, _, err := ParseSettings(map[string]string{"zone": "x"})
	if err == nil {
		t.Error("settings by path: got no error for zone=x, want one")
	}
	fmt.Fprintf(&text, "settings by path: zone=x\n\t%v\n", err)
	golden.Compare(t, "errors.txt", []byte(text.String()))
}

// distinctPart returns an input as a single line for the golden file. It omits the lines of
// runningInstance and the last line of the batch, which many inputs share.
func distinctPart(input string) string {
	input = strings.TrimPrefix(input, runningInstance)
	return strings.ReplaceAll(strings.TrimSuffix(input, "\nEND\n"), "\n", `\n`)
}
