#include "daemons/ctl_command.h"

#include "core/json/json_member.h"
#include "core/json/json_reader.h"
#include "core/json/json_scan.h"

#include <string.h>

/*
 * Prints text from a node with "?" for each control character, which the
 * operator's terminal could take as a command.
 */
static void print_text(FILE *out, const char *text)
{
	for (const char *p = text ? text : ""; *p; p++)
		fputc(g_ascii_iscntrl(*p) ? '?' : *p, out);
}

static const char *get_string(JsonObject *object, const char *name)
{
	const char *text =
		json_object_get_string_member_with_default(object, name, "");

	return text ? text : "";
}

static gint64 get_int(JsonObject *object, const char *name)
{
	return json_object_get_int_member_with_default(object, name, 0);
}

static void print_field(FILE *out, const char *text, int width)
{
	int length = (int)strlen(text);

	print_text(out, text);
	fprintf(out, "%*s", MAX(width - length, 1), "");
}

static void print_nodes(JsonObject *answer, FILE *out)
{
	JsonArray *nodes = json_member_array(answer, "nodes");

	for (guint i = 0; nodes && i < json_array_get_length(nodes); i++) {
		JsonObject *node = json_element_object(nodes, i);

		if (!node)
			continue;
		print_field(out, get_string(node, "name"), 24);
		print_field(out, get_string(node, "address"), 24);
		print_text(out, get_string(node, "failure_domain"));
		fputc('\n', out);
	}
	fprintf(out, "keep for %" G_GINT64_FORMAT " s\n",
		get_int(answer, "keep_s"));
}

static void print_lines(JsonObject *answer, const char *name,
			const char *prefix, FILE *out)
{
	JsonArray *lines = json_member_array(answer, name);

	for (guint i = 0; lines && i < json_array_get_length(lines); i++) {
		fputs(prefix, out);
		print_text(out, json_array_get_string_element(lines, i));
		fputc('\n', out);
	}
}

static void print_plan(JsonObject *answer, FILE *out)
{
	fputs("plan ", out);
	print_text(out, get_string(answer, "plan_id"));
	fprintf(out,
		"\non revision %" G_GINT64_FORMAT
		", stale after %" G_GINT64_FORMAT " s\n",
		get_int(answer, "base_revision"),
		get_int(answer, "stale_after_s"));
	print_lines(answer, "differences", "  ", out);
	print_lines(answer, "warnings", "  warning: ", out);
	fputs("nothing has changed; to put it in force: siskinlinkctl confirm ",
	      out);
	print_text(out, get_string(answer, "plan_id"));
	fputc('\n', out);
}

static void print_confirmation(JsonObject *answer, FILE *out)
{
	fputs("plan ", out);
	print_text(out, get_string(answer, "plan_id"));
	fprintf(out, " is in force as revision %" G_GINT64_FORMAT "\n",
		get_int(answer, "revision"));
}

static void print_history(JsonObject *answer, FILE *out)
{
	JsonArray *history = json_member_array(answer, "history");

	for (guint i = 0; history && i < json_array_get_length(history); i++) {
		JsonObject *entry = json_element_object(history, i);
		GDateTime *time;
		char *text;

		if (!entry)
			continue;
		time = g_date_time_new_from_unix_utc(
			get_int(entry, "confirmed_s"));
		text = time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ")
			    : g_strdup("?");
		fprintf(out, "%-8" G_GINT64_FORMAT " %s  ",
			get_int(entry, "revision"), text);
		print_field(out, get_string(entry, "confirmed_by"), 16);
		print_field(out, get_string(entry, "plan_id"), 32);
		print_text(out, get_string(entry, "summary"));
		fputc('\n', out);
		g_free(text);
		g_clear_pointer(&time, g_date_time_unref);
	}
}

static void print_held(JsonObject *answer, FILE *out)
{
	JsonArray *held = json_member_array(answer, "held");

	for (guint i = 0; held && i < json_array_get_length(held); i++) {
		JsonObject *suspect = json_element_object(held, i);

		if (!suspect)
			continue;
		print_text(out, get_string(suspect, "fingerprint"));
		fputs("  ", out);
		print_field(out, get_string(suspect, "kind"), 8);
		fprintf(out,
			" ended %" G_GINT64_FORMAT
			" endpoints, the last %" G_GINT64_FORMAT
			" s ago; held for %" G_GINT64_FORMAT " s\n",
			get_int(suspect, "ended_endpoints"),
			get_int(suspect, "last_end_s_ago"),
			get_int(suspect, "held_for_s"));
	}
}

