#ifndef CORE_GATEWAY_NEWCOMER_H
#define CORE_GATEWAY_NEWCOMER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * Which of the nodes that hear one for the first time tell it of all endpoints.
 * It may not reach the store; but told by each of 87 others, some 9 KB each, a
 * node that has just started reads nothing else for a second, and all of them
 * start at once after a loss of power.
 */
bool newcomer_is_told(size_t others, double draw);

G_END_DECLS

#endif
