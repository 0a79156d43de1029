package ci

import (
	"regexp"
	"strings"
	"testing"
)

// tuningStory matches words in a comment that tell the origin of a value: the hash of a commit, an
// earlier version, or the lack of a measurement. Such records belong in commit messages and in
// docs/capacity.md.
var tuningStory = regexp.MustCompile(`\b[Cc]ommit [0-9a-f]{7,40}\b|\b[Ii]nherited\b|\b[Nn]ot measured\b`)

// inheritedDescriptor matches the only accepted use of a word that tuningStory matches: for a
// socket or descriptor that a process receives from its parent process.
var inheritedDescriptor = regexp.MustCompile(`\b[Ii]nherited (listening )?(socket|descriptor)s?\b`)

// findTuningStory returns the first tuning story in the text of a comment, or "". It also finds a
// story that contains a line break.
func findTuningStory(comment string) string {
	text := strings.Join(strings.Fields(comment), " ")
	return tuningStory.FindString(inheritedDescriptor.ReplaceAllString(text, ""))
}

func TestCommentsTellNoTuningStories(t *testing.T) {
	checked := 0
	for _, file := range parseModule(t) {
		for _, comment := range file.tree.Comments {
			checked++
			if story := findTuningStory(comment.Text()); story != "" {
				t.Errorf("%s:%d: got a comment that contains %q, want the origin of a value only in the commit message or in docs/capacity.md",
					file.path, file.line(comment.Pos()), story)
			}
		}
	}
	if checked < 1000 {
		t.Errorf("got %d comments, want 1000 or more", checked)
	}
}

func TestFindTuningStory(t *testing.T) {
	for _, test := range []struct{ comment, want string }{
		{"popularThreshold is a number of requests. Inherited, not measured separately.", "Inherited"},
		{"It was 0.1 until commit 866baa7, which records no run.", "commit 866baa7"},
		{"Commit d0bdbb3 introduced it.", "Commit d0bdbb3"},
		{"Other weights were not\nmeasured.", "not measured"},
		{"The value is inherited and an inherited socket is not.", "inherited"},
		{"ListenFD is the descriptor of an inherited\nlistening socket.", ""},
		{"The leader commits the entry 1234567.", ""},
	} {
		if got := findTuningStory(test.comment); got != test.want {
			t.Errorf("findTuningStory(%q): got %q, want %q", test.comment, got, test.want)
		}
	}
}
