#include "core/limit/endpoint_end.h"

/* By then the registration of an endpoint that ended has gone or changed. */
#define EVIDENCE_TIMEOUT_US (15 * G_USEC_PER_SEC)

/* Returns what is known so far of an endpoint that broke off a run. */
enum endpoint_end endpoint_end_decide(const struct endpoint_end_input *input)
{
	if (input->is_replaced || !input->is_registered)
		return ENDPOINT_END_CONFIRMED;
	if (input->refused_us > input->lost_us &&
	    input->heard_other_us > input->lost_us)
		return ENDPOINT_END_CONFIRMED;
	if (!input->has_other && input->refused_us > input->lost_us &&
	    input->accepted_us > input->refused_us)
		return ENDPOINT_END_CONFIRMED;
	if (input->now_us - input->lost_us > EVIDENCE_TIMEOUT_US)
		return ENDPOINT_END_GIVEN_UP;
	return ENDPOINT_END_UNKNOWN;
}
