#include "core/datagram/receive_window.h"

/*
 * Returns true if the number arrives for the first time. Numbers start at 1 in
 * each session. One that is too old for the window counts as a repetition: a
 * sender keeps fewer records unconfirmed than the window holds.
 */
bool receive_window_add(struct receive_window *window, uint32_t session,
			uint32_t number)
{
	uint32_t ahead = number - window->highest;
	uint32_t behind = window->highest - number;

	if (window->session != session || window->seen == 0) {
		*window = (struct receive_window){session, number, 1};
		return true;
	}
	if (ahead != 0 && ahead < UINT32_MAX / 2) {
		window->seen = ahead < RECEIVE_WINDOW_NUMBERS
				       ? window->seen << ahead | 1
				       : 1;
		window->highest = number;
		return true;
	}
	if (behind >= RECEIVE_WINDOW_NUMBERS ||
	    window->seen & (uint64_t)1 << behind)
		return false;
	window->seen |= (uint64_t)1 << behind;
	return true;
}
