#include "tests/soak/soak_link.h"

#include <string.h>

static const struct {
	const char *name;
	bool holds_forward;
	bool holds_back;
} kinds[SOAK_LINK_KINDS] = {
	[SOAK_LINK_NORMAL] = {"sound", false, false},
	[SOAK_LINK_DELAY] = {"delay", false, false},
	[SOAK_LINK_RESET] = {"reset", false, false},
	[SOAK_LINK_CUT_FORWARD] = {"cut_forward", true, false},
	[SOAK_LINK_CUT_BACKWARD] = {"cut_back", false, true},
	[SOAK_LINK_CUT_BOTH] = {"cut_both", true, true},
	[SOAK_LINK_SILENT] = {"silent", false, false},
	[SOAK_LINK_TRICKLE] = {"trickle", false, false},
	[SOAK_LINK_UNSOLICITED] = {"extra", false, false},
	[SOAK_LINK_HOLD_ANSWERS] = {"hold", false, true},
};

/* Returns the name of a kind as schedules and logs print it. */
const char *soak_link_kind_name(enum soak_link_kind kind)
{
	return kinds[kind].name;
}

/* Sets the kind of that name; returns false if there is none. */
bool soak_link_kind_parse(const char *name, enum soak_link_kind *kind)
{
	for (int i = 0; i < SOAK_LINK_KINDS; i++) {
		if (strcmp(kinds[i].name, name) != 0)
			continue;
		*kind = (enum soak_link_kind)i;
		return true;
	}
	return false;
}

/*
 * Whether the link holds data from the connecting side, and new connections.
 */
bool soak_link_holds_forward(const struct soak_link *link)
{
	return kinds[link->kind].holds_forward;
}

/* Whether the link holds data from the listening side. */
bool soak_link_holds_back(const struct soak_link *link)
{
	return kinds[link->kind].holds_back;
}
