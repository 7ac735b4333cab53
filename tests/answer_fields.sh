#!/bin/sh
# Compares the tables under "What an endpoint says" in docs/PLATFORM.md with the
# code, so that no field of an answer is read by nobody without a reason.
#
# A row: | `WORD` ... | readers, or "not read" | effect, or the reason | other
# channels |. A reader is `FILE.c:FUNCTION`, whose body must contain WORD as a
# string or status, also as a macro; with "by `CODE`" it must contain CODE
# instead, macros replaced. Conversely each string or status in a function of
# platform/ that reads what endpoints, callers, operators or the store say must
# stand in a row with that function.
set -eu
cd "$(dirname "$0")/.."
page=docs/PLATFORM.md
status=0

# Prints a line for each function: FILE:FUNCTION, a tab, its body without
# comments and with the values of macros.
list_functions() { # FILE...
	awk '
	function expand(text,    out, name) {
		while (match(text, /[A-Z][A-Z0-9_]+/)) {
			name = substr(text, RSTART, RLENGTH)
			out = out substr(text, 1, RSTART - 1) \
				(name in local ? local[name] : \
				name in shared ? shared[name] : name)
			text = substr(text, RSTART + RLENGTH)
		}
		return out text
	}
	function strip(line,    out, at) {
		for (;;) {
			if (in_comment) {
				at = index(line, "*/")
				if (!at)
					return out
				line = substr(line, at + 2)
				in_comment = 0
			}
			at = index(line, "/*")
			if (!at)
				return out line
			out = out substr(line, 1, at - 1)
			line = substr(line, at + 2)
			in_comment = 1
		}
	}
	FNR == 1 {
		header = body = ""
		in_body = in_comment = 0
		split("", local)
	}
	{ line = strip($0) }
	line ~ /^#define [A-Z0-9_]+ ("|[0-9])/ {
		split(line, part, " ")
		if (FILENAME ~ /names\.h$/)
			shared[part[2]] = part[3]
		else
			local[part[2]] = part[3]
	}
	line ~ /^#/ { next }
	line ~ /^}/ {
		if (in_body && match(header, /[A-Za-z0-9_]+\(/))
			print FILENAME ":" \
				substr(header, RSTART, RLENGTH - 1) "\t" \
				expand(body)
		header = body = ""
		in_body = 0
		next
	}
	line ~ /^{/ { in_body = 1; next }
	in_body {
		gsub(/^[ \t]+/, "", line)
		gsub(/\t/, " ", line)
		body = body " " line
		next
	}
	line ~ /;$/ || line == "" { header = ""; next }
	{ header = header " " line }
	' platform/names.h "$@"
}

check_rows() {
	list_functions $(find platform adapters core daemons -name '*.c') |
		awk -v page="$page" '
	function fail(text) {
		print page ": " text
		failed = 1
	}
	function holds(body, word) {
		if (word ~ /^[1-5][0-9][0-9]$/)
			return (" " body " ") ~ ("[^0-9]" word "[^0-9]")
		return index(body, "\"" word "\"") > 0
	}
	# Functions of platform/ that read what endpoints, callers, the store and
	# operators say.
	function is_reader(path, name) {
		return path ~ /^platform\// &&
			name !~ /^(write|add|append|create)_/ &&
			name !~ /^is_.*_request$/
	}
	function note_words(key, body,    word) {
		while (match(body, /"[A-Za-z][A-Za-z0-9_-]*"|(status [=!<>]+|case) [1-5][0-9][0-9]/)) {
			word = substr(body, RSTART, RLENGTH)
			body = substr(body, RSTART + RLENGTH)
			gsub(/"|^.* /, "", word)
			words[key, word] = 1
		}
	}
	FILENAME == "-" {
		split($0, part, "\t")
		path = part[1]
		sub(/:.*/, "", path)
		key = part[1]
		sub(/^.*\//, "", key)
		bodies[key] = part[2]
		if (is_reader(path, substr(key, index(key, ":") + 1)))
			note_words(key, part[2])
		next
	}
	/^## / { in_section = /^## What an endpoint says/ }
	!in_section || !/^\| `/ { next }
	{
		count = split($0, cell, / *\| */)
		rows++
		if (count != 6 || cell[2] == "" || cell[3] == "" ||
		    cell[4] == "" || cell[5] == "") {
			fail("row without four cells: " $0)
			next
		}
		# The words of the row.
		split("", said)
		text = cell[2]
		while (match(text, /`[^`]+`/)) {
			said[substr(text, RSTART + 1, RLENGTH - 2)] = 0
			text = substr(text, RSTART + RLENGTH)
		}
	}
	cell[3] == "not read" {
		if (length(cell[4]) < 10)
			fail("no reason: " $0)
		for (word in said)
			unread[word] = 1
		next
	}
	{
		text = cell[3]
		readers = 0
		while (match(text, /`[a-z_]+\.c:[a-z_0-9]+`( by `[^`]+`)?/)) {
			reader = substr(text, RSTART, RLENGTH)
			text = substr(text, RSTART + RLENGTH)
			readers++
			split(reader, part, "`")
			key = part[2]
			code = part[4]
			if (!(key in bodies)) {
				fail("no function " key)
				continue
			}
			if (code != "" && !index(bodies[key], code))
				fail(key " does not contain " code)
			found = code != ""
			for (word in said) {
				listed[key, word] = 1
				if (code != "" || holds(bodies[key], word))
					said[word] = found = 1
			}
			if (!found)
				fail(key " does not read: " cell[2])
		}
		if (!readers)
			fail("no reader and not \"not read\": " $0)
		for (word in said)
			if (!said[word])
				fail("no reader reads " word ": " $0)
	}
	END {
		for (pair in words) {
			split(pair, part, SUBSEP)
			count_words++
			if (!(pair in listed))
				fail("no row for " part[2] " with " part[1])
			if (part[2] in unread && part[2] ~ /^[A-Z].*-/)
				fail(part[2] " is not read, and read by " part[1])
		}
		if (!rows || !count_words)
			fail("no rows, or nothing read in platform/")
		printf "fields: %d rows, %d words read in platform/\n", rows,
			count_words
		exit failed
	}' - "$page"
}

# Prints the members of a struct.
list_members() { # STRUCT HEADER
	sed -n "/^struct $1 {/,/^}/p" "$2" | sed 's|/\*.*||' |
		sed -n 's/^.*[ *]\([a-z_]*\);.*/\1/p'
}

# Prints the names of variables and members of this type, joined by "|".
list_variables() { # STRUCT FILE...
	struct=$1
	shift
	grep -hoE "struct $struct \*?[a-z_]+[^a-z_(]" "$@" |
		sed 's/.$//; s/.*[ *]//' | sort -u | paste -sd'|'
}

# Every member is set in platform/ and read outside: code that only copies or
# forwards a struct does not read it.
check_members() { # STRUCT HEADER
	outside=$(find adapters core daemons -name '*.[ch]' |
		grep -v -e "^$2\$" -e '^core/message/')
	setters=$(list_variables "$1" platform/*.c)
	readers=$(list_variables "$1" $outside)
	for member in $(list_members "$1" "$2"); do
		if ! grep -qE "(^|[^a-z_])($setters)->$member =|&($setters)->$member($|[^a-z_])" \
			platform/*.c; then
			echo "$1.$member is not set in platform/"
			status=1
		fi
		if ! grep -hE "(^|[^a-z_])($readers)(->|\.)$member($|[^a-z_])" $outside |
			grep -qvE "($readers)(->|\.)$member = "; then
			echo "$1.$member is not read outside platform/"
			status=1
		fi
	done
}

check_rows || status=1
check_members endpoint_answer adapters/gateway/dialect.h
check_members move_answer adapters/gateway/dialect.h
check_members registration ports/registration.h
exit "$status"
