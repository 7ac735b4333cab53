#ifndef CORE_BASE_ERROR_H
#define CORE_BASE_ERROR_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * An error that is passed up a call chain. It names the step that failed and
 * the peer that the step talked to. Plain data: nothing to free.
 */

enum error_code {
	ERROR_NONE = 0,
	ERROR_INVALID,	   /* malformed or out of range */
	ERROR_TOO_LARGE,   /* over a configured limit */
	ERROR_UNREACHABLE, /* nothing was sent */
	ERROR_TIMEOUT,	   /* sent, no answer in time */
	ERROR_CLOSED,	   /* peer closed before the end */
	ERROR_CONFLICT,	   /* another writer came first */
	ERROR_REFUSED,	   /* peer refused the request */
	ERROR_INTERNAL
};

struct error {
	enum error_code code;
	const char *step; /* static string, such as "kv.txn" */
	char peer[64];	  /* address or name; "" if there is none */
	char detail[192];
};

void error_set(struct error *error, enum error_code code, const char *step,
	       const char *peer, const char *format, ...) G_GNUC_PRINTF(5, 6);
void error_clear(struct error *error);
const char *error_code_name(enum error_code code);

G_END_DECLS

#endif
