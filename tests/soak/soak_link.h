#ifndef TESTS_SOAK_SOAK_LINK_H
#define TESTS_SOAK_SOAK_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How a proxied link treats the bytes it carries. Forward is the direction from
 * the connecting side to the listening side.
 */
enum soak_link_kind {
	SOAK_LINK_NORMAL,
	SOAK_LINK_DELAY,       /* each byte is delayed by delay_us */
	SOAK_LINK_RESET,       /* open and new connections are reset */
	SOAK_LINK_CUT_FORWARD, /* held until the link is normal again */
	SOAK_LINK_CUT_BACKWARD,
	SOAK_LINK_CUT_BOTH,
	SOAK_LINK_SILENT,	/* open connections never carry data again */
	SOAK_LINK_TRICKLE,	/* one byte per delay_us */
	SOAK_LINK_UNSOLICITED,	/* an unsolicited answer after delay_us idle */
	SOAK_LINK_HOLD_ANSWERS, /* answers are held until the link is normal */
	SOAK_LINK_KINDS
};

struct soak_link {
	enum soak_link_kind kind;
	int64_t delay_us;
};

const char *soak_link_kind_name(enum soak_link_kind kind);
bool soak_link_kind_parse(const char *name, enum soak_link_kind *kind);
bool soak_link_holds_forward(const struct soak_link *link);
bool soak_link_holds_back(const struct soak_link *link);

G_END_DECLS

#endif
