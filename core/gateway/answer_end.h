#ifndef CORE_GATEWAY_ANSWER_END_H
#define CORE_GATEWAY_ANSWER_END_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Whether an answer that has ended by the rules of HTTP is whole. An endpoint
 * that fails closes its connections, which ends an answer that has neither a
 * length nor chunks.
 */

enum answer_end {
	ANSWER_WHOLE,
	ANSWER_CUT_WITHIN_EVENT,
	ANSWER_CUT_BEFORE_EVENT, /* the first one */
	ANSWER_CUT_UNFRAMED,	 /* nodes send no answer that a close ends */
};

struct answer_end_input {
	bool is_from_node;	/* relayed by another node */
	bool is_ended_by_close; /* no length or last chunk ended it */
	bool expects_events;	/* a success that comes in events */
	bool is_within_event;
	bool has_event; /* at least one, complete */
};

enum answer_end answer_end_decide(const struct answer_end_input *input);
const char *answer_end_name(enum answer_end end);

G_END_DECLS

#endif
