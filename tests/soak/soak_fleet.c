#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_fleet_state.h"
#include "tests/soak/soak_platform.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define STEP_FLEET "soak.fleet"
#define MS_US G_TIME_SPAN_MILLISECOND
#define READY_US (10 * G_TIME_SPAN_SECOND)
/* An engine that a request crashed is back after some seconds. */
#define CRASHED_AWAY_US (2 * G_TIME_SPAN_SECOND)
/* From an engine's start until it has registered itself. */
#define REGISTER_US (200 * MS_US)
/* A plain endpoint's work, so that faults meet it: the sheets say 30 ms. */
#define PLAIN_WORK_MS "30"
#define SAMPLE_US (500 * MS_US)
#define TERM_WAIT_US (10 * G_TIME_SPAN_SECOND)
/* Ranges 127.N.0.0 that runs at the same time choose from. */
#define FIRST_RANGE 10
#define RANGES 200
#define LOCK_PORT 20001
#define HOSTS_IN_RANGE 250
#define STORE_PORT 8090
#define SEEDS 3
/* Of the smaller deployment: grace_s, budget_ratio, budget_extra. */
#define SETTINGS_GATEWAY "drain_s = 8\nretry_ratio = 0.2\nretry_extra = 54\n"

/* Nothing runs yet. */
struct soak_fleet *soak_fleet_create(const struct soak_schedule *schedule,
				     const struct soak_fleet_paths *paths,
				     struct soak_view *view,
				     struct soak_evidence *evidence)
{
	struct soak_fleet *fleet = g_new0(struct soak_fleet, 1);

	fleet->schedule = schedule;
	fleet->paths = *paths;
	fleet->view = view;
	fleet->evidence = evidence;
	fleet->version = -1;
	fleet->nodes = g_ptr_array_new_with_free_func(soak_member_destroy);
	fleet->endpoints = g_ptr_array_new_with_free_func(soak_member_destroy);
	fleet->later = g_array_new(FALSE, TRUE, sizeof(struct soak_later));
	fleet->store = soak_process_create(paths->folder, "store");
	return fleet;
}

/* Kills what still runs; NULL is allowed. */
void soak_fleet_destroy(struct soak_fleet *fleet)
{
	if (!fleet)
		return;
	g_ptr_array_unref(fleet->nodes);
	g_ptr_array_unref(fleet->endpoints);
	g_array_unref(fleet->later);
	soak_process_destroy(fleet->store);
	g_clear_object(&fleet->lock);
	g_free(fleet);
}

/* Something that the soak itself saw, a find. */
void soak_fleet_note_failure(struct soak_fleet *fleet, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	g_ptr_array_add(fleet->evidence->failures,
			g_strdup_vprintf(format, arguments));
	va_end(arguments);
}

/* A fault begins at somebody. */
void soak_fleet_disturb(struct soak_fleet *fleet, enum soak_fault_kind kind,
			const char *who)
{
	struct soak_disturbance row = {.kind = kind};

	g_strlcpy(row.who, who, sizeof(row.who));
	row.from_us = g_get_monotonic_time();
	g_array_append_val(fleet->evidence->disturbances, row);
}

/* It has ended; the last one of that kind there, if any. */
void soak_fleet_calm(struct soak_fleet *fleet, enum soak_fault_kind kind,
		     const char *who)
{
	GArray *rows = fleet->evidence->disturbances;

	for (guint i = rows->len; i-- > 0;) {
		struct soak_disturbance *row =
			&g_array_index(rows, struct soak_disturbance, i);

		if (row->kind != kind || row->to_us ||
		    strcmp(row->who, who) != 0)
			continue;
		row->to_us = g_get_monotonic_time();
		return;
	}
}

/* Has run called for the member after that time, if it is the same then. */
void soak_fleet_do_later(struct soak_fleet *fleet, int64_t after_us,
			 void (*run)(struct soak_fleet *, struct soak_member *),
			 struct soak_member *member)
{
	struct soak_later later = {.run = run, .member = member};

	later.at_us = g_get_monotonic_time() + after_us;
	g_strlcpy(later.id, member->id, sizeof(later.id));
	g_array_append_val(fleet->later, later);
}

/* A range of loopback addresses that no other run uses. */
static bool fleet_take_range(struct soak_fleet *fleet, struct error *error)
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
		fleet->lock = g_steal_pointer(&socket);
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

static void fleet_rename(struct soak_fleet *fleet, struct soak_member *member)
{
	char ip[32];

	fleet_next_ip(fleet, ip, sizeof(ip));
	soak_member_rename(member, fleet->renames++, ip);
}

static char *seeds_of(const struct soak_fleet *fleet)
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

