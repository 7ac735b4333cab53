#ifndef ADAPTERS_GATEWAY_WAIT_LOG_H
#define ADAPTERS_GATEWAY_WAIT_LOG_H

#include "adapters/log.h"
#include "core/gateway/wait_room.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Whether a request may wait, and what decided. */
struct wait_decision {
	const char *from; /* the node that has the request */
	uint64_t number;  /* of the request at that node; 0: this node's own */
	const char *service;
	const struct wait_request *request;
	struct wait_forecast forecast;
	double reserved_share; /* of all memory, kept free from it */
	bool is_admitted;
};

void wait_log_decision(const struct wait_decision *decision, struct log *log);

G_END_DECLS

#endif
