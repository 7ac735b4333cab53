#include "adapters/settings.h"
#include "adapters/settings_help.h"
#include "daemons/crash_log.h"
#include "daemons/held_signals.h"
#include "daemons/node_loop.h"
#include "daemons/version.h"

#include <malloc.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Larger blocks, such as bodies, go back to the system as they are freed. By
 * default the allocator raises its threshold at the first one, and keeps them.
 */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

#define EXIT_CANNOT_START 1
#define EXIT_USAGE 2

enum option { OPTION_VERSION = 1, OPTION_HELP_SETTINGS };

struct arguments {
	char *config;
	int check_config;
};

static int usage_fail(poptContext context, const char *what,
		      const char *argument)
{
	fprintf(stderr, "siskinlinkd: %s%s%s\n", what, argument ? ": " : "",
		argument ? argument : "");
	poptPrintUsage(context, stderr, 0);
	return EXIT_USAGE;
}

static void error_print(const struct error *error)
{
	fprintf(stderr, "siskinlinkd: %s: %s%s%s\n", error->step, error->peer,
		*error->peer ? ": " : "", error->detail);
}

static int node_run(const struct arguments *arguments)
{
	struct error error;
	struct settings *settings;
	struct node_loop *loop;
	int status = EXIT_SUCCESS;

	if (!arguments->check_config)
		held_signals_hold();
	settings = settings_load(arguments->config, &error);
	if (!settings) {
		error_print(&error);
		return EXIT_USAGE;
	}
	if (!arguments->check_config) {
		crash_log_install(settings->node.name);
		loop = node_loop_create(settings, arguments->config, &error);
		if (loop) {
			node_loop_run(loop);
		} else {
			error_print(&error);
			status = EXIT_CANNOT_START;
		}
		node_loop_destroy(loop);
	}
	settings_destroy(settings);
	return status;
}

static int arguments_run(poptContext context, struct arguments *arguments)
{
	const char *argument;
	int option;

	while ((option = poptGetNextOpt(context)) > 0) {
		if (option == OPTION_VERSION) {
			printf("siskinlinkd %s\n", SISKINLINK_VERSION);
			return EXIT_SUCCESS;
		}
		if (option == OPTION_HELP_SETTINGS) {
			settings_print_help();
			return EXIT_SUCCESS;
		}
	}
	if (option < -1)
		return usage_fail(context, poptStrerror(option),
				  poptBadOption(context, 0));
	argument = poptGetArg(context);
	if (argument)
		return usage_fail(context, "unexpected argument", argument);
	if (!arguments->config)
		return usage_fail(context, "--config FILE is needed", NULL);
	return node_run(arguments);
}

int main(int argc, const char **argv)
{
	struct arguments arguments = {NULL, 0};
	struct poptOption options[] = {
		{"config", 'c', POPT_ARG_STRING, &arguments.config, 0,
		 "settings file in TOML", "FILE"},
		{"check-config", 0, POPT_ARG_NONE, &arguments.check_config, 0,
		 "check the settings and exit: 0 good, 2 bad", NULL},
		{"help-settings", 0, POPT_ARG_NONE, NULL, OPTION_HELP_SETTINGS,
		 "list every setting with unit, range and default", NULL},
		{"version", 0, POPT_ARG_NONE, NULL, OPTION_VERSION,
		 "print the version", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context =
		poptGetContext("siskinlinkd", argc, argv, options, 0);
	int status;

	signal(SIGPIPE, SIG_IGN);
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	status = arguments_run(context, &arguments);
	poptFreeContext(context);
	free(arguments.config);
	return status;
}
