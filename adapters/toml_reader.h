#ifndef ADAPTERS_TOML_READER_H
#define ADAPTERS_TOML_READER_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Reads TOML as a flat list of keys in the order of the file, and converts TOML
 * to JSON. The parser is toml++; none of its exceptions leaves this module.
 */

enum toml_type {
	TOML_SECTION, /* the section itself; key is "" */
	TOML_STRING,
	TOML_INTEGER,
	TOML_FLOAT,
	TOML_BOOLEAN,
	TOML_STRING_LIST,
	TOML_OTHER /* a type that no setting uses */
};

struct toml_entry {
	char *section; /* "" before the first section */
	char *key;
	int32_t line;
	enum toml_type type;
	char *string;
	char **strings; /* NULL-terminated */
	int64_t integer;
	double real;
	bool boolean;
};

GPtrArray *toml_reader_load(const char *path, struct error *error);
char *toml_reader_to_json(const char *text, struct error *error);
int32_t toml_reader_line_of(const char *text, const char *path);

G_END_DECLS

#endif
