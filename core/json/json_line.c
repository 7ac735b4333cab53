#include "core/json/json_line.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

struct scan {
	const char *at;
	int32_t line;
	int32_t found; /* line of the deepest part of the path so far */
};

static void skip_space(struct scan *scan)
{
	for (; *scan->at && strchr(" \t\r\n,:", *scan->at); scan->at++)
		scan->line += *scan->at == '\n';
}

/* Moves behind a string, whose first character is its quote. */
static void skip_string(struct scan *scan)
{
	for (scan->at++; *scan->at && *scan->at != '"'; scan->at++) {
		if (*scan->at == '\\' && scan->at[1])
			scan->at++;
	}
	if (*scan->at)
		scan->at++;
}

static void scan_value(struct scan *scan, const char *path);

/* Returns what follows a member's name at the begin of a path, or NULL. */
static const char *path_behind_member(const char *path, const char *name,
				      size_t size)
{
	if (!path || strncmp(path, name, size) != 0)
		return NULL;
	path += size;
	if (*path == '.')
		return path + 1;
	return !*path || *path == '[' ? path : NULL;
}

static void scan_object(struct scan *scan, const char *path)
{
	scan->at++;
	for (skip_space(scan); *scan->at == '"'; skip_space(scan)) {
		const char *name = scan->at + 1;
		const char *rest;

		skip_string(scan);
		rest = path_behind_member(path, name,
					  (size_t)(scan->at - name) - 1);
		if (rest)
			scan->found = scan->line;
		skip_space(scan);
		scan_value(scan, rest);
	}
	if (*scan->at)
		scan->at++;
}

/* Returns what follows "[index]" at the begin of a path, or NULL. */
static const char *path_behind_index(const char *path, int64_t index)
{
	char *end;

	if (!path || *path != '[' || strtoll(path + 1, &end, 10) != index ||
	    *end != ']')
		return NULL;
	return end[1] == '.' ? end + 2 : end + 1;
}

static void scan_array(struct scan *scan, const char *path)
{
	int64_t index = 0;

	scan->at++;
	for (skip_space(scan); *scan->at && *scan->at != ']'; index++) {
		const char *rest = path_behind_index(path, index);

		if (rest)
			scan->found = scan->line;
		scan_value(scan, rest);
		skip_space(scan);
	}
	if (*scan->at)
		scan->at++;
}

/* Reads a value; path leads from it to the wanted one, or is NULL. */
static void scan_value(struct scan *scan, const char *path)
{
	switch (*scan->at) {
	case '{':
		scan_object(scan, path);
		break;
	case '[':
		scan_array(scan, path);
		break;
	case '"':
		skip_string(scan);
		break;
	default:
		scan->at += strcspn(scan->at, ",]} \t\r\n");
		break;
	}
}

/*
 * Returns the line, from 1, of the value at a path such as "routes[2].host", or
 * of the part of the path that is there. The text must be valid JSON.
 */
int32_t json_line_of(const char *text, const char *path)
{
	struct scan scan = {.at = text, .line = 1, .found = 1};

	skip_space(&scan);
	scan_value(&scan, path);
	return scan.found;
}
