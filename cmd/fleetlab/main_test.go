package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// runHelp returns what the program prints for arguments that ask for help.
func runHelp(t *testing.T, arguments ...string) string {
	t.Helper()
	var output bytes.Buffer
	app := newApp()
	app.Writer = &output
	app.ErrWriter = &output
	if err := app.Run(context.Background(), append([]string{"fleetlab"}, arguments...)); err != nil {
		t.Fatalf("fleetlab with arguments %q: %v", arguments, err)
	}
	return output.String()
}

// Renamed commands still work under the names that they had in the previous version.
func TestOldCommandNamesWork(t *testing.T) {
	names := map[string]string{
		"returns":  "recovery-probe",
		"register": "lease-registry",
		"worth":    "load-reporting",
		"members":  "membership",
		"day":      "false-positives",
	}
	for oldName, newName := range names {
		t.Run(oldName, func(t *testing.T) {
			want := strings.ReplaceAll(runHelp(t, newName, "--help"), "fleetlab "+newName, "fleetlab "+oldName)
			got := runHelp(t, oldName, "--help")
			if got != want || !strings.Contains(got, "fleetlab "+oldName+" - ") {
				t.Errorf("got help of %s:\n%s\nwant that of %s:\n%s", oldName, got, newName, want)
			}
		})
	}
	if got, want := len(renamedCommands), len(names); got != want {
		t.Errorf("got %d commands with an old name, want %d", got, want)
	}
}

func TestHelpListsNewNamesOnly(t *testing.T) {
	help := runHelp(t, "--help")
	for _, renamed := range renamedCommands {
		if strings.Contains(help, "\n   "+renamed.oldName+" ") {
			t.Errorf("help lists the old name %s:\n%s", renamed.oldName, help)
		}
		if newName := renamed.newCommand().Name; !strings.Contains(help, "\n   "+newName+" ") {
			t.Errorf("help does not list the new name %s:\n%s", newName, help)
		}
	}
}

func TestUnknownHandoverKindIsRejected(t *testing.T) {
	if _, err := findHandoverKinds([]string{"killed", "burnt"}); err == nil || !strings.Contains(err.Error(), `"burnt"`) {
		t.Errorf("got error %v, want an error that contains the unknown kind \"burnt\"", err)
	}
	kinds, err := findHandoverKinds(handoverKindNames())
	if err != nil || len(kinds) != len(handoverKinds) {
		t.Errorf("got %d kinds and error %v, want all %d and no error", len(kinds), err, len(handoverKinds))
	}
}
