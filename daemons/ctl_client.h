#ifndef DAEMONS_CTL_CLIENT_H
#define DAEMONS_CTL_CLIENT_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One blocking call to a node's HTTP API. */
struct ctl_call {
	const char *address;
	const char *method;
	const char *path;
	const char *key;	   /* NULL: none */
	const char *operator_name; /* NULL: none */
	const char *body;	   /* NULL: none */
	uint32_t timeout_s;
};

struct ctl_answer {
	int32_t status; /* HTTP status */
	char *body;
	bool sent; /* the node may have received the call */
};

bool ctl_client_call(const struct ctl_call *call, struct ctl_answer *answer,
		     struct error *error);
void ctl_answer_clear(struct ctl_answer *answer);

G_END_DECLS

#endif
