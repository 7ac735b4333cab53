#include "core/base/error.h"

#include <stdarg.h>

/*
 * Fills an error. A NULL error is allowed: the caller did not want the
 * details. step must be a static string; peer and the text are cut to fit.
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

/* Makes an error say that nothing went wrong. */
void error_clear(struct error *error)
{
	if (!error)
		return;
	error->code = ERROR_NONE;
	error->step = "";
	error->peer[0] = '\0';
	error->detail[0] = '\0';
}

/* Name of a code as it stands in logs and answers. */
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
