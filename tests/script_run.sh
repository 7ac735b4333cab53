# Sourced by sh scripts that test a script of bench/: a folder of its own, and
# what a run printed. The script sets name to that of the script it tests.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
trap 'exit 1' HUP INT TERM
failed=0

fail() { # MESSAGE
	echo "$name: $1"
	failed=1
}

# Runs the script, with standard input from $folder/in.
run() { # ARGUMENT...
	code=0
	"bench/$name" "$@" <"$folder/in" >"$folder/out" 2>"$folder/err" ||
		code=$?
}

expect() { # STATUS ERROR_TEXT NAME
	[ "$code" = "$1" ] || fail "$3: status $code instead of $1"
	if [ -z "$2" ]; then
		[ ! -s "$folder/err" ] || fail "$3: $(cat "$folder/err")"
	else
		grep -q -e "$2" "$folder/err" ||
			fail "$3: no \"$2\" in: $(cat "$folder/err")"
	fi
}
