#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_fleet_state.h"
#include "tests/soak/soak_platform.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <unistd.h>

/* Assigns addresses, writes settings and starts the processes of a run. */

#define STEP_FLEET "soak.fleet"
#define READY_TIMEOUT_US (10 * G_TIME_SPAN_SECOND)
/* Time from the start of an endpoint to its registration in the store. */
#define REGISTER_DELAY_US (200 * G_TIME_SPAN_MILLISECOND)
/*
 * Documented processing time of a plain endpoint, 30 ms: long enough for faults
 * to occur during it.
 */
#define PLAIN_WORK_MS "30"
/* Each of several concurrent runs reserves one range 127.N.0.0/16. */
#define FIRST_RANGE 10
#define RANGES 200
#define LOCK_PORT 20001
#define HOSTS_IN_RANGE 250
#define STORE_PORT 8090
#define SEEDS 3
/* budget_ratio and budget_extra of the smaller deployment. */
#define SETTINGS_GATEWAY "retry_ratio = 0.2\nretry_extra = 54\n"
/* Times for which a caller's connection may be idle: the usual, the lower. */
#define IDLE_TIMEOUT_MS 15000
#define LOWER_IDLE_TIMEOUT_MS 150

/* drain_s is grace_s of the smaller deployment. */
const struct soak_settings soak_settings_usual = {.keep_s = 2, .drain_s = 8};

/*
 * Reserves a range of loopback addresses that no other run uses, by listening
 * on a port of it.
 */
static bool fleet_reserve_range(struct soak_fleet *fleet, struct error *error)
{
	for (int32_t i = 0; i < RANGES; i++) {
		int32_t range = FIRST_RANGE + (getpid() + i) % RANGES;
		g_autofree char *ip = g_strdup_printf("127.%d.0.1", range);
		g_autoptr(GSocketAddress) address =
			g_inet_socket_address_new_from_string(ip, LOCK_PORT);
		g_autoptr(GSocket) socket =
			g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, NULL);

		if (!socket || !g_socket_bind(socket, address, FALSE, NULL) ||
		    !g_socket_listen(socket, NULL))
			continue;
		fleet->range_lock = g_steal_pointer(&socket);
		fleet->range = range;
		return true;
	}
	error_set(error, ERROR_INTERNAL, STEP_FLEET, NULL,
		  "no free range of loopback addresses in 127.%d to 127.%d",
		  FIRST_RANGE, FIRST_RANGE + RANGES - 1);
	return false;
}

static void fleet_next_ip(struct soak_fleet *fleet, char *ip, size_t size)
{
	int32_t host = fleet->last_host++;

	g_snprintf(ip, size, "127.%d.%d.%d", fleet->range,
		   1 + host / HOSTS_IN_RANGE, 1 + host % HOSTS_IN_RANGE);
}

static const enum soak_target targets[] = {
	[SOAK_ROLE_NODE] = SOAK_TARGET_NODE,
	[SOAK_ROLE_ENGINE] = SOAK_TARGET_ENGINE,
	[SOAK_ROLE_PLAIN] = SOAK_TARGET_PLAIN,
};

/*
 * Gives a member a new id and address. It gets a proxy only if the schedule
 * has faults for its links.
 */
bool soak_fleet_rename(struct soak_fleet *fleet, struct soak_member *member,
		       struct error *error)
{
	bool has_proxy = soak_schedule_has_links(fleet->schedule,
						 targets[member->role], false);
	char ip[32];

	fleet_next_ip(fleet, ip, sizeof(ip));
	return soak_member_rename(member, fleet->renames++, ip, has_proxy,
				  error);
}

static bool fleet_create_store_proxy(struct soak_fleet *fleet,
				     struct soak_member *node,
				     struct error *error)
{
	if (!soak_schedule_has_links(fleet->schedule, SOAK_TARGET_NODE, true))
		return true;
	node->store_proxy = soak_proxy_create(fleet->store_address, error);
	return node->store_proxy != NULL;
}

