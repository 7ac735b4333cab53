#include "core/limit/admission.h"

#include "core/placement/home.h"

/*
 * Whether this node is the one that may let a run try again after the
 * quarantine. The others refuse it, so that no two runs try it at once.
 */
static bool is_trier(const struct membership *members, uint64_t key)
{
	uint64_t own = home_hash(membership_self(members)->name, "", key);

	for (size_t i = 0; i < membership_count(members); i++)
		if (home_hash(membership_get(members, i)->name, "", key) < own)
			return false;
	return true;
}

/*
 * Whether a request with these suspects may be sent to an endpoint now. If not,
 * or if it is a trial, which may be sent once, the suspect that decides it is
 * stored in admission.
 */
bool admission_ask(struct admission *admission, struct quarantine *quarantine,
		   const struct suspect_list *suspects,
		   const struct membership *members, int64_t now_us)
{
	admission->is_trial = false;
	switch (quarantine_judge(quarantine, suspects, now_us,
				 &admission->key)) {
	case QUARANTINE_NONE:
		return true;
	case QUARANTINE_TRIAL:
		if (!is_trier(members, admission->key))
			return false;
		quarantine_begin_trial(quarantine, admission->key, now_us);
		admission->is_trial = true;
		return true;
	case QUARANTINE_HELD:
		break;
	}
	return false;
}
