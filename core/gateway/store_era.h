#ifndef CORE_GATEWAY_STORE_ERA_H
#define CORE_GATEWAY_STORE_ERA_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The store's era as its answers show it. Zero-initialised: no answer yet. A
 * store that has named its era once names it in every answer.
 */
struct store_era {
	int64_t highest; /* 0: none named so far */
};

enum store_era_verdict {
	STORE_ERA_CURRENT,
	STORE_ERA_RISEN,  /* the store came back from a copy since */
	STORE_ERA_STALE,  /* the answer is from before that */
	STORE_ERA_UNKNOWN /* the answer names no valid era */
};

enum store_era_verdict store_era_note(struct store_era *era, int64_t answered);
const char *store_era_verdict_text(enum store_era_verdict verdict);

G_END_DECLS

#endif
