#include "codec/status_line.h"

#define MIN_STATUS 100
#define MIN_FINAL_STATUS 200
#define MAX_STATUS 599
#define STATUS_DIGITS 3
#define STATUS_SWITCHING_PROTOCOLS 101

static bool is_blank(char byte)
{
	return byte == ' ' || byte == '\t';
}

/* No request asks for another protocol, so that 101 answers none. */
static enum status_line_state line_verdict(const struct status_line *line)
{
	bool is_valid = line->status >= MIN_STATUS &&
			line->status <= MAX_STATUS &&
			line->status != STATUS_SWITCHING_PROTOCOLS;

	return is_valid ? STATUS_LINE_VALID : STATUS_LINE_INVALID;
}

static void line_read_digit(struct status_line *line, char byte)
{
	line->state = STATUS_LINE_DIGITS;
	if (!g_ascii_isdigit(byte)) {
		line->state = line_verdict(line);
	} else if (line->digits == STATUS_DIGITS) {
		line->state = STATUS_LINE_INVALID;
	} else {
		line->digits++;
		line->status = line->status * 10 + (byte - '0');
	}
}

static void line_read_byte(struct status_line *line, char byte)
{
	switch (line->state) {
	case STATUS_LINE_VERSION:
		if (is_blank(byte))
			line->state = STATUS_LINE_BLANK;
		return;
	case STATUS_LINE_BLANK:
		if (!is_blank(byte))
			line_read_digit(line, byte);
		return;
	case STATUS_LINE_DIGITS:
		line_read_digit(line, byte);
		return;
	case STATUS_LINE_VALID:
	case STATUS_LINE_INVALID:
		return;
	}
}

/*
 * Reads a piece of the line. Returns how many of its bytes come before the one
 * that ends the status, or that makes it none; size if neither is among them.
 */
size_t status_line_read(struct status_line *line, const char *bytes,
			size_t size)
{
	size_t i = 0;

	while (i < size) {
		line_read_byte(line, bytes[i]);
		if (line->state >= STATUS_LINE_VALID)
			break;
		i++;
	}
	return i;
}

/* Whether the status is valid, and announces another answer. */
bool status_line_is_interim(const struct status_line *line)
{
	return line->state == STATUS_LINE_VALID &&
	       line->status < MIN_FINAL_STATUS;
}
