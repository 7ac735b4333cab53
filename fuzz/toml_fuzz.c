#include "adapters/toml_reader.h"

#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Converts any text to JSON or to an error, and parses the JSON. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	struct error error;
	char *json = toml_reader_to_json(text, &error);

	if (json) {
		JsonParser *parser = json_parser_new();

		json_parser_load_from_data(parser, json, -1, NULL);
		g_object_unref(parser);
	}
	g_free(json);
	g_free(text);
	return 0;
}