/* What a node reads at its start, and again at SIGHUP. */
bool soak_fleet_write_settings(struct soak_fleet *fleet,
			       const struct soak_member *node, int32_t keep_s)
{
	g_autofree char *seeds = seeds_of(fleet);
	g_autofree char *path = settings_path(fleet, node);
	g_autofree char *text = g_strdup_printf(
		"[node]\nname = \"%s\"\nregion = \"r\"\n"
		"failure_domain = \"z\"\nhttp_address = \"%s:8743\"\n"
		"peer_address = \"%s:8744\"\nseeds = [%s]\n"
		"[gateway]\naddress = \"%s\"\nready_address = \"%s:8741\"\n"
		"directory_address = \"%s:8742\"\nstore_address = \"%s\"\n"
		"address_keep_s = %d\n" SETTINGS_GATEWAY,
		node->id, node->ip, node->ip, seeds, node->address, node->ip,
		node->ip, fleet->store_address, keep_s);
	g_autoptr(GError) failure = NULL;

	if (g_file_set_contents(path, text, -1, &failure))
		return true;
	soak_fleet_note_failure(fleet, "%s", failure->message);
	return false;
}

static bool fleet_start_node(struct soak_fleet *fleet, struct soak_member *node,
			     struct error *error)
{
	g_autofree char *program =
		g_strdup_printf("%s/siskinlinkd", fleet->paths.programs);
	g_autofree char *path = settings_path(fleet, node);
	g_autofree char *directory = g_strdup_printf("%s:8742", node->ip);
	const char *argv[] = {program, "--config", path, NULL};

	if (!soak_fleet_write_settings(fleet, node, 2))
		return false;
	soak_view_set_node(fleet->view, node->index, node->address, directory);
	return soak_member_begin_life(node, argv, fleet->evidence, error);
}

