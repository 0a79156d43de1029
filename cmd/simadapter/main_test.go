package main

import (
	"bytes"
	"strings"
	"testing"
)

const begin = "TURN 1000000\nCATALOG 0 2\nITEM 11 1 0 0 1 1 -\nITEM 31 0 1 0 1 1 -\nSELECT 3\n" +
	"BEGIN 7 areas=hub,edge zone=1 machine_types=a,parent,origin family_info.second_tier_kind=1 " +
	"family_info.root_kind=2 classes.count=1 classes.0.aim_us=600000 classes.0.deadline_us=6000000 " +
	"family_info.one_flow_kb_per_s=1000 limits.try_limit=6\nDIRECTORY_UPDATE 2 1 0\n"

func TestRun(t *testing.T) {
	in := begin + "INGRESS 5 1 6000000 0 0 0 91f03b7c55d20a64 100 0\nEND\nTURN 1002000\nSELECT 3\nTEARDOWN\nEND\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	want := "BY 3\nSERVE_OR_FILL 5 1 0 7000000 11 31 0\nSCHEDULE 400000 21\nNEXT\nNEXT\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

func TestRunReportsBadInput(t *testing.T) {
	for in, want := range map[string]string{
		begin:           "line 7: field message: input ends inside a batch",
		"TURN x\nEND\n": "line 1: field clock_us",
		"TURN 1\nSELECT 3\nBEGIN 7 areas=a\nEND\n": "instance 3: routing: Classes",
	} {
		if err := run(strings.NewReader(in), &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %s", err, want)
		}
	}
	if err := run(strings.NewReader(""), &bytes.Buffer{}); err != nil {
		t.Errorf("empty input: %v", err)
	}
}