static void print_lifted(JsonObject *answer, FILE *out)
{
	print_text(out, get_string(answer, "fingerprint"));
	fputs(" may run again; nodes tell each other within seconds\n", out);
}

/* Prints one more word on an endpoint, behind ": " or "; ". */
static void print_word(FILE *out, bool *has_words, const char *what)
{
	fputs(*has_words ? "; " : ": ", out);
	print_text(out, what);
	*has_words = true;
}

static void print_time(FILE *out, bool *has_words, const char *what,
		       gint64 time_ms, const char *end)
{
	char text[96];

	g_snprintf(text, sizeof(text), "%s %" G_GINT64_FORMAT " ms%s", what,
		   time_ms, end);
	print_word(out, has_words, text);
}

/* Prints what keeps requests away from an endpoint, and its stated limit. */
static void print_obstacles(JsonObject *endpoint, FILE *out)
{
	static const struct {
		const char *name;
		const char *text;
		const char *end;
	} times[] = {
		{"said_leaving_ms_ago", "said that it leaves", " ago"},
		{"replaced_ms_ago", "another one answered at its address",
		 " ago"},
		{"resting_ms", "resting for", ""},
		{"full_ms", "full for", ""},
		{"notices_aside_ms", "aside by notices for", ""},
		{"health_aside_ms", "aside by health for", ""},
	};
	gint64 aside_ms = get_int(endpoint, "health_aside_ms");
	bool has_words = false;
	char limit[48];

	if (json_object_get_boolean_member_with_default(endpoint, "cordoned",
							FALSE))
		print_word(out, &has_words, "under a cordon");
	for (size_t i = 0; i < G_N_ELEMENTS(times); i++) {
		gint64 time_ms = get_int(endpoint, times[i].name);

		if (json_object_has_member(endpoint, times[i].name) &&
		    (time_ms > 0 || *times[i].end))
			print_time(out, &has_words, times[i].text, time_ms,
				   times[i].end);
	}
	if (aside_ms == 0 && !json_object_get_boolean_member_with_default(
				     endpoint, "health_allows", TRUE))
		print_word(out, &has_words, "aside by health");
	if (json_object_has_member(endpoint, "limit_per_s")) {
		g_snprintf(limit, sizeof(limit), "takes %.3f requests a second",
			   json_object_get_double_member_with_default(
				   endpoint, "limit_per_s", 0));
		print_word(out, &has_words, limit);
	}
}

/* Prints how long work takes there, if the node knows. */
static void print_speed(JsonObject *endpoint, FILE *out)
{
	if (!json_object_has_member(endpoint, "time_percent"))
		return;
	fprintf(out,
		", takes %" G_GINT64_FORMAT
		"%% of the usual time (%" G_GINT64_FORMAT
		" observations, %" G_GINT64_FORMAT " ms ago)",
		get_int(endpoint, "time_percent"),
		get_int(endpoint, "time_observations"),
		get_int(endpoint, "time_known_ms_ago"));
}

static void print_endpoints(JsonObject *answer, FILE *out)
{
	JsonArray *endpoints = json_member_array(answer, "endpoints");
	guint count = endpoints ? json_array_get_length(endpoints) : 0;

	for (guint i = 0; i < count; i++) {
		JsonObject *endpoint = json_element_object(endpoints, i);

		if (!endpoint)
			continue;
		print_field(out, get_string(endpoint, "id"), 16);
		print_field(out, get_string(endpoint, "service"), 16);
		print_field(out, get_string(endpoint, "address"), 22);
		print_field(out, get_string(endpoint, "failure_domain"), 12);
		print_field(out, get_string(endpoint, "state"), 8);
		fprintf(out,
			"for %" G_GINT64_FORMAT " ms, %" G_GINT64_FORMAT
			" requests",
			get_int(endpoint, "in_state_ms"),
			get_int(endpoint, "own_requests"));
		print_speed(endpoint, out);
		print_obstacles(endpoint, out);
		fputc('\n', out);
	}
	fprintf(out, "%u of %" G_GINT64_FORMAT " endpoints\n", count,
		get_int(answer, "total"));
}

static void print_waiting_request(JsonObject *request, FILE *out)
{
	const char *id = get_string(request, "id");

	fputs("  ", out);
	print_field(out, *id ? id : "(of another node)", 18);
	print_field(out, get_string(request, "node"), 16);
	print_field(out, get_string(request, "organisation"), 16);
	fprintf(out,
		"rank %" G_GINT64_FORMAT "%s, %" G_GINT64_FORMAT
		" tokens, waits for %" G_GINT64_FORMAT
		" ms, refused in %" G_GINT64_FORMAT " ms\n",
		get_int(request, "rank"),
		json_object_get_boolean_member_with_default(request,
							    "deferrable", FALSE)
			? ", gives way"
			: "",
		get_int(request, "tokens"), get_int(request, "waited_ms"),
		get_int(request, "start_within_ms"));
}