static char *journal_path(const struct soak_fleet *fleet,
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
	g_autofree char *journal = journal_path(fleet, member);
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

/* An endpoint writes its entry, as one does after its start. */
void soak_fleet_register(struct soak_fleet *fleet, struct soak_member *member)
{
	g_autofree char *key = g_strdup_printf("servers/%s", member->id);
	g_autofree char *entry = soak_platform_entry(
		member->role == SOAK_ROLE_PLAIN ? "portal" : "engines",
		member->address, member->is_leaving, member->born_ms);
	struct error error = {0};

	if (!member->life || member->is_paused)
		return;
	if (!soak_platform_put(fleet->store_address, key, entry, &error))
		soak_fleet_note_failure(fleet, "%s: entry: %s", member->name,
					error.detail);
}

/* Its entry goes, as an engine's that is silent or has left. */
void soak_fleet_unregister(struct soak_fleet *fleet, struct soak_member *member)
{
	g_autofree char *key = g_strdup_printf("servers/%s", member->id);
	struct error error = {0};

	if (!soak_platform_delete(fleet->store_address, key, &error))
		soak_fleet_note_failure(fleet, "%s: entry: %s", member->name,
					error.detail);
}

/* Starts a member again, under a new name and address if that is due. */
void soak_fleet_start_member(struct soak_fleet *fleet,
			     struct soak_member *member)
{
	struct error error = {0};
	bool is_node = member->role == SOAK_ROLE_NODE;

	if (member->life)
		return;
	if (member->comes_renamed || member->is_leaving) {
		if (!is_node)
			soak_fleet_unregister(fleet, member);
		fleet_rename(fleet, member);
	}
	if (!(is_node ? fleet_start_node(fleet, member, &error)
		      : fleet_start_endpoint(fleet, member, &error))) {
		soak_fleet_note_failure(fleet, "%s: start: %s", member->name,
					error.detail);
		return;
	}
	if (!is_node)
		soak_fleet_do_later(fleet, REGISTER_US, soak_fleet_register,
				    member);
}

/* The operator writes the next configuration. */
void soak_fleet_configure(struct soak_fleet *fleet)
{
	g_autofree char *document = soak_platform_document(++fleet->version);
	struct soak_version row = {.index = fleet->version};
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
	       soak_process_await_line(fleet->store, "listening ", READY_US,
				       error);
}

static void fleet_add(struct soak_fleet *fleet, GPtrArray *list,
		      enum soak_role role, int32_t count)
{
	for (int32_t i = 0; i < count; i++) {
		struct soak_member *member =
			soak_member_create(role, i, fleet->paths.folder);

		fleet_rename(fleet, member);
		g_ptr_array_add(list, member);
	}
}

static bool members_await(const GPtrArray *members, struct error *error)
{
	for (guint i = 0; i < members->len; i++) {
		struct soak_member *member = g_ptr_array_index(members, i);

		if (!soak_process_await_line(member->process, "listening ",
					     READY_US, error))
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

/* Starts everything and waits until all listen. */
bool soak_fleet_start(struct soak_fleet *fleet, struct error *error)
{
	const struct soak_schedule *schedule = fleet->schedule;

	if (!fleet_take_range(fleet, error) || !fleet_start_store(fleet, error))
		return false;
	fleet_add(fleet, fleet->endpoints, SOAK_ROLE_ENGINE, schedule->engines);
	fleet_add(fleet, fleet->endpoints, SOAK_ROLE_PLAIN, schedule->plains);
	fleet_add(fleet, fleet->nodes, SOAK_ROLE_NODE, schedule->nodes);
	soak_fleet_configure(fleet);
	return endpoints_start(fleet, error) && nodes_start(fleet, error);
}

static void member_has_ended(struct soak_fleet *fleet,
			     struct soak_member *member,
			     const struct soak_life *life)
{
	if (member->role != SOAK_ROLE_NODE) {
		soak_fleet_disturb(fleet, SOAK_POISON, member->name);
		member->start_us = g_get_monotonic_time() + CRASHED_AWAY_US;
		return;
	}
	if (!life->term_us) {
		soak_fleet_note_failure(fleet,
					"%s ended by itself with status %d",
					member->name, life->status);
		member->start_us = g_get_monotonic_time();
	} else if (life->status != 0) {
		soak_fleet_note_failure(fleet,
					"%s ended with status %d after SIGTERM",
					member->name, life->status);
	}
}

static void member_tick(struct soak_fleet *fleet, struct soak_member *member,
			int64_t now_us)
{
	struct soak_life *life = member->life;

	if (soak_member_end_life(member))
		member_has_ended(fleet, member, life);
	if (member->life && member->end_by_us && now_us >= member->end_by_us) {
		soak_fleet_note_failure(
			fleet, "%s still runs past its grace after SIGTERM",
			member->name);
		soak_member_kill(member);
	}
	if (!member->life && member->start_us && now_us >= member->start_us)
		soak_fleet_start_member(fleet, member);
}

static void members_tick(struct soak_fleet *fleet, const GPtrArray *members,
			 bool samples)
{
	int64_t now_us = g_get_monotonic_time();

	for (guint i = 0; i < members->len; i++) {
		struct soak_member *member = g_ptr_array_index(members, i);

		member_tick(fleet, member, now_us);
		if (samples)
			soak_member_sample(member);
	}
}

static void later_run(struct soak_fleet *fleet, const struct soak_later *later)
{
	if (later->run && strcmp(later->id, later->member->id) == 0)
		later->run(fleet, later->member);
}

/* What is due now: starts, ends, entries. Called every few ms. */
void soak_fleet_tick(struct soak_fleet *fleet)
{
	int64_t now_us = g_get_monotonic_time();
	bool samples = now_us - fleet->sampled_us >= SAMPLE_US;

	if (samples)
		fleet->sampled_us = now_us;
	members_tick(fleet, fleet->nodes, samples);
	members_tick(fleet, fleet->endpoints, samples);
	for (guint i = fleet->later->len; i-- > 0;) {
		struct soak_later later =
			g_array_index(fleet->later, struct soak_later, i);

		if (now_us < later.at_us)
			continue;
		g_array_remove_index(fleet->later, i);
		later_run(fleet, &later);
	}
}

static bool members_are_whole(const GPtrArray *members)
{
	for (guint i = 0; i < members->len; i++) {
		const struct soak_member *member =
			g_ptr_array_index(members, i);

		if (!member->life || member->is_paused || member->end_by_us ||
		    member->is_leaving)
			return false;
	}
	return true;
}

/* Whether everybody runs, and nothing is left to be done. */
bool soak_fleet_is_whole(const struct soak_fleet *fleet)
{
	return fleet->later->len == 0 && members_are_whole(fleet->nodes) &&
	       members_are_whole(fleet->endpoints);
}

static void members_stop(const GPtrArray *members)
{
	int64_t until_us = g_get_monotonic_time() + TERM_WAIT_US;

	for (guint i = 0; i < members->len; i++) {
		struct soak_member *member = g_ptr_array_index(members, i);

		soak_process_signal(member->process, SIGCONT);
		soak_process_signal(member->process, SIGTERM);
		if (member->life && !member->life->term_us)
			member->life->term_us = g_get_monotonic_time();
	}
	for (guint i = 0; i < members->len; i++) {
		struct soak_member *member = g_ptr_array_index(members, i);

		while (soak_process_is_running(member->process) &&
		       g_get_monotonic_time() < until_us)
			g_usleep(10 * MS_US);
		if (!soak_member_end_life(member))
			soak_member_kill(member);
	}
}

static void fleet_read_journals(struct soak_fleet *fleet)
{
	for (guint i = 0; i < fleet->endpoints->len; i++) {
		g_autofree char *path = journal_path(
			fleet, g_ptr_array_index(fleet->endpoints, i));
		struct error error = {0};

		if (!soak_evidence_read_journal(fleet->evidence, path, &error))
			soak_fleet_note_failure(fleet, "%s", error.detail);
	}
}

/* Ends all processes, the nodes first, and reads the engines' journals. */
void soak_fleet_stop(struct soak_fleet *fleet)
{
	members_stop(fleet->nodes);
	members_stop(fleet->endpoints);
	soak_process_kill(fleet->store);
	fleet_read_journals(fleet);
}
