#include "adapters/toml_reader.h"
#include "core/base/error.h"
#include "daemons/ctl_check.h"
#include "daemons/ctl_client.h"
#include "daemons/ctl_command.h"
#include "daemons/version.h"

#include <glib/gstdio.h>
#include <popt.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_ADDRESS "127.0.0.1:8080"
#define KEY_VARIABLE "SISKINLINK_OPERATOR_KEY"
#define MAX_FILE_BYTES (8 << 20)
#define DEFAULT_TIMEOUT_S 15
#define MAX_TIMEOUT_S 600

struct arguments {
	char *address;
	char *node;
	char *operator_name;
	char *key_file;
	char *base_file;
	int json;
	int timeout_s;
	const struct ctl_command *command;
	const char *argument;
};

static void print_help(poptContext context, FILE *out)
{
	poptPrintHelp(context, out, 0);
	fputs("\nCommands:\n", out);
	ctl_command_print_list(out);
	fputs("\nExit status: 0 done, 1 refused, 2 wrong use, 3 node not "
	      "reached,\n4 sent and the outcome is unknown: ask again with the "
	      "same plan.\n"
	      "The operator key is read from --key-file or " KEY_VARIABLE ".\n",
	      out);
}

static enum ctl_exit usage_fail(const char *format, ...) G_GNUC_PRINTF(1, 2);

static enum ctl_exit usage_fail(const char *format, ...)
{
	va_list args;

	fputs("siskinlinkctl: ", stderr);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputs("\n", stderr);
	return CTL_USAGE;
}

static enum ctl_exit command_usage_fail(const struct ctl_command *command,
					const char *what)
{
	fprintf(stderr, "siskinlinkctl: %s; use: siskinlinkctl %s%s%s%s\n",
		what, command->needs_operator ? "--operator NAME " : "",
		command->name, command->argument ? " " : "",
		command->argument ? command->argument : "");
	return CTL_USAGE;
}

/*
 * Returns the key, which the caller frees; NULL if none is set, or on an error,
 * which sets *status.
 */
static char *read_key(const struct arguments *arguments, enum ctl_exit *status)
{
	GError *failure = NULL;
	char *key = NULL;

	if (!arguments->key_file)
		return g_strdup(g_getenv(KEY_VARIABLE));
	if (!g_file_get_contents(arguments->key_file, &key, NULL, &failure)) {
		*status = usage_fail("--key-file: %s", failure->message);
		g_error_free(failure);
		return NULL;
	}
	return g_strstrip(key);
}

static char *read_stream(FILE *stream, size_t *size)
{
	char *text = g_malloc(MAX_FILE_BYTES + 2);

	*size = fread(text, 1, MAX_FILE_BYTES + 1, stream);
	text[*size] = '\0';
	return text;
}

/*
 * Reads a file, or standard input for "-". The caller frees the text. On an
 * error prints it and returns NULL.
 */
static char *read_text(const char *path)
{
	bool is_stdin = strcmp(path, "-") == 0;
	FILE *stream = is_stdin ? stdin : g_fopen(path, "r");
	size_t size = 0;
	char *text;

	if (!stream) {
		usage_fail("cannot read %s", path);
		return NULL;
	}
	text = read_stream(stream, &size);
	if (!is_stdin)
		fclose(stream);
	if (size > MAX_FILE_BYTES || strlen(text) != size) {
		usage_fail("%s is not a text of at most 8 MB", path);
		g_clear_pointer(&text, g_free);
	}
	return text;
}

/*
 * Reads an intent in JSON or TOML and returns it as JSON, which the caller
 * frees. On an error prints it and returns NULL.
 */
static char *read_intent(const char *path)
{
	char *text = read_text(path);
	struct error error;
	char *json;

	if (!text || *g_strchug(text) == '{')
		return text;
	json = toml_reader_to_json(text, &error);
	if (!json)
		fprintf(stderr, "siskinlinkctl: %s: %s\n", path, error.detail);
	g_free(text);
	return json;
}

