#ifndef CORE_GATEWAY_ENDPOINT_WORD_H
#define CORE_GATEWAY_ENDPOINT_WORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What nodes tell one another of an endpoint that breaks off what it runs. One
 * that breaks off at once looks empty, and so gets most of what comes; with
 * each node finding out for itself, the requests of all nodes are lost there
 * one after the other.
 *
 * Two nodes must agree, for one may only be cut off from the endpoint itself.
 */
struct endpoint_word {
	uint64_t reporter; /* the last one; 0: none */
	int64_t reported_us;
	int64_t until_us; /* nothing new goes there */
	int64_t aside_us; /* for how long the last time */
};

bool endpoint_word_take(struct endpoint_word *word, uint64_t reporter,
			int64_t now_us);
bool endpoint_word_allows(const struct endpoint_word *word, int64_t now_us);

G_END_DECLS

#endif
