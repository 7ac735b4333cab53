#ifndef DAEMONS_CTL_CHECK_H
#define DAEMONS_CTL_CHECK_H

#include "daemons/ctl_command.h"

#include <stdbool.h>
#include <stdio.h>

G_BEGIN_DECLS

/* An intent to check, and what to compare it with. */
struct ctl_check {
	const char *path; /* of the file, for messages */
	const char *text; /* of the file, TOML or JSON */
	const char *base; /* configuration in force, in JSON; NULL: unknown */
	bool json;	  /* print JSON */
};

enum ctl_exit ctl_check_run(const struct ctl_check *check, FILE *out);

G_END_DECLS

#endif
