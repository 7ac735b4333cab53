#include "core/base/error.h"

#include <stdarg.h>

/*
 * Fills an error. A NULL error is ignored: the caller does not need the
 * details. step must be a static string; peer and detail are truncated to fit.
 */
void error_set(struct error *error, enum error_code code, const char *step,
	       const char *peer, const char *format, ...)
{
	va_list args;

	if (!error)
		return;
	error->code = code;
	error->step = step;
	g_strlcpy(error->peer, peer ? peer : "", sizeof(error->peer));
	va_start(args, format);
	g_vsnprintf(error->detail, sizeof(error->detail), format, args);
	va_end(args);
}

/* Resets an error to ERROR_NONE. A NULL error is ignored. */
void error_clear(struct error *error)
{
	if (!error)
		return;
	error->code = ERROR_NONE;
	error->step = "";
	error->peer[0] = '\0';
	error->detail[0] = '\0';
}

/* Returns the name of a code in logs and answers, a static string. */
const char *error_code_name(enum error_code code)
{
	switch (code) {
	case ERROR_NONE:
		return "none";
	case ERROR_INVALID:
		return "invalid";
	case ERROR_TOO_LARGE:
		return "too_large";
	case ERROR_UNREACHABLE:
		return "unreachable";
	case ERROR_TIMEOUT:
		return "timeout";
	case ERROR_CLOSED:
		return "closed";
	case ERROR_CONFLICT:
		return "conflict";
	case ERROR_REFUSED:
		return "refused";
	case ERROR_INTERNAL:
		return "internal";
	}
	return "unknown";
}
