#include "adapters/log.h"

#include "adapters/log_output.h"

#include <log4c.h>
#include <log4c/layout.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MAX_VALUE_BYTES 512
#define MAX_LINE_BYTES 4096

/*
 * About 1,500 lines: the output of a healthy node in some minutes, or of a
 * faulty one in a second.
 */
#define MAX_BUFFERED_BYTES (256 * 1024)

struct log {
	char *node_name;
	enum log_level min_level;
	log4c_category_t *category;
	log4c_appender_t *appender;
	log4c_layout_t *layout;
	struct log_output *output;
};

static const struct {
	const char *name;
	int priority;
} levels[] = {
	[LOG_LEVEL_INFO] = {"info", LOG4C_PRIORITY_INFO},
	[LOG_LEVEL_WARN] = {"warn", LOG4C_PRIORITY_WARN},
	[LOG_LEVEL_ERROR] = {"error", LOG4C_PRIORITY_ERROR},
};

/* Writes each line in one call, so that lines of two processes do not mix. */
static int log_append(log4c_appender_t *appender,
		      const log4c_logging_event_t *event)
{
	const char *line = event->evt_rendered_msg;

	log_output_write(log4c_appender_get_udata(appender), line,
			 strlen(line));
	return 0;
}

/* Returns the message, which is the complete line already. */
static const char *log_layout(const log4c_layout_t *layout,
			      const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static const log4c_appender_type_t appender_type = {
	.name = "siskinlink_stdout",
	.append = log_append,
};

static const log4c_layout_type_t layout_type = {
	.name = "siskinlink_line",
	.format = log_layout,
};

static bool log_value_is_plain(const char *value)
{
	if (!*value)
		return false;
	for (const char *p = value; *p; p++) {
		if (!g_ascii_isgraph(*p) || strchr("\"\\=", *p))
			return false;
	}
	return true;
}

static void log_append_escaped(GString *line, unsigned char c)
{
	switch (c) {
	case '"':
	case '\\':
		g_string_append_c(line, '\\');
		g_string_append_c(line, (char)c);
		break;
	case '\n':
		g_string_append(line, "\\n");
		break;
	case '\r':
		g_string_append(line, "\\r");
		break;
	case '\t':
		g_string_append(line, "\\t");
		break;
	default:
		if (g_ascii_isprint((char)c))
			g_string_append_c(line, (char)c);
		else
			g_string_append_printf(line, "\\x%02x", c);
	}
}

/*
 * Appends a value, quoted and escaped where needed. A caller's text may contain
 * a newline, a quote or a terminal control sequence, which would look like
 * further lines or fields. Quotes, backslashes and everything but printable
 * ASCII are escaped, so a value cannot end its own quotes.
 */
static void log_append_value(GString *line, const char *value)
{
	size_t length = strlen(value);

	if (length <= MAX_VALUE_BYTES && log_value_is_plain(value)) {
		g_string_append(line, value);
		return;
	}
	g_string_append_c(line, '"');
	for (size_t i = 0; i < MIN(length, MAX_VALUE_BYTES); i++)
		log_append_escaped(line, (unsigned char)value[i]);
	if (length > MAX_VALUE_BYTES)
		g_string_append(line, "...");
	g_string_append_c(line, '"');
}

static void log_append_key(GString *line, const char *key)
{
	g_string_append_c(line, ' ');
	if (!*key)
		g_string_append_c(line, '_');
	for (const char *p = key; *p && p < key + MAX_VALUE_BYTES; p++) {
		bool valid = g_ascii_isalnum(*p) || strchr("_.-", *p);

		g_string_append_c(line, valid ? *p : '_');
	}
}

/*
 * Formats an event and its fields as key=value pairs, without time, level and
 * node. fields alternates keys and values (char *); a last key without a value
 * gets an empty one. A field that would make the line longer than 4,096 bytes
 * is omitted with all fields after it, and "cut=true" is appended. The caller
 * frees the line.
 */
char *log_format(const char *event, const GPtrArray *fields)
{
	GString *line = g_string_new("event=");

	log_append_value(line, event);
	for (guint i = 0; fields && i < fields->len; i += 2) {
		const char *value = "";
		size_t length = line->len;

		if (i + 1 < fields->len)
			value = g_ptr_array_index(fields, i + 1);
		log_append_key(line, g_ptr_array_index(fields, i));
		g_string_append_c(line, '=');
		log_append_value(line, value ? value : "");
		if (line->len > MAX_LINE_BYTES) {
			g_string_truncate(line, length);
			g_string_append(line, " cut=true");
			break;
		}
	}
	return g_string_free(line, FALSE);
}

/*
 * Creates a log that writes lines of at least the given level to standard
 * output. log4c is configured here and not by its configuration file, so that
 * no file can redirect the log of a node.
 */
struct log *log_create(const char *node_name, enum log_level min_level)
{
	struct log *log = g_new0(struct log, 1);

	log->node_name = g_strdup(node_name);
	log->min_level = min_level;
	log->layout = log4c_layout_new("siskinlink");
	log4c_layout_set_type(log->layout, &layout_type);
	log->appender = log4c_appender_new("siskinlink");
	log->output = log_output_create(STDOUT_FILENO, MAX_BUFFERED_BYTES);
	log4c_appender_set_type(log->appender, &appender_type);
	log4c_appender_set_udata(log->appender, log->output);
	log4c_appender_set_layout(log->appender, log->layout);
	log->category = log4c_category_new("siskinlink");
	log4c_category_set_additivity(log->category, 0);
	log4c_category_set_priority(log->category, levels[min_level].priority);
	log4c_category_set_appender(log->category, log->appender);
	return log;
}

/* Frees the log; NULL is allowed. */
void log_destroy(struct log *log)
{
	if (!log)
		return;
	log4c_category_delete(log->category);
	log4c_appender_delete(log->appender);
	log4c_layout_delete(log->layout);
	log_output_destroy(log->output);
	g_free(log->node_name);
	g_free(log);
}

/* Sets the minimum level; lines below it are not written. */
void log_set_level(struct log *log, enum log_level min_level)
{
	log->min_level = min_level;
	log4c_category_set_priority(log->category, levels[min_level].priority);
}

static void log_write_fields(struct log *log, enum log_level level,
			     const char *event, const GPtrArray *fields)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
	char *text = log_format(event, fields);
	GString *node = g_string_new(NULL);

	log_append_value(node, log->node_name);
	log4c_category_log(log->category, levels[level].priority,
			   "time=%s.%03dZ level=%s node=%s %s\n", time,
			   g_date_time_get_microsecond(now) / 1000,
			   levels[level].name, node->str, text);
	g_string_free(node, TRUE);
	g_free(text);
	g_free(time);
	g_date_time_unref(now);
}

/*
 * Writes one line. The arguments are pairs of key and value strings, terminated
 * by NULL; an empty value is therefore "". A NULL log writes nothing.
 */
void log_write(struct log *log, enum log_level level, const char *event, ...)
{
	GPtrArray *fields;
	const char *text;
	va_list args;

	if (!log || level < log->min_level)
		return;
	fields = g_ptr_array_new();
	va_start(args, event);
	while ((text = va_arg(args, const char *)))
		g_ptr_array_add(fields, (gpointer)text);
	va_end(args);
	log_write_fields(log, level, event, fields);
	g_ptr_array_unref(fields);
}

/* Writes the line of an ACTION_LOG. A NULL log writes nothing. */
void log_write_action(struct log *log, const struct action_log *action)
{
	if (!log || action->level < log->min_level)
		return;
	log_write_fields(log, action->level, action->event, action->fields);
}

/* Writes an error with its step and peer. A NULL log writes nothing. */
void log_write_error(struct log *log, enum log_level level, const char *event,
		     const struct error *error)
{
	log_write(log, level, event, "error", error_code_name(error->code),
		  "step", error->step ? error->step : "", "peer", error->peer,
		  "detail", error->detail, NULL);
}
