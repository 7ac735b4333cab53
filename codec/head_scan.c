#include "codec/head_scan.h"

#include <string.h>

/* Keeps a byte of the first line if it may be of its version. */
static void head_scan_keep(struct head_scan *scan, char c)
{
	const size_t most = sizeof(scan->version);

	if (scan->version_size < most) {
		scan->version[scan->version_size++] = c;
		return;
	}
	if (!scan->is_request)
		return;
	memmove(scan->version, scan->version + 1, most - 1);
	scan->version[most - 1] = c;
}

/* Whether the first line, which has ended, names HTTP/1. */
static bool head_scan_has_version(const struct head_scan *scan)
{
	const char *at = scan->version + (scan->is_request ? 1 : 0);
	char blank = scan->version[scan->is_request ? 0 : 8];

	return scan->version_size == sizeof(scan->version) && blank == ' ' &&
	       memcmp(at, "HTTP/1.", 7) == 0 && g_ascii_isdigit(at[7]);
}

static enum head_scan_state head_scan_end_first(const struct head_scan *scan)
{
	return head_scan_has_version(scan) ? HEAD_SCAN_START
					   : HEAD_SCAN_INVALID;
}

static enum head_scan_state head_scan_next(struct head_scan *scan, char c)
{
	if (g_ascii_iscntrl(c) && c != '\t' && c != '\r' && c != '\n')
		return HEAD_SCAN_INVALID;
	switch (scan->state) {
	case HEAD_SCAN_BEFORE:
		if (c == '\n')
			return HEAD_SCAN_BEFORE;
		if (c == '\r')
			return HEAD_SCAN_BEFORE_CR;
		head_scan_keep(scan, c);
		return HEAD_SCAN_FIRST;
	case HEAD_SCAN_BEFORE_CR:
		return c == '\n' ? HEAD_SCAN_BEFORE : HEAD_SCAN_INVALID;
	case HEAD_SCAN_FIRST:
		if (c == '\n')
			return head_scan_end_first(scan);
		if (c == '\r')
			return HEAD_SCAN_FIRST_CR;
		head_scan_keep(scan, c);
		return HEAD_SCAN_FIRST;
	case HEAD_SCAN_FIRST_CR:
		return c == '\n' ? head_scan_end_first(scan)
				 : HEAD_SCAN_INVALID;
	case HEAD_SCAN_START:
		if (c == '\n')
			return HEAD_SCAN_DONE;
		return c == '\r' ? HEAD_SCAN_LAST_CR : HEAD_SCAN_FIELD;
	case HEAD_SCAN_FIELD:
		if (c == '\n')
			return HEAD_SCAN_START;
		return c == '\r' ? HEAD_SCAN_FIELD_CR : HEAD_SCAN_FIELD;
	case HEAD_SCAN_FIELD_CR:
		return c == '\n' ? HEAD_SCAN_START : HEAD_SCAN_INVALID;
	case HEAD_SCAN_LAST_CR:
		return c == '\n' ? HEAD_SCAN_DONE : HEAD_SCAN_INVALID;
	case HEAD_SCAN_DONE:
	case HEAD_SCAN_INVALID:
		break;
	}
	return scan->state;
}

/* Reads the bytes up to the end of the head. Returns false for an invalid one.
 */
bool head_scan_read(struct head_scan *scan, const char *bytes, size_t size)
{
	for (size_t i = 0; i < size && scan->state < HEAD_SCAN_DONE; i++)
		scan->state = head_scan_next(scan, bytes[i]);
	return scan->state != HEAD_SCAN_INVALID;
}
