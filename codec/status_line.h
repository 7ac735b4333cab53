#ifndef CODEC_STATUS_LINE_H
#define CODEC_STATUS_LINE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Looks for the status in the first line of an HTTP answer, whose bytes come in
 * pieces of any size. The rest of the line is the parser's.
 */
enum status_line_state {
	STATUS_LINE_VERSION, /* or empty lines before it */
	STATUS_LINE_BLANK,
	STATUS_LINE_DIGITS,
	STATUS_LINE_VALID,
	STATUS_LINE_INVALID
};

struct status_line {
	enum status_line_state state;
	int32_t digits;
	int32_t status; /* so far */
};

size_t status_line_read(struct status_line *line, const char *bytes,
			size_t size);
bool status_line_is_interim(const struct status_line *line);

G_END_DECLS

#endif
