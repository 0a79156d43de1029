package ci

import (
	"go/ast"
	"go/token"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// Markers by which documentedTexts finds log and error texts on the on-call page.
const (
	logTextsHeading = "## Log lines that call for action"
	errorTextPrefix = "wal: "
	cutOffMark      = " …" // ends a shortened text, of which the page shows only the beginning
)

// formatVerb matches a verb of the package fmt in a format string that regexp.QuoteMeta has
// escaped.
var formatVerb = regexp.MustCompile(`%[a-z]`)

// sourceTexts returns the string literals of all Go files that are not test files.
func sourceTexts(t *testing.T) []string {
	t.Helper()
	var texts []string
	for _, file := range parseModule(t) {
		if file.isTest() {
			continue
		}
		ast.Inspect(file.tree, func(node ast.Node) bool {
			literal, ok := node.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			text, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatalf("%s:%d: %v", file.path, file.line(literal.Pos()), err)
			}
			texts = append(texts, text)
			return true
		})
	}
	return texts
}

// documentedTexts returns the log and error texts that the on-call page names. It takes the texts
// of several words in the first column of the table of log lines. From the prose around the table,
// it takes the error texts of the voters' logs.
func documentedTexts(t *testing.T) []string {
	t.Helper()
	_, section, found := strings.Cut(strings.Join(readPage(t, "docs/on-call.md"), "\n"), logTextsHeading)
	if !found {
		t.Fatalf("docs/on-call.md: heading %q not found", logTextsHeading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var texts []string
	var prose strings.Builder
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "|") {
			prose.WriteString(strings.TrimSpace(line) + " ") // a text may continue on the next line
			continue
		}
		event, _, _ := strings.Cut(line[1:], "|")
		for _, match := range inlineCode.FindAllStringSubmatch(event, -1) {
			if strings.Contains(match[1], " ") {
				texts = append(texts, match[1])
			}
		}
	}
	for _, match := range inlineCode.FindAllStringSubmatch(prose.String(), -1) {
		if strings.HasPrefix(match[1], errorTextPrefix) {
			texts = append(texts, match[1])
		}
	}
	return texts
}

// produces reports whether a string literal gives a documented text. The literal may be the text
// itself or a format string.
func produces(literal, documented string) bool {
	if beginning, isCut := strings.CutSuffix(documented, cutOffMark); isCut {
		return strings.HasPrefix(literal, beginning)
	}
	if literal == documented {
		return true
	}
	if !strings.HasPrefix(literal, errorTextPrefix) || !formatVerb.MatchString(literal) {
		return false
	}
	pattern := "^" + formatVerb.ReplaceAllString(regexp.QuoteMeta(literal), ".+") + "$"
	return regexp.MustCompile(pattern).MatchString(documented)
}

// The program contains every log and error text that the on-call page tells operators to look for.
func TestOnCallPageLogTextsExist(t *testing.T) {
	literals := sourceTexts(t)
	documented := documentedTexts(t)
	for _, text := range documented {
		found := false
		for _, literal := range literals {
			found = found || produces(literal, text)
		}
		if !found {
			t.Errorf("docs/on-call.md: no string literal of the source produces the text %q", text)
		}
	}
	if len(documented) < 20 {
		t.Errorf("got %d texts on the page, want 20 or more: %q", len(documented), documented)
	}
}
