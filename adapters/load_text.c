#include "adapters/load_text.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#define LINE_BYTES_MAX 1024
#define VALUE_MAX 9007199254740992.0 /* larger integers are not exact */

struct load_metric {
	const char *name; /* without the prefix */
	size_t offset;	  /* of the int64_t field in struct load_report */
};

static const struct load_metric metrics[] = {
	{"requests_running", offsetof(struct load_report, running)},
	{"requests_waiting", offsetof(struct load_report, waiting)},
	{"tokens_used", offsetof(struct load_report, tokens_used)},
	{"tokens_capacity", offsetof(struct load_report, tokens_capacity)},
	{"preemptions_total", offsetof(struct load_report, preemptions_total)},
	{"report_time_us", offsetof(struct load_report, reported_at_us)},
};

static const char *const prefixes[] = {"engine_", "endpoint_"};

static const char *name_skip_prefix(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(prefixes); i++) {
		if (g_str_has_prefix(name, prefixes[i]))
			return name + strlen(prefixes[i]);
	}
	return NULL;
}

static bool load_fail(struct error *error, const char *what, const char *name)
{
	error_set(error, ERROR_INVALID, "load.parse", NULL, "%s: %s", what,
		  name);
	return false;
}

/* Splits "name{labels} value [time]"; false if the line has another form. */
static bool line_split(char *line, char **name, char **value)
{
	char *at = line + strcspn(line, "{ \t");
	char *rest = at;

	if (*at == '{') {
		rest = strchr(at, '}');
		if (!rest)
			return false;
		rest++;
	}
	*value = rest + strspn(rest, " \t");
	if (*value == rest)
		return false;
	*at = '\0';
	*name = line;
	return **value != '\0';
}

static bool report_set(struct load_report *report, const char *name,
		       int64_t value)
{
	if (g_str_equal(name, "leaving")) {
		report->leaving = value != 0;
		return true;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++) {
		if (g_str_equal(name, metrics[i].name)) {
			int64_t *field =
				(int64_t *)((char *)report + metrics[i].offset);

			*field = value;
			return true;
		}
	}
	return false;
}

/* Metrics with unknown prefixes are skipped without reading their value. */
static bool report_parse_line(struct load_report *report, char *line,
			      int *found, struct error *error)
{
	const char *short_name;
	char *name;
	char *text;
	char *end;
	double value;

	if (!*line || *line == '#')
		return true;
	if (!line_split(line, &name, &text))
		return load_fail(error, "no value", line);
	short_name = name_skip_prefix(name);
	if (!short_name)
		return true;
	value = g_ascii_strtod(text, &end);
	if (end == text || (*end && *end != ' ' && *end != '\t'))
		return load_fail(error, "not a number", name);
	if (!isfinite(value) || value < 0 || value > VALUE_MAX)
		return load_fail(error, "out of range", name);
	if (report_set(report, short_name, (int64_t)value))
		(*found)++;
	return true;
}

/*
 * Parses a load report; missing fields are set to -1. Returns false with
 * ERROR_INVALID if a line is malformed, a value is negative or implausible, or
 * the report has no known metric.
 */
bool load_text_parse(const char *text, size_t length,
		     struct load_report *report, struct error *error)
{
	const char *end = text + length;
	int found = 0;

	memset(report, 0, sizeof(*report));
	for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++)
		report_set(report, metrics[i].name, -1);
	while (text < end) {
		char line[LINE_BYTES_MAX];
		const char *next = memchr(text, '\n', (size_t)(end - text));
		size_t line_length = (size_t)((next ? next : end) - text);

		if (line_length >= sizeof(line))
			return load_fail(error, "line too long", "");
		memcpy(line, text, line_length);
		line[line_length] = '\0';
		g_strchomp(line);
		if (!report_parse_line(report, line, &found, error))
			return false;
		text += line_length + 1;
	}
	return found > 0 || load_fail(error, "no load metric", "");
}