static void print_share(JsonObject *organisation, FILE *out)
{
	const char *name = get_string(organisation, "name");

	fputs("  organisation ", out);
	print_field(out, *name ? name : "(none)", 16);
	fprintf(out,
		"weight %" G_GINT64_FORMAT ", %" G_GINT64_FORMAT
		" waiting with %" G_GINT64_FORMAT
		" tokens, granted %" G_GINT64_FORMAT " token seconds\n",
		get_int(organisation, "weight"),
		get_int(organisation, "waiting"),
		get_int(organisation, "waiting_tokens"),
		get_int(organisation, "granted_token_s"));
}

static void print_each(JsonObject *object, const char *name,
		       void (*print)(JsonObject *item, FILE *out), FILE *out)
{
	JsonArray *items = json_member_array(object, name);

	for (guint i = 0; items && i < json_array_get_length(items); i++) {
		JsonObject *item = json_element_object(items, i);

		if (item)
			print(item, out);
	}
}

static void print_queue(JsonObject *queue, FILE *out)
{
	fputs("service ", out);
	print_text(out, get_string(queue, "service"));
	fprintf(out,
		": %" G_GINT64_FORMAT " waiting, engines free %" G_GINT64_FORMAT
		" tokens a second\n",
		get_int(queue, "waiting"),
		get_int(queue, "freed_tokens_per_s"));
	print_each(queue, "requests", print_waiting_request, out);
	print_each(queue, "organisations", print_share, out);
}

static void print_asked(JsonObject *request, FILE *out)
{
	fputs("at its home ", out);
	print_field(out, get_string(request, "home"), 16);
	print_field(out, get_string(request, "id"), 18);
	fprintf(out, "waits for %" G_GINT64_FORMAT " ms\n",
		get_int(request, "waited_ms"));
}

static void print_waiting(JsonObject *answer, FILE *out)
{
	print_each(answer, "queues", print_queue, out);
	print_each(answer, "at_home", print_asked, out);
}

static const struct ctl_command commands[] = {
	{.name = "nodes",
	 .method = "GET",
	 .path = "/v1/nodes",
	 .print = print_nodes,
	 .help = "the nodes that callers may use"},
	{.name = "dump",
	 .method = "GET",
	 .path = "/admin/v1/dump",
	 .needs_key = true,
	 .help = "state and counters of a node, in JSON"},
	{.name = "plan",
	 .argument = "FILE",
	 .method = "POST",
	 .path = "/admin/v1/plans",
	 .reads_file = true,
	 .needs_key = true,
	 .needs_operator = true,
	 .print = print_plan,
	 .help = "what an intent in TOML or JSON would change; \"-\" reads "
		 "standard input"},
	{.name = "check",
	 .argument = "FILE",
	 .method = "GET",
	 .path = "/admin/v1/config",
	 .is_check = true,
	 .help = "errors of an intent, entries in vain and what it would "
		 "change; without a key or node: errors only"},
	{.name = "confirm",
	 .argument = "PLAN_ID",
	 .method = "POST",
	 .path = "/admin/v1/plans/%s/confirm",
	 .needs_key = true,
	 .needs_operator = true,
	 .may_change = true,
	 .print = print_confirmation,
	 .help = "puts a plan in force; after exit status 4 ask again"},
	{.name = "show",
	 .method = "GET",
	 .path = "/admin/v1/config",
	 .needs_key = true,
	 .help = "the configuration in force, in JSON"},
	{.name = "history",
	 .method = "GET",
	 .path = "/admin/v1/history",
	 .needs_key = true,
	 .print = print_history,
	 .help = "who confirmed what"},
	{.name = "held",
	 .method = "GET",
	 .path = "/admin/v1/quarantine",
	 .needs_key = true,
	 .print = print_held,
	 .help = "requests refused because endpoints ended under them"},
	{.name = "lift",
	 .argument = "FINGERPRINT",
	 .method = "POST",
	 .path = "/admin/v1/quarantine/%s/lift",
	 .needs_key = true,
	 .needs_operator = true,
	 .may_change = true,
	 .print = print_lifted,
	 .help = "lets such a request run again, at all nodes"},
	{.name = "endpoints",
	 .argument = "[SERVICE]",
	 .argument_is_optional = true,
	 .method = "GET",
	 .path = "/admin/v1/endpoints?service=%s",
	 .needs_key = true,
	 .print = print_endpoints,
	 .help = "a gateway's endpoints, and why they are not used"},
	{.name = "waiting",
	 .method = "GET",
	 .path = "/admin/v1/waiting",
	 .needs_key = true,
	 .print = print_waiting,
	 .help = "generations that wait for an engine, and each "
		 "organisation's share"},
};

