#ifndef CORE_LIMIT_ENDPOINT_END_H
#define CORE_LIMIT_ENDPOINT_END_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Decides whether an endpoint that broke off a run has ended. A connection may
 * also break because the endpoint closed it, or on the way. An endpoint that
 * has ended refuses connections, its registration goes or changes, and another
 * one, such as its next start, may answer at its address.
 *
 * A node that is cut off is refused by all endpoints, so a refusal counts only
 * if the node has heard another one since. Where there is no other one, it
 * counts once the endpoint accepts connections again: a cut that heals looks
 * the same, but breaks off a run of the same request hardly twice.
 */
struct endpoint_end_input {
	int64_t lost_us;	/* when it broke off the run */
	int64_t refused_us;	/* last connection that it refused; 0: none */
	int64_t accepted_us;	/* last one that it accepted; 0: none */
	int64_t heard_other_us; /* last bytes of any other endpoint; 0: none */
	bool has_other;		/* there is another endpoint to be heard */
	bool is_replaced;	/* another endpoint answers at its address */
	bool is_registered;	/* its registration is as before the loss */
	int64_t now_us;
};

enum endpoint_end {
	ENDPOINT_END_UNKNOWN, /* to be asked again */
	ENDPOINT_END_CONFIRMED,
	ENDPOINT_END_GIVEN_UP /* no evidence came in time */
};

enum endpoint_end endpoint_end_decide(const struct endpoint_end_input *input);

G_END_DECLS

#endif
