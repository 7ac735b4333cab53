#ifndef DAEMONS_CTL_COMMAND_H
#define DAEMONS_CTL_COMMAND_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdio.h>

G_BEGIN_DECLS

/* The commands of siskinlinkctl and how their answers are printed. */

enum ctl_exit {
	CTL_OK,
	CTL_REFUSED,
	CTL_USAGE,
	CTL_UNREACHABLE,
	CTL_UNKNOWN /* sent, but whether it took effect is not known */
};

struct ctl_command {
	const char *name;
	const char *argument; /* its name in the help; NULL: none */
	const char *method;
	const char *path;	   /* %s stands for the escaped argument */
	bool argument_is_optional; /* "" stands for one left out */
	bool reads_file;
	bool is_check;
	/* compares a file with the answer */ /* the argument is the
						 file with the body */
	bool needs_key;
	bool needs_operator;
	bool may_change; /* a lost answer leaves the outcome unknown */
	void (*print)(JsonObject *answer, FILE *out); /* NULL: as JSON */
	const char *help;
};

const struct ctl_command *ctl_command_find(const char *name);
void ctl_command_print_list(FILE *out);
char *ctl_command_path(const struct ctl_command *command, const char *argument);
void ctl_command_print(const struct ctl_command *command, const char *body,
		       bool json, FILE *out);
enum ctl_exit ctl_command_exit_status(const struct ctl_command *command,
				      int status, const char *body);
char *ctl_command_refusal_text(int status, const char *body);

G_END_DECLS

#endif
