#ifndef CODEC_HEAD_SCAN_H
#define CODEC_HEAD_SCAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Checks the lines of an HTTP head, whose bytes come in pieces of any size:
 * they end with LF, or CR and LF (RFC 9112, 2.2), hold no control characters
 * but tabs, and the first one names HTTP/1. All else is the parser's.
 */
enum head_scan_state {
	HEAD_SCAN_BEFORE, /* empty lines may precede the first one */
	HEAD_SCAN_BEFORE_CR,
	HEAD_SCAN_FIRST,
	HEAD_SCAN_FIRST_CR,
	HEAD_SCAN_START, /* of a field line, or of the empty one */
	HEAD_SCAN_FIELD,
	HEAD_SCAN_FIELD_CR,
	HEAD_SCAN_LAST_CR,
	HEAD_SCAN_DONE,
	HEAD_SCAN_INVALID
};

/* Zero at the begin of a message, but for its kind. */
struct head_scan {
	bool is_request;
	enum head_scan_state state;
	char version[9]; /* the first bytes of an answer's first line, or the
			    last ones of a request's */
	uint8_t version_size;
};

bool head_scan_read(struct head_scan *scan, const char *bytes, size_t size);

G_END_DECLS

#endif