static char *seeds_text(const struct soak_fleet *fleet)
{
	GString *seeds = g_string_new(NULL);

	for (guint i = 0; i < MIN(fleet->nodes->len, SEEDS); i++) {
		const struct soak_member *node =
			g_ptr_array_index(fleet->nodes, i);

		g_string_append_printf(seeds, "%s\"%s:8744\"", i ? ", " : "",
				       node->ip);
	}
	return g_string_free(seeds, FALSE);
}

static char *settings_path(const struct soak_fleet *fleet,
			   const struct soak_member *node)
{
	return g_strdup_printf("%s/%s.toml", fleet->paths.folder, node->name);
}

/* Every other node takes no datagrams, as an earlier build doesn't. */
static const char *peer_transport(const struct soak_member *node)
{
	return node->index % 2 ? "streams" : "datagrams";
}

/*
 * Replaces the file at once, so that no node reads a part of it. Nothing waits
 * for the disk: while others write much, that holds up the run and its faults.
 */
static bool settings_replace(struct soak_fleet *fleet, const char *path,
			     const char *text)
{
	g_autofree char *temporary = g_strdup_printf("%s.new", path);
	g_autoptr(GError) failure = NULL;

	if (!g_file_set_contents_full(temporary, text, -1,
				      G_FILE_SET_CONTENTS_NONE, 0644,
				      &failure)) {
		soak_fleet_note_failure(fleet, "%s", failure->message);
		return false;
	}
	if (g_rename(temporary, path) == 0)
		return true;
	soak_fleet_note_failure(fleet, "%s: %s", path, g_strerror(errno));
	return false;
}

/*
 * Writes the settings that a node reads at its start and at SIGHUP. Returns
 * false, after recording the failure, if the file cannot be written.
 */
bool soak_fleet_write_settings(struct soak_fleet *fleet,
			       const struct soak_member *node,
			       const struct soak_settings *settings)
{
	g_autofree char *seeds = seeds_text(fleet);
	g_autofree char *path = settings_path(fleet, node);
	g_autofree char *text = g_strdup_printf(
		"[node]\nname = \"%s\"\nregion = \"r\"\n"
		"failure_domain = \"z\"\nhttp_address = \"%s:8743\"\n"
		"peer_address = \"%s:8744\"\nseeds = [%s]\n"
		"peer_transport = \"%s\"\n"
		"[gateway]\naddress = \"%s\"\nready_address = \"%s:8741\"\n"
		"directory_address = \"%s:8742\"\nstore_address = \"%s\"\n"
		"address_keep_s = %d\ndrain_s = %d\n" SETTINGS_GATEWAY,
		node->id, node->ip, node->ip, seeds, peer_transport(node),
		node->address, node->ip, node->ip,
		node->store_proxy ? soak_proxy_address(node->store_proxy)
				  : fleet->store_address,
		settings->keep_s, settings->drain_s);

	return settings_replace(fleet, path, text);
}

static bool fleet_start_node(struct soak_fleet *fleet, struct soak_member *node,
			     struct error *error)
{
	g_autofree char *program =
		g_strdup_printf("%s/siskinlinkd", fleet->paths.programs);
	g_autofree char *path = settings_path(fleet, node);
	g_autofree char *directory = g_strdup_printf("%s:8742", node->ip);
	const char *argv[] = {program, "--config", path, NULL};

	if (!soak_fleet_write_settings(fleet, node, &soak_settings_usual))
		return false;
	soak_view_set_node(fleet->view, node->index, node->address,
			   soak_member_connect_address(node), directory);
	return soak_member_begin_life(node, argv, fleet->evidence, error);
}

/*
 * Returns the path of an endpoint's journal, to which all its runs append; the
 * caller frees it.
 */
char *soak_fleet_journal_path(const struct soak_fleet *fleet,
			      const struct soak_member *member)
{
	return g_strdup_printf("%s/%s.journal", fleet->paths.folder,
			       member->name);
}