static enum ctl_exit command_handle_answer(const struct arguments *arguments,
					   const struct ctl_answer *answer)
{
	const struct ctl_command *command = arguments->command;
	enum ctl_exit status =
		ctl_command_exit_status(command, answer->status, answer->body);
	char *reason;

	if (status == CTL_OK) {
		ctl_command_print(command, answer->body, arguments->json,
				  stdout);
		return status;
	}
	if (arguments->json && status != CTL_UNREACHABLE)
		ctl_command_print(command, answer->body, true, stdout);
	reason = ctl_command_refusal_text(answer->status, answer->body);
	fprintf(stderr, "siskinlinkctl: %s%s\n", reason,
		status == CTL_UNKNOWN
			? "; whether it took effect is not known, ask again "
			  "with the same plan"
			: "");
	g_free(reason);
	return status;
}

static enum ctl_exit command_call(const struct arguments *arguments,
				  const char *key, const char *body)
{
	const struct ctl_command *command = arguments->command;
	char *path = ctl_command_path(command, arguments->argument);
	struct ctl_call call = {
		.address =
			arguments->node ? arguments->node : arguments->address,
		.method = command->method,
		.path = path,
		.key = command->needs_key ? key : NULL,
		.operator_name = arguments->operator_name,
		.body = body,
		.timeout_s = (uint32_t)arguments->timeout_s,
	};
	struct ctl_answer answer;
	struct error error;
	enum ctl_exit status;

	if (ctl_client_call(&call, &answer, &error)) {
		status = command_handle_answer(arguments, &answer);
	} else {
		status = error.code == ERROR_INVALID	      ? CTL_USAGE
			 : answer.sent && command->may_change ? CTL_UNKNOWN
							      : CTL_UNREACHABLE;
		fprintf(stderr, "siskinlinkctl: %s: %s%s\n", error.peer,
			error.detail,
			status == CTL_UNKNOWN
				? "; whether it took effect is not known, ask "
				  "again with the same plan"
				: "");
	}
	ctl_answer_clear(&answer);
	g_free(path);
	return status;
}

/*
 * Returns the configuration in force, which the caller frees: of the base file
 * or the node. NULL with a message if there is none.
 */
static char *read_base(const struct arguments *arguments, const char *key)
{
	struct ctl_call call = {
		.address = arguments->address,
		.method = "GET",
		.path = arguments->command->path,
		.key = key,
		.timeout_s = (uint32_t)arguments->timeout_s,
	};
	struct ctl_answer answer;
	struct error error;
	char *base = NULL;

	if (arguments->base_file)
		return read_text(arguments->base_file);
	if (!key || !*key)
		return NULL;
	if (!ctl_client_call(&call, &answer, &error))
		fprintf(stderr, "siskinlinkctl: %s: %s\n", error.peer,
			error.detail);
	else if (answer.status != 200)
		fprintf(stderr, "siskinlinkctl: %s: HTTP status %d\n",
			arguments->address, answer.status);
	else
		base = g_strdup(answer.body);
	ctl_answer_clear(&answer);
	return base;
}

static enum ctl_exit command_check(const struct arguments *arguments,
				   const char *key)
{
	char *text = read_text(arguments->argument);
	char *base = text ? read_base(arguments, key) : NULL;
	const struct ctl_check check = {
		.path = arguments->argument,
		.text = text,
		.base = base,
		.json = arguments->json != 0,
	};
	enum ctl_exit status = CTL_USAGE;

	if (text && (base || !arguments->base_file))
		status = ctl_check_run(&check, stdout);
	g_free(base);
	g_free(text);
	return status;
}

static enum ctl_exit command_run(const struct arguments *arguments)
{
	const struct ctl_command *command = arguments->command;
	enum ctl_exit status = CTL_OK;
	char *body = NULL;
	char *key;

	if (command->needs_operator && !arguments->operator_name)
		return command_usage_fail(command, "--operator is needed");
	key = read_key(arguments, &status);
	if (status != CTL_OK)
		return status;
	if (command->is_check) {
		status = command_check(arguments, key);
		g_free(key);
		return status;
	}
	if (command->needs_key && (!key || !*key)) {
		g_free(key);
		return usage_fail("%s needs the operator key: set --key-file "
				  "FILE or " KEY_VARIABLE,
				  command->name);
	}
	if (command->reads_file) {
		body = read_intent(arguments->argument);
		status = body ? CTL_OK : CTL_USAGE;
	}
	if (status == CTL_OK)
		status = command_call(arguments, key, body);
	g_free(body);
	g_free(key);
	return status;
}

