#include "core/gateway/sentinels.h"

#include <string.h>

/* The first member by name of another failure domain than the first one's. */
static const struct member *second_sentinel(const struct membership *members)
{
	const struct member *first = membership_get(members, 0);

	for (size_t i = 1; i < membership_count(members); i++) {
		const struct member *member = membership_get(members, i);

		if (strcmp(member->failure_domain, first->failure_domain) != 0)
			return member;
	}
	return membership_get(members, 1);
}

/*
 * Returns sentinel i, below SENTINEL_COUNT, or NULL if there are fewer members.
 * They are in different failure domains if the members are: one cut would
 * otherwise silence both, and all other nodes would call the store instead.
 */
const struct member *sentinel_get(const struct membership *members, size_t i)
{
	if (i >= membership_count(members))
		return NULL;
	return i == 0 ? membership_get(members, 0) : second_sentinel(members);
}

/* Whether the member with this name is a sentinel. */
bool sentinel_is(const struct membership *members, const char *name)
{
	for (size_t i = 0; i < SENTINEL_COUNT; i++) {
		const struct member *member = sentinel_get(members, i);

		if (member && strcmp(member->name, name) == 0)
			return true;
	}
	return false;
}