static bool fleet_start_endpoint(struct soak_fleet *fleet,
				 struct soak_member *member,
				 struct error *error)
{
	g_autofree char *program =
		g_strdup_printf("%s/fake_backend", fleet->paths.programs);
	g_autofree char *journal = soak_fleet_journal_path(fleet, member);
	g_autofree char *events =
		g_strdup_printf("%" PRId64, fleet->schedule->events);
	g_autofree char *pace =
		g_strdup_printf("%" PRId64, fleet->schedule->pace_ms);
	bool is_plain = member->role == SOAK_ROLE_PLAIN;
	const char *argv[] = {
		program,     "--address", member->address,
		"--id",	     member->id,  "--journal",
		journal,     "--events",  events,
		"--pace-ms", pace,	  is_plain ? "--plain" : NULL,
		NULL};

	return soak_member_begin_life(member, argv, fleet->evidence, error);
}

/* Writes an endpoint's entry to the store, unless it is paused or has ended. */
void soak_fleet_register(struct soak_fleet *fleet, struct soak_member *member)
{
	g_autofree char *key = g_strdup_printf("servers/%s", member->id);
	g_autofree char *entry = soak_platform_entry(
		member->role == SOAK_ROLE_PLAIN ? "portal" : "engines",
		soak_platform_domain(member->index),
		soak_member_connect_address(member), member->is_leaving,
		member->born_ms);
	struct error error = {0};

	if (!member->life || member->is_paused)
		return;
	if (!soak_platform_put(fleet->store_address, key, entry, &error))
		soak_fleet_note_failure(fleet, "%s: entry: %s", member->name,
					error.detail);
}

/*
 * Removes an endpoint's entry from the store, as it happens to an engine that
 * is silent or has left.
 */
void soak_fleet_unregister(struct soak_fleet *fleet, struct soak_member *member)
{
	g_autofree char *key = g_strdup_printf("servers/%s", member->id);
	struct error error = {0};

	if (!soak_platform_delete(fleet->store_address, key, &error))
		soak_fleet_note_failure(fleet, "%s: entry: %s", member->name,
					error.detail);
}

/* Removes the entry of the endpoint's id before the present one. */
void soak_fleet_remove_earlier_entry(struct soak_fleet *fleet,
				     struct soak_member *member)
{
	g_autofree char *key =
		g_strdup_printf("servers/%s", member->earlier_id);
	struct error error = {0};

	*member->earlier_id = 0;
	if (!soak_platform_delete(fleet->store_address, key, &error))
		soak_fleet_note_failure(fleet, "%s: entry: %s", member->name,
					error.detail);
}

/* Changes the id; the entry under the one before expires later. */
static void member_take_new_id(struct soak_fleet *fleet,
			       struct soak_member *member)
{
	if (*member->earlier_id)
		soak_fleet_remove_earlier_entry(fleet, member);
	g_strlcpy(member->earlier_id, member->id, sizeof(member->earlier_id));
	member->earlier_until_us = g_get_monotonic_time() + ENTRY_EXPIRY_US;
	soak_member_renew_id(member, fleet->renames++);
}

/*
 * Starts a member that does not run, under a new id and address if it is to be
 * renamed or has left. Records a failure if the start fails.
 */
void soak_fleet_start_member(struct soak_fleet *fleet,
			     struct soak_member *member)
{
	struct error error = {0};
	bool is_node = member->role == SOAK_ROLE_NODE;
	bool is_named = true;

	if (member->life)
		return;
	if (member->starts_renamed || member->is_leaving) {
		if (!is_node)
			soak_fleet_unregister(fleet, member);
		is_named = soak_fleet_rename(fleet, member, &error);
	} else if (member->starts_with_new_id) {
		member_take_new_id(fleet, member);
	}
	if (!is_named ||
	    !(is_node ? fleet_start_node(fleet, member, &error)
		      : fleet_start_endpoint(fleet, member, &error))) {
		soak_fleet_note_failure(fleet, "%s: start: %s", member->name,
					error.detail);
		return;
	}
	if (!is_node)
		soak_fleet_defer(fleet, REGISTER_DELAY_US, soak_fleet_register,
				 member);
}