static enum ctl_exit arguments_parse_command(poptContext context,
					     struct arguments *arguments)
{
	const char *name = poptGetArg(context);
	const struct ctl_command *command;

	if (!name)
		return usage_fail("a command is missing; --help lists them");
	command = ctl_command_find(name);
	if (!command)
		return usage_fail("unknown command %s; --help lists the "
				  "commands",
				  name);
	arguments->command = command;
	if (command->argument) {
		arguments->argument = poptGetArg(context);
		if (!arguments->argument && command->argument_is_optional)
			arguments->argument = "";
		if (!arguments->argument)
			return command_usage_fail(command,
						  "an argument is missing");
	}
	if (poptPeekArg(context))
		return command_usage_fail(command, "too many arguments");
	if (arguments->node && strcmp(command->name, "dump") != 0)
		return usage_fail("--node goes with dump only; use --address "
				  "for %s",
				  command->name);
	if (arguments->base_file && !command->is_check)
		return usage_fail("--base goes with check only");
	if (arguments->timeout_s < 1 || arguments->timeout_s > MAX_TIMEOUT_S)
		return usage_fail("--timeout-s: out of range, expected 1 to %d",
				  MAX_TIMEOUT_S);
	return CTL_OK;
}

enum option { OPTION_VERSION = 1, OPTION_HELP };

static enum ctl_exit arguments_run(poptContext context,
				   struct arguments *arguments)
{
	enum ctl_exit status;
	int option;

	while ((option = poptGetNextOpt(context)) > 0) {
		if (option == OPTION_VERSION) {
			printf("siskinlinkctl %s\n", SISKINLINK_VERSION);
			return CTL_OK;
		}
		if (option == OPTION_HELP) {
			print_help(context, stdout);
			return CTL_OK;
		}
	}
	if (option < -1) {
		fprintf(stderr,
			"siskinlinkctl: %s: %s; --help lists the "
			"options\n",
			poptBadOption(context, 0), poptStrerror(option));
		return CTL_USAGE;
	}
	if (!arguments->address)
		arguments->address = strdup(DEFAULT_ADDRESS);
	status = arguments_parse_command(context, arguments);
	return status == CTL_OK ? command_run(arguments) : status;
}

int main(int argc, const char **argv)
{
	struct arguments arguments = {.timeout_s = DEFAULT_TIMEOUT_S};
	struct poptOption options[] = {
		{"address", 'a', POPT_ARG_STRING, &arguments.address, 0,
		 "node to send the request to; " DEFAULT_ADDRESS " by default",
		 "HOST:PORT"},
		{"node", 'n', POPT_ARG_STRING, &arguments.node, 0,
		 "dump: the node to dump", "HOST:PORT"},
		{"operator", 'o', POPT_ARG_STRING, &arguments.operator_name, 0,
		 "name of the operator, recorded with plans and confirmations",
		 "NAME"},
		{"key-file", 'k', POPT_ARG_STRING, &arguments.key_file, 0,
		 "file with the operator key", "FILE"},
		{"timeout-s", 't', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
		 &arguments.timeout_s, 0,
		 "longest time without a byte of the answer", "S"},
		{"base", 'b', POPT_ARG_STRING, &arguments.base_file, 0,
		 "check: compare with this configuration, not the node's",
		 "FILE"},
		{"json", 'j', POPT_ARG_NONE, &arguments.json, 0,
		 "print answers as the node sent them", NULL},
		{"version", 0, POPT_ARG_NONE, NULL, OPTION_VERSION,
		 "print the version", NULL},
		{"help", 'h', POPT_ARG_NONE, NULL, OPTION_HELP,
		 "print this help", NULL},
		POPT_TABLEEND};
	poptContext context =
		poptGetContext("siskinlinkctl", argc, argv, options, 0);
	enum ctl_exit status;

	poptSetOtherOptionHelp(context, "[OPTIONS] COMMAND [ARGUMENT]");
	status = arguments_run(context, &arguments);
	poptFreeContext(context);
	free(arguments.address);
	free(arguments.node);
	free(arguments.operator_name);
	free(arguments.key_file);
	free(arguments.base_file);
	return (int)status;
}
