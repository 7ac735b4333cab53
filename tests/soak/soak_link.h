#ifndef TESTS_SOAK_SOAK_LINK_H
#define TESTS_SOAK_SOAK_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What a link between two parties does to their bytes. Forward is from the
 * party that connects to the one that listens.
 */
enum soak_link_kind {
	SOAK_LINK_SOUND,
	SOAK_LINK_DELAY,       /* each byte is later by delay_us */
	SOAK_LINK_RESET,       /* open and new connections are reset */
	SOAK_LINK_CUT_FORWARD, /* held back until the link is sound again */
	SOAK_LINK_CUT_BACK,
	SOAK_LINK_CUT_BOTH,
	SOAK_LINK_SILENT,  /* what is open now passes nothing, for good */
	SOAK_LINK_TRICKLE, /* a byte each delay_us */
	SOAK_LINK_EXTRA,   /* after delay_us of rest, an answer nobody asked */
	SOAK_LINK_HOLD,	   /* answers wait until the link is sound again */
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
