#!/usr/bin/env bash
# Runs the tests of a module, but for those that KNOWN-RED.txt at its root names: each line of it is
#
#     PACKAGE TEST | CAUSE | ISSUE
#
# with a test of a real fault that is not mended yet, why it fails and the issue it belongs
# to. At most three may be listed. They are printed, passed over by their exact names, and run
# by themselves: one that passes, or is not there, fails the run so that its line goes.
# All arguments go to go test.
set -euo pipefail
file=KNOWN-RED.txt
form='^([A-Za-z0-9_./-]+) (Test[A-Za-z0-9_/]*) \| ([^|]*[^| ][^|]*) \| ([0-9]+)$'

fail() {
	echo "$file: $*" >&2
	exit 1
}

packages=() tests=()
if [ -e "$file" ]; then
	while IFS= read -r line || [ -n "$line" ]; do
		[[ $line =~ $form ]] || fail "malformed line: $line"
		packages+=("${BASH_REMATCH[1]}") tests+=("${BASH_REMATCH[2]}")
		[ "${#tests[@]}" -le 3 ] || fail "more than three lines"
		echo "passed over: ${BASH_REMATCH[1]} ${BASH_REMATCH[2]}: ${BASH_REMATCH[3]} (issue ${BASH_REMATCH[4]})"
	done <"$file"
fi

# exact makes the pattern of go test that matches one test, and no other.
exact() { sed 's,[^/]*,^&$,g' <<<"$1"; }

# Each package is tested once: those without a listed test together, the others without theirs.
all=$(go list ./...)
plain=$all
for p in "${packages[@]:-}"; do
	[ -n "$p" ] || continue
	grep -qxF "$p" <<<"$all" || fail "no such package: $p"
	plain=$(grep -vxF "$p" <<<"$plain" || true)
done
[ -z "$plain" ] || go test "$@" $plain
for p in $(printf '%s\n' "${packages[@]:-}" | sort -u); do
	skip=""
	for i in "${!packages[@]}"; do
		[ "${packages[$i]}" != "$p" ] || skip+="${skip:+|}$(exact "${tests[$i]}")"
	done
	go test "$@" -skip "$skip" "$p"
done

# A listed test has to fail still: by itself, with a word that it ran.
for i in "${!tests[@]}"; do
	if out=$(go test "$@" -count=1 -v -run "$(exact "${tests[$i]}")" "${packages[$i]}" 2>&1); then
		fail "${packages[$i]} ${tests[$i]}: $(grep -q -- "--- PASS: ${tests[$i]} " <<<"$out" && echo passes again || echo no such test), take its line out"
	fi
	grep -q -- "--- FAIL: ${tests[$i]} " <<<"$out" || fail "${packages[$i]} ${tests[$i]}: did not run: $(tail -n 1 <<<"$out")"
done
