#ifndef CORE_GATEWAY_ANSWERED_LOAD_H
#define CORE_GATEWAY_ANSWERED_LOAD_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* What one answer says about the load of its endpoint. */
enum load_statement {
	LOAD_UNSTATED,	/* nothing */
	LOAD_STATED,	/* the figures */
	LOAD_UNREADABLE /* something without a meaning */
};

struct answered_load {
	enum load_statement statement;
	int32_t running;
	int32_t waiting;
	int32_t slots;
	int32_t slowdown_percent; /* 100: as usual; 0: not stated */
};

G_END_DECLS

#endif
