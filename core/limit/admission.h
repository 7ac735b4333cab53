#ifndef CORE_LIMIT_ADMISSION_H
#define CORE_LIMIT_ADMISSION_H

#include "core/limit/quarantine.h"
#include "core/membership/membership.h"

G_BEGIN_DECLS

/* What quarantine said when a request was last to be sent to an endpoint. */
struct admission {
	uint64_t key;  /* of the suspect that decides; 0: none */
	bool is_trial; /* one run may try; it may be sent once */
};

bool admission_ask(struct admission *admission, struct quarantine *quarantine,
		   const struct suspect_list *suspects,
		   const struct membership *members, int64_t now_us);

G_END_DECLS

#endif
