#ifndef CORE_GATEWAY_ENDPOINT_REST_H
#define CORE_GATEWAY_ENDPOINT_REST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The rest that an endpoint asks one node for when it turns a request of this
 * node away. It is between the two: other nodes go on sending. Fullness orders
 * the choice of endpoints; rest excludes.
 */
struct endpoint_rest {
	int64_t until_us; /* 0: none was asked for */
	bool spare_used;  /* a run that would be lost was taken over there */
};

/* What one answer says about rest. */
enum rest_statement {
	REST_UNSTATED,	/* nothing */
	REST_STATED,	/* rest_us */
	REST_UNREADABLE /* something without a meaning */
};

struct answered_rest {
	enum rest_statement statement;
	int64_t rest_us;
};

bool endpoint_rest_apply(struct endpoint_rest *rest,
			 const struct answered_rest *answer, int64_t now_us);
bool endpoint_rest_is_on(const struct endpoint_rest *rest, int64_t now_us);
int64_t endpoint_rest_left_us(const struct endpoint_rest *rest, int64_t now_us);
bool endpoint_rest_allows_take_over(const struct endpoint_rest *rest,
				    int64_t now_us);
void endpoint_rest_count_take_over(struct endpoint_rest *rest);

G_END_DECLS

#endif
