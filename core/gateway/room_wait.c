#include "core/gateway/room_wait.h"

/*
 * A third of the aim of the shortest generation, 1.5 s: with room found by then
 * the first event, 0.4 s later, is still in time. Longer would turn callers
 * away late who could have come back.
 */
#define LONGEST_WAIT_US ((int64_t)500 * 1000)

/* Of the time that the caller has left; the rest is for the generation. */
#define LEFT_DIVISOR 4

/* waited_us: since the request came; left_us: until its deadline. */
enum room_wait room_wait_decide(int64_t waited_us, int64_t left_us)
{
	if (waited_us + ROOM_WAIT_PAUSE_US > LONGEST_WAIT_US ||
	    waited_us + ROOM_WAIT_PAUSE_US > left_us / LEFT_DIVISOR)
		return ROOM_WAIT_REFUSE;
	return ROOM_WAIT_ASK_AGAIN;
}
