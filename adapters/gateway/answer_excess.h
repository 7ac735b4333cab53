#ifndef ADAPTERS_GATEWAY_ANSWER_EXCESS_H
#define ADAPTERS_GATEWAY_ANSWER_EXCESS_H

#include "adapters/log.h"
#include "core/base/counters.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Bounds the answer to a copy or a report: a JSON object of less than 1 KB. It
 * holds whether or not answers to callers are limited, since the gateway keeps
 * these bodies in memory.
 */
#define MAX_OWN_ANSWER_BYTES (64 * 1024)

/*
 * Bounds one answer of the store. A page holds about 1 MB and may go over that
 * by one value of 1 MB, which takes a third more in base64.
 */
#define MAX_STORE_ANSWER_BYTES (8 * 1024 * 1024)

/* An answer that is larger than allowed. */
struct answer_excess {
	const char *call;      /* "request", "relay", "move" or "report" */
	const char *request;   /* its id; "": none */
	const char *peer_kind; /* "endpoint" or "node" */
	const char *peer;
	int64_t bytes; /* of the body so far, or as its head states */
	int64_t limit;
};

void answer_excess_report(const struct answer_excess *excess, struct log *log,
			  struct counters *counters);

G_END_DECLS

#endif
