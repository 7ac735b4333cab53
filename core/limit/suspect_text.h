#ifndef CORE_LIMIT_SUSPECT_TEXT_H
#define CORE_LIMIT_SUSPECT_TEXT_H

#include "core/limit/quarantine.h"
#include "ports/action.h"

G_BEGIN_DECLS

/* What quarantine says of a suspect, as fields of a log line. */
struct suspect_text {
	enum log_level level;
	const char *event;
	char fingerprint[17];
	char for_s[24]; /* how long it is held; 0: it isn't */
	char *ends;	/* those that decide it */
};

void suspect_text_init(struct suspect_text *text,
		       const struct quarantine *quarantine, uint64_t key,
		       int64_t now_us);
void suspect_text_clear(struct suspect_text *text);

G_END_DECLS

#endif
