#ifndef CORE_GATEWAY_ANSWER_LIMIT_H
#define CORE_GATEWAY_ANSWER_LIMIT_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits the body of one answer. An endpoint in trouble may send bytes until
 * its peer closes; without a limit they are passed on for the whole time of the
 * route.
 */
struct answer_limit {
	int64_t max;	  /* bytes; 0: not limited */
	int64_t received; /* bytes of the body so far, or as its head states */
};

enum answer_size {
	ANSWER_SIZE_OK,
	ANSWER_TOO_LARGE_AT_HEAD, /* the head states it */
	ANSWER_TOO_LARGE_MIDWAY	  /* more bytes have arrived */
};

void answer_limit_init(struct answer_limit *limit, int64_t max);
enum answer_size answer_limit_check_head(struct answer_limit *limit,
					 int64_t stated);
enum answer_size answer_limit_add(struct answer_limit *limit, int64_t bytes);

G_END_DECLS

#endif
