#ifndef CORE_GATEWAY_ROOM_WAIT_H
#define CORE_GATEWAY_ROOM_WAIT_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What to do with a generation while no engine has room. The load: engines are
 * full with generations of unknown length, a few in a hundred requests find
 * none with room, and room comes up every few ms somewhere, since some
 * generation always ends. Refused at once with a time to come back, 45 in 100
 * of those callers found no room then, either, and had used their one retry up.
 */
enum room_wait {
	ROOM_WAIT_ASK_AGAIN, /* after ROOM_WAIT_PAUSE_US */
	ROOM_WAIT_REFUSE
};

/* Between two tries: by then some generation has ended. */
#define ROOM_WAIT_PAUSE_US ((int64_t)100 * 1000)

enum room_wait room_wait_decide(int64_t waited_us, int64_t left_us);

G_END_DECLS

#endif
