#include "core/gateway/known_start.h"

/* Returns the start of the endpoint that runs now, as far as is known. */
struct known_start known_start_read(const struct endpoint *endpoint,
				    const struct quarantine *quarantine)
{
	struct known_start known = {
		.start = quarantine_current_start(quarantine, endpoint->key),
		.known_us = endpoint->known_us,
		.certain_ends = endpoint->certain_ends,
	};

	known.start.born_ms = endpoint->last_registration->started_ms;
	return known;
}

/* Whether no end of the start is known, be it in doubt. */
bool known_start_is_current(const struct known_start *known,
			    const struct endpoint *endpoint,
			    const struct quarantine *quarantine)
{
	const struct known_start now = known_start_read(endpoint, quarantine);

	return known->known_us == now.known_us &&
	       endpoint_start_compare(&known->start, &now.start) == START_SAME;
}

/*
 * Whether no end of the start is known for certain. The next start under the
 * same id keeps nothing: asked to go on with a run, it has to refuse, or it
 * begins the run anew.
 */
bool known_start_may_live(const struct known_start *known,
			  const struct endpoint *endpoint)
{
	return known->known_us == endpoint->known_us &&
	       known->certain_ends == endpoint->certain_ends;
}
