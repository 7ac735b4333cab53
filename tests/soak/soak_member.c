#include "tests/soak/soak_member.h"
#include "tests/soak/soak_platform.h"

#include <signal.h>

#define FRONT_PORT 8740
#define ENGINE_PORT 8080

static const char *const role_names[] = {
	[SOAK_ROLE_NODE] = "node",
	[SOAK_ROLE_ENGINE] = "engine",
	[SOAK_ROLE_PLAIN] = "plain",
};

/*
 * Creates a member that has no address and does not run. The caller owns it;
 * folder receives its logs.
 */
struct soak_member *soak_member_create(enum soak_role role, int32_t index,
				       const char *folder)
{
	struct soak_member *member = g_new0(struct soak_member, 1);

	member->role = role;
	member->index = index;
	g_snprintf(member->name, sizeof(member->name), "%s%d", role_names[role],
		   index);
	member->process = soak_process_create(folder, member->name);
	member->deferred_modes = g_ptr_array_new_with_free_func(g_free);
	return member;
}

/* Kills the process and frees the member; NULL is allowed. */
void soak_member_destroy(gpointer data)
{
	struct soak_member *member = data;

	if (!member)
		return;
	soak_process_destroy(member->process);
	g_ptr_array_unref(member->deferred_modes);
	soak_proxy_destroy(member->proxy);
	soak_proxy_destroy(member->store_proxy);
	g_free(member);
}

/* Gives the member a new id; its address stays. */
void soak_member_renew_id(struct soak_member *member, int32_t generation)
{
	g_snprintf(member->id, sizeof(member->id), "i-%s%d-%d",
		   member->role == SOAK_ROLE_NODE ? "n" : "e", member->index,
		   generation);
	if (member->role == SOAK_ROLE_PLAIN)
		member->id[2] = 'p';
	member->starts_with_new_id = false;
}

/*
 * Sets a new address and a new id for the next start. With has_proxy, other
 * processes connect to it through a new proxy; returns false and sets error
 * if that proxy can't be created.
 */
bool soak_member_rename(struct soak_member *member, int32_t generation,
			const char *ip, bool has_proxy, struct error *error)
{
	g_strlcpy(member->ip, ip, sizeof(member->ip));
	soak_member_renew_id(member, generation);
	g_snprintf(member->address, sizeof(member->address), "%s:%d", ip,
		   member->role == SOAK_ROLE_NODE ? FRONT_PORT : ENGINE_PORT);
	member->is_leaving = false;
	member->starts_renamed = false;
	if (!has_proxy)
		return true;
	soak_proxy_destroy(member->proxy);
	member->proxy = soak_proxy_create(member->address, error);
	return member->proxy != NULL;
}

/* Returns the proxy's address, or the member's own if it has no proxy. */
const char *soak_member_connect_address(const struct soak_member *member)
{
	return member->proxy ? soak_proxy_address(member->proxy)
			     : member->address;
}

/*
 * Starts the process and opens the record of this life, which evidence owns.
 * Returns false and sets error if the process can't be started.
 */
bool soak_member_begin_life(struct soak_member *member, const char *const *argv,
			    struct soak_evidence *evidence, struct error *error)
{
	struct soak_life *life;

	if (!soak_process_start(member->process, argv, error))
		return false;
	life = g_new0(struct soak_life, 1);
	g_strlcpy(life->name, member->name, sizeof(life->name));
	if (member->role == SOAK_ROLE_NODE)
		life->front = g_strdup(member->address);
	else
		life->engine = g_strdup(member->id);
	life->is_evacuated =
		life->engine && strcmp(soak_platform_domain(member->index),
				       SOAK_EVACUATED_DOMAIN) == 0;
	life->from_us = g_get_monotonic_time();
	life->log_path = g_strdup(soak_process_log_path(member->process));
	g_ptr_array_add(evidence->lives, life);
	member->life = life;
	member->born_ms = g_get_real_time() / 1000;
	member->start_us = 0;
	member->exit_deadline_us = 0;
	member->is_paused = false;
	member->word_us = 0;
	g_ptr_array_set_size(member->deferred_modes, 0);
	return true;
}

/* Closes the open record if the process has ended; true if it closed one. */
bool soak_member_end_life(struct soak_member *member)
{
	struct soak_life *life = member->life;

	if (!life || soak_process_is_running(member->process))
		return false;
	life->to_us = g_get_monotonic_time();
	life->status = soak_process_status(member->process);
	life->log_bytes = soak_process_log_bytes(member->process);
	member->life = NULL;
	member->exit_deadline_us = 0;
	return true;
}

/* Kills the process with SIGKILL, also while it is paused. */
void soak_member_kill(struct soak_member *member)
{
	if (!member->life)
		return;
	member->life->was_killed = true;
	soak_process_kill(member->process);
	soak_member_end_life(member);
}

/* Samples memory and open files, and keeps the highest values so far. */
void soak_member_sample(struct soak_member *member)
{
	struct soak_life *life = member->life;

	if (!life)
		return;
	life->peak_resident_bytes =
		MAX(life->peak_resident_bytes,
		    soak_process_resident_bytes(member->process));
	life->peak_open_files = MAX(life->peak_open_files,
				    soak_process_open_files(member->process));
}
