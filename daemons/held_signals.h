#ifndef DAEMONS_HELD_SIGNALS_H
#define DAEMONS_HELD_SIGNALS_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Holds the signals that the loop handles while it can't: before its handlers
 * are set and after they are removed. The default action of each would end the
 * process in the middle of its requests.
 */
void held_signals_hold(void);
void held_signals_release(void);

G_END_DECLS

#endif
