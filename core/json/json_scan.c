#include "core/json/json_scan.h"

#include <stdbool.h>
#include <string.h>

enum {
	MAX_DEPTH = 32,
	UNIT_DIGITS = 4,
	FIRST_SURROGATE = 0xd800,
	FIRST_LOW_SURROGATE = 0xdc00,
	LAST_SURROGATE = 0xdfff
};

static const char largest_number[] = "9223372036854775807";

/* Whether a character may stand outside of strings, numbers and brackets. */
static bool is_plain(char c)
{
	return c && strchr(" \t\r\n,:truefalsn", c);
}

static size_t skip_digits(const char *text, size_t size, size_t *at)
{
	size_t start = *at;

	while (*at < size && g_ascii_isdigit(text[*at]))
		(*at)++;
	return *at - start;
}

static bool skip_char(const char *text, size_t size, size_t *at,
		      const char *choice)
{
	if (*at >= size || !text[*at] || !strchr(choice, text[*at]))
		return false;
	(*at)++;
	return true;
}

/*
 * Moves at behind a number. Returns false if JSON has no such spelling, or if
 * it is a whole number that does not fit into 64 bits: the parser would read it
 * as some other number, one below -2^64 even as a positive one.
 */
static bool skip_number(const char *text, size_t size, size_t *at)
{
	size_t start, digits;
	bool is_whole = true;

	skip_char(text, size, at, "-");
	start = *at;
	digits = skip_digits(text, size, at);
	if (digits == 0 || (digits > 1 && text[start] == '0'))
		return false;
	if (skip_char(text, size, at, ".")) {
		is_whole = false;
		if (skip_digits(text, size, at) == 0)
			return false;
	}
	if (skip_char(text, size, at, "eE")) {
		is_whole = false;
		skip_char(text, size, at, "+-");
		if (skip_digits(text, size, at) == 0)
			return false;
	}
	return !is_whole || digits < strlen(largest_number) ||
	       (digits == strlen(largest_number) &&
		memcmp(text + start, largest_number, digits) <= 0);
}

/* Reads the four digits of an escaped UTF-16 unit; false if there are none. */
static bool read_unit(const char *text, size_t size, size_t at, gunichar *unit)
{
	*unit = 0;
	if (at + UNIT_DIGITS > size)
		return false;
	for (size_t i = at; i < at + UNIT_DIGITS; i++) {
		if (!g_ascii_isxdigit(text[i]))
			return false;
		*unit = *unit << 4 | (gunichar)g_ascii_xdigit_value(text[i]);
	}
	return true;
}

/*
 * Moves at behind an escape, of which it points to the backslash. Returns false
 * if it stands for no character, or for NUL: the parser would make bytes of it
 * that are not UTF-8, or cut the string short.
 */
static bool skip_escape(const char *text, size_t size, size_t *at)
{
	gunichar unit, second;

	if (*at + 1 >= size || !text[*at + 1] ||
	    !strchr("\"\\/bfnrtu", text[*at + 1]))
		return false;
	if (text[*at + 1] != 'u') {
		*at += 2;
		return true;
	}
	if (!read_unit(text, size, *at + 2, &unit) || unit == 0)
		return false;
	*at += 2 + UNIT_DIGITS;
	if (unit < FIRST_SURROGATE || unit > LAST_SURROGATE)
		return true;
	if (unit >= FIRST_LOW_SURROGATE || *at + 2 > size ||
	    memcmp(text + *at, "\\u", 2) != 0 ||
	    !read_unit(text, size, *at + 2, &second) ||
	    second < FIRST_LOW_SURROGATE || second > LAST_SURROGATE)
		return false;
	*at += 2 + UNIT_DIGITS;
	return true;
}

/*
 * Scans a text of at most about max_values values before it is parsed. Returns
 * NULL, or what was expected, a static string, and sets at to the byte. The
 * parser recurses for each level, so deep nesting would overflow the stack and
 * end the process. It also accepts comments and other extensions, within which
 * brackets would be miscounted, so only plain JSON is allowed outside strings.
 */
const char *json_scan(const char *text, size_t size, int max_values, size_t *at)
{
	static const char byte_order_mark[] = "\xef\xbb\xbf";
	int depth = 0;
	bool in_string = false;
	int values = 0;

	*at = 0;
	if (size >= strlen(byte_order_mark) &&
	    memcmp(text, byte_order_mark, strlen(byte_order_mark)) == 0)
		*at = strlen(byte_order_mark);
	for (; *at < size; (*at)++) {
		char c = text[*at];

		if (c == '\0')
			return "no NUL byte";
		if (in_string) {
			if (c == '"')
				in_string = false;
			if (c != '\\')
				continue;
			if (!skip_escape(text, size, at))
				return "a character of JSON";
			(*at)--;
			continue;
		}
		if (c == '"')
			in_string = true;
		else if (c == '{' || c == '[')
			depth++;
		else if (c == '}' || c == ']')
			depth--;
		else if (c == '-' || g_ascii_isdigit(c)) {
			if (!skip_number(text, size, at))
				return "a number of JSON within 64 bits";
			(*at)--;
		} else if (!is_plain(c))
			return "plain JSON";
		if (depth < 0)
			return "no closing bracket";
		if (depth > MAX_DEPTH)
			return "at most 32 levels";
		values += c == ',' || c == '{' || c == '[';
		if (values > max_values)
			return "fewer values";
	}
	return in_string || depth != 0 ? "a whole JSON text" : NULL;
}

/*
 * Moves at behind a number. A whole one that does not fit into 64 bits is
 * replaced by one that is as large and that the parser reads as a fraction.
 */
static void replace_large_number(char *text, size_t size, size_t *at)
{
	static const char large[] = "9e300";
	size_t start = *at + (text[*at] == '-'), digits;

	if (skip_number(text, size, at))
		return;
	*at = start;
	digits = skip_digits(text, size, at);
	if (digits < strlen(largest_number) ||
	    (*at < size && strchr(".eE", text[*at])))
		return;
	memset(text + start, ' ', digits);
	memcpy(text + start, large, sizeof(large) - 1);
}

/*
 * Returns the text with U+FFFD for what stands for no character in its strings,
 * and with other numbers for those beyond 64 bits, so that one that nobody
 * reads does no harm. A name with U+FFFD and a number of that size are refused
 * where they are read. The caller owns the result.
 */
GBytes *json_scan_replace_invalid(GBytes *document)
{
	bool in_string = false;
	size_t size, at = 0;
	const char *text = g_bytes_get_data(document, &size);
	gunichar unit;
	char *copy;

	if (size == 0)
		return g_bytes_ref(document);
	copy = g_utf8_make_valid(text, (gssize)size);
	size = strlen(copy);
	while (at < size) {
		size_t start = at;

		if (!in_string &&
		    (copy[at] == '-' || g_ascii_isdigit(copy[at]))) {
			replace_large_number(copy, size, &at);
			at += at == start;
			continue;
		}
		if (copy[at] != '\\') {
			in_string ^= copy[at] == '"';
			at++;
			continue;
		}
		if (skip_escape(copy, size, &at))
			continue;
		at = start + 2;
		if (copy[start + 1] == 'u' &&
		    read_unit(copy, size, at, &unit)) {
			memcpy(copy + at, "fffd", UNIT_DIGITS);
			at += UNIT_DIGITS;
		}
	}
	return g_bytes_new_take(copy, size);
}