/* Returns the command with this name, or NULL. */
const struct ctl_command *ctl_command_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

/* Prints one line for each command. */
void ctl_command_print_list(FILE *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-9s %-11s %s\n", commands[i].name,
			commands[i].argument ? commands[i].argument : "",
			commands[i].help);
}

/* Returns the request path with the argument escaped; the caller frees it. */
char *ctl_command_path(const struct ctl_command *command, const char *argument)
{
	const char *placeholder = strstr(command->path, "%s");
	char *escaped, *path;

	if (!placeholder)
		return g_strdup(command->path);
	escaped = g_uri_escape_string(argument, NULL, FALSE);
	path = g_strdup_printf("%.*s%s%s", (int)(placeholder - command->path),
			       command->path, escaped, placeholder + 2);
	g_free(escaped);
	return path;
}

/* Parses an answer; NULL if it is not a JSON object. The caller owns it. */
static JsonNode *parse_answer(const char *body)
{
	GBytes *bytes = g_bytes_new(body, strlen(body));
	struct error error;
	JsonNode *node = json_reader_parse_lax(bytes, g_bytes_get_size(bytes),
					       "ctl.answer", &error);

	g_bytes_unref(bytes);
	if (node && !JSON_NODE_HOLDS_OBJECT(node))
		g_clear_pointer(&node, json_node_unref);
	return node;
}

static JsonObject *answer_object(JsonNode *node)
{
	return node ? json_node_get_object(node) : NULL;
}

/*
 * Prints an answer as text if the command has a print function and json is not
 * set, else as JSON.
 */
void ctl_command_print(const struct ctl_command *command, const char *body,
		       bool json, FILE *out)
{
	JsonNode *node = parse_answer(body);
	JsonObject *answer = answer_object(node);

	if (json || !answer) {
		fprintf(out, "%s\n", body);
	} else if (command->print) {
		command->print(answer, out);
	} else {
		char *text = json_to_string(node, TRUE);

		fprintf(out, "%s\n", text);
		g_free(text);
	}
	g_clear_pointer(&node, json_node_unref);
}

/*
 * Whether a body is all of what a node answers with 200. Its HTTP framing does
 * not tell: where the connection closes between chunks, or without a length,
 * libsoup takes it for the end.
 */
static bool is_whole(const char *body)
{
	size_t at;

	return strpbrk(body, "{[") &&
	       !json_scan(body, strlen(body), G_MAXINT, &at);
}

/*
 * Returns the exit status for an answer. If the node does not know whether a
 * change took effect, or answers without stating it and with another status
 * than 4xx, the outcome is unknown and never counted as refused.
 */
enum ctl_exit ctl_command_exit_status(const struct ctl_command *command,
				      int status, const char *body)
{
	JsonNode *node = parse_answer(body);
	JsonObject *answer = answer_object(node);
	enum ctl_exit result = CTL_REFUSED;
	const char *effect = "";

	if (status == 200)
		result = is_whole(body) ? CTL_OK : CTL_UNREACHABLE;
	if (answer && command->may_change)
		effect = get_string(answer, "took_effect");
	if (strcmp(effect, "unknown") == 0)
		result = CTL_UNKNOWN;
	else if (strcmp(effect, "no") == 0)
		result = CTL_REFUSED;
	else if (command->may_change && (!answer || !*effect) &&
		 (status < 400 || status >= 500))
		result = CTL_UNKNOWN;
	g_clear_pointer(&node, json_node_unref);
	return result;
}

/* Returns one line with the reason for a refusal; the caller frees it. */
char *ctl_command_refusal_text(int status, const char *body)
{
	JsonNode *node = parse_answer(body);
	JsonObject *answer = answer_object(node);
	JsonObject *error = answer ? json_member_object(answer, "error") : NULL;
	char *text;

	if (error) {
		text = g_strdup_printf("%s: %s", get_string(error, "code"),
				       get_string(error, "message"));
	} else if (status == 200 && !is_whole(body)) {
		text = g_strdup("the answer is cut short or not a node's");
	} else {
		text = g_strdup_printf("HTTP status %d", status);
	}
	for (char *p = text; *p; p++) {
		if (g_ascii_iscntrl(*p))
			*p = '?';
	}
	g_clear_pointer(&node, json_node_unref);
	return text;
}