/* Writes the next version of the configuration to the store, and records it. */
void soak_fleet_configure(struct soak_fleet *fleet)
{
	int32_t idle_ms =
		fleet->idle_lowered ? LOWER_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
	g_autofree char *document = soak_platform_configuration(
		++fleet->version, idle_ms, fleet->urgency_raised > 0);
	struct soak_version row = {
		.index = fleet->version,
		.idle_us = idle_ms * G_TIME_SPAN_MILLISECOND,
	};
	struct error error = {0};

	row.sent_us = g_get_monotonic_time();
	if (!soak_platform_put(fleet->store_address, "op/config", document,
			       &error))
		soak_fleet_note_failure(fleet, "op/config: %s", error.detail);
	row.acked_us = g_get_monotonic_time();
	g_array_append_val(fleet->evidence->versions, row);
	soak_view_set_version(fleet->view, fleet->version);
}

static bool fleet_start_store(struct soak_fleet *fleet, struct error *error)
{
	g_autofree char *program =
		g_strdup_printf("%s/fake_store", fleet->paths.programs);
	const char *argv[] = {program, "--address", fleet->store_address, NULL};
	char ip[32];

	fleet_next_ip(fleet, ip, sizeof(ip));
	g_snprintf(fleet->store_address, sizeof(fleet->store_address), "%s:%d",
		   ip, STORE_PORT);
	return soak_process_start(fleet->store, argv, error) &&
	       soak_process_await_line(fleet->store, "listening ",
				       READY_TIMEOUT_US, error);
}

static bool fleet_add(struct soak_fleet *fleet, GPtrArray *list,
		      enum soak_role role, int32_t count, struct error *error)
{
	for (int32_t i = 0; i < count; i++) {
		struct soak_member *member =
			soak_member_create(role, i, fleet->paths.folder);

		g_ptr_array_add(list, member);
		if (!soak_fleet_rename(fleet, member, error) ||
		    (role == SOAK_ROLE_NODE &&
		     !fleet_create_store_proxy(fleet, member, error)))
			return false;
	}
	return true;
}

static bool members_await(const GPtrArray *members, struct error *error)
{
	for (guint i = 0; i < members->len; i++) {
		struct soak_member *member = g_ptr_array_index(members, i);

		if (!soak_process_await_line(member->process, "listening ",
					     READY_TIMEOUT_US, error))
			return false;
	}
	return true;
}

static bool endpoints_start(struct soak_fleet *fleet, struct error *error)
{
	for (guint i = 0; i < fleet->endpoints->len; i++) {
		if (!fleet_start_endpoint(
			    fleet, g_ptr_array_index(fleet->endpoints, i),
			    error))
			return false;
	}
	if (!members_await(fleet->endpoints, error))
		return false;
	for (guint i = 0; i < fleet->endpoints->len; i++)
		soak_fleet_register(fleet,
				    g_ptr_array_index(fleet->endpoints, i));
	return true;
}

static bool nodes_start(struct soak_fleet *fleet, struct error *error)
{
	for (guint i = 0; i < fleet->nodes->len; i++) {
		if (!fleet_start_node(fleet, g_ptr_array_index(fleet->nodes, i),
				      error))
			return false;
	}
	return members_await(fleet->nodes, error);
}

/* Starts all processes and waits until they listen. */
bool soak_fleet_start(struct soak_fleet *fleet, struct error *error)
{
	const struct soak_schedule *schedule = fleet->schedule;

	if (!fleet_reserve_range(fleet, error) ||
	    !fleet_start_store(fleet, error))
		return false;
	if (!fleet_add(fleet, fleet->endpoints, SOAK_ROLE_ENGINE,
		       schedule->engines, error) ||
	    !fleet_add(fleet, fleet->endpoints, SOAK_ROLE_PLAIN,
		       schedule->plains, error) ||
	    !fleet_add(fleet, fleet->nodes, SOAK_ROLE_NODE, schedule->nodes,
		       error))
		return false;
	soak_fleet_configure(fleet);
	return endpoints_start(fleet, error) && nodes_start(fleet, error);
}
