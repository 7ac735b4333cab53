#ifndef CORE_ONCE_REQUEST_ID_H
#define CORE_ONCE_REQUEST_ID_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A request id that a caller built on the prefix in the answer to GET
 * /v1/nodes. It consists of the issuer, its incarnation, the time of issue on
 * the issuer's clock, and the caller's own part. Only that incarnation of the
 * issuer ever sends a request with this id to an endpoint.
 */
struct request_id {
	char issuer[64]; /* name of the node */
	uint64_t incarnation;
	int64_t issued_us;
};

char *request_id_format_prefix(const char *issuer, uint64_t incarnation,
			       int64_t issued_us);
bool request_id_parse(struct request_id *id, const char *text);

G_END_DECLS

#endif
